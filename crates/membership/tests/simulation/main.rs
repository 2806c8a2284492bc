//! Tests of the state machine in an in-memory cluster with virtual time.

mod cluster;
mod mechanisms;
mod schedules;
