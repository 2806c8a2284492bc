use std::collections::BTreeMap;
use std::collections::HashMap;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Instant;

use tarragon_model::call::Reason;
use tarragon_model::identity::RequestId;
use tarragon_model::identity::SpanId;
use tracing::debug;

use crate::gate::Gate;
use crate::transport::CallFailure;

/// Identifies one attempt to send a request over one hop. Parallel calls of an execution differ in
/// the attempt number, which counts all attempts of the calling node.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct AttemptKey {
    /// Request that is sent.
    pub request_id: RequestId,
    /// Execution that makes the call; `None` if the request comes from outside.
    pub span: Option<SpanId>,
    /// Sequence number of the attempt at the calling node.
    pub attempt: u64,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum AttemptState {
    Started,
    Fenced,
}

#[derive(Debug, Default)]
struct AttemptTable {
    states: HashMap<AttemptKey, AttemptState>,
    /// Attempts by expiry time in µs and insertion number, which keeps equal times apart.
    by_expiry: BTreeMap<(u64, u64), AttemptKey>,
    inserted_count: u64,
    fenced_count: usize,
    /// Until this time a started attempt may be missing, because the table was full and it was
    /// evicted.
    incomplete_until_us: u64,
}

/// Attempts that started or were fenced at this gate. Each one is kept until no copy of it can
/// arrive any more.
#[derive(Debug)]
pub(crate) struct AttemptRegistry {
    table: Mutex<AttemptTable>,
    capacity: usize,
}

impl AttemptRegistry {
    pub(crate) fn new(capacity: usize) -> Self {
        Self { table: Mutex::default(), capacity }
    }

    fn lock(&self) -> MutexGuard<'_, AttemptTable> {
        self.table.lock().expect("no thread panics while it holds the lock")
    }

    /// Records that an attempt starts, unless it was fenced or has started already.
    ///
    /// # Errors
    /// `Fenced` if the attempt was fenced before, `ConnectionLost` for a second copy of it.
    pub(crate) fn start(
        &self,
        key: AttemptKey,
        now_us: u64,
        expires_us: u64,
    ) -> Result<(), Reason> {
        let mut table = self.lock();
        table.remove_expired(now_us);
        match table.states.get(&key) {
            Some(AttemptState::Fenced) => return Err(Reason::Fenced),
            Some(AttemptState::Started) => return Err(Reason::ConnectionLost),
            None => {}
        }
        table.evict_if_full(self.capacity);
        table.insert(key, AttemptState::Started, expires_us);
        Ok(())
    }

    /// Prevents an attempt from starting. Returns false if it may have started already.
    pub(crate) fn fence(&self, key: AttemptKey, now_us: u64, expires_us: u64) -> bool {
        let mut table = self.lock();
        table.remove_expired(now_us);
        match table.states.get(&key) {
            Some(AttemptState::Fenced) => return true,
            Some(AttemptState::Started) => return false,
            None => {}
        }
        // Fenced attempts are never evicted before they expire, so they may fill only half of the
        // table.
        if now_us < table.incomplete_until_us || table.fenced_count >= self.capacity / 2 {
            return false;
        }
        table.evict_if_full(self.capacity);
        table.insert(key, AttemptState::Fenced, expires_us);
        true
    }
}

impl AttemptTable {
    fn insert(&mut self, key: AttemptKey, state: AttemptState, expires_us: u64) {
        self.fenced_count += usize::from(state == AttemptState::Fenced);
        self.states.insert(key, state);
        self.inserted_count += 1;
        self.by_expiry.insert((expires_us, self.inserted_count), key);
    }

    fn remove_expired(&mut self, now_us: u64) {
        while let Some(first) = self.by_expiry.first_entry() {
            if first.key().0 > now_us {
                break;
            }
            let key = first.remove();
            let state = self.states.remove(&key);
            self.fenced_count -= usize::from(state == Some(AttemptState::Fenced));
        }
    }

    /// Evicts the started attempt that expires first if the table is full. Until its expiry time an
    /// attempt that is not in the table may have started, so fences of such attempts are rejected.
    fn evict_if_full(&mut self, capacity: usize) {
        if self.states.len() < capacity {
            return;
        }
        let is_started = |key: &AttemptKey| self.states.get(key) == Some(&AttemptState::Started);
        let evicted = self.by_expiry.iter().find(|(_, key)| is_started(key));
        let Some((expiry, key)) = evicted.map(|(expiry, key)| (*expiry, *key)) else { return };
        self.by_expiry.remove(&expiry);
        self.states.remove(&key);
        self.incomplete_until_us = self.incomplete_until_us.max(expiry.0);
    }
}

impl Gate {
    /// Records that the attempt starts, unless it was fenced.
    pub(super) fn record_attempt_start(
        &self,
        attempt: AttemptKey,
        deadline: Instant,
    ) -> Result<(), CallFailure> {
        let now_us = self.clock.now_us();
        let margin_us = self.settings.attempt_retention_ms * 1_000;
        let expires_us = now_us + crate::datapath::remaining_us(deadline) + margin_us;
        self.attempts.start(attempt, now_us, expires_us).map_err(CallFailure::from)
    }

    /// Prevents an attempt from starting. Returns false if it may have started already.
    /// `deadline_left_ms` is the time until its deadline.
    pub fn fence(&self, attempt: AttemptKey, deadline_left_ms: u64) -> bool {
        let now_us = self.clock.now_us();
        let deadline_left_ms = deadline_left_ms.min(self.settings.max_deadline_ms);
        let retention_ms = deadline_left_ms + self.settings.fence_retention_ms;
        let is_fenced = self.attempts.fence(attempt, now_us, now_us + retention_ms * 1_000);
        debug!("gate: fence of request {} accepted: {is_fenced}", attempt.request_id);
        self.metrics.count(if is_fenced { "gate.fenced" } else { "gate.fence_late" }, 1);
        is_fenced
    }
}

#[cfg(test)]
mod tests;
