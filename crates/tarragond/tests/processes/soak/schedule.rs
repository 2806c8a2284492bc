use std::collections::BTreeMap;

use rand::Rng;
use rand::SeedableRng;
use rand_pcg::Pcg32;

/// Action on a node that the soak takes from outside its process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum FaultStep {
    /// Sends SIGKILL.
    Kill,
    /// Sends SIGTERM and waits until the process exits.
    Stop,
    /// Starts a process that was killed or stopped.
    Start,
    /// Sends SIGSTOP.
    Pause,
    /// Sends SIGCONT.
    Resume,
    /// Partitions the node from all others; connections stay open.
    Isolate,
    /// Drops what the node sends; it still receives from the others.
    Mute,
    /// Delays the streams from and to the node.
    Delay,
    /// Removes the faults of the links of the node.
    Heal,
    /// Resets the connections between the node and all others.
    Reset,
    /// Silences the open connections between the node and all others for good; new ones work.
    Silence,
}

/// Kind of the faults of a seed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FaultPlan {
    /// All faults, at several nodes at the same time.
    Faults,
    /// Only planned stops, one node after the other, as for maintenance.
    PlannedStops,
}

/// Minimum duration of a fault, in ms.
const MIN_FAULT_MS: u64 = 200;

/// Upper bound of the duration of a fault, in ms.
const MAX_FAULT_MS: u64 = 2_500;

/// Minimum time between the starts of two faults, in ms.
const MIN_GAP_MS: u64 = 50;

/// Upper bound of the time between the starts of two faults, in ms; planned stops follow each other
/// after this time.
const MAX_GAP_MS: u64 = 700;

/// Time from a planned stop to the restart of the node, in ms.
const PLANNED_STOP_MS: u64 = 6_000;

/// Upper bound of the number of nodes whose connections are silenced, once each.
const MAX_SILENCES: u64 = 3;

/// Distinguishes the random numbers of silences from those of the other faults, which stay the same
/// for seeds that have failed before.
const SILENCE_SEED: u64 = 0x51_1e9c;

/// A step and its time. Steps are ordered by time.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct ScheduledStep {
    /// Time since the start of the faults, in ms.
    pub at_ms: u64,
    /// Index of the node that the step acts on.
    pub node_index: usize,
    pub step: FaultStep,
}

/// Returns the steps of a seed, ordered by time. Faults start within the first `faults_ms`.
pub fn schedule_steps(
    seed: u64,
    plan: FaultPlan,
    node_count: usize,
    faults_ms: u64,
) -> Vec<ScheduledStep> {
    let mut rng = Pcg32::seed_from_u64(seed);
    let mut steps = Vec::new();
    let mut faulty_until_ms: BTreeMap<usize, u64> = BTreeMap::new();
    let mut now_ms = 0;
    while now_ms < faults_ms {
        let node_index = rng.random_range(0..node_count);
        if plan == FaultPlan::PlannedStops {
            steps.push(ScheduledStep { at_ms: now_ms, node_index, step: FaultStep::Stop });
            steps.push(ScheduledStep {
                at_ms: now_ms + PLANNED_STOP_MS,
                node_index,
                step: FaultStep::Start,
            });
            now_ms += PLANNED_STOP_MS + MAX_GAP_MS;
            continue;
        }
        let end_ms = now_ms + rng.random_range(MIN_FAULT_MS..MAX_FAULT_MS);
        let (begin, end) = match rng.random_range(0..8) {
            0 | 1 => (FaultStep::Kill, FaultStep::Start),
            2 => (FaultStep::Stop, FaultStep::Start),
            3 => (FaultStep::Pause, FaultStep::Resume),
            4 => (FaultStep::Isolate, FaultStep::Heal),
            5 => (FaultStep::Mute, FaultStep::Heal),
            6 => (FaultStep::Delay, FaultStep::Heal),
            _ => (FaultStep::Reset, FaultStep::Reset),
        };
        // Each node has one fault at a time, but several nodes may have one at the same time.
        if faulty_until_ms.get(&node_index).is_none_or(|until_ms| *until_ms < now_ms) {
            steps.push(ScheduledStep { at_ms: now_ms, node_index, step: begin });
            steps.push(ScheduledStep { at_ms: end_ms, node_index, step: end });
            faulty_until_ms.insert(node_index, end_ms);
        }
        now_ms += rng.random_range(MIN_GAP_MS..MAX_GAP_MS);
    }
    if plan == FaultPlan::Faults {
        let mut rng = Pcg32::seed_from_u64(seed ^ SILENCE_SEED);
        for _ in 0..rng.random_range(0..=MAX_SILENCES) {
            let (at_ms, node_index) =
                (rng.random_range(0..faults_ms), rng.random_range(0..node_count));
            steps.push(ScheduledStep { at_ms, node_index, step: FaultStep::Silence });
        }
    }
    steps.sort_unstable();
    steps
}
