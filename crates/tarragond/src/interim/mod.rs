//! Minimal policies, used until the packages of the real ones are merged.

mod fixed_limit;
mod key_table;
mod least_in_flight;
mod token_ledger;

pub use fixed_limit::FixedLimit;
pub use key_table::KeyTable;
pub use least_in_flight::LeastInFlight;
pub use token_ledger::TokenLedger;
