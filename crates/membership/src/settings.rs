//! Settings of the membership protocol.

use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

/// Settings of the membership protocol. The defaults are sized for 2,200 nodes.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct MembershipSettings {
    /// Gossip addresses of nodes to join through.
    pub seeds: Vec<SocketAddr>,
    /// Period of the driver's `Tick` events.
    pub tick_ms: u64,
    /// Period at which one member is probed.
    pub probe_interval_ms: u64,
    /// An unanswered probe is repeated after this time, because a single loss must not lead to
    /// indirect probes.
    pub probe_resend_ms: u64,
    /// Members are asked for an indirect probe after this time without an answer.
    pub indirect_after_ms: u64,
    /// A member that has not answered within this time is suspected.
    pub probe_timeout_ms: u64,
    /// Members asked for an indirect probe.
    pub indirect_probes: usize,
    /// Share of probes sent to other data centres, whose links cost more.
    pub remote_probe_share: f64,
    /// Shortest suspicion, in probe intervals per decade of the cluster size.
    pub suspicion_factor: f64,
    /// Longest suspicion as a multiple of the shortest; it applies without confirmations.
    pub suspicion_max_factor: f64,
    /// Independent confirmations that shorten a suspicion to its minimum.
    pub suspicion_confirmations: usize,
    /// Period of gossip datagrams while there are updates to spread.
    pub gossip_interval_ms: u64,
    /// Members that receive each round of gossip.
    pub gossip_fanout: usize,
    /// Transmissions of one update, per decade of the cluster size.
    pub retransmit_factor: u32,
    /// Transmissions of the news that a member has reached a revision. They are few, because all
    /// members send such news after each release note.
    pub revision_transmits: u32,
    /// Rate that gossip may use, which bounds the burst after a partition.
    pub gossip_bytes_per_s: u64,
    /// Gossip that may be sent at once after a quiet period.
    pub gossip_burst_bytes: u64,
    /// Mean period at which an unreachable member is probed again.
    pub reprobe_interval_ms: u64,
    /// Time for which a dead member's version is kept, so that late datagrams do not revive it.
    pub tombstone_ms: u64,
    /// Time for which an unreachable member is kept and probed again.
    pub unreachable_keep_ms: u64,
    /// Mean period of full exchanges.
    pub full_exchange_interval_ms: u64,
    /// A node whose digest matched no other one for this time makes a full exchange.
    pub repair_after_ms: u64,
    /// Shortest mean time between two such exchanges.
    pub repair_interval_ms: u64,
    /// Mean time between two such exchanges per reachable member, which bounds their traffic in
    /// large clusters: a record is about 100 bytes, so 100 ms are 1,000 bytes/s.
    pub repair_interval_ms_per_member: u64,
    /// A full exchange after a partition starts at a random time within this period.
    pub heal_jitter_ms: u64,
    /// Period at which a join is tried again.
    pub join_retry_ms: u64,
    /// Mean period at which a seed that is not a member is contacted.
    pub seed_contact_interval_ms: u64,
    /// A gap between two events above this time counts as a pause of the own process.
    pub pause_threshold_ms: u64,
    /// Highest local health score; probe times grow by one base time for each point.
    pub max_health_score: u32,
    /// Members and tombstones kept, which bounds memory.
    pub max_members: usize,
    /// Whether full exchanges use the peer address (TCP). Without, they are paged over UDP.
    pub has_full_state_source: bool,
    /// Mechanisms that tests switch off to show their effect; all are on in production.
    #[serde(skip)]
    pub mechanisms: Mechanisms,
}

/// Mechanisms that only tests switch off.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Mechanisms {
    /// Probes through other members.
    pub has_indirect_probes: bool,
    /// A suspected member raises its version.
    pub has_refutation: bool,
    /// A slow or paused node waits longer before it accuses others.
    pub has_local_health: bool,
    /// Versions of dead members are kept.
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
            seed_contact_interval_ms: 60_000,
            pause_threshold_ms: 500,
            max_health_score: 8,
            max_members: 16_384,
            has_full_state_source: false,
            mechanisms: Mechanisms::default(),
        }
    }
}
