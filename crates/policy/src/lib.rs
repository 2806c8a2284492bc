//! Deterministic policies for overload control.
//!
//! Every policy is a state machine that does no I/O; callers pass in the time and any random seed.
//! Tests and measurements therefore run the same code as the daemon. Times are monotonic
//! microseconds from an arbitrary origin. See `docs/design.md`, sections 3.3 to 3.6.

pub mod admission;
pub mod once;
pub mod quarantine;
pub mod retry;
pub mod routing;
pub mod stop;
