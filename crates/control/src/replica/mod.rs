//! The control replica of this node: the replicated log with its disk and its network.

mod control_machine;
mod control_replica;
mod listener;
mod peer_sender;
mod replica_addresses;
mod replica_log;
mod replica_service;
mod tcp_transport;

pub use control_machine::ControlMachine;
pub use control_replica::ControlReplica;
pub use replica_addresses::ReplicaAddresses;
pub use replica_log::ReplicaLog;
pub use replica_service::ReplicaService;
pub use replica_service::ReplicaServiceParts;
