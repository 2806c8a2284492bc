use std::collections::BTreeMap;
use std::collections::HashMap;
use std::sync::Mutex;
use std::sync::MutexGuard;

use tarragon_model::call::Reason;
use tarragon_model::identity::RequestId;
use tarragon_model::identity::SpanId;

/// Names one attempt of one hop. Parallel calls of an execution differ in the attempt number,
/// which counts all attempts of the calling node.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct AttemptKey {
    /// The request.
    pub request_id: RequestId,
    /// Execution that makes the call.
    pub span: Option<SpanId>,
    /// Number of the attempt at the calling node.
    pub attempt: u64,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum State {
    Started,
    Fenced,
}

#[derive(Debug, Default)]
struct Table {
    states: HashMap<AttemptKey, State>,
    /// Attempts by the time at which they expire, in µs; the counter tells equal times apart.
    by_expiry: BTreeMap<(u64, u64), AttemptKey>,
    counter: u64,
    fenced: usize,
    /// Until then a started attempt may be missing from the table, because it was full.
    forgotten_until_us: u64,
}

/// Attempts that started or were fenced at this gate, kept until no copy can arrive any more.
#[derive(Debug)]
pub(crate) struct Attempts {
    table: Mutex<Table>,
    capacity: usize,
}

impl Attempts {
    pub(crate) fn new(capacity: usize) -> Self {
        Self { table: Mutex::default(), capacity }
    }

    fn lock(&self) -> MutexGuard<'_, Table> {
        self.table.lock().expect("no holder of the lock panics")
    }

    /// Records that an attempt starts, unless it was fenced or has started already.
    ///
    /// # Errors
    /// `Fenced` if a fence came first, `ConnectionLost` for a second copy of the attempt.
    pub(crate) fn start(
        &self,
        key: AttemptKey,
        now_us: u64,
        expires_us: u64,
    ) -> Result<(), Reason> {
        let mut table = self.lock();
        table.expire(now_us);
        match table.states.get(&key) {
            Some(State::Fenced) => return Err(Reason::Fenced),
            Some(State::Started) => return Err(Reason::ConnectionLost),
            None => {}
        }
        table.make_room(self.capacity);
        table.insert(key, State::Started, expires_us);
        Ok(())
    }

    /// Forbids an attempt to start. Returns false if it may have started.
    pub(crate) fn fence(&self, key: AttemptKey, now_us: u64, expires_us: u64) -> bool {
        let mut table = self.lock();
        table.expire(now_us);
        match table.states.get(&key) {
            Some(State::Fenced) => return true,
            Some(State::Started) => return false,
            None => {}
        }
        // Fenced attempts are never dropped early, so they get at most half of the table.
        if now_us < table.forgotten_until_us || table.fenced >= self.capacity / 2 {
            return false;
        }
        table.make_room(self.capacity);
        table.insert(key, State::Fenced, expires_us);
        true
    }
}

impl Table {
    fn insert(&mut self, key: AttemptKey, state: State, expires_us: u64) {
        self.fenced += usize::from(state == State::Fenced);
        self.states.insert(key, state);
        self.counter += 1;
        self.by_expiry.insert((expires_us, self.counter), key);
    }

    /// Drops what has expired.
    fn expire(&mut self, now_us: u64) {
        while let Some(first) = self.by_expiry.first_entry() {
            if first.key().0 > now_us {
                break;
            }
            let key = first.remove();
            let state = self.states.remove(&key);
            self.fenced -= usize::from(state == Some(State::Fenced));
        }
    }

    /// Drops the started attempt that expires first if the table is full. From then on a fence of
    /// an unknown attempt cannot tell whether it started, until the dropped one would have expired.
    fn make_room(&mut self, capacity: usize) {
        if self.states.len() < capacity {
            return;
        }
        let is_started = |key: &AttemptKey| self.states.get(key) == Some(&State::Started);
        let dropped = self.by_expiry.iter().find(|(_, key)| is_started(key));
        let Some((at, key)) = dropped.map(|(at, key)| (*at, *key)) else { return };
        self.by_expiry.remove(&at);
        self.states.remove(&key);
        self.forgotten_until_us = self.forgotten_until_us.max(at.0);
    }
}

#[cfg(test)]
mod tests;
