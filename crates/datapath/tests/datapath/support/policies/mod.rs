//! Simple policies with predictable decisions.

mod fixed_limit;
mod least_in_flight;
mod token_ledger;

pub use fixed_limit::FixedLimit;
pub use least_in_flight::LeastInFlight;
pub use token_ledger::TokenLedger;
