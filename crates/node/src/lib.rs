//! Assembles a node from its settings, see `docs/design.md`, section 2.1.

pub mod app;
pub mod conf;
