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

/// Memory counted for a key with a full record, in bytes. A map entry takes 65 bytes and a queue
/// entry 24; just after they have doubled, the map is 7/16 full and the queue half full.
const RECORD_BYTES: usize = 200;
const _: () = assert!(mem::size_of::<(TableKey, KeyRecord)>() <= 64);
/// Memory counted for a stored answer in addition to its header and body bytes, in bytes.
const ANSWER_BYTES: usize = 112;
/// Memory counted for each header in addition to its name and value, in bytes.
const HEADER_BYTES: usize = 48;

/// A key in the table of this instance.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
enum TableKey {
    Issued(u64),
    Foreign(Arc<str>),
}

#[derive(Debug)]
enum KeyState {
    Running,
    Answered(Arc<StoredAnswer>),
    /// The run ended and no answer is stored.
    EndedWithoutAnswer,
    /// The key is refused permanently.
    Void,
}

#[derive(Debug)]
struct KeyRecord {
    caller: CallerDigest,
    request: RequestDigest,
    state: KeyState,
}

/// Key table of one gate instance, see `docs/design.md`, section 3.6.
///
/// A key has a full record (about 200 bytes, the text of a foreign key and its answer) until
/// `key_retention_s` after its run. Then a foreign key is dropped, since its claim has expired
/// earlier, and of an issued key only the nonce (8 to 9 bytes) is kept until the instance ends.
/// When the memory limit is reached, the answers of the oldest records are dropped first. If that
/// is not enough, the table closes: it refuses every new key from then on. A new key can therefore
/// never run later, and it is reported as `not-run` without a record. Running keys are never
/// dropped.
///
/// A foreign key must be claimed for this instance before it is passed to this table.
pub struct KeyTable {
    owner: InstanceId,
    settings: OnceSettings,
    records: HashMap<TableKey, KeyRecord>,
    /// Ended keys whose record can be reduced, with the time of their end in µs, oldest first.
    keys_to_reduce: VecDeque<(u64, TableKey)>,
    /// Foreign keys whose record was reduced and foreign keys that are void, with the time of their
    /// end in µs. Their records are removed after the retention time.
    foreign_keys_to_remove: VecDeque<(u64, TableKey)>,
    /// Nonces of issued keys that have run and whose record was dropped.
    ended_nonces: NonceSet,
    /// Nonces of issued keys that are void and never run.
    void_nonces: NonceSet,
    /// Memory of the key texts and answers in `records`, in bytes.
    variable_bytes: usize,
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
            keys_to_reduce: VecDeque::new(),
            foreign_keys_to_remove: VecDeque::new(),
            ended_nonces: NonceSet::new(),
            void_nonces: NonceSet::new(),
            variable_bytes: 0,
            is_draining: false,
            is_closed: false,
        }
    }

    /// Memory used by the table, in bytes.
    pub fn memory_bytes(&self) -> usize {
        let nonce_bytes = self.ended_nonces.memory_bytes() + self.void_nonces.memory_bytes();
        self.records.len() * RECORD_BYTES + self.variable_bytes + nonce_bytes
    }

    /// Whether the table has reached its memory limit and refuses every new key. A gate with a
    /// closed table should restart as a new instance after a drain.
    pub fn is_closed(&self) -> bool {
        self.is_closed
    }

    /// Converts a key to a key of this table. Returns `None` if another instance owns the key.
    fn table_key(&self, key: &IdempotencyKey) -> Option<TableKey> {
        match key {
            IdempotencyKey::Issued { owner, nonce } => {
                (*owner == self.owner).then_some(TableKey::Issued(*nonce))
            }
            IdempotencyKey::Foreign(text) => Some(TableKey::Foreign(text.as_str().into())),
        }
    }

    /// Frees memory by dropping the oldest answers if needed. Returns false if that is not enough.
    fn make_room(&mut self, needed_bytes: usize) -> bool {
        let limit_bytes = self.settings.max_memory_bytes;
        while self.memory_bytes() + needed_bytes > limit_bytes {
            let Some((ended_us, key)) = self.keys_to_reduce.pop_front() else {
                return false;
            };
            self.reduce_record(ended_us, key);
        }
        true
    }

    /// Reduces the record of an ended key to the minimum that prevents a second run. No answer is
    /// kept.
    fn reduce_record(&mut self, ended_us: u64, key: TableKey) {
        if let TableKey::Issued(nonce) = key {
            self.ended_nonces.insert(nonce);
            self.remove(&key);
        } else if let Some(record) = self.records.get_mut(&key) {
            if let KeyState::Answered(answer) = &record.state {
                self.variable_bytes -= answer_bytes(answer);
                record.state = KeyState::EndedWithoutAnswer;
            }
            self.foreign_keys_to_remove.push_back((ended_us, key));
        }
    }

    fn remove(&mut self, key: &TableKey) {
        let Some(record) = self.records.remove(key) else { return };
        self.variable_bytes -= key_text_bytes(key);
        if let KeyState::Answered(answer) = &record.state {
            self.variable_bytes -= answer_bytes(answer);
        }
    }

    /// Records a new key as running, or returns [`KeyState::Void`] if the table is closed.
    fn record_new_key(
        &mut self,
        key: TableKey,
        caller: CallerDigest,
        request: RequestDigest,
    ) -> KeyState {
        let needed_bytes = RECORD_BYTES + key_text_bytes(&key);
        self.is_closed = self.is_closed || !self.make_room(needed_bytes);
        if self.is_closed {
            return KeyState::Void;
        }
        self.variable_bytes += key_text_bytes(&key);
        self.records.insert(key, KeyRecord { caller, request, state: KeyState::Running });
        KeyState::Running
    }

    /// Makes a running key void.
    fn make_void(&mut self, key: TableKey, now_us: u64) {
        if let TableKey::Issued(nonce) = key {
            self.void_nonces.insert(nonce);
            self.remove(&key);
        } else if let Some(record) = self.records.get_mut(&key) {
            record.state = KeyState::Void;
            self.foreign_keys_to_remove.push_back((now_us, key));
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
            let is_same_request = record.caller == *caller && record.request == *request;
            return match &record.state {
                KeyState::Void => OnceDecision::Refuse(Reason::KeyVoid),
                _ if !is_same_request => OnceDecision::Refuse(Reason::KeyMismatch),
                KeyState::Running => OnceDecision::Wait,
                KeyState::Answered(answer) => OnceDecision::Replay(answer.clone()),
                KeyState::EndedWithoutAnswer => OnceDecision::Refuse(Reason::KeyUnknown),
            };
        }
        if let TableKey::Issued(nonce) = key {
            if self.ended_nonces.contains(nonce) {
                return OnceDecision::Refuse(Reason::KeyUnknown);
            }
            if self.void_nonces.contains(nonce) {
                return OnceDecision::Refuse(Reason::KeyVoid);
            }
        }
        match self.record_new_key(key.clone(), *caller, *request) {
            KeyState::Running if !self.is_draining => OnceDecision::Run,
            KeyState::Running => {
                self.make_void(key, now_us);
                OnceDecision::Refuse(Reason::KeyVoid)
            }
            _ => OnceDecision::Refuse(Reason::KeyVoid),
        }
    }

    /// A key that is not running keeps its state.
    fn finish(&mut self, key: &IdempotencyKey, outcome: KeyedRunOutcome, now_us: u64) {
        let Some(key) = self.table_key(key) else { return };
        let Some(record) = self.records.get_mut(&key) else { return };
        if !matches!(record.state, KeyState::Running) {
            return;
        }
        match outcome {
            KeyedRunOutcome::NotRun if self.is_draining || self.settings.is_refused_key_void => {
                self.make_void(key, now_us);
            }
            KeyedRunOutcome::NotRun => self.remove(&key),
            KeyedRunOutcome::Answered(answer)
                if answer.body.len() <= self.settings.max_body_bytes =>
            {
                self.variable_bytes += answer_bytes(&answer);
                record.state = KeyState::Answered(Arc::new(answer));
                self.keys_to_reduce.push_back((now_us, key));
                self.make_room(0);
            }
            KeyedRunOutcome::Answered(_)
            | KeyedRunOutcome::AnsweredNotStored
            | KeyedRunOutcome::Unknown => {
                record.state = KeyState::EndedWithoutAnswer;
                self.keys_to_reduce.push_back((now_us, key));
            }
        }
    }

    fn set_drain(&mut self, is_draining: bool, _now_us: u64) {
        self.is_draining = is_draining;
    }

    fn expire(&mut self, now_us: u64) {
        let retention_us = self.settings.key_retention_s.saturating_mul(1_000_000);
        let is_due = |ended_us: u64| ended_us.saturating_add(retention_us) <= now_us;
        while self.keys_to_reduce.front().is_some_and(|(ended_us, _)| is_due(*ended_us)) {
            let (ended_us, key) = self.keys_to_reduce.pop_front().expect("the queue has a front");
            self.reduce_record(ended_us, key);
        }
        // A foreign key whose record was reduced early is queued behind keys that ended later. It
        // is therefore removed slightly late, which is safe.
        while self.foreign_keys_to_remove.front().is_some_and(|(ended_us, _)| is_due(*ended_us)) {
            let (_, key) = self.foreign_keys_to_remove.pop_front().expect("the queue has a front");
            self.remove(&key);
        }
        if self.records.len() < self.records.capacity() / 4 {
            self.records.shrink_to(self.records.len() * 2);
        }
    }
}

fn key_text_bytes(key: &TableKey) -> usize {
    match key {
        TableKey::Issued(_) => 0,
        TableKey::Foreign(text) => text.len() + 16,
    }
}

fn answer_bytes(answer: &StoredAnswer) -> usize {
    let headers = answer.headers.iter().map(|(name, value)| name.len() + value.len());
    ANSWER_BYTES + answer.body.len() + headers.map(|bytes| bytes + HEADER_BYTES).sum::<usize>()
}
