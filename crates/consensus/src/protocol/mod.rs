//! Types that replicas store and send to each other.

mod cluster_configuration;
mod log_entry;
mod raft_message;
mod replica_id;
mod snapshot;

pub use cluster_configuration::ClusterConfiguration;
pub use log_entry::EntryPayload;
pub use log_entry::LogEntry;
pub use raft_message::CommittedConfiguration;
pub use raft_message::MessageBody;
pub use raft_message::RaftMessage;
pub use replica_id::DiskId;
pub use replica_id::ReplicaId;
pub use snapshot::HardState;
pub use snapshot::Snapshot;
