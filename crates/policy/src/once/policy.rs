use std::sync::Arc;

use tarragon_model::call::Reason;
use tarragon_model::identity::IdempotencyKey;

/// Digest of the credentials of a caller, so that an answer is sent only to the caller of its
/// request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct CallerDigest(pub [u8; 16]);

/// Digest of the method and the path of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct RequestDigest(pub [u8; 16]);

/// A complete answer that is kept for repeats of its request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoredAnswer {
    /// HTTP status code.
    pub status: u16,
    /// Header names and values.
    pub headers: Vec<(String, Vec<u8>)>,
    /// The complete body.
    pub body: Vec<u8>,
}

/// Decision on a request with a key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum OnceDecision {
    /// The key is new and is now recorded as running.
    Run,
    /// The same request is running; wait for its end and call [`OncePolicy::begin`] again.
    Wait,
    /// The request ended with this answer.
    Replay(Arc<StoredAnswer>),
    /// The request is not executed, for this reason.
    Refuse(Reason),
}

/// Outcome of the run of a request with a key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum KeyedRunOutcome {
    /// The run ended with a complete answer that is kept.
    Answered(StoredAnswer),
    /// The run ended with a complete answer that is too large to keep.
    AnsweredNotStored,
    /// The request may have run; its key is never run again.
    Unknown,
    /// The gate refused the request before any byte reached the backend server. The same key may be
    /// passed to [`OncePolicy::begin`] again.
    NotRun,
}

/// Key table of one gate, see `docs/design.md`, section 3.6.
pub trait OncePolicy: Send {
    /// Decides on a request with a key and records the key as running if the request is to run.
    fn begin(
        &mut self,
        key: &IdempotencyKey,
        caller: &CallerDigest,
        request: &RequestDigest,
        now_us: u64,
    ) -> OnceDecision;

    /// Records the end of a run.
    fn finish(&mut self, key: &IdempotencyKey, outcome: KeyedRunOutcome, now_us: u64);

    /// Starts or ends a drain. During a drain, new keys are refused and become void.
    fn set_drain(&mut self, is_draining: bool, now_us: u64);

    /// Drops answers and keys whose retention time has expired.
    fn expire(&mut self, now_us: u64);
}
