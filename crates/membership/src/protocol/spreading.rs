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

/// Share of a probe datagram that piggybacked updates may fill.
const PIGGYBACK_BUDGET_BYTES: usize = 300;

/// Decades of the cluster size that count at least: with fewer transmissions, an update misses a
/// member of a small cluster too often.
const MIN_DECADES: f64 = 2.0;

/// Bytes of updates in a gossip datagram once the rate is used up. All datagrams of a round are
/// still sent, with the most urgent updates only, because the time in which a drain reaches all
/// members depends on the number of datagrams. Three of them in 200 ms stay below the rate.
const SCARCE_BUDGET_BYTES: usize = 150;

/// Updates that are passed over because they do not fit, so that a long one at the head of the
/// queue does not hold up the others.
const MAX_SKIPPED: usize = 8;

/// Envelope, header, body and UDP/IP headers of a datagram, for the rate limit.
const OVERHEAD_BYTES: u64 = 90;

/// Updates to spread and the rate at which that is done.
#[derive(Debug)]
pub(super) struct Spreading {
    pub queue: UpdateQueue,
    /// Members that have reached a new revision. They fill the space that other updates leave.
    pub revisions: UpdateQueue,
    next_ms: u64,
    /// Rounds in which datagrams are sent for the sake of the revision in their header alone.
    revision_transmits: u32,
    /// Bytes that may be sent now; piggybacked updates may take it below zero.
    allowance_bytes: i64,
    refilled_ms: u64,
}

impl Spreading {
    pub fn new(next_ms: u64, settings: &MembershipSettings, now_ms: u64) -> Self {
        Self {
            queue: UpdateQueue::default(),
            revisions: UpdateQueue::default(),
            next_ms,
            revision_transmits: 0,
            allowance_bytes: settings.gossip_burst_bytes as i64,
            refilled_ms: now_ms,
        }
    }

    /// Starts sending the new highest revision, which would travel only with probes otherwise.
    pub fn spread_revision(&mut self, transmits: u32, now_ms: u64) {
        if self.revision_transmits == 0 {
            self.next_ms = self.next_ms.min(now_ms);
        }
        self.revision_transmits = transmits;
    }

    /// Whether revisions of members may be sent: half of the burst is kept for other updates.
    fn may_send_revisions(&self, settings: &MembershipSettings) -> bool {
        let reserve_bytes = (settings.gossip_burst_bytes / 2) as i64;
        !self.revisions.is_empty() && self.allowance_bytes > reserve_bytes
    }

    fn refill(&mut self, settings: &MembershipSettings, now_ms: u64) {
        let passed_ms = now_ms.saturating_sub(self.refilled_ms);
        let added = passed_ms * settings.gossip_bytes_per_s / 1_000;
        self.allowance_bytes =
            (self.allowance_bytes + added as i64).min(settings.gossip_burst_bytes as i64);
        self.refilled_ms = now_ms;
    }
}

impl Membership {
    /// Transmissions of one update: enough that an update misses a member only rarely, see the
    /// SWIM paper, section 4.1 (a multiple of the logarithm of the cluster size).
    pub(super) fn max_transmits(&self) -> u32 {
        let decades = ((self.table.reachable_count() + 2) as f64).log10().max(MIN_DECADES);
        (f64::from(self.settings.retransmit_factor) * decades).ceil() as u32
    }

    pub(super) fn spread_at_once(&mut self, now_ms: u64) {
        self.spreading.next_ms = now_ms;
        self.spread(now_ms);
    }

