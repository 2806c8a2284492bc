use std::time::Instant;

use http::Request;
use http::Response;
use tarragon_model::call::CallContext;
use tarragon_policy::admission::AdmissionAdvice;
use tarragon_policy::admission::MeanRunTime;
use tarragon_policy::quarantine::RequestFingerprint;

use crate::backend::ReportedNotice;
use crate::transport::Body;
use crate::transport::CallFailure;

/// A request sent to a gate by the local node or by another one.
pub struct GateCall {
    /// Name of the called service.
    pub service: String,
    /// Request for the backend server, without context headers.
    pub request: Request<Body>,
    /// Call context. Its deadline is the time that was left when the call was made.
    pub context: CallContext,
    /// Content of the request, by which crashes of backend servers are counted; `None` if the calling
    /// node does not tell.
    pub fingerprint: Option<RequestFingerprint>,
    /// Kind of request, for which run times are measured separately; 0 if it is not known.
    pub request_kind: u32,
    /// Sequence number of the attempt at the calling node.
    pub attempt: u64,
    /// Retry tokens that the call carries; unused ones return with the response.
    pub retry_tokens: u32,
    /// Probability that the call repeats work that was run before. The header
    /// `Tarragon-Repeat-Share` carries it in thousandths.
    pub repeat_share: f64,
    /// Time at which the caller stops waiting.
    pub deadline: Instant,
    /// Notice of the backend server that the calling node knows from earlier responses. The gate may
    /// have been restarted since.
    pub known_notice: Option<ReportedNotice>,
}

/// Result of a call at a gate.
pub struct GateResponse {
    /// Response of the backend server, or the reason why none is passed on.
    pub result: Result<Response<Body>, CallFailure>,
    /// Retry tokens that were not used.
    pub unused_tokens: u32,
    /// What the gate currently admits; `None` if the gate was not reached.
    pub advice: Option<AdmissionAdvice>,
    /// Mean run time of this kind of request at the gate, if it is known.
    pub run_time: Option<MeanRunTime>,
    /// Notice of the backend server, unless the server is healthy and the call carried no notice.
    pub notice: Option<ReportedNotice>,
}

impl GateResponse {
    /// Result of a call that no gate handled; the retry tokens of the call are lost.
    pub fn failed(failure: CallFailure) -> Self {
        Self { result: Err(failure), unused_tokens: 0, advice: None, run_time: None, notice: None }
    }
}
