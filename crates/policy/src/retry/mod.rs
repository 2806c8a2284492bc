//! Bounds the retries of a request across its whole call tree.

mod policy;

pub use policy::RetryPolicy;
