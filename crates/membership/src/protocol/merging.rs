use tarragon_model::identity::InstanceId;
use tarragon_model::member::BackendState;
use tarragon_model::member::MemberRecord;

use crate::message::is_bounded;
use crate::message::service_tag;
use crate::message::MemberUpdate;
use crate::message::FINAL_VERSION;
use crate::protocol::suspicion::min_timeout_ms;
use crate::protocol::suspicion::Suspicion;
use crate::protocol::table::Tombstone;
use crate::protocol::update_queue::Urgency;
use crate::protocol::MemberStatus;
use crate::protocol::Membership;

/// News of a full exchange that are passed on.
const MAX_NEWS_PASSED_ON: usize = 16;

/// The part of an alive update that changes often.
struct Brief {
    instance: InstanceId,
    version: u32,
    state: BackendState,
    revision: u64,
    service_tag: u16,
}

impl Membership {
    /// Applies one update and passes it on if it is news.
    pub(super) fn merge(&mut self, update: MemberUpdate, now_ms: u64) {
        let id = update.instance();
        if id == self.own.instance {
            self.merge_own(&update, now_ms);
            return;
        }
        if self.table.tombstones.contains_key(&id) {
            self.counts.stale_updates += 1;
            return;
        }
        match update {
            MemberUpdate::Full(record) => {
                self.learn_revision(record.revision, now_ms);
                let has_new_state = self.table.entry(id).is_some_and(|known| {
                    let known = &known.record;
                    known.state != record.state || known.service != record.service
                });
                if self.merge_record(*record, now_ms) {
                    let urgency = if has_new_state { Urgency::Change } else { Urgency::State };
                    self.spreading.queue.push(id, urgency, true);
                }
            }
            MemberUpdate::Brief { instance, version, state, revision, service_tag } => {
                self.learn_revision(revision, now_ms);
                let brief = Brief { instance, version, state, revision, service_tag };
                self.merge_brief(&brief, now_ms);
            }
            MemberUpdate::Suspect { version, accuser, .. } => {
                self.suspect(id, version, accuser, now_ms)
            }
            MemberUpdate::Unreachable { version, .. } => {
                self.lose(id, MemberStatus::Unreachable, version, now_ms);
            }
            MemberUpdate::Dead { version: FINAL_VERSION, .. } => self.bury(id, false, now_ms),
            MemberUpdate::Dead { version, .. } => {
                self.lose(id, MemberStatus::Dead, version, now_ms)
            }
            MemberUpdate::Left { .. } => self.bury(id, true, now_ms),
            MemberUpdate::Revision { revision, .. } => {
                self.learn_revision(revision, now_ms);
                self.merge_member_revision(id, revision);
            }
            MemberUpdate::Unknown { .. } => {}
        }
    }

    /// Answers accusations and claims about the own node with a higher version.
    fn merge_own(&mut self, update: &MemberUpdate, now_ms: u64) {
        let (claimed, is_accusation) = match *update {
            MemberUpdate::Suspect { version, .. }
            | MemberUpdate::Unreachable { version, .. }
            | MemberUpdate::Dead { version, .. } => (version, true),
            MemberUpdate::Full(ref record) => (record.version, false),
            MemberUpdate::Brief { version, .. } => (version, false),
            MemberUpdate::Unknown { .. } => {
                self.spreading.queue.push(self.own.instance, Urgency::State, true);
                return;
            }
            MemberUpdate::Left { .. } | MemberUpdate::Revision { .. } => return,
        };
        let is_behind =
            if is_accusation { claimed >= self.own.version } else { claimed > self.own.version };
        if !is_behind || !self.settings.mechanisms.has_refutation || claimed >= FINAL_VERSION - 1 {
            return;
        }
        self.own.version = claimed + 1;
        if is_accusation {
            self.counts.refutations += 1;
            self.health.worsen(1);
        }
        self.spreading.queue.push(self.own.instance, Urgency::State, false);
        self.note_change(self.own.instance);
        self.spread_at_once(now_ms);
    }

    /// Takes the records of a full exchange. Only a few news are passed on: the other members have
    /// their own exchanges, and passing on all would be a burst.
    pub(super) fn merge_full_state(&mut self, records: Vec<MemberRecord>, now_ms: u64) {
        self.exchange.has_joined = true;
        let news = self.merge_records(records, now_ms);
        if news.len() <= MAX_NEWS_PASSED_ON {
            for id in news {
                self.spreading.queue.push(id, Urgency::State, true);
            }
        }
    }

    /// Takes one page of a full exchange over UDP; nothing of it is passed on.
    pub(super) fn merge_page(&mut self, updates: Vec<MemberUpdate>, now_ms: u64) {
        let records = updates.into_iter().filter_map(|update| match update {
            MemberUpdate::Full(record) => Some(*record),
            _ => None,
        });
        self.merge_records(records.collect(), now_ms);
    }

    fn merge_records(&mut self, records: Vec<MemberRecord>, now_ms: u64) -> Vec<InstanceId> {
        let mut news = Vec::new();
        for record in records {
            let id = record.instance;
            self.learn_revision(record.revision, now_ms);
            if id == self.own.instance {
                self.merge_own(&MemberUpdate::Full(Box::new(record)), now_ms);
            } else if self.table.tombstones.contains_key(&id) {
                self.counts.stale_updates += 1;
            } else if self.merge_record(record, now_ms) {
                news.push(id);
            }
        }
        news
    }

