use std::collections::HashMap;

/// Period after which the durations of a kind of call are forgotten, in µs. Those of the period
/// before count as well, so that a bound rests on one to two periods.
const PERIOD_US: u64 = 30_000_000;

/// Minimum number of calls of a kind for a bound. Fewer say little about its longest calls.
const MIN_CALLS: u32 = 8;

/// Factor between the longest call that was seen and the bound, since the next call may take longer
/// than all of the last ones.
const MARGIN: u64 = 2;

/// Maximum number of kinds of calls with durations. When it is reached, a new kind discards all.
const MAX_KINDS: usize = 4_096;

/// How a call ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallEnd {
    /// The whole response arrived.
    Complete,
    /// The call was given up or broke off. It would have taken at least as long.
    Incomplete,
    /// The call did not run.
    NotRun,
}

/// A call in flight.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct CallTicket(u64);

/// Longest durations of the calls that a node makes or of the requests that it runs, by kind.
///
/// A node that stops takes a call only if it will be answered before the process is killed.
/// A mean would not do: half of the calls take longer than a typical one. Calls that are still in
/// flight count with the time that they have taken so far, so that a server that became slow is
/// noticed before its first slow response.
#[derive(Debug, Default)]
pub struct CallDurations {
    kinds: HashMap<u64, KindDurations>,
    in_flight: HashMap<CallTicket, CallInFlight>,
    next_ticket: u64,
}

#[derive(Debug, Clone, Copy)]
struct CallInFlight {
    kind: u64,
    started_us: u64,
}

#[derive(Debug, Default)]
struct KindDurations {
    period: u64,
    current: Durations,
    previous: Durations,
}

#[derive(Debug, Clone, Copy, Default)]
struct Durations {
    calls: u32,
    longest_us: u64,
}

impl CallDurations {
    /// Records the start of a call.
    pub fn start(&mut self, kind: u64, now_us: u64) -> CallTicket {
        let ticket = CallTicket(self.next_ticket);
        self.next_ticket += 1;
        self.in_flight.insert(ticket, CallInFlight { kind, started_us: now_us });
        ticket
    }

    /// Records the end of a call.
    pub fn end(&mut self, ticket: CallTicket, end: CallEnd, now_us: u64) {
        let Some(call) = self.in_flight.remove(&ticket) else { return };
        if end == CallEnd::NotRun {
            return;
        }
        if self.kinds.len() >= MAX_KINDS && !self.kinds.contains_key(&call.kind) {
            self.kinds.clear();
        }
        let kind = self.kinds.entry(call.kind).or_default();
        kind.advance(now_us / PERIOD_US);
        kind.current.calls += u32::from(end == CallEnd::Complete);
        kind.current.longest_us =
            kind.current.longest_us.max(now_us.saturating_sub(call.started_us));
    }

    /// Whether a call of this kind that starts now will have ended by `end_us`, by its deadline or by
    /// its response. A call of a kind without a bound is not expected to end before its deadline.
    pub fn ends_by(&self, end_us: u64, kind: u64, deadline_us: u64, now_us: u64) -> bool {
        let bound_us = self.bound_us(kind, now_us);
        deadline_us <= end_us || bound_us.is_some_and(|bound_us| now_us + bound_us <= end_us)
    }

    /// Time within which a call of this kind is expected to end, in µs; `None` after too few calls.
    fn bound_us(&self, kind: u64, now_us: u64) -> Option<u64> {
        let Durations { calls, longest_us } = self.kinds.get(&kind)?.recent(now_us / PERIOD_US);
        let of_kind = self.in_flight.values().filter(|call| call.kind == kind);
        let longest_in_flight_us =
            of_kind.map(|call| now_us.saturating_sub(call.started_us)).max().unwrap_or(0);
        (calls >= MIN_CALLS).then_some(longest_us.max(longest_in_flight_us) * MARGIN)
    }
}

impl KindDurations {
    fn advance(&mut self, period: u64) {
        if period == self.period {
            return;
        }
        self.previous = if period == self.period + 1 { self.current } else { Durations::default() };
        self.current = Durations::default();
        self.period = period;
    }

    /// Durations in this period and the one before.
    fn recent(&self, period: u64) -> Durations {
        let parts = match period.saturating_sub(self.period) {
            0 => [self.current, self.previous],
            1 => [self.current, Durations::default()],
            _ => [Durations::default(); 2],
        };
        Durations {
            calls: parts[0].calls + parts[1].calls,
            longest_us: parts[0].longest_us.max(parts[1].longest_us),
        }
    }
}

#[cfg(test)]
mod tests;
