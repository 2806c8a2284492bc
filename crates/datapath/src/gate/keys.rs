use std::collections::HashMap;
use std::sync::Mutex;

use http::header::AUTHORIZATION;
use http::HeaderMap;
use http::Method;
use tarragon_model::identity::IdempotencyKey;
use tarragon_policy::once::CallerDigest;
use tarragon_policy::once::KeyedRunOutcome;
use tarragon_policy::once::OnceDecision;
use tarragon_policy::once::OncePolicy;
use tarragon_policy::once::RequestDigest;
use tarragon_wire::DeploymentKey;
use tokio::sync::watch;

use crate::datapath::Clock;

struct KeyTableState {
    policy: Box<dyn OncePolicy>,
    /// Senders by key. Each is dropped when the run of its key ends, which wakes the repeated
    /// requests that wait for it.
    end_senders: HashMap<IdempotencyKey, watch::Sender<()>>,
}

/// Runs the key table policy and lets repeated requests wait for the end of a run.
pub(crate) struct IdempotencyKeys {
    state: Mutex<KeyTableState>,
    clock: Clock,
    digest_key: DeploymentKey,
}

/// Verdict on a keyed request. `Wait` has a receiver that is woken when the run of the key ends.
pub(crate) enum KeyVerdict {
    Decided(OnceDecision),
    Wait(watch::Receiver<()>),
}

impl IdempotencyKeys {
    pub(crate) fn new(
        policy: Box<dyn OncePolicy>,
        clock: Clock,
        digest_key: DeploymentKey,
    ) -> Self {
        let state = Mutex::new(KeyTableState { policy, end_senders: HashMap::new() });
        Self { state, clock, digest_key }
    }

    pub(crate) fn begin(
        &self,
        key: &IdempotencyKey,
        caller: &CallerDigest,
        request: &RequestDigest,
    ) -> KeyVerdict {
        let now_us = self.clock.now_us();
        let mut state = self.state.lock().expect("no thread panics while it holds the lock");
        match state.policy.begin(key, caller, request, now_us) {
            OnceDecision::Wait => {
                let sender =
                    state.end_senders.entry(key.clone()).or_insert_with(|| watch::channel(()).0);
                KeyVerdict::Wait(sender.subscribe())
            }
            decision => KeyVerdict::Decided(decision),
        }
    }

    pub(crate) fn finish(&self, key: &IdempotencyKey, outcome: KeyedRunOutcome) {
        let mut state = self.state.lock().expect("no thread panics while it holds the lock");
        state.policy.finish(key, outcome, self.clock.now_us());
        state.end_senders.remove(key);
    }

    pub(crate) fn set_drain(&self, is_draining: bool) {
        let mut state = self.state.lock().expect("no thread panics while it holds the lock");
        state.policy.set_drain(is_draining, self.clock.now_us());
    }

    pub(crate) fn expire(&self) {
        let mut state = self.state.lock().expect("no thread panics while it holds the lock");
        state.policy.expire(self.clock.now_us());
    }

    /// Keyed digest of the caller's credentials, so that a dump of the table does not reveal them.
    pub(crate) fn caller_digest(&self, map: &HeaderMap) -> CallerDigest {
        let value = map.get(AUTHORIZATION).map_or(&[][..], |value| value.as_bytes());
        CallerDigest(self.digest(value))
    }

    pub(crate) fn request_digest(&self, method: &Method, path: &str) -> RequestDigest {
        RequestDigest(self.digest(format!("{method} {path}").as_bytes()))
    }

    fn digest(&self, bytes: &[u8]) -> [u8; 16] {
        let tag = self.digest_key.tag(bytes);
        let mut digest = [0; 16];
        digest.copy_from_slice(&tag.as_bytes()[..16]);
        digest
    }
}

/// Guard of a keyed run. If it is dropped without a call of `finish`, it records `NotRun` before
/// the start of the run and `Unknown` after it.
pub(crate) struct KeyedRun {
    keys: std::sync::Arc<IdempotencyKeys>,
    key: IdempotencyKey,
    outcome_if_dropped: Option<KeyedRunOutcome>,
}

impl KeyedRun {
    pub(crate) fn new(keys: std::sync::Arc<IdempotencyKeys>, key: IdempotencyKey) -> Self {
        Self { keys, key, outcome_if_dropped: Some(KeyedRunOutcome::NotRun) }
    }

    /// Records that the request may reach the backend server from now on.
    pub(crate) fn start(&mut self) {
        self.outcome_if_dropped = Some(KeyedRunOutcome::Unknown);
    }

    pub(crate) fn finish(mut self, outcome: KeyedRunOutcome) {
        self.outcome_if_dropped = None;
        self.keys.finish(&self.key, outcome);
    }
}

impl Drop for KeyedRun {
    fn drop(&mut self) {
        if let Some(outcome) = self.outcome_if_dropped.take() {
            self.keys.finish(&self.key, outcome);
        }
    }
}
