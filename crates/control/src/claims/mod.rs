//! Claims for idempotency keys that were not issued by a node, see `docs/design.md`, section 3.6.

mod replicated_key_claims;

pub use replicated_key_claims::ReplicatedKeyClaims;
