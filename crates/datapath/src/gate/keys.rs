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

struct KeyState {
    policy: Box<dyn OncePolicy>,
    /// Dropped when the run of the key ends, which wakes the repeats that wait for it.
    ends: HashMap<IdempotencyKey, watch::Sender<()>>,
}

/// Shell around the key table: lets repeats wait for the end of a run.
pub(crate) struct Keys {
    state: Mutex<KeyState>,
    clock: Clock,
    digest_key: DeploymentKey,
}

/// Verdict on a keyed request, with the means to wait.
pub(crate) enum KeyVerdict {
    Decided(OnceDecision),
    Wait(watch::Receiver<()>),
}

impl Keys {
    pub(crate) fn new(
        policy: Box<dyn OncePolicy>,
        clock: Clock,
        digest_key: DeploymentKey,
    ) -> Self {
        let state = Mutex::new(KeyState { policy, ends: HashMap::new() });
        Self { state, clock, digest_key }
    }

    pub(crate) fn begin(
        &self,
        key: &IdempotencyKey,
        caller: &CallerDigest,
        request: &RequestDigest,
    ) -> KeyVerdict {
        let now_us = self.clock.now_us();
        let mut state = self.state.lock().expect("no holder of the lock panics");
        match state.policy.begin(key, caller, request, now_us) {
            OnceDecision::Wait => {
                let end = state.ends.entry(key.clone()).or_insert_with(|| watch::channel(()).0);
                KeyVerdict::Wait(end.subscribe())
            }
            verdict => KeyVerdict::Decided(verdict),
        }
    }

    pub(crate) fn finish(&self, key: &IdempotencyKey, end: KeyedRunOutcome) {
        let mut state = self.state.lock().expect("no holder of the lock panics");
        state.policy.finish(key, end, self.clock.now_us());
        state.ends.remove(key);
    }

    pub(crate) fn set_drain(&self, is_draining: bool) {
        let mut state = self.state.lock().expect("no holder of the lock panics");
        state.policy.set_drain(is_draining, self.clock.now_us());
    }

    pub(crate) fn expire(&self) {
        let mut state = self.state.lock().expect("no holder of the lock panics");
        state.policy.expire(self.clock.now_us());
    }

    /// Digest of the caller's credentials; keyed, so that a dump of the table reveals none.
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

/// A key that is being run. Unless its end is told, dropping it records what is certain: `NotRun`
/// before the start, `Unknown` after.
pub(crate) struct KeyRun {
    keys: std::sync::Arc<Keys>,
    key: IdempotencyKey,
    end_if_dropped: Option<KeyedRunOutcome>,
}

impl KeyRun {
    pub(crate) fn new(keys: std::sync::Arc<Keys>, key: IdempotencyKey) -> Self {
        Self { keys, key, end_if_dropped: Some(KeyedRunOutcome::NotRun) }
    }

    /// From now on the request may reach the backend server.
    pub(crate) fn start(&mut self) {
        self.end_if_dropped = Some(KeyedRunOutcome::Unknown);
    }

    pub(crate) fn finish(mut self, end: KeyedRunOutcome) {
        self.end_if_dropped = None;
        self.keys.finish(&self.key, end);
    }
}

impl Drop for KeyRun {
    fn drop(&mut self) {
        if let Some(end) = self.end_if_dropped.take() {
            self.keys.finish(&self.key, end);
        }
    }
}
