//! Nodes as processes, fake backend servers and clients for the tests.

mod addresses;
mod backend;
mod caller;
mod cluster;
mod daemon;
mod network;
mod notes;
mod operator;
mod wait;

pub use backend::Backend;
pub use caller::call;
pub use caller::issued_key;
pub use caller::Call;
pub use cluster::Cluster;
pub use daemon::Daemon;
pub use network::LinkFaults;
pub use network::Network;
pub use notes::first_note;
pub use notes::next_note;
pub use operator::Operator;
pub use wait::until;
