//! Requests that any one of several peers can serve.
//!
//! A peer may be paused or unreachable long before membership reports it. Waiting for one peer
//! after the other would add up their time limits, so a request is also sent to the next peer when
//! the previous one takes long (a hedged request, see Dean and Barroso, "The Tail at Scale", 2013).

mod arriving_responses;
mod first_success;

pub(crate) use arriving_responses::ArrivingResponses;
pub(crate) use first_success::first_success;
