use std::collections::BTreeMap;
use std::collections::BTreeSet;

use tarragon_model::identity::InstanceId;

/// Importance of an update. Changes of state go before deaths and these before suspicions, so that
/// a drain reaches all members in time during a storm of suspicions.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Urgency {
    /// Changes of a backend server's state and departures.
    Change,
    /// Other news of live members: joins and refutations.
    State,
    /// Dead or unreachable.
    Loss,
    /// Suspicions.
    Suspicion,
}

impl Urgency {
    /// Transmissions of an update. A change of state has half as many again, because a member that
    /// misses it would go on sending work to a draining server.
    fn transmits(self, transmits: u32) -> u32 {
        match self {
            Self::Change => transmits + transmits / 2,
            Self::State | Self::Loss | Self::Suspicion => transmits,
        }
    }

    /// Transmissions by which an update is put back. The first ones of a change of state, which
    /// reach nearly all members, go before any suspicion.
    fn handicap(self) -> u32 {
        match self {
            Self::Change => 0,
            Self::State => 3,
            Self::Loss | Self::Suspicion => 6,
        }
    }
}

/// Place of an update in the queue: fewest transmissions first, with the handicap, then urgency,
/// then the newest.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Place {
    rank: u32,
    urgency: Urgency,
    newest_first: u64,
    instance: InstanceId,
}

#[derive(Debug, Clone, Copy)]
struct Queued {
    place: Place,
    is_full: bool,
}

/// Members whose news are to be spread, at most one update per member.
///
/// An update is built from the table when it is sent, so an outdated one is never sent.
#[derive(Debug, Clone, Default)]
pub(crate) struct UpdateQueue {
    places: BTreeSet<Place>,
    index: BTreeMap<InstanceId, Queued>,
    counter: u64,
}

impl UpdateQueue {
    /// Queues news of a member. The whole record stays requested until it has been sent often
    /// enough, even if a shorter update follows.
    pub fn push(&mut self, instance: InstanceId, urgency: Urgency, is_full: bool) {
        let old = self.remove(instance);
        let was_full = old.is_some_and(|old| old.is_full);
        // A refutation that follows a change of state carries that change.
        let was_change = old.is_some_and(|old| old.place.urgency == Urgency::Change);
        let is_state = urgency == Urgency::State;
        let urgency = if was_change && is_state { Urgency::Change } else { urgency };
        self.counter += 1;
        let newest_first = u64::MAX - self.counter;
        let place = Place { rank: urgency.handicap(), urgency, newest_first, instance };
        self.places.insert(place);
        self.index.insert(instance, Queued { place, is_full: is_full || was_full });
    }

    fn remove(&mut self, instance: InstanceId) -> Option<Queued> {
        let old = self.index.remove(&instance)?;
        self.places.remove(&old.place);
        Some(old)
    }

    /// Members in the order in which their news are sent, and whether the whole record is needed.
    pub fn iter(&self) -> impl Iterator<Item = (InstanceId, bool)> + '_ {
        self.places.iter().map(|place| (place.instance, self.index[&place.instance].is_full))
    }

    /// MembershipCounts a transmission and drops the update after the last one.
    pub fn sent(&mut self, instance: InstanceId, max_transmits: u32) {
        let Some(mut queued) = self.remove(instance) else { return };
        queued.place.rank += 1;
        let urgency = queued.place.urgency;
        if queued.place.rank < urgency.transmits(max_transmits) + urgency.handicap() {
            self.places.insert(queued.place);
            self.index.insert(instance, queued);
        }
    }

    pub fn is_empty(&self) -> bool {
        self.places.is_empty()
    }
}
