//! The listeners for callers and for the own backend server, and the forwarding of their requests.

mod caller_handler;
mod entry_body;
mod exit_handler;
mod forwarder;
mod key_issue;
mod outgoing_call;
mod route_table;

pub use caller_handler::CallerHandler;
pub use exit_handler::ExitHandler;
pub use forwarder::Forwarder;
pub use forwarder::ForwarderParts;
pub use route_table::RouteTable;
