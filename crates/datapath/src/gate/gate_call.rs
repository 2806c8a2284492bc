use std::time::Instant;

use http::Request;
use http::Response;
use tarragon_model::call::CallContext;
use tarragon_policy::admission::AdmissionAdvice;

use crate::transport::Body;
use crate::transport::CallFailure;

/// A request offered to a gate, by its own node or by another one.
pub struct GateCall {
    /// Service that is called.
    pub service: String,
    /// The request as it goes to the backend server, without context headers.
    pub request: Request<Body>,
    /// Its context; the deadline there is the time left when the call was made.
    pub context: CallContext,
    /// Kind of request, by which run times are learnt; 0 if it is not known.
    pub request_kind: u32,
    /// Number of the attempt at the calling node.
    pub attempt: u64,
    /// Retry tokens lent with the call.
    pub retry_tokens: u32,
    /// Probability that the call repeats work which ran before.
    pub repeat_share: f64,
    /// When the caller stops waiting.
    pub deadline: Instant,
}

/// What a gate returns for a call.
pub struct GateResponse {
    /// The answer of the backend server, or why there is none.
    pub result: Result<Response<Body>, CallFailure>,
    /// Retry tokens that were not used.
    pub unused_tokens: u32,
    /// What the gate admits at present; `None` if the gate was not reached.
    pub advice: Option<AdmissionAdvice>,
}

impl GateResponse {
    /// Answer without a gate behind it; the lent tokens are lost.
    pub fn failed(failure: CallFailure) -> Self {
        Self { result: Err(failure), unused_tokens: 0, advice: None }
    }
}
