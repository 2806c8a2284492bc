//! Handlers of the listeners for callers and for the outgoing calls of the node's backend server,
//! and the forwarding of their requests to gates.

mod caller_handler;
mod candidate_updater;
mod entry_body;
mod entry_span;
mod exit_handler;
mod forwarder;
mod key_issue;
mod outgoing_call;
mod retry_rules;
mod stop_check;

pub use caller_handler::CallerHandler;
pub use candidate_updater::CandidateUpdater;
pub use exit_handler::ExitHandler;
pub use forwarder::Forwarder;
pub use forwarder::ForwarderDependencies;
