use tarragon_model::identity::InstanceId;
use tarragon_model::identity::RequestId;
use tarragon_model::identity::SpanId;
use tarragon_policy::admission::AdmissionAdvice;
use tarragon_policy::admission::Ticket;

/// What a call returns to the hop above.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum End {
    Answered,
    NotRun,
    /// A hop below failed, or the deadline passed.
    Failed,
}

#[derive(Debug, Clone, Copy)]
pub enum Event {
    Arrival,
    Enter(Caller),
    Call(u64),
    Arrive(u64),
    Answer { call: u64, end: End, tokens: u32, advice: AdmissionAdvice },
    ServerDue { node: usize, version: u64 },
    GateDue { node: usize },
    Deadline(u64),
    Speed { service: usize, percent: u32 },
}

/// On whose behalf a call is made.
#[derive(Debug, Clone, Copy)]
pub struct Origin {
    /// Execution that makes the call; none at the entry.
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
    pub lent: u32,
}

#[derive(Debug, Clone, Copy)]
pub struct Caller {
    pub operation: usize,
    pub tries: u32,
    pub first_us: u64,
}

#[derive(PartialEq, Eq)]
pub enum Stage {
    Waiting,
    Working,
    Calling,
}

/// A request at a gate.
pub struct Execution {
    pub call: u64,
    pub node: usize,
    pub span: SpanId,
    pub ticket: Option<Ticket>,
    pub stage: Stage,
    pub started_us: u64,
}
