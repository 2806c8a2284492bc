//! The control plane of a node: the replica of the log, the node's copy of the catalogue,
//! membership, and the control API. See `docs/design.md`, section 5.

pub mod catalogue;
pub mod claims;
pub mod control;
pub mod crashes;
pub mod departures;
mod hedging;
pub mod members;
pub mod replica;
