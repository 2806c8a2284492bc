use tarragon_model::identity::InstanceId;
use tarragon_model::member::MemberRecord;

use crate::message::DatagramBody;
use crate::message::MemberUpdate;
use crate::message::UPDATES_BUDGET_BYTES;
use crate::protocol::suspicion::Suspicion;
use crate::protocol::update_queue::UpdateQueue;
use crate::protocol::MemberStatus;
use crate::protocol::Membership;
use crate::settings::MembershipSettings;

/// Maximum size of the piggybacked updates in a probe or its answer, in bytes.
const PIGGYBACK_BUDGET_BYTES: usize = 300;

/// Minimum decimal logarithm of the cluster size for the number of transmissions: with fewer
/// transmissions, an update misses a member of a small cluster too often.
const MIN_SIZE_DECADES: f64 = 2.0;

/// Maximum size of the updates in a gossip datagram while the rate limit is exceeded, in bytes. All
/// datagrams of a round are still sent, with only the updates of the highest priority, because the
/// time in which a drain reaches all members depends on the number of datagrams. Three such
/// datagrams per 200 ms stay below the rate limit.
const RATE_LIMITED_BUDGET_BYTES: usize = 150;

/// Maximum number of updates that are skipped because they do not fit, so that a long one at the
/// head of the queue does not block the others.
const MAX_SKIPPED_UPDATES: usize = 8;

/// Bytes of the envelope, header, body and UDP/IP headers of a datagram, which count towards the
/// rate limit.
const DATAGRAM_OVERHEAD_BYTES: u64 = 90;

/// Queued updates and the token bucket that limits the gossip rate.
#[derive(Debug)]
pub(super) struct Dissemination {
    pub queue: UpdateQueue,
    /// Members that have reached a new catalogue revision. Their updates fill the space that is
    /// left after those of `queue`.
    pub revisions: UpdateQueue,
    next_round_ms: u64,
    /// Gossip datagrams to be sent even without updates, because their header carries a new highest
    /// revision.
    revision_datagrams_left: u32,
    /// Tokens of the bucket: bytes that may be sent now. Negative after datagrams that were sent
    /// regardless of the rate.
    allowance_bytes: i64,
    last_refill_ms: u64,
}

impl Dissemination {
    pub fn new(next_round_ms: u64, settings: &MembershipSettings, now_ms: u64) -> Self {
        Self {
            queue: UpdateQueue::default(),
            revisions: UpdateQueue::default(),
            next_round_ms,
            revision_datagrams_left: 0,
            allowance_bytes: settings.gossip_burst_bytes as i64,
            last_refill_ms: now_ms,
        }
    }

    /// Sends the new highest revision with the next gossip datagrams. Otherwise only probes and
    /// their answers would carry it.
    pub fn announce_revision(&mut self, transmits: u32, now_ms: u64) {
        if self.revision_datagrams_left == 0 {
            self.next_round_ms = self.next_round_ms.min(now_ms);
        }
        self.revision_datagrams_left = transmits;
    }

    /// Whether revisions of members may be sent: half of the burst is reserved for other updates.
    fn may_send_revisions(&self, settings: &MembershipSettings) -> bool {
        let reserve_bytes = (settings.gossip_burst_bytes / 2) as i64;
        !self.revisions.is_empty() && self.allowance_bytes > reserve_bytes
    }

    /// Refills the token bucket for the time since the last refill.
    fn refill(&mut self, settings: &MembershipSettings, now_ms: u64) {
        let elapsed_ms = now_ms.saturating_sub(self.last_refill_ms);
        let added_bytes = elapsed_ms * settings.gossip_bytes_per_s / 1_000;
        self.allowance_bytes =
            (self.allowance_bytes + added_bytes as i64).min(settings.gossip_burst_bytes as i64);
        self.last_refill_ms = now_ms;
    }
}

impl Membership {
    /// Transmissions of one update: a multiple of the logarithm of the cluster size (SWIM paper,
    /// section 4.1), so that an update rarely misses a member.
    pub(super) fn max_transmits(&self) -> u32 {
        let decades = ((self.table.reachable_count() + 2) as f64).log10().max(MIN_SIZE_DECADES);
        (f64::from(self.settings.retransmit_factor) * decades).ceil() as u32
    }

    /// Sends a round of gossip without waiting for the gossip interval.
    pub(super) fn gossip_now(&mut self, now_ms: u64) {
        self.dissemination.next_round_ms = now_ms;
        self.gossip_if_due(now_ms);
    }

    /// Sends a round of gossip if one is due and there is something to send. Two of three datagrams
    /// stay in this node's data centre, because links between data centres cost more.
    pub(super) fn gossip_if_due(&mut self, now_ms: u64) {
        if now_ms < self.dissemination.next_round_ms {
            return;
        }
        self.dissemination.refill(&self.settings, now_ms);
        let has_updates = !self.dissemination.queue.is_empty()
            || self.dissemination.revision_datagrams_left > 0
            || self.dissemination.may_send_revisions(&self.settings);
        if !has_updates {
            return;
        }
        self.dissemination.next_round_ms = now_ms + self.settings.gossip_interval_ms;
        for index in 0..self.settings.gossip_fanout {
            let prefers_remote = index % 3 == 2;
            let Some(target) = self.gossip_target(prefers_remote) else { return };
            let is_rate_limited = self.dissemination.allowance_bytes <= 0;
            let budget_bytes =
                if is_rate_limited { RATE_LIMITED_BUDGET_BYTES } else { UPDATES_BUDGET_BYTES };
            let updates = self.select_updates(budget_bytes, &[]);
            if updates.is_empty() && self.dissemination.revision_datagrams_left == 0 {
                return;
            }
            self.dissemination.revision_datagrams_left =
                self.dissemination.revision_datagrams_left.saturating_sub(1);
            if let Some(entry) = self.table.entry(target) {
                let address = entry.record.gossip_address;
                self.send(address, DatagramBody::Gossip, updates);
            }
        }
    }

