/// Times and limits of a replica.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Time between heartbeats of the leader, in ms.
    pub heartbeat_ms: u64,
    /// Shortest time without a leader before an election, in ms; each wait is drawn between once
    /// and twice this. It is also the time in which a leader must hear from a majority.
    pub election_ms: u64,
    /// The same wait in the first time after a start in which no leader was heard, in ms. After a
    /// loss of power all replicas start together and nobody leads; a replica that starts alone
    /// disturbs no leader with it, because the others refuse its pre-vote.
    pub start_election_ms: u64,
    /// Length of that time, in ms.
    pub start_ms: u64,
    /// Most bytes of entries in one message, unless a single entry is longer.
    pub batch_bytes: usize,
    /// Most entries sent to a follower beyond those that it has acknowledged.
    pub window_entries: u64,
    /// Longest command, in bytes.
    pub command_bytes: usize,
    /// Bytes of a snapshot in one message.
    pub chunk_bytes: usize,
    /// Largest snapshot that is accepted from a leader, in bytes.
    pub snapshot_bytes: u64,
    /// Entries applied after a snapshot before the next one is due.
    pub snapshot_entries: u64,
    /// Bytes of entries applied after a snapshot before the next one is due.
    pub snapshot_log_bytes: usize,
    /// Entries kept in memory behind a snapshot, for followers that are a little behind.
    pub retained_entries: u64,
    /// Most bytes of these entries.
    pub retained_bytes: usize,
    /// Mechanisms that tests turn off.
    #[doc(hidden)]
    pub switches: Switches,
}

impl Default for Settings {
    /// Limits that keep a message below the 4 MiB of a frame and the log in memory at a few MiB.
    /// The times are for data centres a few milliseconds apart: an election is over well within
    /// the 10 s that a release note may take, and heartbeats stay within the 23 KB/s of a node.
    fn default() -> Self {
        Self {
            heartbeat_ms: 200,
            election_ms: 1_000,
            start_election_ms: 150,
            start_ms: 3_000,
            batch_bytes: 512 << 10,
            window_entries: 64,
            command_bytes: 1 << 20,
            chunk_bytes: 256 << 10,
            snapshot_bytes: 256 << 20,
            snapshot_entries: 4_096,
            snapshot_log_bytes: 8 << 20,
            retained_entries: 1_024,
            retained_bytes: 4 << 20,
            switches: Switches::default(),
        }
    }
}

/// Turns single mechanisms off, so that tests can show that each of them matters.
#[doc(hidden)]
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Switches {
    /// Start elections without a pre-vote.
    pub skip_pre_vote: bool,
    /// Take a replica for its former self if only its name matches.
    pub count_lost_disks: bool,
    /// Send votes and acknowledgements before they are stored.
    pub acknowledge_before_sync: bool,
    /// Commit entries of earlier terms by counting replicas (the fault of section 3.6.2).
    pub commit_old_terms: bool,
    /// Stay leader without hearing from a majority.
    pub skip_check_quorum: bool,
    /// Allow a membership change before an entry of the leader's own term is committed.
    pub early_membership_change: bool,
    /// Answer reads without a majority round.
    pub skip_read_round: bool,
}
