//! The control replica of this node: the replicated log with its disk and its network.

mod control_machine;
mod control_replica;
mod listener;
mod peer_sender;
mod replacement;
mod replica_addresses;
mod replica_log;
mod replica_query;
mod replica_service;
mod supervisor;
mod tcp_transport;

pub use control_machine::ControlMachine;
pub use control_replica::ControlReplica;
pub use replacement::next_change;
pub use replacement::Observation;
pub use replica_addresses::ReplicaAddresses;
pub use replica_log::ReplicaLog;
pub use replica_query::ask_replica;
pub use replica_query::replica_info;
pub use replica_service::ReplicaService;
pub use replica_service::ReplicaServiceParts;
pub use supervisor::LogFormation;
pub use supervisor::ReplicaSupervisor;
pub use supervisor::ReplicaSupervisorParts;
