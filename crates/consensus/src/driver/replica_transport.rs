use crate::protocol::RaftMessage;

/// Carries messages to other replicas.
///
/// Messages may be lost, duplicated, delayed and reordered; the replica resends what is needed.
/// `send` must not block: an implementation drops messages to a peer that is too slow. Senders must
/// be authenticated (see `docs/design.md`, section 5.3), because the replica trusts the identities
/// in messages.
pub trait ReplicaTransport: Send + Sync {
    /// Sends a message to the replica with this configured name.
    fn send(&self, peer: &str, message: RaftMessage);
}
