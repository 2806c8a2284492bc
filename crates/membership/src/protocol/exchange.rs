use std::net::SocketAddr;

use rand::Rng;
use tarragon_model::identity::InstanceId;

use crate::message::DatagramBody;
use crate::message::DatagramHeader;
use crate::message::MemberUpdate;
use crate::message::UPDATES_BUDGET_BYTES;
use crate::protocol::Membership;
use crate::protocol::MembershipAction;

/// Seeds asked at once by a joining node, so that one silent seed does not delay the join.
const SEEDS_ASKED: usize = 3;

/// Share of full exchanges with a member of the own data centre.
const LOCAL_EXCHANGE_SHARE: f64 = 0.8;

/// A full exchange that is paged over UDP.
#[derive(Debug, Clone, Copy)]
struct PagedExchange {
    peer: SocketAddr,
    sequence: u32,
    after: u64,
    resend_ms: u64,
    attempts: u32,
}

/// Requests for one page before the exchange is given up.
const MAX_PAGE_ATTEMPTS: u32 = 5;

/// Two digests that differed.
#[derive(Debug, Clone, Copy)]
struct Difference {
    own: u32,
    other: u32,
    since_ms: u64,
}

/// Joins and full exchanges.
#[derive(Debug)]
pub(super) struct Exchange {
    pub has_joined: bool,
    next_join_ms: u64,
    next_full_ms: u64,
    next_seed_ms: u64,
    /// Exchange after a partition: when, and with whom.
    after_heal: Option<(u64, InstanceId)>,
    paged: Option<PagedExchange>,
    /// When another node's digest was last equal to the own one.
    last_match_ms: u64,
    difference: Option<Difference>,
    next_repair_ms: u64,
}

impl Exchange {
    pub fn new(now_ms: u64, next_full_ms: u64, next_seed_ms: u64) -> Self {
        Self {
            has_joined: false,
            next_join_ms: now_ms,
            next_full_ms,
            next_seed_ms,
            after_heal: None,
            paged: None,
            last_match_ms: now_ms,
            difference: None,
            next_repair_ms: now_ms,
        }
    }
}

