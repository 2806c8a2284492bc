//! What replicas store and send to each other.

mod configuration;
mod entry;
mod message;
mod replica_id;
mod snapshot;

pub use configuration::Configuration;
pub use entry::Entry;
pub use entry::Payload;
pub use message::Body;
pub use message::Message;
pub use replica_id::DiskId;
pub use replica_id::ReplicaId;
pub use snapshot::HardState;
pub use snapshot::Snapshot;
