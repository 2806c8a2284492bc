//! Context and outcome of a call, and the headers that carry them.

mod call_context;
pub mod headers;
mod outcome;

pub use call_context::CallContext;
pub use call_context::ContextError;
pub use outcome::Outcome;
pub use outcome::Reason;
