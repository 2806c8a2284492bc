use http::header::RETRY_AFTER;
use http::HeaderValue;
use http::Response;
use http::StatusCode;
use tarragon_model::call::headers;
use tarragon_model::call::Outcome;
use tarragon_model::call::Reason;
use tarragon_policy::admission::AdmissionRefusal;

use crate::transport::full;
use crate::transport::Body;

/// An outcome other than `answered`, and what the caller is told about it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallFailure {
    /// Why there is no answer; implies the outcome.
    pub reason: Reason,
    /// Status of the answer.
    pub status: StatusCode,
    /// When another try may succeed, in ms from now; 0 if unknown.
    pub retry_after_ms: u64,
}

impl From<Reason> for CallFailure {
    fn from(reason: Reason) -> Self {
        Self { reason, status: reason.status(), retry_after_ms: 0 }
    }
}

impl From<AdmissionRefusal> for CallFailure {
    fn from(refusal: AdmissionRefusal) -> Self {
        Self { retry_after_ms: refusal.retry_after_ms, ..Self::from(refusal.reason) }
    }
}

impl CallFailure {
    /// Failure with a status other than the usual one of its reason.
    pub fn with_status(reason: Reason, status: StatusCode) -> Self {
        Self { status, ..Self::from(reason) }
    }

    /// Failure after which another try may succeed in some ms.
    pub fn retry_after(reason: Reason, retry_after_ms: u64) -> Self {
        Self { retry_after_ms, ..Self::from(reason) }
    }

    /// The outcome that the caller learns.
    pub fn outcome(&self) -> Outcome {
        self.reason.outcome()
    }

    /// Whether the request certainly did not run.
    pub fn is_not_run(&self) -> bool {
        self.outcome() == Outcome::NotRun
    }

    /// Builds the answer that tells the caller.
    pub fn into_response(self) -> Response<Body> {
        let mut response =
            Response::new(full(format!("{}: {}\n", self.outcome().as_str(), self.reason)));
        *response.status_mut() = self.status;
        let map = response.headers_mut();
        map.insert(headers::OUTCOME, HeaderValue::from_static(self.outcome().as_str()));
        map.insert(headers::REASON, HeaderValue::from_static(self.reason.as_str()));
        if self.retry_after_ms > 0 {
            // The header counts whole seconds; rounding down would invite a try that is too early.
            map.insert(RETRY_AFTER, HeaderValue::from(self.retry_after_ms.div_ceil(1000)));
        }
        response
    }
}
