//! The control replica of this node: the replicated log with its storage and its transport.

mod control_replica;
mod control_state_machine;
mod first_start;
mod frame_reader;
mod listener;
mod peer_sender;
mod replacement;
mod replica_addresses;
mod replica_exit;
mod replica_log;
mod replica_query;
mod replica_service;
mod supervisor;
mod tcp_transport;

pub use control_replica::ControlReplica;
pub use control_state_machine::ControlStateMachine;
pub use first_start::remember_first_start;
pub use replacement::next_member_change;
pub use replacement::target_voters;
pub use replacement::ReplicaObservation;
pub use replica_addresses::ReplicaAddresses;
pub use replica_exit::ReplicaExit;
pub use replica_log::ReplicaLog;
pub use replica_query::fetch_replica_info;
pub use replica_query::replica_info;
pub use replica_service::ReplicaService;
pub use replica_service::ReplicaServiceDependencies;
pub use supervisor::LogFormation;
pub use supervisor::ReplicaSupervisor;
pub use supervisor::ReplicaSupervisorDependencies;
