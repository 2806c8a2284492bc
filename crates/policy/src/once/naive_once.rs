use std::collections::HashMap;
use std::sync::Arc;

use tarragon_model::identity::IdempotencyKey;

use crate::once::CallerDigest;
use crate::once::KeyedRunOutcome;
use crate::once::OnceDecision;
use crate::once::OncePolicy;
use crate::once::RequestDigest;
use crate::once::StoredAnswer;

/// Baseline: a map from key to answer that contains a key only after its answer.
///
/// A copy of a request that arrives during the run, after a lost answer or at another instance runs
/// again.
#[derive(Debug, Default)]
pub struct NaiveOnce {
    answers: HashMap<IdempotencyKey, Arc<StoredAnswer>>,
}

impl OncePolicy for NaiveOnce {
    fn begin(
        &mut self,
        key: &IdempotencyKey,
        _caller: &CallerDigest,
        _request: &RequestDigest,
        _now_us: u64,
    ) -> OnceDecision {
        match self.answers.get(key) {
            Some(answer) => OnceDecision::Replay(answer.clone()),
            None => OnceDecision::Run,
        }
    }

    fn finish(&mut self, key: &IdempotencyKey, outcome: KeyedRunOutcome, _now_us: u64) {
        if let KeyedRunOutcome::Answered(answer) = outcome {
            self.answers.insert(key.clone(), Arc::new(answer));
        }
    }

    fn set_drain(&mut self, _is_draining: bool, _now_us: u64) {}

    fn expire(&mut self, _now_us: u64) {}
}
