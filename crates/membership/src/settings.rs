//! Settings of the membership protocol.

use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

/// Settings of the membership protocol. The defaults are sized for 2,200 nodes.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct MembershipSettings {
    /// Gossip addresses of the nodes that a starting node contacts to join the cluster.
    pub seeds: Vec<SocketAddr>,
    /// Period at which the driver passes a `Tick` event to the state machine.
    pub tick_ms: u64,
    /// Period at which this node probes one member.
    pub probe_interval_ms: u64,
    /// Time after which an unanswered ping is resent, so that the loss of a single datagram does
    /// not cause indirect probes.
    pub probe_resend_ms: u64,
    /// Time without an answer after which indirect probes are requested.
    pub indirect_after_ms: u64,
    /// Time without an answer to direct and indirect probes after which a member is suspected.
    pub probe_timeout_ms: u64,
    /// Number of members from which an indirect probe is requested.
    pub indirect_probes: usize,
    /// Share of probes that go to members of other data centres; links to these cost more.
    pub remote_probe_share: f64,
    /// Minimum suspicion timeout, in probe intervals per decimal logarithm of the cluster size.
    pub suspicion_factor: f64,
    /// Maximum suspicion timeout as a multiple of the minimum; it applies without confirmations.
    pub suspicion_max_factor: f64,
    /// Number of independent confirmations that shorten a suspicion timeout to its minimum.
    pub suspicion_confirmations: usize,
    /// Period of gossip rounds while updates are queued.
    pub gossip_interval_ms: u64,
    /// Number of datagrams in a gossip round, each to a random member.
    pub gossip_fanout: usize,
    /// Transmissions of one update, per decimal logarithm of the cluster size.
    pub retransmit_factor: u32,
    /// Transmissions of an update that a member has reached a catalogue revision. The number is
    /// small, because every member sends such an update after each release note.
    pub revision_transmits: u32,
    /// Rate limit of gossip; it bounds the traffic after a partition.
    pub gossip_bytes_per_s: u64,
    /// Burst size of the gossip rate limit.
    pub gossip_burst_bytes: u64,
    /// Mean period at which one dead or unreachable member is probed again.
    pub reprobe_interval_ms: u64,
    /// Time for which a dead member's version or tombstone is kept, so that late datagrams do not
    /// add the member again.
    pub tombstone_ms: u64,
    /// Time for which an unreachable member is kept and probed again before it is removed.
    pub unreachable_keep_ms: u64,
    /// Mean period of full exchanges with a random member.
    pub full_exchange_interval_ms: u64,
    /// Time for which digests must differ before a node starts a full exchange (a repair).
    pub repair_after_ms: u64,
    /// Minimum of the mean time between two repairs.
    pub repair_interval_ms: u64,
    /// Mean time between two repairs per reachable member, which bounds their traffic in large
    /// clusters: a record has about 100 bytes, so 100 ms per member limit it to 1,000 bytes/s.
    pub repair_interval_ms_per_member: u64,
    /// Maximum random delay of the full exchange after a partition has healed.
    pub heal_jitter_ms: u64,
    /// Mean period at which a node retries to join.
    pub join_retry_ms: u64,
    /// Mean period at which a seed that is not a reachable member is contacted. It takes one small
    /// datagram, and a node that has only itself as a seed depends on it.
    pub seed_contact_interval_ms: u64,
    /// Mean period at which the known peers that are no reachable members are contacted, from the start
    /// on. It is short, because nodes whose seeds lead to different parts of the deployment meet by
    /// it alone; there are few known peers.
    pub known_peer_interval_ms: u64,
    /// Time between two events above which this process counts as having been paused.
    pub pause_threshold_ms: u64,
    /// Highest local health score. The probe interval and timeouts grow by their base value for
    /// each point of the score.
    pub max_health_score: u32,
    /// Limit for the number of members, and for that of tombstones, which bounds memory.
    pub max_members: usize,
    /// Whether full exchanges use the peer address (TCP). If not, they are paged over UDP.
    pub has_full_state_source: bool,
    /// Mechanisms that tests disable to show their effect; all are enabled in production.
    #[serde(skip)]
    pub mechanisms: Mechanisms,
}

/// Protocol mechanisms that only tests disable.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Mechanisms {
    /// Probes through other members when a direct probe is not answered.
    pub has_indirect_probes: bool,
    /// Refutation: a member that is suspected or declared dead raises its version.
    pub has_refutation: bool,
    /// Local health score and pause detection: a slow or paused node waits longer before it
    /// suspects others.
    pub has_local_health: bool,
    /// Entries of dead members and tombstones are kept for `tombstone_ms`.
    pub has_tombstones: bool,
}

impl Default for Mechanisms {
    fn default() -> Self {
        Self {
            has_indirect_probes: true,
            has_refutation: true,
            has_local_health: true,
            has_tombstones: true,
        }
    }
}

impl Default for MembershipSettings {
    fn default() -> Self {
        Self {
            seeds: Vec::new(),
            tick_ms: 100,
            probe_interval_ms: 1_000,
            probe_resend_ms: 300,
            indirect_after_ms: 600,
            probe_timeout_ms: 1_500,
            indirect_probes: 3,
            remote_probe_share: 0.2,
            suspicion_factor: 1.5,
            suspicion_max_factor: 3.0,
            suspicion_confirmations: 3,
            gossip_interval_ms: 200,
            gossip_fanout: 3,
            retransmit_factor: 4,
            revision_transmits: 6,
            gossip_bytes_per_s: 6_000,
            gossip_burst_bytes: 18_000,
            reprobe_interval_ms: 5_000,
            tombstone_ms: 600_000,
            unreachable_keep_ms: 24 * 3_600_000,
            full_exchange_interval_ms: 120_000,
            repair_after_ms: 8_000,
            repair_interval_ms: 10_000,
            repair_interval_ms_per_member: 100,
            heal_jitter_ms: 30_000,
            join_retry_ms: 1_000,
            seed_contact_interval_ms: 10_000,
            known_peer_interval_ms: 1_000,
            pause_threshold_ms: 500,
            max_health_score: 8,
            max_members: 16_384,
            has_full_state_source: false,
            mechanisms: Mechanisms::default(),
        }
    }
}
