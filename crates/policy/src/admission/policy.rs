use tarragon_model::call::Reason;
use tarragon_model::identity::RequestId;

use crate::admission::AdmissionAdvice;

/// Identifies an admitted or waiting request at one gate.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket(pub u64);

/// Class of work by expected run time; classes limit how much of it runs at once.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum WorkClass {
    /// Ends soon enough that a request waiting behind it is not held up.
    Short,
    /// Runs many times longer than short work.
    Long,
}

/// A request offered to the gate.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AdmissionRequest {
    /// The request, the same at every hop.
    pub request_id: RequestId,
    /// Importance rank, 0 is the most important.
    pub rank: u8,
    /// Kind of request, by which run times are learnt; 0 if it is not known.
    pub kind: u32,
    /// Class by expected run time.
    pub class: WorkClass,
    /// Expected run time, in µs.
    pub expected_us: u64,
    /// Time left until the deadline, in µs.
    pub deadline_left_us: u64,
}

/// A definite refusal: the request did not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AdmissionRefusal {
    /// Why it was refused.
    pub reason: Reason,
    /// When another try may succeed, in ms from now; 0 if unknown.
    pub retry_after_ms: u64,
}

/// Decision on an offered request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AdmissionDecision {
    /// Run it now.
    Run(Ticket),
    /// Keep it until `poll` releases it.
    Wait(Ticket),
    /// It does not run.
    Refuse(AdmissionRefusal),
}

/// Decision on a waiting request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum QueueDecision {
    /// Run it now.
    Run(Ticket),
    /// It does not run.
    Refuse(Ticket, AdmissionRefusal),
}

/// How a run ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RunOutcome {
    /// The backend server gave a whole answer.
    Answered,
    /// The backend server failed or its answer was cut short.
    Failed,
    /// The backend server failed after a call that it made was refused for overload elsewhere.
    CallRefused,
    /// The backend server itself refused the request for overload.
    Rejected,
    /// The caller gave up.
    Cancelled,
}

/// Measured result of a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RunResult {
    /// Time from the start of the run to the end of the answer, in µs.
    pub run_us: u64,
    /// Time from the start of the run to the first byte of the answer, in µs.
    pub first_byte_us: u64,
    /// How it ended.
    pub outcome: RunOutcome,
}

/// Decides which requests run at one gate, see `docs/design.md`, section 3.4.
pub trait AdmissionPolicy: Send {
    /// Decides on a new request.
    fn offer(&mut self, offer: &AdmissionRequest, now_us: u64) -> AdmissionDecision;

    /// Records the end of a run. The caller polls afterwards, since a slot became free.
    fn finish(&mut self, ticket: Ticket, result: &RunResult, now_us: u64);

    /// Returns the waiting requests that now run or are refused.
    fn poll(&mut self, now_us: u64) -> Vec<QueueDecision>;

    /// Time at which `poll` is due even if nothing ends before, in µs. It is due at once if the time
    /// has passed.
    fn next_poll_us(&self) -> Option<u64>;

    /// Forgets a waiting request whose caller gave up.
    fn withdraw(&mut self, ticket: Ticket, now_us: u64);

    /// What this gate admits at present, for the nodes that call it.
    fn advice(&self, now_us: u64) -> AdmissionAdvice;

    /// Starts or ends a drain. While draining every offer is refused and waiting requests too.
    fn set_drain(&mut self, is_draining: bool, now_us: u64);

    /// Tells the number of slots that the backend server announced, an upper hint for the limit.
    fn set_slots(&mut self, slots: u32, now_us: u64);
}