    /// Sends a round of gossip if one is due. Two of three datagrams stay in the own data centre,
    /// because the links between data centres cost more.
    pub(super) fn spread(&mut self, now_ms: u64) {
        if now_ms < self.spreading.next_ms {
            return;
        }
        self.spreading.refill(&self.settings, now_ms);
        let has_news = !self.spreading.queue.is_empty()
            || self.spreading.revision_transmits > 0
            || self.spreading.may_send_revisions(&self.settings);
        if !has_news {
            return;
        }
        self.spreading.next_ms = now_ms + self.settings.gossip_interval_ms;
        for round in 0..self.settings.gossip_fanout {
            let prefers_remote = round % 3 == 2;
            let Some(target) = self.gossip_target(prefers_remote) else { return };
            let is_scarce = self.spreading.allowance_bytes <= 0;
            let budget_bytes = if is_scarce { SCARCE_BUDGET_BYTES } else { UPDATES_BUDGET_BYTES };
            let updates = self.next_updates(budget_bytes, &[]);
            if updates.is_empty() && self.spreading.revision_transmits == 0 {
                return;
            }
            self.spreading.revision_transmits = self.spreading.revision_transmits.saturating_sub(1);
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

    /// Updates to piggyback on a probe or its answer, after updates meant for the receiver.
    pub(super) fn piggyback(&mut self, directed: Vec<MemberUpdate>) -> Vec<MemberUpdate> {
        self.next_updates(PIGGYBACK_BUDGET_BYTES, &directed).into_iter().chain(directed).collect()
    }

    fn next_updates(
        &mut self,
        budget_bytes: usize,
        directed: &[MemberUpdate],
    ) -> Vec<MemberUpdate> {
        let mut free_bytes = budget_bytes.min(UPDATES_BUDGET_BYTES);
        free_bytes -=
            directed.iter().map(MemberUpdate::max_size_bytes).sum::<usize>().min(free_bytes);
        let mut updates = Vec::new();
        let mut taken = Vec::new();
        let mut skipped = 0;
        for (id, is_full) in self.spreading.queue.iter() {
            let Some(update) = self.update_of(id, is_full) else {
                taken.push((id, false));
                continue;
            };
            let size_bytes = update.max_size_bytes();
            if size_bytes > free_bytes {
                skipped += 1;
                if skipped > MAX_SKIPPED {
                    break;
                }
                continue;
            }
            free_bytes -= size_bytes;
            taken.push((id, true));
            updates.push(update);
        }
        if self.spreading.may_send_revisions(&self.settings) {
            self.add_revisions(free_bytes, &mut updates);
        }
        let max_transmits = self.max_transmits();
        for (id, is_sent) in taken {
            // An update without content is about a forgotten member and is dropped.
            self.spreading.queue.sent(id, if is_sent { max_transmits } else { 0 });
        }
        let sent_bytes = updates.iter().map(|u| u.max_size_bytes() as u64).sum::<u64>();
        self.spreading.allowance_bytes -= (OVERHEAD_BYTES + sent_bytes) as i64;
        updates
    }

    fn add_revisions(&mut self, mut free_bytes: usize, updates: &mut Vec<MemberUpdate>) {
        let mut taken = Vec::new();
        for (instance, _) in self.spreading.revisions.iter() {
            let own = (instance == self.own.instance).then_some(self.own.revision);
            let revision = own.or_else(|| Some(self.table.entry(instance)?.record.revision));
            let update = revision.map(|revision| MemberUpdate::Revision { instance, revision });
            let size_bytes = update.as_ref().map_or(0, MemberUpdate::max_size_bytes);
            if size_bytes > free_bytes {
                break;
            }
            free_bytes -= size_bytes;
            taken.push((instance, update.is_some()));
            updates.extend(update);
        }
        let max_transmits = self.settings.revision_transmits;
        for (id, is_sent) in taken {
            self.spreading.revisions.sent(id, if is_sent { max_transmits } else { 0 });
        }
    }

    /// The present news about a member.
    pub(super) fn update_of(&self, id: InstanceId, is_full: bool) -> Option<MemberUpdate> {
        let alive = |record: &MemberRecord| {
            if is_full {
                MemberUpdate::Full(Box::new(record.clone()))
            } else {
                MemberUpdate::brief(record)
            }
        };
        if id == self.own.instance {
            return Some(if self.has_left {
                MemberUpdate::Left { instance: id }
            } else {
                alive(&self.own)
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

    /// The own name in accusations.
    pub(super) fn accuser(&self) -> u16 {
        self.own.instance.0 as u16
    }
}
