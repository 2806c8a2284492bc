use std::collections::HashMap;
use std::sync::Arc;

use tarragon_model::call::Reason;
use tarragon_model::identity::IdempotencyKey;
use tarragon_policy::once::CallerDigest;
use tarragon_policy::once::OnceEnd;
use tarragon_policy::once::OncePolicy;
use tarragon_policy::once::OnceVerdict;
use tarragon_policy::once::RequestDigest;
use tarragon_policy::once::StoredAnswer;

#[derive(Debug)]
enum State {
    Running,
    Answered(Arc<StoredAnswer>),
    Unknown,
    Void,
}

#[derive(Debug)]
struct Entry {
    caller: CallerDigest,
    request: RequestDigest,
    state: State,
}

/// Remembers every key; it drops none.
#[derive(Debug, Default)]
pub struct KeyTable {
    entries: HashMap<IdempotencyKey, Entry>,
    is_draining: bool,
}

impl OncePolicy for KeyTable {
    fn begin(
        &mut self,
        key: &IdempotencyKey,
        caller: &CallerDigest,
        request: &RequestDigest,
        _now_us: u64,
    ) -> OnceVerdict {
        if let Some(entry) = self.entries.get(key) {
            if entry.caller != *caller || entry.request != *request {
                return OnceVerdict::Refuse(Reason::KeyMismatch);
            }
            return match &entry.state {
                State::Running => OnceVerdict::Wait,
                State::Answered(answer) => OnceVerdict::Repeat(Arc::clone(answer)),
                State::Unknown => OnceVerdict::Refuse(Reason::KeyUnknown),
                State::Void => OnceVerdict::Refuse(Reason::KeyVoid),
            };
        }
        let state = if self.is_draining { State::Void } else { State::Running };
        let entry = Entry { caller: *caller, request: *request, state };
        self.entries.insert(key.clone(), entry);
        if self.is_draining {
            OnceVerdict::Refuse(Reason::KeyVoid)
        } else {
            OnceVerdict::Run
        }
    }

    fn finish(&mut self, key: &IdempotencyKey, end: OnceEnd, _now_us: u64) {
        let state = match end {
            OnceEnd::Answered(answer) => State::Answered(Arc::new(answer)),
            OnceEnd::AnsweredUnkept | OnceEnd::Unknown => State::Unknown,
            OnceEnd::NotRun => {
                self.entries.remove(key);
                return;
            }
        };
        if let Some(entry) = self.entries.get_mut(key) {
            entry.state = state;
        }
    }

    fn set_drain(&mut self, is_draining: bool, _now_us: u64) {
        self.is_draining = is_draining;
    }

    fn expire(&mut self, _now_us: u64) {}
}
