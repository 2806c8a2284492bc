/// Counters since start.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct MembershipCounts {
    /// Probes started.
    pub probes: u64,
    /// Probes without an answer in time.
    pub failed_probes: u64,
    /// Suspicions raised by the own probes.
    pub suspicions: u64,
    /// Members declared dead by the own suspicion timer.
    pub declared_dead: u64,
    /// Members declared unreachable by the own suspicion timer.
    pub declared_unreachable: u64,
    /// Accusations of the own node that were refuted.
    pub refutations: u64,
    /// Updates that changed nothing because a newer version or a tombstone is known.
    pub stale_updates: u64,
    /// Updates dropped because a text is too long or the table is full.
    pub refused_updates: u64,
    /// Full exchanges requested.
    pub full_exchanges: u64,
    /// Pauses of the own process.
    pub pauses: u64,
}
