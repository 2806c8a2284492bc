//! The node daemon of tarragonloom, see `docs/design.md`.

pub mod backend;
pub mod claims;
pub mod datapath;
pub mod directory;
pub mod entry;
pub mod gate;
pub mod interim;
pub mod peer;
pub mod transport;