impl Membership {
    pub(super) fn seeds(&self) -> impl Iterator<Item = SocketAddr> + '_ {
        let own = self.own.gossip_address;
        self.settings.seeds.iter().copied().filter(move |seed| *seed != own)
    }

    /// Joins, and starts the full exchanges that are due.
    pub(super) fn advance_exchange(&mut self, now_ms: u64) {
        self.advance_page(now_ms);
        let is_alone = self.table.reachable_count() == 0;
        if !self.exchange.has_joined || is_alone {
            if now_ms >= self.exchange.next_join_ms {
                let mean_ms = if !self.exchange.has_joined {
                    self.settings.join_retry_ms
                } else {
                    self.settings.reprobe_interval_ms
                };
                self.exchange.next_join_ms = now_ms + self.jittered(mean_ms);
                self.contact_seeds(SEEDS_ASKED);
            }
            return;
        }
        if now_ms >= self.exchange.next_seed_ms {
            self.exchange.next_seed_ms =
                now_ms + self.jittered(self.settings.seed_contact_interval_ms);
            self.contact_lost_seed();
        }
        if let Some((at_ms, peer)) = self.exchange.after_heal {
            if now_ms >= at_ms {
                self.exchange.after_heal = None;
                self.postpone_repair(now_ms);
                self.start_exchange(peer, now_ms);
            }
        }
        if now_ms >= self.exchange.next_full_ms {
            self.exchange.next_full_ms =
                now_ms + self.jittered(self.settings.full_exchange_interval_ms);
            let is_local = self.rng.random_bool(LOCAL_EXCHANGE_SHARE);
            let (local, remote) = (&self.table.local, &self.table.remote);
            let (first, second) = if is_local { (local, remote) } else { (remote, local) };
            let peer = first.choose(&mut self.rng).or_else(|| second.choose(&mut self.rng));
            if let Some(peer) = peer {
                self.start_exchange(peer, now_ms);
            }
        }
    }

    /// Plans a full exchange with a member that is back, at a random time, so that the members of
    /// both sides of a healed partition do not all ask at once.
    pub(super) fn schedule_exchange_after_heal(&mut self, peer: InstanceId, now_ms: u64) {
        if self.exchange.after_heal.is_none() && now_ms >= self.exchange.next_repair_ms {
            let at_ms = now_ms + self.random_between(0, self.settings.heal_jitter_ms);
            self.exchange.after_heal = Some((at_ms, peer));
        }
    }

    /// Compares digests after a contact, and makes a full exchange if updates have been missed.
    ///
    /// That is so if none matched for long. It is also so if both digests were seen before, long
    /// enough ago for every update to have arrived: other members may have missed the same update
    /// and match.
    pub(super) fn compare_digest(&mut self, header: &DatagramHeader, now_ms: u64) {
        let after_ms = self.settings.repair_after_ms;
        if header.digest == self.digest {
            self.exchange.last_match_ms = now_ms;
            return;
        }
        let difference = Difference { own: self.digest, other: header.digest, since_ms: now_ms };
        let known = *self.exchange.difference.get_or_insert(difference);
        let is_lasting = now_ms >= known.since_ms + after_ms;
        let is_same = known.own == difference.own && known.other == difference.other;
        if known.own != difference.own || is_lasting {
            self.exchange.difference = Some(difference);
        }
        let has_missed = is_lasting && is_same || now_ms >= self.exchange.last_match_ms + after_ms;
        if has_missed && now_ms >= self.exchange.next_repair_ms {
            self.postpone_repair(now_ms);
            self.start_exchange(header.instance, now_ms);
        }
    }

    fn postpone_repair(&mut self, now_ms: u64) {
        let members = self.table.reachable_count() as u64;
        let by_size_ms = members * self.settings.repair_interval_ms_per_member;
        let wait_ms = self.jittered(by_size_ms.max(self.settings.repair_interval_ms));
        self.exchange.next_repair_ms = now_ms + wait_ms;
    }

    fn contact_seeds(&mut self, count: usize) {
        let mut seeds: Vec<SocketAddr> = self.seeds().collect();
        for _ in 0..count.min(seeds.len()) {
            let at = self.rng.random_range(0..seeds.len());
            let seed = seeds.swap_remove(at);
            self.ask_page(seed, 0, 0);
        }
    }

    /// Asks a seed that is not known as a member: a partition that both sides have forgotten
    /// heals only in this way.
    fn contact_lost_seed(&mut self) {
        let members: Vec<SocketAddr> = self.table.iter().map(|e| e.record.gossip_address).collect();
        let lost: Vec<SocketAddr> = self.seeds().filter(|seed| !members.contains(seed)).collect();
        if !lost.is_empty() {
            let seed = lost[self.rng.random_range(0..lost.len())];
            self.ask_page(seed, 0, 0);
        }
    }

    fn start_exchange(&mut self, peer: InstanceId, now_ms: u64) {
        let Some(entry) = self.table.entry(peer) else { return };
        let (gossip, peer_address) = (entry.record.gossip_address, entry.record.peer_address);
        self.counts.full_exchanges += 1;
        if self.settings.has_full_state_source {
            self.actions.push(MembershipAction::RequestFullState(peer_address));
        } else if self.exchange.paged.is_none() {
            self.start_paged(gossip, 0, now_ms);
        }
    }

    fn start_paged(&mut self, peer: SocketAddr, after: u64, now_ms: u64) {
        let sequence = self.next_sequence();
        let resend_ms = now_ms + self.settings.probe_resend_ms;
        self.exchange.paged = Some(PagedExchange { peer, sequence, after, resend_ms, attempts: 1 });
        self.ask_page(peer, sequence, after);
    }

    fn ask_page(&mut self, peer: SocketAddr, sequence: u32, after: u64) {
        let updates = if after == 0 {
            vec![MemberUpdate::Full(Box::new(self.own.clone()))]
        } else {
            Vec::new()
        };
        self.send(peer, DatagramBody::Pull { sequence, after }, updates);
    }

    fn advance_page(&mut self, now_ms: u64) {
        let Some(mut paged) = self.exchange.paged else { return };
        if now_ms < paged.resend_ms {
            return;
        }
        if paged.attempts >= MAX_PAGE_ATTEMPTS {
            self.exchange.paged = None;
            return;
        }
        paged.attempts += 1;
        paged.resend_ms = now_ms + self.settings.probe_resend_ms;
        self.exchange.paged = Some(paged);
        self.ask_page(paged.peer, paged.sequence, paged.after);
    }

    /// Answers with one page, so that the asker sets the pace and the answer is never larger than
    /// a datagram.
    pub(super) fn answer_pull(&mut self, from: SocketAddr, sequence: u32, after: u64) {
        let mut updates = Vec::new();
        let mut free_bytes = UPDATES_BUDGET_BYTES;
        let mut next = None;
        if after == 0 {
            let own = MemberUpdate::Full(Box::new(self.own.clone()));
            free_bytes -= own.max_size_bytes().min(free_bytes);
            updates.push(own);
        }
        let mut last = after;
        for entry in self.table.after(InstanceId(after)) {
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

    pub(super) fn take_page(
        &mut self,
        from: SocketAddr,
        header: &DatagramHeader,
        sequence: u32,
        next: Option<u64>,
        now_ms: u64,
    ) {
        let is_join = !self.exchange.has_joined && sequence == 0;
        if is_join {
            self.exchange.has_joined = true;
            if self.settings.has_full_state_source {
                self.start_exchange(header.instance, now_ms);
                return;
            }
        }
        let is_awaited = self.exchange.paged.is_some_and(|p| p.sequence == sequence);
        if is_awaited {
            self.exchange.paged = None;
        }
        let Some(next) = next else { return };
        if is_awaited || is_join {
            self.start_paged(from, next, now_ms);
        }
    }
}
