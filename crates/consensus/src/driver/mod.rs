//! The task that runs a replica. It owns the [`crate::raft::Replica`], its store and the state
//! machine; other tasks access it through a [`ReplicaHandle`].

mod log_request_error;
mod replica_driver;
mod replica_handle;
mod replica_transport;

pub use log_request_error::LogRequestError;
pub use replica_driver::ReplicaDriver;
pub use replica_driver::ReplicaDriverDependencies;
pub use replica_handle::ReplicaHandle;
pub use replica_transport::ReplicaTransport;
