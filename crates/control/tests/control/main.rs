//! Tests of the control state, without a network.

mod control_state;
