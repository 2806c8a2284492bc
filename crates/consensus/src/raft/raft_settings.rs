/// Times and limits of a replica.
#[derive(Debug, Clone)]
pub struct RaftSettings {
    /// Time between heartbeats of the leader, in ms.
    pub heartbeat_interval_ms: u64,
    /// Shortest time without a leader before an election, in ms; each wait is drawn between once
    /// and twice this. It is also the time in which a leader must hear from a majority.
    pub election_timeout_ms: u64,
    /// The same wait in the first time after a start in which no leader was heard, in ms. After a
    /// loss of power all replicas start together and nobody leads; a replica that starts alone
    /// disturbs no leader with it, because the others refuse its pre-vote.
    pub start_election_timeout_ms: u64,
    /// Length of that time, in ms.
    pub start_ms: u64,
    /// Most bytes of entries in one message, unless a single entry is longer.
    pub max_batch_bytes: usize,
    /// Most entries sent to a follower beyond those that it has acknowledged.
    pub max_in_flight_entries: u64,
    /// Longest command, in bytes.
    pub max_command_bytes: usize,
    /// Bytes of a snapshot in one message.
    pub snapshot_chunk_bytes: usize,
    /// Largest snapshot that is accepted from a leader, in bytes.
    pub max_snapshot_bytes: u64,
    /// Entries applied after a snapshot before the next one is due.
    pub snapshot_interval_entries: u64,
    /// Bytes of entries applied after a snapshot before the next one is due.
    pub snapshot_interval_bytes: usize,
    /// Entries kept in memory behind a snapshot, for followers that are a little behind.
    pub max_retained_entries: u64,
    /// Most bytes of these entries.
    pub max_retained_bytes: usize,
    /// Mechanisms that tests turn off.
    #[doc(hidden)]
    pub injected_faults: InjectedFaults,
}

impl Default for RaftSettings {
    /// Limits that keep a message below the 4 MiB of a frame and the log in memory at a few MiB.
    /// The times are for data centres a few milliseconds apart: an election is over well within
    /// the 10 s that a release note may take, and heartbeats stay within the 23 KB/s of a node.
    fn default() -> Self {
        Self {
            heartbeat_interval_ms: 200,
            election_timeout_ms: 1_000,
            start_election_timeout_ms: 150,
            start_ms: 3_000,
            max_batch_bytes: 512 << 10,
            max_in_flight_entries: 64,
            max_command_bytes: 1 << 20,
            snapshot_chunk_bytes: 256 << 10,
            max_snapshot_bytes: 256 << 20,
            snapshot_interval_entries: 4_096,
            snapshot_interval_bytes: 8 << 20,
            max_retained_entries: 1_024,
            max_retained_bytes: 4 << 20,
            injected_faults: InjectedFaults::default(),
        }
    }
}

/// Turns single mechanisms off, so that tests can show that each of them matters.
#[doc(hidden)]
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct InjectedFaults {
    /// Start elections without a pre-vote.
    pub skip_pre_vote: bool,
    /// Take a replica for its former self if only its name matches.
    pub ignore_disk_ids: bool,
    /// Send votes and acknowledgements before they are stored.
    pub acknowledge_before_sync: bool,
    /// Commit entries of earlier terms by counting replicas (the fault of section 3.6.2).
    pub commit_entries_of_earlier_terms: bool,
    /// Stay leader without hearing from a majority.
    pub skip_check_quorum: bool,
    /// Allow a membership change before an entry of the leader's own term is committed.
    pub early_membership_change: bool,
    /// Answer reads without a majority round.
    pub skip_read_confirmation: bool,
}
