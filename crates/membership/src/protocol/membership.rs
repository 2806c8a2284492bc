use std::net::SocketAddr;

use rand::Rng;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use tarragon_model::identity::InstanceId;
use tarragon_model::member::BackendState;
use tarragon_model::member::MemberRecord;

use crate::message::Datagram;
use crate::message::DatagramBody;
use crate::message::DatagramHeader;
use crate::message::MemberUpdate;
use crate::protocol::dissemination::Dissemination;
use crate::protocol::full_exchange::FullExchange;
use crate::protocol::local_health::LocalHealth;
use crate::protocol::member_table::MemberEntry;
use crate::protocol::member_table::MemberTable;
use crate::protocol::probing::PendingProbe;
use crate::protocol::probing::RelayedProbe;
use crate::protocol::update_queue::UpdatePriority;
use crate::protocol::Member;
use crate::protocol::MemberStatus;
use crate::protocol::MembershipAction;
use crate::protocol::MembershipCounts;
use crate::protocol::MembershipEvent;
use crate::settings::MembershipSettings;

/// Membership of one node as a deterministic state machine.
///
/// Probes, indirect probes, suspicion and piggybacked updates follow SWIM; the local health score,
/// the negative acknowledgements of indirect probes and the dynamic suspicion timeouts follow
/// Lifeguard (the crate documentation cites both papers). A record's `version` is SWIM's
/// incarnation number.
#[derive(Debug)]
pub struct Membership {
    pub(super) settings: MembershipSettings,
    pub(super) rng: Pcg64Mcg,
    /// Record of this node.
    pub(super) own_record: MemberRecord,
    pub(super) has_left: bool,
    pub(super) table: MemberTable,
    pub(super) dissemination: Dissemination,
    pub(super) full_exchange: FullExchange,
    pub(super) probes: Vec<PendingProbe>,
    pub(super) relayed_probes: Vec<RelayedProbe>,
    pub(super) next_probe_ms: u64,
    pub(super) next_reprobe_ms: u64,
    pub(super) health: LocalHealth,
    pub(super) counts: MembershipCounts,
    highest_revision: u64,
    sequence: u32,
    /// XOR of the hashes of the reachable members, including this node.
    pub(super) digest: u32,
    own_digest_part: u32,
    last_event_ms: u64,
    next_expiry_check_ms: u64,
    pub(super) actions: Vec<MembershipAction>,
    pub(super) changed: Vec<Member>,
}

/// Interval between two removals of expired members and tombstones, in ms.
const EXPIRY_CHECK_INTERVAL_MS: u64 = 1_000;

impl Membership {
    /// Creates the state of a node whose only known addresses are its seeds. The first time of each
    /// periodic task is random, so that nodes that start at the same time do not run in lockstep.
    pub fn new(
        settings: MembershipSettings,
        own_record: MemberRecord,
        seed: u64,
        now_ms: u64,
    ) -> Self {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let health =
            LocalHealth::new(settings.max_health_score, settings.mechanisms.has_local_health);
        // Starts at a random number, so that a late answer to an earlier instance does not match a
        // probe of this one.
        let sequence = rng.random();
        let mut random_start_ms = |period_ms: u64| now_ms + rng.random_range(0..period_ms.max(1));
        let next_probe_ms = random_start_ms(settings.probe_interval_ms);
        let next_reprobe_ms = random_start_ms(settings.reprobe_interval_ms);
        let dissemination =
            Dissemination::new(random_start_ms(settings.gossip_interval_ms), &settings, now_ms);
        let full_exchange = FullExchange::new(
            now_ms,
            random_start_ms(settings.full_exchange_interval_ms) + settings.join_retry_ms,
            random_start_ms(settings.seed_contact_interval_ms) + settings.join_retry_ms,
        );
        let own_digest_part = record_hash(&own_record);
        Self {
            rng,
            table: MemberTable::new(&own_record.data_centre),
            highest_revision: own_record.revision,
            own_record,
            has_left: false,
            dissemination,
            full_exchange,
            probes: Vec::new(),
            relayed_probes: Vec::new(),
            next_probe_ms,
            next_reprobe_ms,
            health,
            counts: MembershipCounts::default(),
            sequence,
            digest: own_digest_part,
            own_digest_part,
            last_event_ms: now_ms,
            next_expiry_check_ms: now_ms,
            actions: Vec::new(),
            changed: Vec::new(),
            settings,
        }
    }

