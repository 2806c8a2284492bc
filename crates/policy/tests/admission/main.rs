//! Tests of the admission control of a gate.
//!
//! With `TARRAGON_ADMISSION=naive` in the environment, the tests run against the naive policy, to
//! show that they can fail.

mod classes;
mod harness;
mod limit;
mod order;
mod slots;
