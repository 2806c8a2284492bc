use std::net::SocketAddr;

use rand::Rng;
use tarragon_model::identity::InstanceId;

use crate::message::DatagramBody;
use crate::message::DatagramHeader;
use crate::message::MemberUpdate;
use crate::message::UPDATES_BUDGET_BYTES;
use crate::protocol::Membership;
use crate::protocol::MembershipAction;

/// Number of seeds that a joining node contacts at a time, so that a seed that does not answer
/// does not delay the join.
const JOIN_SEED_REQUESTS: usize = 3;

/// Share of periodic full exchanges that go to a member of this node's data centre.
const LOCAL_EXCHANGE_SHARE: f64 = 0.8;

/// Sequence number of page requests to seeds, which do not belong to a paged exchange.
const SEED_REQUEST_SEQUENCE: u32 = 0;

/// Value of `after` that requests the first page.
const FIRST_PAGE: u64 = 0;

/// Full exchange in progress over UDP, page by page.
#[derive(Debug, Clone, Copy)]
struct PagedExchange {
    peer: SocketAddr,
    sequence: u32,
    /// The requested page starts with the first instance above this value.
    after: u64,
    resend_ms: u64,
    attempts: u32,
}

/// Maximum number of requests for one page, after which the exchange is aborted.
const MAX_PAGE_ATTEMPTS: u32 = 5;

/// Digests of this node and of another node that differed, and the time at which this was first
/// seen.
#[derive(Debug, Clone, Copy)]
struct DigestMismatch {
    own_digest: u32,
    other_digest: u32,
    since_ms: u64,
}

/// State of joining and of full exchanges.
#[derive(Debug)]
pub(super) struct FullExchange {
    pub has_joined: bool,
    /// Time of the next attempt to join, in ms.
    next_join_ms: u64,
    /// Time of the next periodic full exchange, in ms.
    next_full_ms: u64,
    /// Time of the next request to a seed that is not a member, in ms.
    next_seed_ms: u64,
    /// Gossip addresses of nodes that this node knows from earlier.
    pub known_peers: Vec<SocketAddr>,
    /// Time of the next requests to known peers that are no members, in ms.
    next_known_ms: u64,
    /// Time and peer of the full exchange after a healed partition.
    scheduled_after_heal: Option<(u64, InstanceId)>,
    paged: Option<PagedExchange>,
    /// Time at which another node's digest last equalled the digest of this node.
    last_digest_match_ms: u64,
    mismatch: Option<DigestMismatch>,
    /// Earliest time of the next repair, a full exchange after differing digests or a healed
    /// partition, in ms.
    next_repair_ms: u64,
}

impl FullExchange {
    pub fn new(now_ms: u64, next_full_ms: u64, next_seed_ms: u64) -> Self {
        Self {
            has_joined: false,
            next_join_ms: now_ms,
            next_full_ms,
            next_seed_ms,
            known_peers: Vec::new(),
            next_known_ms: now_ms,
            scheduled_after_heal: None,
            paged: None,
            last_digest_match_ms: now_ms,
            mismatch: None,
            next_repair_ms: now_ms,
        }
    }
}

