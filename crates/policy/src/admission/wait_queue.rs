use std::collections::BTreeMap;
use std::collections::BTreeSet;

use crate::admission::Ticket;
use crate::admission::WorkClass;

/// Number of importance ranks.
const RANKS: usize = 1 << 8;

/// A waiting request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Waiting {
    pub(super) ticket: Ticket,
    pub(super) rank: u8,
    pub(super) hash: u16,
    pub(super) class: WorkClass,
    pub(super) expected_us: u64,
    pub(super) work_us: u64,
    pub(super) deadline_us: u64,
    /// Time after which it can no longer meet its deadline.
    pub(super) latest_start_us: u64,
    /// Time from which less important work stops and lends it slots over the cap of its class.
    pub(super) urgent_us: u64,
}

/// Waiting requests, by the order in which they run, are shed, expire and become urgent.
///
/// Every operation costs O(log n).
#[derive(Debug, Default)]
pub(super) struct WaitQueue {
    entries: BTreeMap<Ticket, Waiting>,
    by_rank: [BTreeSet<(u8, Ticket)>; 2],
    by_worth: BTreeSet<(u8, u16, Ticket)>,
    by_latest_start: BTreeSet<(u64, Ticket)>,
    /// Long requests that are not urgent yet.
    by_urgency: BTreeSet<(u64, Ticket)>,
    urgent: BTreeSet<(u8, Ticket)>,
    /// Queued slot time of each class by rank, in µs. Empty until the first request waits.
    work_us: [Vec<u64>; 2],
}

impl WaitQueue {
    pub(super) fn len(&self) -> usize {
        self.entries.len()
    }

    pub(super) fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    pub(super) fn insert(&mut self, waiting: Waiting) {
        let Waiting { ticket, rank, hash, class, .. } = waiting;
        self.entries.insert(ticket, waiting);
        self.by_rank[class as usize].insert((rank, ticket));
        self.by_worth.insert((rank, hash, ticket));
        self.by_latest_start.insert((waiting.latest_start_us, ticket));
        if class == WorkClass::Long {
            self.by_urgency.insert((waiting.urgent_us, ticket));
        }
        let work_us = &mut self.work_us[class as usize];
        if work_us.is_empty() {
            work_us.resize(RANKS, 0);
        }
        work_us[usize::from(rank)] += waiting.work_us;
    }

    pub(super) fn remove(&mut self, ticket: Ticket) -> Option<Waiting> {
        let waiting = self.entries.remove(&ticket)?;
        let Waiting { rank, hash, class, .. } = waiting;
        self.by_rank[class as usize].remove(&(rank, ticket));
        self.by_worth.remove(&(rank, hash, ticket));
        self.by_latest_start.remove(&(waiting.latest_start_us, ticket));
        self.by_urgency.remove(&(waiting.urgent_us, ticket));
        self.urgent.remove(&(rank, ticket));
        self.work_us[class as usize][usize::from(rank)] -= waiting.work_us;
        Some(waiting)
    }

    /// The request of the class that runs first.
    pub(super) fn first(&self, class: WorkClass) -> Option<&Waiting> {
        let (_, ticket) = self.by_rank[class as usize].first()?;
        self.entries.get(ticket)
    }

    /// The request that is shed first.
    pub(super) fn least_worth(&self) -> Option<&Waiting> {
        let (_, _, ticket) = self.by_worth.last()?;
        self.entries.get(ticket)
    }

    /// The request that expires first, if it has expired.
    pub(super) fn expired(&self, now_us: u64) -> Option<Ticket> {
        let (latest_start_us, ticket) = *self.by_latest_start.first()?;
        (latest_start_us < now_us).then_some(ticket)
    }

    /// Marks the long requests that have become urgent.
    pub(super) fn mark_urgent(&mut self, now_us: u64) {
        while let Some((urgent_us, ticket)) = self.by_urgency.first().copied() {
            if urgent_us > now_us {
                break;
            }
            self.by_urgency.pop_first();
            if let Some(waiting) = self.entries.get(&ticket) {
                self.urgent.insert((waiting.rank, ticket));
            }
        }
    }

    /// Rank of the most important urgent request.
    pub(super) fn urgent_rank(&self) -> Option<u8> {
        self.urgent.first().map(|(rank, _)| *rank)
    }

    /// Queued slot time of the class up to and including a rank, in µs.
    pub(super) fn work_up_to_us(&self, class: WorkClass, rank: u8) -> u64 {
        self.work_us[class as usize].iter().take(usize::from(rank) + 1).sum()
    }

    /// Next time at which a request expires or becomes urgent, in µs.
    pub(super) fn next_event_us(&self) -> Option<u64> {
        let expiry = self.by_latest_start.first().map(|(at_us, _)| at_us + 1);
        let urgency = self.by_urgency.first().map(|(at_us, _)| *at_us);
        expiry.into_iter().chain(urgency).min()
    }

    /// Removes all requests, in the order of arrival.
    pub(super) fn take_all(&mut self) -> Vec<Ticket> {
        let tickets = self.entries.keys().copied().collect();
        *self = Self::default();
        tickets
    }
}
