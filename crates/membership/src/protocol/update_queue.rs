use std::collections::BTreeMap;
use std::collections::BTreeSet;

use tarragon_model::identity::InstanceId;

/// Priority of an update, highest first. State changes are sent before failures and failures before
/// suspicions, so that a drain reaches all members in time while many suspicions are queued.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum UpdatePriority {
    /// A backend server changed its state, or a member left.
    StateChange,
    /// A member joined or refuted a suspicion.
    Alive,
    /// A member was declared dead or unreachable.
    Failure,
    /// A member is suspected.
    Suspicion,
}

impl UpdatePriority {
    /// Number of times an update is transmitted. A state change is transmitted 1.5 times as often,
    /// because a member that misses it would keep sending requests to a draining backend server.
    fn transmit_limit(self, base_transmits: u32) -> u32 {
        match self {
            Self::StateChange => base_transmits + base_transmits / 2,
            Self::Alive | Self::Failure | Self::Suspicion => base_transmits,
        }
    }

    /// Rank of a new update; each transmission adds one. With the difference of six, the first
    /// transmissions of a state change, which reach nearly all members, precede any suspicion.
    fn initial_rank(self) -> u32 {
        match self {
            Self::StateChange => 0,
            Self::Alive => 3,
            Self::Failure | Self::Suspicion => 6,
        }
    }
}

/// Sort key of an update in the queue: lowest rank first (initial rank plus transmissions), then
/// priority, then the newest update.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct QueuePosition {
    rank: u32,
    priority: UpdatePriority,
    reverse_push_count: u64,
    instance: InstanceId,
}

#[derive(Debug, Clone, Copy)]
struct QueuedUpdate {
    position: QueuePosition,
    /// Whether to send the full record instead of a brief update.
    is_full: bool,
}

/// Members with an update to disseminate, at most one update per member.
///
/// The update itself is built from the member table when it is sent, so it is never outdated.
#[derive(Debug, Clone, Default)]
pub(crate) struct UpdateQueue {
    positions: BTreeSet<QueuePosition>,
    index: BTreeMap<InstanceId, QueuedUpdate>,
    push_count: u64,
}

impl UpdateQueue {
    /// Queues an update about a member, in place of an earlier one. `is_full` sends the full record
    /// instead of a brief update. If the earlier update had the full record, so does the new one,
    /// because the record has not been transmitted often enough.
    pub fn push(&mut self, instance: InstanceId, priority: UpdatePriority, is_full: bool) {
        let old = self.remove(instance);
        let was_full = old.is_some_and(|old| old.is_full);
        // A refutation that follows a state change carries the new state, so it keeps the priority.
        let was_state_change =
            old.is_some_and(|old| old.position.priority == UpdatePriority::StateChange);
        let is_alive = priority == UpdatePriority::Alive;
        let priority =
            if was_state_change && is_alive { UpdatePriority::StateChange } else { priority };
        self.push_count += 1;
        let reverse_push_count = u64::MAX - self.push_count;
        let position =
            QueuePosition { rank: priority.initial_rank(), priority, reverse_push_count, instance };
        self.positions.insert(position);
        self.index.insert(instance, QueuedUpdate { position, is_full: is_full || was_full });
    }

    fn remove(&mut self, instance: InstanceId) -> Option<QueuedUpdate> {
        let old = self.index.remove(&instance)?;
        self.positions.remove(&old.position);
        Some(old)
    }

    /// Members in the order of transmission, each with whether its full record is to be sent.
    pub fn iter(&self) -> impl Iterator<Item = (InstanceId, bool)> + '_ {
        self.positions
            .iter()
            .map(|position| (position.instance, self.index[&position.instance].is_full))
    }

    /// Counts a transmission and removes the update after its last one.
    pub fn record_transmission(&mut self, instance: InstanceId, max_transmits: u32) {
        let Some(mut queued) = self.remove(instance) else { return };
        queued.position.rank += 1;
        let priority = queued.position.priority;
        if queued.position.rank < priority.transmit_limit(max_transmits) + priority.initial_rank() {
            self.positions.insert(queued.position);
            self.index.insert(instance, queued);
        }
    }

    pub fn is_empty(&self) -> bool {
        self.positions.is_empty()
    }
}