    /// Handles one event and returns the resulting actions. `now_ms` is monotonic, with an
    /// arbitrary origin.
    pub fn step(&mut self, event: MembershipEvent, now_ms: u64) -> Vec<MembershipAction> {
        self.detect_pause(now_ms);
        match event {
            MembershipEvent::Tick => self.tick(now_ms),
            MembershipEvent::Receive(from, datagram) => self.receive(from, datagram, now_ms),
            MembershipEvent::LocalChange { service, state, revision } => {
                self.change_own_state(service, state, revision, now_ms);
            }
            MembershipEvent::SetKnownPeers(peers) => self.full_exchange.known_peers = peers,
            MembershipEvent::FullState(records) => self.merge_full_state(records, now_ms),
            MembershipEvent::Leave => self.leave(now_ms),
        }
        if !self.changed.is_empty() {
            let changed = std::mem::take(&mut self.changed);
            self.actions.push(MembershipAction::Changed(changed));
        }
        std::mem::take(&mut self.actions)
    }

    /// Record of this node.
    pub fn own_record(&self) -> &MemberRecord {
        &self.own_record
    }

    /// Records of this node and all reachable members.
    pub fn reachable_members(&self) -> Vec<MemberRecord> {
        let others = self.table.iter().filter(|e| e.status.is_reachable());
        std::iter::once(&self.own_record).chain(others.map(|e| &e.record)).cloned().collect()
    }

    /// Records of members that are unreachable or dead and have not been removed yet.
    pub fn failed_members(&self) -> Vec<MemberRecord> {
        let failed = self.table.iter().filter(|e| !e.status.is_reachable());
        failed.map(|e| e.record.clone()).collect()
    }

    /// Status of another member; none if it is unknown or has been removed.
    pub fn status_of(&self, instance: InstanceId) -> Option<MemberStatus> {
        if let Some(tombstone) = self.table.tombstones.get(&instance) {
            let has_left = tombstone.has_left;
            return Some(if has_left { MemberStatus::Left } else { MemberStatus::Dead });
        }
        self.table.entry(instance).map(|entry| entry.status)
    }

    /// Newest known record of another member.
    pub fn record_of(&self, instance: InstanceId) -> Option<&MemberRecord> {
        self.table.entry(instance).map(|entry| &entry.record)
    }

    /// Number of reachable members, including this node.
    pub fn reachable_count(&self) -> usize {
        self.table.reachable_count() + 1
    }

    /// Highest catalogue revision that any member is known to have reached. A restarted node must
    /// reach it before it serves callers.
    pub fn highest_known_revision(&self) -> u64 {
        self.highest_revision
    }

    /// Whether the node has received the first answer of a full exchange, or has no other node as
    /// seed.
    pub fn has_joined(&self) -> bool {
        let is_known_alone =
            self.seeds().next().is_none() && self.full_exchange.known_peers.is_empty();
        self.full_exchange.has_joined || is_known_alone
    }

    /// Whether no update is queued for transmission.
    pub fn is_update_queue_empty(&self) -> bool {
        self.dissemination.queue.is_empty()
    }

    /// Protocol counters since the start of the node.
    pub fn counts(&self) -> MembershipCounts {
        self.counts
    }

    /// Local health score; zero is healthy.
    pub fn health_score(&self) -> u32 {
        self.health.score()
    }

    /// Sets whether full exchanges use the peer address (TCP) instead of pages over UDP.
    pub(crate) fn use_full_state_source(&mut self, has_source: bool) {
        self.settings.has_full_state_source = has_source;
    }

    /// The settings in use.
    pub fn settings(&self) -> &MembershipSettings {
        &self.settings
    }