    fn gossip_target(&mut self, prefers_remote: bool) -> Option<InstanceId> {
        let (local, remote) = (&self.table.local, &self.table.remote);
        let (first, second) = if prefers_remote { (remote, local) } else { (local, remote) };
        first.choose(&mut self.rng).or_else(|| second.choose(&mut self.rng))
    }

    /// Updates for a probe or its answer: queued ones that fit beside the `directed` updates, then
    /// the `directed` ones, which are meant for the receiver.
    pub(super) fn piggyback(&mut self, directed: Vec<MemberUpdate>) -> Vec<MemberUpdate> {
        self.select_updates(PIGGYBACK_BUDGET_BYTES, &directed).into_iter().chain(directed).collect()
    }

    /// Takes queued updates in order of priority for one datagram and counts their transmission.
    fn select_updates(
        &mut self,
        budget_bytes: usize,
        directed: &[MemberUpdate],
    ) -> Vec<MemberUpdate> {
        let mut free_bytes = budget_bytes.min(UPDATES_BUDGET_BYTES);
        free_bytes -=
            directed.iter().map(MemberUpdate::max_size_bytes).sum::<usize>().min(free_bytes);
        let mut updates = Vec::new();
        let mut selected = Vec::new();
        let mut skipped = 0;
        for (id, is_full) in self.dissemination.queue.iter() {
            let Some(update) = self.current_update(id, is_full) else {
                selected.push((id, false));
                continue;
            };
            let size_bytes = update.max_size_bytes();
            if size_bytes > free_bytes {
                skipped += 1;
                if skipped > MAX_SKIPPED_UPDATES {
                    break;
                }
                continue;
            }
            free_bytes -= size_bytes;
            selected.push((id, true));
            updates.push(update);
        }
        if self.dissemination.may_send_revisions(&self.settings) {
            self.append_revision_updates(free_bytes, &mut updates);
        }
        let max_transmits = self.max_transmits();
        for (id, is_sent) in selected {
            // There is no update if the member has been removed; its queue entry is dropped.
            self.dissemination
                .queue
                .record_transmission(id, if is_sent { max_transmits } else { 0 });
        }
        let sent_bytes = updates.iter().map(|u| u.max_size_bytes() as u64).sum::<u64>();
        self.dissemination.allowance_bytes -= (DATAGRAM_OVERHEAD_BYTES + sent_bytes) as i64;
        updates
    }

    fn append_revision_updates(&mut self, mut free_bytes: usize, updates: &mut Vec<MemberUpdate>) {
        let mut selected = Vec::new();
        for (instance, _) in self.dissemination.revisions.iter() {
            let own_revision =
                (instance == self.own_record.instance).then_some(self.own_record.revision);
            let revision =
                own_revision.or_else(|| Some(self.table.entry(instance)?.record.revision));
            let update = revision.map(|revision| MemberUpdate::Revision { instance, revision });
            let size_bytes = update.as_ref().map_or(0, MemberUpdate::max_size_bytes);
            if size_bytes > free_bytes {
                break;
            }
            free_bytes -= size_bytes;
            selected.push((instance, update.is_some()));
            updates.extend(update);
        }
        let max_transmits = self.settings.revision_transmits;
        for (id, is_sent) in selected {
            self.dissemination
                .revisions
                .record_transmission(id, if is_sent { max_transmits } else { 0 });
        }
    }

    /// The current update about a member; none if it is unknown.
    pub(super) fn current_update(&self, id: InstanceId, is_full: bool) -> Option<MemberUpdate> {
        let alive = |record: &MemberRecord| {
            if is_full {
                MemberUpdate::Full(Box::new(record.clone()))
            } else {
                MemberUpdate::brief(record)
            }
        };
        if id == self.own_record.instance {
            return Some(if self.has_left {
                MemberUpdate::Left { instance: id }
            } else {
                alive(&self.own_record)
            });
        }
        if let Some(tombstone) = self.table.tombstones.get(&id) {
            return Some(if tombstone.has_left {
                MemberUpdate::Left { instance: id }
            } else {
                MemberUpdate::Dead { instance: id, version: crate::FINAL_VERSION }
            });
        }
        let entry = self.table.entry(id)?;
        let version = entry.status_version;
        Some(match entry.status {
            MemberStatus::Alive => alive(&entry.record),
            MemberStatus::Suspect => {
                let accuser = entry.suspicion.as_ref().map_or(0, Suspicion::last_accuser);
                MemberUpdate::Suspect { instance: id, version, accuser }
            }
            MemberStatus::Unreachable => MemberUpdate::Unreachable { instance: id, version },
            MemberStatus::Dead | MemberStatus::Left => MemberUpdate::Dead { instance: id, version },
        })
    }

    /// Identifier of this node as an accuser: the low bits of its instance.
    pub(super) fn own_accuser_id(&self) -> u16 {
        self.own_record.instance.0 as u16
    }
}
