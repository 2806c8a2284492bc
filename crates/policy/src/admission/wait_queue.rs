use std::collections::BTreeMap;
use std::collections::BTreeSet;

use crate::admission::Ticket;
use crate::admission::WorkClass;

/// Number of importance ranks.
const RANK_COUNT: usize = 1 << 8;

/// A waiting request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct WaitingRequest {
    pub(super) ticket: Ticket,
    pub(super) rank: u8,
    pub(super) hash: u16,
    pub(super) class: WorkClass,
    pub(super) expected_us: u64,
    pub(super) work_us: u64,
    pub(super) deadline_us: u64,
    /// Latest start at which it can still meet its deadline, in µs.
    pub(super) latest_start_us: u64,
    /// Time from which no less important request starts before it and its class may exceed its
    /// share of the limit, in µs. Applies to long requests.
    pub(super) urgent_us: u64,
}

/// Queue of waiting requests with indexes for the order in which they run, are shed, expire and
/// become urgent.
///
/// Every operation costs O(log n).
#[derive(Debug, Default)]
pub(super) struct WaitQueue {
    by_ticket: BTreeMap<Ticket, WaitingRequest>,
    by_rank: [BTreeSet<(u8, Ticket)>; 2],
    by_shedding: BTreeSet<(u8, u16, Ticket)>,
    by_latest_start: BTreeSet<(u64, Ticket)>,
    /// Long requests that are not urgent yet.
    by_urgency: BTreeSet<(u64, Ticket)>,
    urgent: BTreeSet<(u8, Ticket)>,
    /// Queued slot time of each class by rank, in µs. Empty until the first request is queued.
    work_us: [Vec<u64>; 2],
}

impl WaitQueue {
    pub(super) fn len(&self) -> usize {
        self.by_ticket.len()
    }

    pub(super) fn is_empty(&self) -> bool {
        self.by_ticket.is_empty()
    }

    pub(super) fn insert(&mut self, waiting: WaitingRequest) {
        let WaitingRequest { ticket, rank, hash, class, .. } = waiting;
        self.by_ticket.insert(ticket, waiting);
        self.by_rank[class as usize].insert((rank, ticket));
        self.by_shedding.insert((rank, hash, ticket));
        self.by_latest_start.insert((waiting.latest_start_us, ticket));
        if class == WorkClass::Long {
            self.by_urgency.insert((waiting.urgent_us, ticket));
        }
        let work_us = &mut self.work_us[class as usize];
        if work_us.is_empty() {
            work_us.resize(RANK_COUNT, 0);
        }
        work_us[usize::from(rank)] += waiting.work_us;
    }

    pub(super) fn remove(&mut self, ticket: Ticket) -> Option<WaitingRequest> {
        let waiting = self.by_ticket.remove(&ticket)?;
        let WaitingRequest { rank, hash, class, .. } = waiting;
        self.by_rank[class as usize].remove(&(rank, ticket));
        self.by_shedding.remove(&(rank, hash, ticket));
        self.by_latest_start.remove(&(waiting.latest_start_us, ticket));
        self.by_urgency.remove(&(waiting.urgent_us, ticket));
        self.urgent.remove(&(rank, ticket));
        self.work_us[class as usize][usize::from(rank)] -= waiting.work_us;
        Some(waiting)
    }

    /// Returns the request of the class that runs first.
    pub(super) fn first(&self, class: WorkClass) -> Option<&WaitingRequest> {
        let (_, ticket) = self.by_rank[class as usize].first()?;
        self.by_ticket.get(ticket)
    }

    /// Returns the request that is shed first.
    pub(super) fn first_to_shed(&self) -> Option<&WaitingRequest> {
        let (_, _, ticket) = self.by_shedding.last()?;
        self.by_ticket.get(ticket)
    }

    /// Returns the request that expires first, if it has expired.
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
            if let Some(waiting) = self.by_ticket.get(&ticket) {
                self.urgent.insert((waiting.rank, ticket));
            }
        }
    }

    /// Rank of the most important urgent request.
    pub(super) fn urgent_rank(&self) -> Option<u8> {
        self.urgent.first().map(|(rank, _)| *rank)
    }

    /// Queued slot time of the class up to and including a rank, in µs.
    pub(super) fn queued_work_us(&self, class: WorkClass, rank: u8) -> u64 {
        self.work_us[class as usize].iter().take(usize::from(rank) + 1).sum()
    }

    /// Next time at which a request expires or becomes urgent, in µs.
    pub(super) fn next_event_us(&self) -> Option<u64> {
        let expiry = self.by_latest_start.first().map(|(at_us, _)| at_us + 1);
        let urgency = self.by_urgency.first().map(|(at_us, _)| *at_us);
        expiry.into_iter().chain(urgency).min()
    }

    /// Number of waiting requests up to and including a rank.
    pub(super) fn count_up_to(&self, rank: u8) -> u32 {
        let end = (rank, Ticket(u64::MAX));
        self.by_rank.iter().map(|queue| queue.range(..=end).count() as u32).sum()
    }

    /// Removes all requests and returns their tickets in the order of arrival.
    pub(super) fn take_all(&mut self) -> Vec<Ticket> {
        let tickets = self.by_ticket.keys().copied().collect();
        *self = Self::default();
        tickets
    }
}
