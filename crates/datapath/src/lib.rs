//! The data path of a node: the entry, which accepts and forwards requests of callers; the gate,
//! which admits requests to the node's own backend server; and the connections between nodes. See
//! `docs/design.md`, section 2.2.

pub mod archive;
pub mod backend;
pub mod claims;
pub mod datapath;
pub mod directory;
pub mod entry;
pub mod gate;
pub mod interface;
pub mod peer;
mod quarantine;
pub mod transport;
