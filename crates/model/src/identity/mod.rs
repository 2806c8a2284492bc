//! Identifiers of nodes, instances, requests and executions.

mod hex_id;
mod idempotency_key;
mod request_id;

pub use hex_id::InstanceId;
pub use hex_id::ParseIdError;
pub use hex_id::SpanId;
pub use idempotency_key::IdempotencyKey;
pub use request_id::RequestId;
