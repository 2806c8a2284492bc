//! Failure tests of the data path: nodes and fake backend servers in this process, on loopback.

// Helpers of tests may unwrap like tests; the lint's exception covers only test functions.
#![allow(clippy::unwrap_used, reason = "helpers of tests may panic like the tests themselves")]

mod answers;
mod calls;
mod cancel;
mod exits;
mod keys;
mod lost;
mod peers;
mod routed;
mod support;
