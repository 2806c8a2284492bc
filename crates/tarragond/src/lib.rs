//! Command line of the node daemon. The node itself is assembled by `tarragon-node`.

pub mod cli;
