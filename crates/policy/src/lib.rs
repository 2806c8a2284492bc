//! Deterministic overload decisions.
//!
//! Every policy is a state machine without I/O, clock or randomness of its own, so that tests and
//! measurements drive the code that runs in the daemon. Times are monotonic microseconds from an
//! arbitrary origin. See `docs/design.md`, sections 3.3 to 3.6.

pub mod admission;
pub mod once;
pub mod retry;
pub mod routing;
