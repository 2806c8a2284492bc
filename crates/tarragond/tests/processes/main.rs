//! Failure tests with real processes: nodes run as processes of the workspace's own binary on
//! loopback, and fake backend servers run in the test.

// Helpers of tests may unwrap like tests; the lint's exception covers only test functions.
#![allow(clippy::unwrap_used, reason = "helpers of tests may panic like the tests themselves")]

mod leader_loss;
mod lost_disk;
mod once_only;
mod partition;
mod paused_leader;
mod plain_nodes;
mod refusals;
mod soak;
mod support;
