//! Interface for claiming idempotency keys that no node issued, see `docs/design.md`, section 3.6.

mod key_claims;

pub use key_claims::ClaimError;
pub use key_claims::KeyClaims;
