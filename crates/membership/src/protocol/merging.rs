use tarragon_model::identity::InstanceId;
use tarragon_model::member::BackendState;
use tarragon_model::member::MemberRecord;

use crate::message::has_bounded_texts;
use crate::message::service_tag;
use crate::message::MemberUpdate;
use crate::message::FINAL_VERSION;
use crate::protocol::member_table::Tombstone;
use crate::protocol::suspicion::min_timeout_ms;
use crate::protocol::suspicion::Suspicion;
use crate::protocol::update_queue::UpdatePriority;
use crate::protocol::MemberStatus;
use crate::protocol::Membership;

/// Maximum number of new or changed records in a full exchange with which the node passes them on.
const MAX_FORWARDED_RECORDS: usize = 16;

/// Content of a [`MemberUpdate::Brief`].
struct BriefUpdate {
    instance: InstanceId,
    version: u32,
    state: BackendState,
    revision: u64,
    service_tag: u16,
}

impl Membership {
    /// Applies one update and queues it for gossip if it changed the member.
    pub(super) fn merge(&mut self, update: MemberUpdate, now_ms: u64) {
        let id = update.instance();
        if id == self.own_record.instance {
            self.merge_own_update(&update, now_ms);
            return;
        }
        if self.table.tombstones.contains_key(&id) {
            self.counts.stale_updates += 1;
            return;
        }
        match update {
            MemberUpdate::Full(record) => {
                self.raise_highest_revision(record.revision, now_ms);
                let has_new_state = self.table.entry(id).is_some_and(|known| {
                    let known = &known.record;
                    known.state != record.state || known.service != record.service
                });
                if self.merge_record(*record, now_ms) {
                    let priority = if has_new_state {
                        UpdatePriority::StateChange
                    } else {
                        UpdatePriority::Alive
                    };
                    self.dissemination.queue.push(id, priority, /* is_full */ true);
                }
            }
            MemberUpdate::Brief { instance, version, state, revision, service_tag } => {
                self.raise_highest_revision(revision, now_ms);
                let brief = BriefUpdate { instance, version, state, revision, service_tag };
                self.merge_brief(&brief, now_ms);
            }
            MemberUpdate::Suspect { version, accuser, .. } => {
                self.suspect(id, version, accuser, now_ms)
            }
            MemberUpdate::Unreachable { version, .. } => {
                self.mark_failed(id, MemberStatus::Unreachable, version, now_ms);
            }
            // A newer instance uses the address, so this update cannot be refuted.
            MemberUpdate::Dead { version: FINAL_VERSION, .. } => {
                self.remove_permanently(id, /* has_left */ false, now_ms)
            }
            MemberUpdate::Dead { version, .. } => {
                self.mark_failed(id, MemberStatus::Dead, version, now_ms)
            }
            MemberUpdate::Left { .. } => {
                self.remove_permanently(id, /* has_left */ true, now_ms)
            }
            MemberUpdate::Revision { revision, .. } => {
                self.raise_highest_revision(revision, now_ms);
                self.merge_member_revision(id, revision);
            }
            MemberUpdate::Unknown { .. } => {}
        }
    }

    /// Handles an update about this node: refutes an accusation or a higher version of its record
    /// by raising the version of the record, or queues the full record if another node does not
    /// have it.
    fn merge_own_update(&mut self, update: &MemberUpdate, now_ms: u64) {
        let (claimed_version, is_accusation) = match *update {
            MemberUpdate::Suspect { version, .. }
            | MemberUpdate::Unreachable { version, .. }
            | MemberUpdate::Dead { version, .. } => (version, true),
            MemberUpdate::Full(ref record) => (record.version, false),
            MemberUpdate::Brief { version, .. } => (version, false),
            MemberUpdate::Unknown { .. } => {
                self.dissemination.queue.push(
                    self.own_record.instance,
                    UpdatePriority::Alive,
                    /* is_full */ true,
                );
                return;
            }
            MemberUpdate::Left { .. } | MemberUpdate::Revision { .. } => return,
        };
        let is_behind = if is_accusation {
            claimed_version >= self.own_record.version
        } else {
            claimed_version > self.own_record.version
        };
        // The new version must stay below `FINAL_VERSION`, which no record may have.
        if !is_behind
            || !self.settings.mechanisms.has_refutation
            || claimed_version >= FINAL_VERSION - 1
        {
            return;
        }
        self.own_record.version = claimed_version + 1;
        if is_accusation {
            self.counts.refutations += 1;
            self.health.worsen(1);
        }
        self.dissemination.queue.push(
            self.own_record.instance,
            UpdatePriority::Alive,
            /* is_full */ false,
        );
        self.record_change(self.own_record.instance);
        self.gossip_now(now_ms);
    }