impl Membership {
    /// Gossip addresses of the seeds, without the address of this node.
    pub(super) fn seeds(&self) -> impl Iterator<Item = SocketAddr> + '_ {
        let own_address = self.own_record.gossip_address;
        self.settings.seeds.iter().copied().filter(move |seed| *seed != own_address)
    }

    /// Contacts seeds until the node has joined, and starts the full exchanges that are due.
    pub(super) fn advance_full_exchange(&mut self, now_ms: u64) {
        self.advance_paged_exchange(now_ms);
        let has_known_peers = !self.full_exchange.known_peers.is_empty();
        if has_known_peers && now_ms >= self.full_exchange.next_known_ms {
            self.full_exchange.next_known_ms =
                now_ms + self.jittered(self.settings.known_peer_interval_ms);
            self.contact_missing_peers();
        }
        let is_alone = self.table.reachable_count() == 0;
        if !self.full_exchange.has_joined || is_alone {
            if now_ms >= self.full_exchange.next_join_ms {
                let mean_ms = if !self.full_exchange.has_joined {
                    self.settings.join_retry_ms
                } else {
                    self.settings.reprobe_interval_ms
                };
                self.full_exchange.next_join_ms = now_ms + self.jittered(mean_ms);
                self.contact_seeds(JOIN_SEED_REQUESTS);
            }
            return;
        }
        if now_ms >= self.full_exchange.next_seed_ms {
            self.full_exchange.next_seed_ms =
                now_ms + self.jittered(self.settings.seed_contact_interval_ms);
            self.contact_unknown_seed();
        }
        if let Some((at_ms, peer)) = self.full_exchange.scheduled_after_heal {
            if now_ms >= at_ms {
                self.full_exchange.scheduled_after_heal = None;
                self.schedule_next_repair(now_ms);
                self.start_full_exchange(peer, now_ms);
            }
        }
        if now_ms >= self.full_exchange.next_full_ms {
            self.full_exchange.next_full_ms =
                now_ms + self.jittered(self.settings.full_exchange_interval_ms);
            let is_local = self.rng.random_bool(LOCAL_EXCHANGE_SHARE);
            let (local, remote) = (&self.table.local, &self.table.remote);
            let (first, second) = if is_local { (local, remote) } else { (remote, local) };
            let peer = first.choose(&mut self.rng).or_else(|| second.choose(&mut self.rng));
            if let Some(peer) = peer {
                self.start_full_exchange(peer, now_ms);
            }
        }
    }

    /// Schedules a full exchange with a member that is reachable again. The time is random, so that
    /// after a partition has healed the members do not all start an exchange at once.
    pub(super) fn schedule_full_exchange_after_heal(&mut self, peer: InstanceId, now_ms: u64) {
        if self.full_exchange.scheduled_after_heal.is_none()
            && now_ms >= self.full_exchange.next_repair_ms
        {
            let at_ms = now_ms + self.random_between(0, self.settings.heal_jitter_ms);
            self.full_exchange.scheduled_after_heal = Some((at_ms, peer));
        }
    }

    /// Compares the digest of another node with the digest of this node and starts a full exchange
    /// if this node has probably missed updates.
    ///
    /// There are two signs of missed updates. The first is that no digest has matched for
    /// `repair_after_ms`. The second is that the same two digests already differed at least
    /// `repair_after_ms` ago, which is enough time for gossip to deliver every update. It is needed
    /// if two members missed the same update: their digests match each other, so the first sign
    /// does not appear.
    pub(super) fn compare_digest(&mut self, header: &DatagramHeader, now_ms: u64) {
        let after_ms = self.settings.repair_after_ms;
        if header.digest == self.digest {
            self.full_exchange.last_digest_match_ms = now_ms;
            return;
        }
        let mismatch = DigestMismatch {
            own_digest: self.digest,
            other_digest: header.digest,
            since_ms: now_ms,
        };
        let previous = *self.full_exchange.mismatch.get_or_insert(mismatch);
        let is_lasting = now_ms >= previous.since_ms + after_ms;
        let is_same = previous.own_digest == mismatch.own_digest
            && previous.other_digest == mismatch.other_digest;
        if previous.own_digest != mismatch.own_digest || is_lasting {
            self.full_exchange.mismatch = Some(mismatch);
        }
        let has_missed_updates =
            is_lasting && is_same || now_ms >= self.full_exchange.last_digest_match_ms + after_ms;
        if has_missed_updates && now_ms >= self.full_exchange.next_repair_ms {
            self.schedule_next_repair(now_ms);
            self.start_full_exchange(header.instance, now_ms);
        }
    }

    /// Sets the earliest time of the next repair. The delay grows with the number of members.
    fn schedule_next_repair(&mut self, now_ms: u64) {
        let members = self.table.reachable_count() as u64;
        let by_size_ms = members * self.settings.repair_interval_ms_per_member;
        let wait_ms = self.jittered(by_size_ms.max(self.settings.repair_interval_ms));
        self.full_exchange.next_repair_ms = now_ms + wait_ms;
    }

    fn contact_seeds(&mut self, count: usize) {
        let mut seeds: Vec<SocketAddr> = self.seeds().collect();
        for _ in 0..count.min(seeds.len()) {
            let index = self.rng.random_range(0..seeds.len());
            let seed = seeds.swap_remove(index);
            self.request_page(seed, SEED_REQUEST_SEQUENCE, FIRST_PAGE);
        }
    }

    /// Requests a page from a random seed that is not a reachable member. If both sides of a
    /// partition have removed each other's members, or if a node that is its own only seed has
    /// restarted, this is the only way to reconnect them.
    fn contact_unknown_seed(&mut self) {
        let reachable = self.table.iter().filter(|entry| entry.status.is_reachable());
        let members: Vec<SocketAddr> = reachable.map(|e| e.record.gossip_address).collect();
        let unknown: Vec<SocketAddr> =
            self.seeds().filter(|seed| !members.contains(seed)).collect();
        if !unknown.is_empty() {
            let seed = unknown[self.rng.random_range(0..unknown.len())];
            self.request_page(seed, SEED_REQUEST_SEQUENCE, FIRST_PAGE);
        }
    }

    /// Requests a page from every known peer that is no reachable member. An address may belong to
    /// another node by now, which then answers for itself.
    fn contact_missing_peers(&mut self) {
        let reachable = self.table.iter().filter(|entry| entry.status.is_reachable());
        let members: Vec<SocketAddr> = reachable.map(|e| e.record.gossip_address).collect();
        let own_address = self.own_record.gossip_address;
        let peers = self.full_exchange.known_peers.iter().copied();
        let missing: Vec<SocketAddr> =
            peers.filter(|peer| *peer != own_address && !members.contains(peer)).collect();
        for peer in missing {
            self.request_page(peer, SEED_REQUEST_SEQUENCE, FIRST_PAGE);
        }
    }

    fn start_full_exchange(&mut self, peer: InstanceId, now_ms: u64) {
        let Some(entry) = self.table.entry(peer) else { return };
        let (gossip_address, peer_address) =
            (entry.record.gossip_address, entry.record.peer_address);
        self.counts.full_exchanges += 1;
        if self.settings.has_full_state_source {
            self.actions.push(MembershipAction::RequestFullState(peer_address));
        } else if self.full_exchange.paged.is_none() {
            self.start_paged_exchange(gossip_address, FIRST_PAGE, now_ms);
        }
    }

    fn start_paged_exchange(&mut self, peer: SocketAddr, after: u64, now_ms: u64) {
        let sequence = self.next_sequence();
        let resend_ms = now_ms + self.settings.probe_resend_ms;
        self.full_exchange.paged =
            Some(PagedExchange { peer, sequence, after, resend_ms, attempts: 1 });
        self.request_page(peer, sequence, after);
    }

    fn request_page(&mut self, peer: SocketAddr, sequence: u32, after: u64) {
        let updates = if after == FIRST_PAGE {
            vec![MemberUpdate::Full(Box::new(self.own_record.clone()))]
        } else {
            Vec::new()
        };
        self.send(peer, DatagramBody::Pull { sequence, after }, updates);
    }

    /// Resends a page request that has not been answered, or aborts the exchange after
    /// `MAX_PAGE_ATTEMPTS`.
    fn advance_paged_exchange(&mut self, now_ms: u64) {
        let Some(mut paged) = self.full_exchange.paged else { return };
        if now_ms < paged.resend_ms {
            return;
        }
        if paged.attempts >= MAX_PAGE_ATTEMPTS {
            self.full_exchange.paged = None;
            return;
        }
        paged.attempts += 1;
        paged.resend_ms = now_ms + self.settings.probe_resend_ms;
        self.full_exchange.paged = Some(paged);
        self.request_page(paged.peer, paged.sequence, paged.after);
    }

    /// Answers a page request with one page: the requester controls the rate, and the answer never
    /// exceeds one datagram.
    pub(super) fn answer_pull(&mut self, from: SocketAddr, sequence: u32, after: u64) {
        let mut updates = Vec::new();
        let mut free_bytes = UPDATES_BUDGET_BYTES;
        let mut next = None;
        if after == FIRST_PAGE {
            let own_update = MemberUpdate::Full(Box::new(self.own_record.clone()));
            free_bytes -= own_update.max_size_bytes().min(free_bytes);
            updates.push(own_update);
        }
        let mut last = after;
        for entry in self.table.entries_after(InstanceId(after)) {
            if entry.status.is_reachable() {
                let update = MemberUpdate::Full(Box::new(entry.record.clone()));
                let size_bytes = update.max_size_bytes();
                if size_bytes > free_bytes {
                    next = Some(last);
                    break;
                }
                free_bytes -= size_bytes;
                updates.push(update);
            }
            last = entry.record.instance.0;
        }
        self.send(from, DatagramBody::Page { sequence, next }, updates);
    }

    pub(super) fn handle_page(
        &mut self,
        from: SocketAddr,
        header: &DatagramHeader,
        sequence: u32,
        next: Option<u64>,
        now_ms: u64,
    ) {
        let is_join = !self.full_exchange.has_joined && sequence == SEED_REQUEST_SEQUENCE;
        if is_join {
            self.full_exchange.has_joined = true;
            if self.settings.has_full_state_source {
                self.start_full_exchange(header.instance, now_ms);
                return;
            }
        }
        let is_awaited = self.full_exchange.paged.is_some_and(|p| p.sequence == sequence);
        if is_awaited {
            self.full_exchange.paged = None;
        }
        let Some(next) = next else { return };
        if is_awaited || is_join {
            self.start_paged_exchange(from, next, now_ms);
        }
    }
}