    fn tick(&mut self, now_ms: u64) {
        if self.has_left {
            self.gossip_if_due(now_ms);
            return;
        }
        self.advance_probes(now_ms);
        self.expire_suspicions(now_ms);
        self.start_probes(now_ms);
        self.gossip_if_due(now_ms);
        self.advance_full_exchange(now_ms);
        if now_ms >= self.next_expiry_check_ms {
            self.next_expiry_check_ms = now_ms + EXPIRY_CHECK_INTERVAL_MS;
            self.remove_expired(now_ms);
        }
    }

    /// Detects a pause of this process and postpones all probe and suspicion timeouts by its
    /// length: answers and refutations that arrived during the pause are still in the socket's
    /// buffer and must be read before a member is suspected or declared dead.
    fn detect_pause(&mut self, now_ms: u64) {
        let gap_ms = now_ms.saturating_sub(self.last_event_ms);
        self.last_event_ms = self.last_event_ms.max(now_ms);
        let is_pause = gap_ms > self.settings.pause_threshold_ms;
        if !is_pause || !self.settings.mechanisms.has_local_health {
            return;
        }
        self.counts.pauses += 1;
        self.health.worsen(1);
        self.postpone_probes(gap_ms);
        for id in self.table.suspects.clone() {
            if let Some(entry) = self.table.entry_mut(id) {
                entry.suspicion.iter_mut().for_each(|suspicion| suspicion.postpone(gap_ms));
            }
        }
    }

    fn receive(&mut self, from: SocketAddr, datagram: Datagram, now_ms: u64) {
        let Datagram { header, body, updates } = datagram;
        if header.instance == self.own_record.instance || self.has_left {
            return;
        }
        self.raise_highest_revision(header.highest_revision.max(header.revision), now_ms);
        self.merge_member_revision(header.instance, header.revision);
        let is_accused = updates.iter().any(|update| self.is_accusation(update));
        if matches!(body, DatagramBody::Page { .. }) {
            self.merge_page(updates, now_ms);
        } else {
            updates.into_iter().for_each(|update| self.merge(update, now_ms));
        }
        if matches!(body, DatagramBody::Ping { .. } | DatagramBody::Ack { .. }) {
            self.compare_digest(&header, now_ms);
        }
        if is_accused && !matches!(body, DatagramBody::Ping { .. }) {
            // The sender may have missed a refutation that cleared the suspicion on all other
            // nodes.
            self.send(
                from,
                DatagramBody::Gossip,
                vec![MemberUpdate::Full(Box::new(self.own_record.clone()))],
            );
        }
        match body {
            DatagramBody::Ping { sequence, target } => {
                self.answer_ping(from, &header, sequence, target, is_accused);
            }
            DatagramBody::PingRequest { sequence, target, address } => {
                self.relay_ping(from, sequence, target, address, now_ms);
            }
            DatagramBody::Ack { sequence, responder } => self.handle_ack(sequence, responder),
            DatagramBody::Nack { sequence } => self.handle_nack(sequence),
            DatagramBody::Gossip => {}
            DatagramBody::Pull { sequence, after } => self.answer_pull(from, sequence, after),
            DatagramBody::Page { sequence, next } => {
                self.handle_page(from, &header, sequence, next, now_ms)
            }
        }
    }

    fn is_accusation(&self, update: &MemberUpdate) -> bool {
        let is_about_this_node = update.instance() == self.own_record.instance;
        is_about_this_node
            && self.settings.mechanisms.has_refutation
            && matches!(
                update,
                MemberUpdate::Suspect { .. }
                    | MemberUpdate::Unreachable { .. }
                    | MemberUpdate::Dead { .. }
            )
    }

    fn change_own_state(
        &mut self,
        service: String,
        state: BackendState,
        revision: u64,
        now_ms: u64,
    ) {
        if self.has_left {
            return;
        }
        let has_new_service = service != self.own_record.service;
        let is_state_change = has_new_service || state != self.own_record.state;
        let is_revision_change = revision > self.own_record.revision;
        if is_revision_change {
            self.own_record.revision = revision;
            self.raise_highest_revision(revision, now_ms);
            self.dissemination.revisions.push(
                self.own_record.instance,
                UpdatePriority::Alive,
                /* is_full */ false,
            );
        }
        if is_state_change {
            self.own_record.service = service;
            self.own_record.state = state;
            self.own_record.version = (self.own_record.version + 1).min(crate::FINAL_VERSION - 1);
            self.dissemination.queue.push(
                self.own_record.instance,
                UpdatePriority::StateChange,
                /* is_full */ has_new_service,
            );
            self.gossip_now(now_ms);
        }
        if is_state_change || is_revision_change {
            self.record_change(self.own_record.instance);
        }
    }

