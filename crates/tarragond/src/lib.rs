//! Command line of the node daemon; `tarragon-node` assembles the node itself.

pub mod cli;
