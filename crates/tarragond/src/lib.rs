//! The node daemon of tarragonloom, see `docs/design.md`.

pub mod app;
pub mod backend;
pub mod catalogue;
pub mod claims;
pub mod cli;
pub mod conf;
pub mod control;
pub mod datapath;
pub mod directory;
pub mod entry;
pub mod gate;
pub mod members;
pub mod peer;
pub mod replica;
pub mod transport;
