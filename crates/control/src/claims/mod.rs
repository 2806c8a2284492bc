//! Claims of idempotency keys that no node issued, see `docs/design.md`, section 3.6.

mod log_claims;

pub use log_claims::LogClaims;
