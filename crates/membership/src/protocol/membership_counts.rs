/// Protocol counters since the start of the node.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct MembershipCounts {
    /// Probes started.
    pub probes: u64,
    /// Probes without an answer in time.
    pub failed_probes: u64,
    /// Suspicions raised by failed probes of this node.
    pub suspicions: u64,
    /// Members declared dead because a suspicion timed out on this node.
    pub declared_dead: u64,
    /// Members declared unreachable because a suspicion timed out on this node.
    pub declared_unreachable: u64,
    /// Refutations by this node after another member reported it as suspect, unreachable or dead.
    pub refutations: u64,
    /// Updates ignored because a newer version or a tombstone is known.
    pub stale_updates: u64,
    /// Updates dropped because a text is too long, the member table is full, or the record has
    /// [`FINAL_VERSION`](crate::FINAL_VERSION) or another data centre than the known one.
    pub refused_updates: u64,
    /// Full exchanges requested.
    pub full_exchanges: u64,
    /// Detected pauses of this process.
    pub pauses: u64,
}
