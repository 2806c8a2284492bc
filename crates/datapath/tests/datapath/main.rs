//! Failure tests of the data path, with nodes and fake backend servers in this process on loopback
//! addresses.

// Test helpers may unwrap like tests; the exception in the lint settings covers only test
// functions.
#![allow(clippy::unwrap_used, reason = "test helpers may panic like the tests themselves")]

mod answers;
mod broken_uploads;
mod calls;
mod cancel;
mod crashes;
mod early_answers;
mod exchanges;
mod exits;
mod keys;
mod late_stop;
mod lost;
mod notices;
mod paused_peers;
mod peers;
mod routed;
mod silent_connections;
mod support;
mod unchanged_requests;
mod unresponsive;
