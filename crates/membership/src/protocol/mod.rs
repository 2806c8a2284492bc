//! Membership protocol as a state machine without I/O.

mod dissemination;
mod full_exchange;
mod local_health;
mod member;
mod member_table;
mod membership;
mod membership_action;
mod membership_counts;
mod membership_event;
mod merging;
mod probing;
mod shuffled_members;
mod suspicion;
mod update_queue;

pub use member::Member;
pub use member::MemberStatus;
pub use membership::Membership;
pub use membership_action::MembershipAction;
pub use membership_counts::MembershipCounts;
pub use membership_event::MembershipEvent;
