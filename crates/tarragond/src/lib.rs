//! The node daemon of tarragonloom, see `docs/design.md`.

pub mod backend;
pub mod claims;
pub mod directory;