    /// Takes a record if it is newer than the known one; true if it was.
    fn merge_record(&mut self, record: MemberRecord, now_ms: u64) -> bool {
        let id = record.instance;
        if !is_bounded(&record) || record.version == FINAL_VERSION {
            self.counts.refused_updates += 1;
            return false;
        }
        if record.gossip_address == self.own.gossip_address {
            // An earlier instance of the own node.
            self.bury(id, false, now_ms);
            return false;
        }
        let Some(entry) = self.table.entry_mut(id) else {
            if self.table.known_count() >= self.settings.max_members {
                self.counts.refused_updates += 1;
                return false;
            }
            self.table.insert(record, now_ms, &mut self.rng);
            self.note_change(id);
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
        self.revive(id, version, now_ms);
        true
    }

    fn merge_brief(&mut self, brief: &Brief, now_ms: u64) {
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
        self.revive(id, brief.version, now_ms);
        let urgency = if has_new_state { Urgency::Change } else { Urgency::State };
        self.spreading.queue.push(id, urgency, false);
    }

    /// Ends accusations of versions below the one that was heard.
    fn revive(&mut self, id: InstanceId, version: u32, now_ms: u64) {
        if let Some(entry) = self.table.entry(id) {
            let was_lost = !entry.status.is_reachable();
            if entry.status == MemberStatus::Alive || version > entry.status_version {
                let status = MemberStatus::Alive;
                self.table.set_status(id, status, version, now_ms, &mut self.rng);
                if was_lost {
                    self.schedule_exchange_after_heal(id, now_ms);
                }
            }
        }
        self.note_change(id);
    }

    /// Notes the revision that a member has reached and passes it on. Such news have a queue of
    /// their own: 2,200 members that announced each of 1,100 daily revisions as changes of their
    /// records would use up the traffic budget and delay drains.
    pub(super) fn merge_member_revision(&mut self, id: InstanceId, revision: u64) {
        if let Some(entry) = self.table.entry_mut(id) {
            if revision > entry.record.revision {
                entry.record.revision = revision;
                self.spreading.revisions.push(id, Urgency::State, false);
                self.note_change(id);
            }
        }
    }

    /// Notes an accusation, by the own probe or by another member.
    pub(super) fn suspect(&mut self, id: InstanceId, version: u32, accuser: u16, now_ms: u64) {
        let Some(entry) = self.table.entry_mut(id) else { return };
        match entry.status {
            MemberStatus::Suspect if version == entry.status_version => {
                let Some(suspicion) = entry.suspicion.as_mut() else { return };
                if suspicion.confirm(accuser, &self.settings) {
                    self.spreading.queue.push(id, Urgency::Suspicion, false);
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
        self.spreading.queue.push(id, Urgency::Suspicion, false);
        self.note_change(id);
    }

    /// Declares a member dead or unreachable; it can still refute with a higher version. At equal
    /// versions unreachable prevails over dead, because it keeps the member longer.
    fn lose(&mut self, id: InstanceId, status: MemberStatus, version: u32, now_ms: u64) {
        let Some(entry) = self.table.entry(id) else { return };
        let is_news = version > entry.status_version
            || version == entry.status_version && rank(status) > rank(entry.status);
        if !is_news {
            self.counts.stale_updates += 1;
            return;
        }
        self.table.set_status(id, status, version, now_ms, &mut self.rng);
        self.spreading.queue.push(id, Urgency::Loss, false);
        self.note_change(id);
        if !self.settings.mechanisms.has_tombstones {
            self.table.remove(id);
        }
    }

    /// Notes that an instance is gone for good: it left, or a newer instance has its address.
    pub(super) fn bury(&mut self, id: InstanceId, has_left: bool, now_ms: u64) {
        if id == self.own.instance || self.table.tombstones.contains_key(&id) {
            return;
        }
        let status = if has_left { MemberStatus::Left } else { MemberStatus::Dead };
        if let Some(mut entry) = self.table.remove(id) {
            entry.status = status;
            self.note_removal(entry);
        }
        let has_room = self.table.tombstones.len() < self.settings.max_members;
        if self.settings.mechanisms.has_tombstones && has_room {
            let until_ms = now_ms + self.settings.tombstone_ms;
            self.table.tombstones.insert(id, Tombstone { until_ms, has_left });
            let urgency = if has_left { Urgency::Change } else { Urgency::State };
            self.spreading.queue.push(id, urgency, false);
        }
    }

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
            if self.table.is_data_centre_lost(&entry.record.data_centre) {
                self.counts.declared_unreachable += 1;
                self.lose(id, MemberStatus::Unreachable, version, now_ms);
            } else {
                self.counts.declared_dead += 1;
                self.lose(id, MemberStatus::Dead, version, now_ms);
            }
        }
    }
}

/// Order of the statuses of one version.
fn rank(status: MemberStatus) -> u8 {
    match status {
        MemberStatus::Alive => 0,
        MemberStatus::Suspect => 1,
        MemberStatus::Dead => 2,
        MemberStatus::Unreachable => 3,
        MemberStatus::Left => 4,
    }
}
