//! Tests of the control state, and of requests to other nodes.

mod catalogue_follower;
mod control_state;
mod departures;
mod fake_peer;
mod remote_log;
