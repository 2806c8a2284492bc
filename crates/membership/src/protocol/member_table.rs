use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::ops::Bound;

use rand_pcg::Pcg64Mcg;
use tarragon_model::identity::InstanceId;
use tarragon_model::member::MemberRecord;

use crate::protocol::shuffled_members::ShuffledMembers;
use crate::protocol::suspicion::Suspicion;
use crate::protocol::MemberStatus;

/// Known state of another member.
#[derive(Debug, Clone)]
pub(crate) struct MemberEntry {
    pub record: MemberRecord,
    pub status: MemberStatus,
    /// Version to which the status applies; it can be higher than the record's version.
    pub status_version: u32,
    /// Time of the last change of `status`.
    pub status_since_ms: u64,
    pub suspicion: Option<Suspicion>,
    /// Hash that the member contributes to the digest; zero if the member is not reachable.
    pub digest_part: u32,
}

/// Marks an instance that left or was replaced, so that late updates do not add it again.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Tombstone {
    pub until_ms: u64,
    pub has_left: bool,
}

/// All known members except this node.
#[derive(Debug, Clone, Default)]
pub(crate) struct MemberTable {
    /// Data centre of this node.
    data_centre: String,
    entries: BTreeMap<InstanceId, MemberEntry>,
    pub tombstones: BTreeMap<InstanceId, Tombstone>,
    /// Reachable members of this node's data centre.
    pub local: ShuffledMembers,
    /// Reachable members of other data centres.
    pub remote: ShuffledMembers,
    /// Dead and unreachable members, which are probed again at a low rate.
    pub failed: ShuffledMembers,
    pub suspects: BTreeSet<InstanceId>,
}

impl MemberTable {
    pub fn new(data_centre: &str) -> Self {
        Self { data_centre: data_centre.to_string(), ..Self::default() }
    }

    pub fn entry(&self, id: InstanceId) -> Option<&MemberEntry> {
        self.entries.get(&id)
    }

    pub fn entry_mut(&mut self, id: InstanceId) -> Option<&mut MemberEntry> {
        self.entries.get_mut(&id)
    }

    pub fn iter(&self) -> impl Iterator<Item = &MemberEntry> {
        self.entries.values()
    }

    /// Entries with an instance above `id`, in order of instance.
    pub fn entries_after(&self, id: InstanceId) -> impl Iterator<Item = &MemberEntry> {
        self.entries.range((Bound::Excluded(id), Bound::Unbounded)).map(|(_, entry)| entry)
    }

    pub fn known_count(&self) -> usize {
        self.entries.len()
    }

    /// Number of reachable members, without this node.
    pub fn reachable_count(&self) -> usize {
        self.local.len() + self.remote.len()
    }

    pub fn insert(&mut self, record: MemberRecord, now_ms: u64, rng: &mut Pcg64Mcg) {
        let id = record.instance;
        self.shuffled_list_mut(&record.data_centre, MemberStatus::Alive).insert(id, rng);
        let entry = MemberEntry {
            status_version: record.version,
            record,
            status: MemberStatus::Alive,
            status_since_ms: now_ms,
            suspicion: None,
            digest_part: 0,
        };
        self.entries.insert(id, entry);
    }

    pub fn remove(&mut self, id: InstanceId) -> Option<MemberEntry> {
        let entry = self.entries.remove(&id)?;
        self.shuffled_list_mut(&entry.record.data_centre, entry.status).remove(id);
        self.suspects.remove(&id);
        Some(entry)
    }

    /// Sets the status of a known member and moves it between the lists of reachable and failed
    /// members.
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
            entry.status_since_ms = now_ms;
        }
        if status != MemberStatus::Suspect {
            entry.suspicion = None;
            self.suspects.remove(&id);
        } else {
            self.suspects.insert(id);
        }
        if old.is_reachable() != status.is_reachable() {
            let data_centre = entry.record.data_centre.clone();
            self.shuffled_list_mut(&data_centre, old).remove(id);
            self.shuffled_list_mut(&data_centre, status).insert(id, rng);
        }
    }

    fn shuffled_list_mut(
        &mut self,
        data_centre: &str,
        status: MemberStatus,
    ) -> &mut ShuffledMembers {
        if !status.is_reachable() {
            &mut self.failed
        } else if data_centre == self.data_centre {
            &mut self.local
        } else {
            &mut self.remote
        }
    }

    /// Whether more than half of the known members of a data centre are not alive, which indicates
    /// a network partition rather than failures of single nodes.
    pub fn is_data_centre_partitioned(&self, data_centre: &str) -> bool {
        let (mut known, mut missing) = (0, 0);
        for entry in self.entries.values().filter(|e| e.record.data_centre == data_centre) {
            known += 1;
            missing += usize::from(entry.status != MemberStatus::Alive);
        }
        missing * 2 > known
    }
}
