//! The node daemon of tarragonloom, see `docs/design.md`.

pub mod app;
pub mod backend;
pub mod catalogue;
pub mod claims;
pub mod cli;
pub mod conf;
pub mod control;
pub mod directory;
pub mod members;
