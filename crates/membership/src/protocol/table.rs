use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::ops::Bound;

use rand_pcg::Pcg64Mcg;
use tarragon_model::identity::InstanceId;
use tarragon_model::member::MemberRecord;

use crate::protocol::roster::Roster;
use crate::protocol::suspicion::Suspicion;
use crate::protocol::MemberStatus;

/// What is known of one member.
#[derive(Debug, Clone)]
pub(crate) struct Entry {
    pub record: MemberRecord,
    pub status: MemberStatus,
    /// Version that the status speaks of; it may be ahead of the record's.
    pub status_version: u32,
    pub since_ms: u64,
    pub suspicion: Option<Suspicion>,
    /// The member's part of the digest; zero if it is not in it.
    pub digest_part: u32,
}

/// Trace of an instance that is gone for good.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Tombstone {
    pub until_ms: u64,
    pub has_left: bool,
}

/// All known members but the own node.
#[derive(Debug, Clone, Default)]
pub(crate) struct MemberTable {
    data_centre: String,
    entries: BTreeMap<InstanceId, Entry>,
    pub tombstones: BTreeMap<InstanceId, Tombstone>,
    /// Reachable members of the own data centre.
    pub local: Roster,
    /// Reachable members of other data centres.
    pub remote: Roster,
    /// Dead and unreachable members, which are probed again.
    pub lost: Roster,
    pub suspects: BTreeSet<InstanceId>,
}

impl MemberTable {
    pub fn new(data_centre: &str) -> Self {
        Self { data_centre: data_centre.to_string(), ..Self::default() }
    }

    pub fn entry(&self, id: InstanceId) -> Option<&Entry> {
        self.entries.get(&id)
    }

    pub fn entry_mut(&mut self, id: InstanceId) -> Option<&mut Entry> {
        self.entries.get_mut(&id)
    }

    pub fn iter(&self) -> impl Iterator<Item = &Entry> {
        self.entries.values()
    }

    /// Entries above an instance, in order.
    pub fn after(&self, id: InstanceId) -> impl Iterator<Item = &Entry> {
        self.entries.range((Bound::Excluded(id), Bound::Unbounded)).map(|(_, entry)| entry)
    }

    pub fn known_count(&self) -> usize {
        self.entries.len()
    }

    /// Number of reachable members, without the own node.
    pub fn reachable_count(&self) -> usize {
        self.local.len() + self.remote.len()
    }

    pub fn insert(&mut self, record: MemberRecord, now_ms: u64, rng: &mut Pcg64Mcg) {
        let id = record.instance;
        self.list_of(&record.data_centre, MemberStatus::Alive).insert(id, rng);
        let entry = Entry {
            status_version: record.version,
            record,
            status: MemberStatus::Alive,
            since_ms: now_ms,
            suspicion: None,
            digest_part: 0,
        };
        self.entries.insert(id, entry);
    }

    pub fn remove(&mut self, id: InstanceId) -> Option<Entry> {
        let entry = self.entries.remove(&id)?;
        self.list_of(&entry.record.data_centre, entry.status).remove(id);
        self.suspects.remove(&id);
        Some(entry)
    }

    /// Changes the status of a known member and moves it between the lists.
    pub fn set_status(
        &mut self,
        id: InstanceId,
        status: MemberStatus,
        version: u32,
        now_ms: u64,
        rng: &mut Pcg64Mcg,
    ) {
        let Some(entry) = self.entries.get_mut(&id) else { return };
        let old = entry.status;
        entry.status = status;
        entry.status_version = version;
        if old != status {
            entry.since_ms = now_ms;
        }
        if status != MemberStatus::Suspect {
            entry.suspicion = None;
            self.suspects.remove(&id);
        } else {
            self.suspects.insert(id);
        }
        if old.is_reachable() != status.is_reachable() {
            let data_centre = entry.record.data_centre.clone();
            self.list_of(&data_centre, old).remove(id);
            self.list_of(&data_centre, status).insert(id, rng);
        }
    }

    fn list_of(&mut self, data_centre: &str, status: MemberStatus) -> &mut Roster {
        if !status.is_reachable() {
            &mut self.lost
        } else if data_centre == self.data_centre {
            &mut self.local
        } else {
            &mut self.remote
        }
    }

    /// Whether more than half of the known members of a data centre are suspected or lost, which
    /// points to a partition and not to failures of single nodes.
    pub fn is_data_centre_lost(&self, data_centre: &str) -> bool {
        let (mut known, mut missing) = (0, 0);
        for entry in self.entries.values().filter(|e| e.record.data_centre == data_centre) {
            known += 1;
            missing += usize::from(entry.status != MemberStatus::Alive);
        }
        missing * 2 > known
    }
}
