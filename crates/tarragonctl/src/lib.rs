//! The operators' client of tarragonloom, see `docs/OPERATIONS.md`.

pub mod cli;
pub mod command;
