//! Executes each request with an idempotency key at most once.

mod key_table;
mod naive_once;
mod nonce_set;
mod policy;
mod settings;

#[cfg(test)]
mod tests;

pub use key_table::KeyTable;
pub use naive_once::NaiveOnce;
pub use policy::CallerDigest;
pub use policy::KeyedRunOutcome;
pub use policy::OnceDecision;
pub use policy::OncePolicy;
pub use policy::RequestDigest;
pub use policy::StoredAnswer;
pub use settings::OnceSettings;
