//! The membership state machine.

mod action;
mod counts;
mod event;
mod exchange;
mod local_health;
mod member;
mod membership;
mod merging;
mod probing;
mod roster;
mod spreading;
mod suspicion;
mod table;
mod update_queue;

pub use action::Action;
pub use counts::Counts;
pub use event::Event;
pub use member::Member;
pub use member::MemberStatus;
pub use membership::Membership;
