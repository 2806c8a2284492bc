use tarragon_model::identity::InstanceId;
use tarragon_model::identity::RequestId;
use tarragon_model::identity::SpanId;
use tarragon_policy::admission::AdmissionAdvice;
use tarragon_policy::admission::Ticket;

/// Outcome of a call, as reported to the hop that made it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HopOutcome {
    Answered,
    NotRun,
    /// A hop further down the chain failed, or the deadline has passed.
    Failed,
}

#[derive(Debug, Clone, Copy)]
pub enum Event {
    Arrival,
    Enter(Caller),
    Call(u64),
    Arrive(u64),
    Answer { call: u64, outcome: HopOutcome, tokens: u32, advice: AdmissionAdvice },
    ServerDue { node: usize, generation: u64 },
    GateDue { node: usize },
    Deadline(u64),
    Speed { service: usize, percent: u32 },
}

/// Request on whose behalf a call is made.
#[derive(Debug, Clone, Copy)]
pub struct Origin {
    /// Execution that makes the call; `None` at the entry.
    pub parent: Option<u64>,
    pub caller: Caller,
    pub request_id: RequestId,
    pub span: SpanId,
    pub deadline_us: u64,
}

/// A call from a node to a service, with its retries.
pub struct Call {
    pub node: usize,
    pub service: usize,
    pub origin: Origin,
    pub excluded: Vec<InstanceId>,
    pub target: usize,
    pub sent_us: u64,
    /// Number of retry tokens lent to the target.
    pub lent: u32,
}

#[derive(Debug, Clone, Copy)]
pub struct Caller {
    pub operation: usize,
    pub attempts_made: u32,
    /// Time of the first attempt, in µs.
    pub first_sent_us: u64,
}

#[derive(PartialEq, Eq)]
pub enum ExecutionStage {
    Waiting,
    Working,
    Calling,
}

/// A request that waits or runs at a gate.
pub struct Execution {
    pub call: u64,
    pub node: usize,
    pub span: SpanId,
    pub ticket: Option<Ticket>,
    pub stage: ExecutionStage,
    pub started_us: u64,
}
