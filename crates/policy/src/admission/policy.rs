use tarragon_model::call::Reason;
use tarragon_model::identity::RequestId;

use crate::admission::AdmissionAdvice;
use crate::admission::MeanRunTime;

/// Identifies an admitted or waiting request at one gate.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket(pub u64);

/// Class of work by expected run time. The number of concurrent requests is limited by class.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum WorkClass {
    /// Completes so soon that a request waiting for its slot is not delayed noticeably.
    Short,
    /// Takes many times longer than short work.
    Long,
}

/// A request on which the gate decides.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AdmissionRequest {
    /// Request ID, the same at every hop.
    pub request_id: RequestId,
    /// Importance rank; 0 is the most important.
    pub rank: u8,
    /// Kind of request, by which run times are measured; 0 if unknown.
    pub kind: u32,
    /// Work class by expected run time.
    pub class: WorkClass,
    /// Expected run time, in µs.
    pub expected_us: u64,
    /// Remaining time until the deadline, in µs.
    pub deadline_left_us: u64,
}

/// A refusal by the gate. The request has not run and will not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AdmissionRefusal {
    /// Reason for the refusal.
    pub reason: Reason,
    /// Time from now after which a retry may succeed, in ms; 0 if unknown.
    pub retry_after_ms: u64,
}

/// Decision on a new request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AdmissionDecision {
    /// The request runs now.
    Run(Ticket),
    /// The request waits until `poll` returns a decision on it.
    Wait(Ticket),
    /// The request does not run.
    Refuse(AdmissionRefusal),
}

/// Decision on a waiting request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum QueueDecision {
    /// The request runs now.
    Run(Ticket),
    /// The request does not run.
    Refuse(Ticket, AdmissionRefusal),
}

/// Outcome of a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RunOutcome {
    /// The backend server sent a complete response.
    Answered,
    /// The backend server failed, or its response was incomplete.
    Failed,
    /// The backend server failed after a call that it made was refused because of overload.
    CallRefused,
    /// The backend server itself rejected the request because of overload.
    Rejected,
    /// The caller cancelled the request.
    Cancelled,
}

/// Measured result of a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RunResult {
    /// Time from the start of the run to the end of the response, in µs.
    pub run_us: u64,
    /// Time from the start of the run to the first byte of the response, in µs.
    pub first_byte_us: u64,
    /// Outcome of the run.
    pub outcome: RunOutcome,
}

/// Admission control of one gate, see `docs/design.md`, section 3.4.
pub trait AdmissionPolicy: Send {
    /// Decides on a new request.
    fn offer(&mut self, request: &AdmissionRequest, now_us: u64) -> AdmissionDecision;

    /// Records the end of a run. The caller must call `poll` afterwards, since a slot is free now.
    fn finish(&mut self, ticket: Ticket, result: &RunResult, now_us: u64);

    /// Returns decisions on the waiting requests that can run now or have to be refused.
    fn poll(&mut self, now_us: u64) -> Vec<QueueDecision>;

    /// Time at which `poll` is due even if no run ends earlier, in µs. A time in the past means
    /// that it is due immediately.
    fn next_poll_us(&self) -> Option<u64>;

    /// Removes a waiting request that its caller has cancelled.
    fn withdraw(&mut self, ticket: Ticket, now_us: u64);

    /// Current admission cutoff and load of this gate, for the nodes that call it.
    fn advice(&self, now_us: u64) -> AdmissionAdvice;

    /// Mean run time of a kind of request at this gate, for the nodes that call it. `None` if there
    /// are too few runs, or if the policy does not measure run times by kind.
    fn mean_run_time(&self, _kind: u32) -> Option<MeanRunTime> {
        None
    }

    /// Starts or ends a drain. A draining gate refuses all new and waiting requests.
    fn set_drain(&mut self, is_draining: bool, now_us: u64);

    /// Sets the number of slots that the backend server announced, an upper bound of the limit.
    fn set_slots(&mut self, slots: u32, now_us: u64);

    /// Sets how many requests per second the backend server takes, as named in its responses, or
    /// lifts the limit. The caller must call `poll` afterwards.
    fn set_rate_limit(&mut self, max_requests_per_s: Option<f64>, now_us: u64);
}
