use std::collections::HashMap;
use std::collections::VecDeque;
use std::mem;
use std::sync::Arc;

use tarragon_model::call::Reason;
use tarragon_model::identity::IdempotencyKey;
use tarragon_model::identity::InstanceId;

use crate::once::nonce_set::NonceSet;
use crate::once::CallerDigest;
use crate::once::KeyedRunOutcome;
use crate::once::OnceDecision;
use crate::once::OncePolicy;
use crate::once::OnceSettings;
use crate::once::RequestDigest;
use crate::once::StoredAnswer;

/// Memory charged for a key with a full record, in bytes: a map entry of 65 and a queue entry of
/// 24, where a map that has just doubled is 7/16 full and a queue half full.
const RECORD_BYTES: usize = 200;
const _: () = assert!(mem::size_of::<(TableKey, Record)>() <= 64);
/// Memory charged for a kept answer beyond its texts, and for each header, in bytes.
const ANSWER_BYTES: usize = 112;
const HEADER_BYTES: usize = 48;

/// A key within this instance's table.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
enum TableKey {
    Issued(u64),
    Foreign(Arc<str>),
}

#[derive(Debug)]
enum State {
    Running,
    Answered(Arc<StoredAnswer>),
    /// Its run ended and there is no answer to repeat.
    Spent,
    /// It was refused for ever.
    Void,
}

#[derive(Debug)]
struct Record {
    caller: CallerDigest,
    request: RequestDigest,
    state: State,
}

/// Key table of one gate instance, see `docs/design.md`, section 3.6.
///
/// A key has a full record (about 200 bytes, the text of a foreign key and its answer) until
/// `key_retention_s` after its run. Then a foreign key is forgotten, since its claim has expired
/// before, and an issued key leaves its nonce (8 to 9 bytes) for as long as the instance lives.
/// When the memory is used up, the oldest records lose their answers first. When that is not
/// enough, the table closes: it refuses every unseen key from then on, so that it can say `not-run`
/// without recording the key. Running keys are never dropped.
///
/// A foreign key must be claimed for this instance before it is offered here.
pub struct KeyTable {
    owner: InstanceId,
    settings: OnceSettings,
    records: HashMap<TableKey, Record>,
    /// Ended keys with their end in µs, oldest first; all that may lose an answer are here.
    ended: VecDeque<(u64, TableKey)>,
    /// Foreign keys that have no answer any more, with their end in µs.
    bare: VecDeque<(u64, TableKey)>,
    /// Nonces of issued keys that have run and lost their record.
    spent: NonceSet,
    /// Nonces of issued keys that never run.
    void: NonceSet,
    /// Memory of the texts and answers in `records`, in bytes.
    text_bytes: usize,
    is_draining: bool,
    is_closed: bool,
}

impl KeyTable {
    /// Creates the empty table of a gate instance.
    pub fn new(owner: InstanceId, settings: OnceSettings) -> Self {
        Self {
            owner,
            settings,
            records: HashMap::new(),
            ended: VecDeque::new(),
            bare: VecDeque::new(),
            spent: NonceSet::new(),
            void: NonceSet::new(),
            text_bytes: 0,
            is_draining: false,
            is_closed: false,
        }
    }

    /// Memory in use, in bytes.
    pub fn memory_bytes(&self) -> usize {
        let compact_bytes = self.spent.memory_bytes() + self.void.memory_bytes();
        self.records.len() * RECORD_BYTES + self.text_bytes + compact_bytes
    }

    /// Whether the table has used up its memory and refuses every unseen key. A gate that sees
    /// this should restart as a new instance after a drain.
    pub fn is_closed(&self) -> bool {
        self.is_closed
    }

    /// The key within this table, or `None` if another instance owns it.
    fn table_key(&self, key: &IdempotencyKey) -> Option<TableKey> {
        match key {
            IdempotencyKey::Issued { owner, nonce } => {
                (*owner == self.owner).then_some(TableKey::Issued(*nonce))
            }
            IdempotencyKey::Foreign(text) => Some(TableKey::Foreign(text.as_str().into())),
        }
    }

    /// Makes room, dropping the oldest answers if needed. Closes the table if that is not enough.
    fn make_room(&mut self, needed_bytes: usize) -> bool {
        let limit_bytes = self.settings.max_memory_bytes;
        while self.memory_bytes() + needed_bytes > limit_bytes {
            let Some((ended_us, key)) = self.ended.pop_front() else {
                return false;
            };
            self.drop_answer(ended_us, key);
        }
        true
    }

    /// Reduces an ended key to the least record that keeps it from running again.
    fn drop_answer(&mut self, ended_us: u64, key: TableKey) {
        if let TableKey::Issued(nonce) = key {
            self.spent.insert(nonce);
            self.remove(&key);
        } else if let Some(record) = self.records.get_mut(&key) {
            if let State::Answered(answer) = &record.state {
                self.text_bytes -= answer_bytes(answer);
                record.state = State::Spent;
            }
            self.bare.push_back((ended_us, key));
        }
    }

