//! The deterministic replica.

mod election;
mod event;
mod handover;
mod in_memory_log;
mod leader_state;
mod member_change;
mod membership;
mod outbox;
mod quorum;
mod raft_settings;
mod reads;
mod replica;
mod replica_status;
mod replication;
mod snapshots;

pub use event::PersistRequest;
pub use event::ReplicaAction;
pub use event::ReplicaEvent;
pub use event::RequestNumber;
pub use event::RequestOutcome;
pub use event::RequestRefusal;
pub use member_change::MemberChange;
pub use raft_settings::InjectedFaults;
pub use raft_settings::RaftSettings;
pub use replica::RecoveredState;
pub use replica::Replica;
pub use replica_status::FollowerStatus;
pub use replica_status::ReplicaRole;
pub use replica_status::ReplicaStatus;
pub use replica_status::StopReason;