    /// Merges the records of a full exchange. If more than `MAX_FORWARDED_RECORDS` of them are new
    /// or changed, none is passed on: that would be a burst of gossip, and the other members get
    /// the records by their own full exchanges.
    pub(super) fn merge_full_state(&mut self, records: Vec<MemberRecord>, now_ms: u64) {
        self.full_exchange.has_joined = true;
        let changed_ids = self.merge_records(records, now_ms);
        if changed_ids.len() <= MAX_FORWARDED_RECORDS {
            for id in changed_ids {
                self.dissemination.queue.push(id, UpdatePriority::Alive, /* is_full */ true);
            }
        }
    }

    /// Merges one page of a full exchange over UDP; none of its records is passed on.
    pub(super) fn merge_page(&mut self, updates: Vec<MemberUpdate>, now_ms: u64) {
        let records = updates.into_iter().filter_map(|update| match update {
            MemberUpdate::Full(record) => Some(*record),
            _ => None,
        });
        self.merge_records(records.collect(), now_ms);
    }

    /// Merges records and returns the instances of those that were new or changed.
    fn merge_records(&mut self, records: Vec<MemberRecord>, now_ms: u64) -> Vec<InstanceId> {
        let mut changed_ids = Vec::new();
        for record in records {
            let id = record.instance;
            self.raise_highest_revision(record.revision, now_ms);
            if id == self.own_record.instance {
                self.merge_own_update(&MemberUpdate::Full(Box::new(record)), now_ms);
            } else if self.table.tombstones.contains_key(&id) {
                self.counts.stale_updates += 1;
            } else if self.merge_record(record, now_ms) {
                changed_ids.push(id);
            }
        }
        changed_ids
    }

    /// Merges a record and returns true if the member is new or the record has a higher version
    /// than the known one.
    fn merge_record(&mut self, record: MemberRecord, now_ms: u64) -> bool {
        let id = record.instance;
        if !has_bounded_texts(&record) || record.version == FINAL_VERSION {
            self.counts.refused_updates += 1;
            return false;
        }
        if record.gossip_address == self.own_record.gossip_address {
            // The record is of an earlier instance of this node.
            self.remove_permanently(id, /* has_left */ false, now_ms);
            return false;
        }
        let Some(entry) = self.table.entry_mut(id) else {
            if self.table.known_count() >= self.settings.max_members {
                self.counts.refused_updates += 1;
                return false;
            }
            self.table.insert(record, now_ms, &mut self.rng);
            self.record_change(id);
            return true;
        };
        if record.version <= entry.record.version {
            let revision = record.revision;
            self.merge_member_revision(id, revision);
            return false;
        }
        if record.data_centre != entry.record.data_centre {
            self.counts.refused_updates += 1;
            return false;
        }
        let revision = entry.record.revision.max(record.revision);
        let version = record.version;
        entry.record = MemberRecord { revision, ..record };
        self.mark_alive(id, version, now_ms);
        true
    }

    fn merge_brief(&mut self, brief: &BriefUpdate, now_ms: u64) {
        let id = brief.instance;
        let Some(entry) = self.table.entry_mut(id) else { return };
        let is_newer = brief.version > entry.record.version && brief.version != FINAL_VERSION;
        if !is_newer || service_tag(&entry.record.service) != brief.service_tag {
            self.counts.stale_updates += 1;
            self.merge_member_revision(id, brief.revision);
            return;
        }
        let has_new_state = entry.record.state != brief.state;
        entry.record.version = brief.version;
        entry.record.state = brief.state;
        entry.record.revision = entry.record.revision.max(brief.revision);
        self.mark_alive(id, brief.version, now_ms);
        let priority =
            if has_new_state { UpdatePriority::StateChange } else { UpdatePriority::Alive };
        self.dissemination.queue.push(id, priority, /* is_full */ false);
    }

    /// Records that a member is alive at a version, unless a suspicion or failure of that version
    /// or a later one is known.
    fn mark_alive(&mut self, id: InstanceId, version: u32, now_ms: u64) {
        if let Some(entry) = self.table.entry(id) {
            let was_failed = !entry.status.is_reachable();
            if entry.status == MemberStatus::Alive || version > entry.status_version {
                let status = MemberStatus::Alive;
                self.table.set_status(id, status, version, now_ms, &mut self.rng);
                if was_failed {
                    self.schedule_full_exchange_after_heal(id, now_ms);
                }
            }
        }
        self.record_change(id);
    }

