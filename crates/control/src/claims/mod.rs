//! Claims of idempotency keys that no node issued, see `docs/design.md`, section 3.6.

mod replicated_key_claims;

pub use replicated_key_claims::ReplicatedKeyClaims;
