use std::sync::Arc;

use tarragon_model::call::Reason;
use tarragon_model::identity::IdempotencyKey;

/// Digest of the caller's credentials, so that an answer goes only to the caller it belongs to.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct CallerDigest(pub [u8; 16]);

/// Digest of the method and the path of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct RequestDigest(pub [u8; 16]);

/// A whole answer kept for repeats of its request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoredAnswer {
    /// HTTP status code.
    pub status: u16,
    /// Header names and values.
    pub headers: Vec<(String, Vec<u8>)>,
    /// The whole body.
    pub body: Vec<u8>,
}

/// Decision on a keyed request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum OnceDecision {
    /// The key was not seen before and is now recorded as running.
    Run,
    /// The same request is running; wait for its end and ask again.
    Wait,
    /// The request ended; this is its answer.
    Replay(Arc<StoredAnswer>),
    /// The request does not run now, for this reason.
    Refuse(Reason),
}

/// How a keyed run ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum KeyedRunOutcome {
    /// It ended with a whole answer that is kept.
    Answered(StoredAnswer),
    /// It ended with a whole answer that is too large to keep.
    AnsweredNotStored,
    /// It may have run; the key never runs again.
    Unknown,
    /// The gate refused it before any byte reached the backend server; the key may be offered
    /// again.
    NotRun,
}

/// Key table of one gate, see `docs/design.md`, section 3.6.
pub trait OncePolicy: Send {
    /// Decides on a keyed request and records the key if it runs.
    fn begin(
        &mut self,
        key: &IdempotencyKey,
        caller: &CallerDigest,
        request: &RequestDigest,
        now_us: u64,
    ) -> OnceDecision;

    /// Records the end of a run.
    fn finish(&mut self, key: &IdempotencyKey, end: KeyedRunOutcome, now_us: u64);

    /// Starts or ends a drain. While draining, unseen keys are refused and voided.
    fn set_drain(&mut self, is_draining: bool, now_us: u64);

    /// Drops answers and keys whose retention time has passed.
    fn expire(&mut self, now_us: u64);
}
