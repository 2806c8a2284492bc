//! Limits the retries of a request across its call tree, and the failing requests of a caller.

mod caller_throttle;
mod generational_map;
mod naive_retry;
mod policy;
mod ratio_window;
mod repeat_share;
mod settings;
mod token_ledger;

#[cfg(test)]
mod tests;

pub use caller_throttle::CallerThrottle;
pub use naive_retry::NaiveRetry;
pub use policy::RetryPolicy;
pub use repeat_share::RepeatShare;
pub use settings::RetrySettings;
pub use settings::ThrottleSettings;
pub use token_ledger::TokenLedger;
