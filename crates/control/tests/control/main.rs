//! Tests of the state behind the log, with no network.

mod control_state;