    fn remove(&mut self, key: &TableKey) {
        let Some(record) = self.records.remove(key) else { return };
        self.text_bytes -= text_bytes(key);
        if let State::Answered(answer) = &record.state {
            self.text_bytes -= answer_bytes(answer);
        }
    }

    /// Records a key that was not seen before, or refuses it.
    fn admit(&mut self, key: TableKey, caller: CallerDigest, request: RequestDigest) -> State {
        let needed_bytes = RECORD_BYTES + text_bytes(&key);
        self.is_closed = self.is_closed || !self.make_room(needed_bytes);
        if self.is_closed {
            return State::Void;
        }
        self.text_bytes += text_bytes(&key);
        self.records.insert(key, Record { caller, request, state: State::Running });
        State::Running
    }

    /// Makes a running key void.
    fn make_void(&mut self, key: TableKey, now_us: u64) {
        if let TableKey::Issued(nonce) = key {
            self.void.insert(nonce);
            self.remove(&key);
        } else if let Some(record) = self.records.get_mut(&key) {
            record.state = State::Void;
            self.bare.push_back((now_us, key));
        }
    }
}

impl OncePolicy for KeyTable {
    fn begin(
        &mut self,
        key: &IdempotencyKey,
        caller: &CallerDigest,
        request: &RequestDigest,
        now_us: u64,
    ) -> OnceDecision {
        let Some(key) = self.table_key(key) else {
            return OnceDecision::Refuse(Reason::KeyUnknown);
        };
        if let Some(record) = self.records.get(&key) {
            let is_same = record.caller == *caller && record.request == *request;
            return match &record.state {
                State::Void => OnceDecision::Refuse(Reason::KeyVoid),
                _ if !is_same => OnceDecision::Refuse(Reason::KeyMismatch),
                State::Running => OnceDecision::Wait,
                State::Answered(answer) => OnceDecision::Replay(answer.clone()),
                State::Spent => OnceDecision::Refuse(Reason::KeyUnknown),
            };
        }
        if let TableKey::Issued(nonce) = key {
            if self.spent.contains(nonce) {
                return OnceDecision::Refuse(Reason::KeyUnknown);
            }
            if self.void.contains(nonce) {
                return OnceDecision::Refuse(Reason::KeyVoid);
            }
        }
        match self.admit(key.clone(), *caller, *request) {
            State::Running if !self.is_draining => OnceDecision::Run,
            State::Running => {
                self.make_void(key, now_us);
                OnceDecision::Refuse(Reason::KeyVoid)
            }
            _ => OnceDecision::Refuse(Reason::KeyVoid),
        }
    }

    /// A key that is not running keeps its state.
    fn finish(&mut self, key: &IdempotencyKey, end: KeyedRunOutcome, now_us: u64) {
        let Some(key) = self.table_key(key) else { return };
        let Some(record) = self.records.get_mut(&key) else { return };
        if !matches!(record.state, State::Running) {
            return;
        }
        match end {
            KeyedRunOutcome::NotRun if self.is_draining || self.settings.is_refused_key_void => {
                self.make_void(key, now_us);
            }
            KeyedRunOutcome::NotRun => self.remove(&key),
            KeyedRunOutcome::Answered(answer)
                if answer.body.len() <= self.settings.max_body_bytes =>
            {
                self.text_bytes += answer_bytes(&answer);
                record.state = State::Answered(Arc::new(answer));
                self.ended.push_back((now_us, key));
                self.make_room(0);
            }
            KeyedRunOutcome::Answered(_)
            | KeyedRunOutcome::AnsweredNotStored
            | KeyedRunOutcome::Unknown => {
                record.state = State::Spent;
                self.ended.push_back((now_us, key));
            }
        }
    }

    fn set_drain(&mut self, is_draining: bool, _now_us: u64) {
        self.is_draining = is_draining;
    }

    fn expire(&mut self, now_us: u64) {
        let retention_us = self.settings.key_retention_s.saturating_mul(1_000_000);
        let is_due = |ended_us: u64| ended_us.saturating_add(retention_us) <= now_us;
        while self.ended.front().is_some_and(|(ended_us, _)| is_due(*ended_us)) {
            let (ended_us, key) = self.ended.pop_front().expect("the queue has a front");
            self.drop_answer(ended_us, key);
        }
        // An answer dropped early joins this queue behind later ends and is forgotten a little
        // late, which is safe.
        while self.bare.front().is_some_and(|(ended_us, _)| is_due(*ended_us)) {
            let (_, key) = self.bare.pop_front().expect("the queue has a front");
            self.remove(&key);
        }
        if self.records.len() < self.records.capacity() / 4 {
            self.records.shrink_to(self.records.len() * 2);
        }
    }
}

fn text_bytes(key: &TableKey) -> usize {
    match key {
        TableKey::Issued(_) => 0,
        TableKey::Foreign(text) => text.len() + 16,
    }
}

fn answer_bytes(answer: &StoredAnswer) -> usize {
    let headers = answer.headers.iter().map(|(name, value)| name.len() + value.len());
    ANSWER_BYTES + answer.body.len() + headers.map(|bytes| bytes + HEADER_BYTES).sum::<usize>()
}
