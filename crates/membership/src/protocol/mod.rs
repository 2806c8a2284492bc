//! The membership state machine.

mod exchange;
mod local_health;
mod member;
mod membership;
mod membership_action;
mod membership_counts;
mod membership_event;
mod merging;
mod probing;
mod roster;
mod spreading;
mod suspicion;
mod table;
mod update_queue;

pub use member::Member;
pub use member::MemberStatus;
pub use membership::Membership;
pub use membership_action::MembershipAction;
pub use membership_counts::MembershipCounts;
pub use membership_event::MembershipEvent;
