use std::collections::BTreeMap;

use rand::Rng;
use rand::SeedableRng;
use rand_pcg::Pcg32;

/// One step that the soak takes from outside a process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Step {
    /// SIGKILL.
    Kill,
    /// SIGTERM; the process ends by itself.
    Stop,
    /// Starts a process that was killed or stopped.
    Start,
    /// SIGSTOP.
    Pause,
    /// SIGCONT.
    Resume,
    /// Drops what other nodes and this one send to each other; connections stay open.
    Silence,
    /// Drops what the node sends, while it hears the others.
    Mute,
    /// Delays what the node sends and gets.
    Delay,
    /// Ends what is wrong with the node's links.
    Heal,
    /// Resets the connections that reach the node from others.
    Reset,
}

/// What a soak does.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Plan {
    /// Every fault, at several nodes at once.
    Faults,
    /// Planned stops alone, one node after the other, as for cleaning.
    PlannedStops,
}

/// Shortest and longest times in ms: of a fault, between two faults, and of one planned stop.
const FAULT_MS: (u64, u64) = (200, 2_500);
const GAP_MS: (u64, u64) = (50, 700);
const STOP_MS: u64 = 6_000;

/// Steps of a seed by time in ms; each names a node by its position.
pub fn steps(seed: u64, plan: Plan, nodes: usize, length_ms: u64) -> Vec<(u64, usize, Step)> {
    let mut rng = Pcg32::seed_from_u64(seed);
    let mut steps = Vec::new();
    let mut busy_until_ms: BTreeMap<usize, u64> = BTreeMap::new();
    let mut now_ms = 0;
    while now_ms < length_ms {
        let node = rng.random_range(0..nodes);
        if plan == Plan::PlannedStops {
            steps.push((now_ms, node, Step::Stop));
            steps.push((now_ms + STOP_MS, node, Step::Start));
            now_ms += STOP_MS + GAP_MS.1;
            continue;
        }
        let end_ms = now_ms + rng.random_range(FAULT_MS.0..FAULT_MS.1);
        let (begin, end) = match rng.random_range(0..8) {
            0 | 1 => (Step::Kill, Step::Start),
            2 => (Step::Stop, Step::Start),
            3 => (Step::Pause, Step::Resume),
            4 => (Step::Silence, Step::Heal),
            5 => (Step::Mute, Step::Heal),
            6 => (Step::Delay, Step::Heal),
            _ => (Step::Reset, Step::Reset),
        };
        // One fault at a time for each node, but any number of nodes at once.
        if busy_until_ms.get(&node).is_none_or(|until_ms| *until_ms < now_ms) {
            steps.push((now_ms, node, begin));
            steps.push((end_ms, node, end));
            busy_until_ms.insert(node, end_ms);
        }
        now_ms += rng.random_range(GAP_MS.0..GAP_MS.1);
    }
    steps.sort_unstable();
    steps
}
