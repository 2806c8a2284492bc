//! Tests of the control state and of the copies that nodes fetch.

mod catalogue_follower;
mod control_state;
