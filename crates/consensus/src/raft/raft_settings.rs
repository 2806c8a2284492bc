/// Timeouts and limits of a replica.
#[derive(Debug, Clone)]
pub struct RaftSettings {
    /// Time between heartbeats of the leader, in ms.
    pub heartbeat_interval_ms: u64,
    /// Minimum time without contact from a leader before an election, in ms. Each timeout is drawn
    /// at random between one and two times this value. A leader steps down if no majority responds
    /// within it.
    pub election_timeout_ms: u64,
    /// Election timeout during the startup period as long as no leader was in contact, in ms. After
    /// a power failure all replicas start at the same time and there is no leader. A replica that
    /// starts alone disturbs no leader with it, because the others reject its pre-vote.
    pub start_election_timeout_ms: u64,
    /// Length of the startup period, in ms.
    pub start_ms: u64,
    /// Minimum number of voters that store a command before it is committed, if the log has so many:
    /// one more than the number of disks that may be lost at the same time. It matters only while
    /// the log has too few voters for a majority to be as many.
    pub min_copies: usize,
    /// Maximum total size of the entries in one message, in bytes; a single entry may exceed it.
    pub max_batch_bytes: usize,
    /// Maximum number of unacknowledged entries in flight to a follower.
    pub max_in_flight_entries: u64,
    /// Maximum size of a command, in bytes.
    pub max_command_bytes: usize,
    /// Size of the snapshot chunk in one message, in bytes.
    pub snapshot_chunk_bytes: usize,
    /// Maximum size of a snapshot that is accepted from a leader, in bytes.
    pub max_snapshot_bytes: u64,
    /// Number of entries applied since the latest snapshot after which the next one is due.
    pub snapshot_interval_entries: u64,
    /// Bytes of entries applied since the latest snapshot after which the next one is due.
    pub snapshot_interval_bytes: usize,
    /// Maximum number of entries up to a snapshot that stay in memory, so that followers slightly
    /// behind do not need the snapshot.
    pub max_retained_entries: u64,
    /// Maximum total size of these entries, in bytes.
    pub max_retained_bytes: usize,
    /// Protocol faults that tests inject.
    #[doc(hidden)]
    pub injected_faults: InjectedFaults,
}

impl Default for RaftSettings {
    /// The limits keep a message below the frame limit of 4 MiB and the log in memory at a few MiB; a
    /// command holds a configuration of 10,000 routes. The times suit data centres with latencies of
    /// a few milliseconds: an election completes well within the 10 s that a release note may take,
    /// and heartbeats stay within the limit of 23 KB/s per node.
    fn default() -> Self {
        Self {
            heartbeat_interval_ms: 200,
            election_timeout_ms: 1_000,
            start_election_timeout_ms: 150,
            start_ms: 3_000,
            min_copies: 1,
            max_batch_bytes: 512 << 10,
            max_in_flight_entries: 64,
            max_command_bytes: 3 << 20,
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

/// Disables single mechanisms of the protocol, so that tests can show that each one is necessary.
#[doc(hidden)]
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct InjectedFaults {
    /// Start elections without a pre-vote, and vote for candidates in spite of a recent leader.
    pub skip_pre_vote: bool,
    /// Identify a replica by its name alone, so that one that lost its disk counts as before.
    pub ignore_disk_ids: bool,
    /// Send votes and acknowledgements before they are stored.
    pub acknowledge_before_sync: bool,
    /// Commit entries of earlier terms by counting replicas (the fault described in section 3.6.2
    /// of Ongaro's dissertation).
    pub commit_entries_of_earlier_terms: bool,
    /// Stay leader when no majority responds.
    pub skip_check_quorum: bool,
    /// Allow a membership change before an entry of the leader's own term is committed.
    pub early_membership_change: bool,
    /// Complete reads without a heartbeat round to a majority.
    pub skip_read_confirmation: bool,
    /// Count votes without a lost voter even if those who gave them were not told of the loss.
    pub count_votes_before_loss: bool,
    /// Let the majority of the new members alone decide while a membership change is uncommitted.
    pub skip_previous_majority: bool,
}