    fn leave(&mut self, now_ms: u64) {
        if !self.has_left {
            self.has_left = true;
            self.dissemination.queue.push(
                self.own_record.instance,
                UpdatePriority::StateChange,
                /* is_full */ false,
            );
            self.gossip_now(now_ms);
        }
    }

    fn remove_expired(&mut self, now_ms: u64) {
        self.table.tombstones.retain(|_, tombstone| tombstone.until_ms > now_ms);
        let settings = &self.settings;
        let is_expired = |status: MemberStatus, age_ms: u64| match status {
            MemberStatus::Dead => age_ms >= settings.tombstone_ms,
            MemberStatus::Unreachable => age_ms >= settings.unreachable_keep_ms,
            _ => false,
        };
        if self.table.failed.is_empty() {
            return;
        }
        let entries =
            self.table.iter().filter(|e| is_expired(e.status, now_ms - e.status_since_ms));
        let expired: Vec<InstanceId> = entries.map(|e| e.record.instance).collect();
        for id in expired {
            self.table.remove(id);
        }
    }

    /// Raises the highest known catalogue revision and announces it; lower revisions are ignored.
    pub(super) fn raise_highest_revision(&mut self, revision: u64, now_ms: u64) {
        if revision > self.highest_revision {
            self.highest_revision = revision;
            let transmits = self.max_transmits();
            self.dissemination.announce_revision(transmits, now_ms);
        }
    }

    pub(super) fn next_sequence(&mut self) -> u32 {
        self.sequence = self.sequence.wrapping_add(1);
        self.sequence
    }

    pub(super) fn random_between(&mut self, from: u64, to: u64) -> u64 {
        self.rng.random_range(from..=to.max(from))
    }

    /// Returns a random period between 0.5 and 1.5 times its mean.
    pub(super) fn jittered(&mut self, mean_ms: u64) -> u64 {
        self.random_between(mean_ms / 2, mean_ms + mean_ms / 2)
    }

    pub(super) fn send(&mut self, to: SocketAddr, body: DatagramBody, updates: Vec<MemberUpdate>) {
        let header = DatagramHeader {
            instance: self.own_record.instance,
            revision: self.own_record.revision,
            highest_revision: self.highest_revision,
            digest: self.digest,
        };
        self.actions.push(MembershipAction::Send(to, Datagram { header, body, updates }));
    }

    /// Takes a removed member out of the digest and adds it to the list of changes of this step.
    pub(super) fn record_removal(&mut self, entry: MemberEntry) {
        self.digest ^= entry.digest_part;
        self.changed.push(Member { record: entry.record, status: entry.status });
    }

    /// Updates the digest for a member and adds it to the list of changes of this step.
    pub(super) fn record_change(&mut self, id: InstanceId) {
        if id == self.own_record.instance {
            let part = record_hash(&self.own_record);
            self.digest ^= self.own_digest_part ^ part;
            self.own_digest_part = part;
            let status = if self.has_left { MemberStatus::Left } else { MemberStatus::Alive };
            self.changed.push(Member { record: self.own_record.clone(), status });
        } else if let Some(entry) = self.table.entry_mut(id) {
            let part = if entry.status.is_reachable() { record_hash(&entry.record) } else { 0 };
            self.digest ^= entry.digest_part ^ part;
            entry.digest_part = part;
            self.changed.push(Member { record: entry.record.clone(), status: entry.status });
        }
    }
}

/// Hash of a record's instance and version for the digest (the finalizer of SplitMix64).
fn record_hash(record: &MemberRecord) -> u32 {
    let mut bits =
        record.instance.0 ^ u64::from(record.version).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    bits = (bits ^ (bits >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    bits = (bits ^ (bits >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    (bits ^ (bits >> 31)) as u32
}
