//! Runs the membership state machine on a UDP socket.

mod command;
mod counters;
mod full_state_source;
mod handle;
mod log_rate_limiter;
mod membership_driver;

pub use counters::DriverCounters;
pub use full_state_source::FetchError;
pub use full_state_source::FullStateSource;
pub use handle::MembershipHandle;
pub use membership_driver::MembershipDriver;