    /// Raises the catalogue revision that a member has reached and passes it on. These updates have
    /// a separate queue: if 2,200 members announced each of 1,100 daily revisions as changes of
    /// their records, this would use up the gossip rate and delay drains.
    pub(super) fn merge_member_revision(&mut self, id: InstanceId, revision: u64) {
        if let Some(entry) = self.table.entry_mut(id) {
            if revision > entry.record.revision {
                entry.record.revision = revision;
                self.dissemination.revisions.push(
                    id,
                    UpdatePriority::Alive,
                    /* is_full */ false,
                );
                self.record_change(id);
            }
        }
    }

    /// Applies a suspicion, raised by a failed probe of this node or by another member.
    pub(super) fn suspect(&mut self, id: InstanceId, version: u32, accuser: u16, now_ms: u64) {
        let Some(entry) = self.table.entry_mut(id) else { return };
        match entry.status {
            MemberStatus::Suspect if version == entry.status_version => {
                let Some(suspicion) = entry.suspicion.as_mut() else { return };
                if suspicion.confirm(accuser, &self.settings) {
                    self.dissemination.queue.push(
                        id,
                        UpdatePriority::Suspicion,
                        /* is_full */ false,
                    );
                }
                return;
            }
            MemberStatus::Alive if version >= entry.status_version => {}
            _ if version > entry.status_version => {}
            _ => {
                self.counts.stale_updates += 1;
                return;
            }
        }
        entry.suspicion = Some(Suspicion::new(accuser, now_ms));
        self.table.set_status(id, MemberStatus::Suspect, version, now_ms, &mut self.rng);
        self.dissemination.queue.push(id, UpdatePriority::Suspicion, /* is_full */ false);
        self.record_change(id);
    }

    /// Marks a member as dead or unreachable; it can still refute this with a higher version. At
    /// equal versions, unreachable takes precedence over dead, because an unreachable member is
    /// kept longer.
    fn mark_failed(&mut self, id: InstanceId, status: MemberStatus, version: u32, now_ms: u64) {
        let Some(entry) = self.table.entry(id) else { return };
        let is_newer = version > entry.status_version
            || version == entry.status_version && status_rank(status) > status_rank(entry.status);
        if !is_newer {
            self.counts.stale_updates += 1;
            return;
        }
        self.table.set_status(id, status, version, now_ms, &mut self.rng);
        self.dissemination.queue.push(id, UpdatePriority::Failure, /* is_full */ false);
        self.record_change(id);
        if !self.settings.mechanisms.has_tombstones {
            self.table.remove(id);
        }
    }

    /// Replaces an instance by a tombstone: it left, or a newer instance uses its address.
    pub(super) fn remove_permanently(&mut self, id: InstanceId, has_left: bool, now_ms: u64) {
        if id == self.own_record.instance || self.table.tombstones.contains_key(&id) {
            return;
        }
        let status = if has_left { MemberStatus::Left } else { MemberStatus::Dead };
        if let Some(mut entry) = self.table.remove(id) {
            entry.status = status;
            self.record_removal(entry);
        }
        let has_room = self.table.tombstones.len() < self.settings.max_members;
        if self.settings.mechanisms.has_tombstones && has_room {
            let until_ms = now_ms + self.settings.tombstone_ms;
            self.table.tombstones.insert(id, Tombstone { until_ms, has_left });
            let priority =
                if has_left { UpdatePriority::StateChange } else { UpdatePriority::Alive };
            self.dissemination.queue.push(id, priority, /* is_full */ false);
        }
    }

    /// Declares members dead or unreachable whose suspicion has timed out.
    pub(super) fn expire_suspicions(&mut self, now_ms: u64) {
        let members = self.table.reachable_count() + 1;
        let settings = &self.settings;
        let min_ms = min_timeout_ms(members, settings);
        let suspects = self.table.suspects.iter().filter_map(|id| self.table.entry(*id));
        let expired: Vec<(InstanceId, u32)> = suspects
            .filter(|e| {
                let suspicion = e.suspicion.as_ref();
                suspicion.is_some_and(|s| s.has_expired(min_ms, members, settings, now_ms))
            })
            .map(|e| (e.record.instance, e.status_version))
            .collect();
        for (id, version) in expired {
            let Some(entry) = self.table.entry(id) else { continue };
            if self.table.is_data_centre_partitioned(&entry.record.data_centre) {
                self.counts.declared_unreachable += 1;
                self.mark_failed(id, MemberStatus::Unreachable, version, now_ms);
            } else {
                self.counts.declared_dead += 1;
                self.mark_failed(id, MemberStatus::Dead, version, now_ms);
            }
        }
    }
}

/// Precedence of statuses with the same version; the higher one wins.
fn status_rank(status: MemberStatus) -> u8 {
    match status {
        MemberStatus::Alive => 0,
        MemberStatus::Suspect => 1,
        MemberStatus::Dead => 2,
        MemberStatus::Unreachable => 3,
        MemberStatus::Left => 4,
    }
}
