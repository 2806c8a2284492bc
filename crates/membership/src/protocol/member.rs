use tarragon_model::member::MemberRecord;

/// What a node believes about another one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MemberStatus {
    /// Answers probes.
    Alive,
    /// Did not answer a probe; may still refute.
    Suspect,
    /// Did not refute, as most of its data centre. It is probed again at a slow rate.
    Unreachable,
    /// Did not refute, or a newer instance has its address.
    Dead,
    /// Left by itself.
    Left,
}

impl MemberStatus {
    /// Whether the member counts as part of the cluster.
    pub fn is_reachable(self) -> bool {
        matches!(self, Self::Alive | Self::Suspect)
    }
}

/// A member and what the node believes about it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Member {
    /// Newest known record.
    pub record: MemberRecord,
    /// Belief about the member.
    pub status: MemberStatus,
}
