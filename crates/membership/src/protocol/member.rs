use tarragon_model::member::MemberRecord;

/// Status of a member as seen by this node.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MemberStatus {
    /// Answers probes.
    Alive,
    /// Suspected after a failed probe; can still refute the suspicion.
    Suspect,
    /// Did not refute a suspicion while most members of its data centre were suspected or failed.
    /// It is probed again at a low rate.
    Unreachable,
    /// Did not refute a suspicion, or a newer instance uses its address.
    Dead,
    /// Left the cluster voluntarily.
    Left,
}

impl MemberStatus {
    /// Whether the member counts as part of the cluster.
    pub fn is_reachable(self) -> bool {
        matches!(self, Self::Alive | Self::Suspect)
    }
}

/// A member with its status.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Member {
    /// Newest known record.
    pub record: MemberRecord,
    /// Status of the member as seen by this node.
    pub status: MemberStatus,
}
