//! Claims of idempotency keys that no node issued, see `docs/design.md`, section 3.6.

mod key_claims;
mod log_claims;

pub use key_claims::ClaimError;
pub use key_claims::KeyClaims;
pub use log_claims::LogClaims;
