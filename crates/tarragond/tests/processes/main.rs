//! Failure tests with real processes: nodes run as processes of the `tarragond` binary on loopback,
//! and fake backend servers run in the test process.

// The lint permits unwrapping only in test functions, and not in their helpers.
#![allow(clippy::unwrap_used, reason = "helpers of tests may panic like the tests themselves")]

mod control_refusals;
mod endless_bytes;
mod endless_peer;
mod idempotency_keys;
mod idle_connections;
mod leader_loss;
mod lost_disk;
mod partition;
mod paused_leader;
mod plain_nodes;
mod refusals;
mod seed_lists;
mod soak;
mod support;
mod unfinished_messages;
