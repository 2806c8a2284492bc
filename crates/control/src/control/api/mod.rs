//! HTTP endpoints for operators, for the local backend server, and for requests between nodes.
//! `docs/OPERATIONS.md` describes them for operators.

mod api_context;
mod backend;
mod internal;
mod large_bodies;
mod notes;
mod replicas;
mod server;
mod status;

pub use api_context::ApiContext;
pub use large_bodies::LargeBodies;
pub use server::ControlApi;
