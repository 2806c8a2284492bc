//! Which calls a node still takes while it stops, see `docs/design.md`, section 5.4.

mod call_durations;

pub use call_durations::CallDurations;
pub use call_durations::CallEnd;
pub use call_durations::CallTicket;
