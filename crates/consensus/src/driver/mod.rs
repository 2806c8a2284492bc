//! The task that runs a replica: it owns the [`crate::raft::Replica`], its store and the state
//! machine. Others reach it through a [`ReplicaHandle`].

mod error;
mod handle;
mod task;
mod transport;

pub use error::ProposeError;
pub use handle::ReplicaHandle;
pub use task::Driver;
pub use task::DriverParts;
pub use transport::Transport;
