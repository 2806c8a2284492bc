//! The deterministic replica.

mod election;
mod event;
mod leadership;
mod log;
mod membership;
mod outbox;
mod reads;
mod replica;
mod replication;
mod settings;
mod snapshots;
mod status;

pub use event::Action;
pub use event::Answer;
pub use event::Event;
pub use event::PersistRequest;
pub use event::Refusal;
pub use event::RequestNumber;
pub use membership::MemberChange;
pub use replica::Recovered;
pub use replica::Replica;
pub use settings::Settings;
pub use settings::Switches;
pub use status::FollowerStatus;
pub use status::RoleKind;
pub use status::Status;
pub use status::StopReason;
