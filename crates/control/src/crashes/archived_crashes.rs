use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;

/// Maximum number of records; the one that changed first is dropped beyond it.
const MAX_RECORDS: usize = 1_024;

/// Record of a request that is in quarantine, or was cleared after it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ArchivedCrash {
    /// The request.
    pub fingerprint: String,
    /// Number of times that an answer has cleared it.
    pub clearings: u32,
    /// The record as nodes tell it to each other.
    pub record: String,
    /// When the record changed, by the clock of the node that stored it, in ms since 1970.
    pub changed_at_ms: u64,
}

/// Records in the state of the replicated log, by fingerprint.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ArchivedCrashes {
    records: BTreeMap<String, ArchivedCrash>,
}

impl ArchivedCrashes {
    /// Stores records. Of two of one request the one that was cleared more often holds, or else the
    /// first one: a request in quarantine has no further crashes to record.
    pub fn store(&mut self, records: &[ArchivedCrash]) {
        for record in records {
            let known = self.records.get(&record.fingerprint);
            if known.is_none_or(|known| known.clearings < record.clearings) {
                self.records.insert(record.fingerprint.clone(), record.clone());
            }
        }
        while self.records.len() > MAX_RECORDS {
            let first = self.records.values().min_by_key(|record| record.changed_at_ms);
            let Some(first) = first.map(|record| record.fingerprint.clone()) else { return };
            self.records.remove(&first);
        }
    }

    /// All records.
    pub fn all(&self) -> Vec<ArchivedCrash> {
        self.records.values().cloned().collect()
    }
}
