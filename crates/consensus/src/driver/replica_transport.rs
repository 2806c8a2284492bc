use crate::protocol::RaftMessage;

/// Carries messages to other replicas.
///
/// Messages may be lost, repeated, delayed and reordered; the replica repeats what matters. `send`
/// must not block: an implementation drops messages to a peer that is too slow. The sender must be
/// authenticated (see `docs/design.md`, section 5.3), because identities in messages are believed.
pub trait ReplicaTransport: Send + Sync {
    /// Sends a message to the replica with this configured name.
    fn send(&self, peer: &str, message: RaftMessage);
}
