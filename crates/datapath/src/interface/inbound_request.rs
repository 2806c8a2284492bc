use std::time::Instant;

use tarragon_model::identity::IdempotencyKey;
use tarragon_policy::admission::WorkClass;

/// Attributes of a request that a listener has read, for forwarding it.
#[derive(Debug)]
pub struct InboundRequest {
    /// Name of the called service.
    pub service: String,
    /// Request id that the caller sent, for logs; empty if the caller sent none.
    pub caller_request_id: String,
    /// Service from which the caller sent the request, if the interface knows it. Equal requests from
    /// other services are other requests.
    pub calling_service: String,
    /// Importance rank of the operation; 0 is the most important.
    pub rank: u8,
    /// Importance rank of the least important operation of the service.
    pub lowest_rank: u8,
    /// Whether the request may safely run more than once.
    pub is_idempotent: bool,
    /// Work class by expected run time.
    pub class: WorkClass,
    /// Deadline that the request asks for, limited to the allowed maximum; `None` if it asks
    /// for none.
    pub requested_deadline: Option<Instant>,
    /// Time at which the caller stops waiting, if the request states it.
    pub caller_deadline: Option<Instant>,
    /// Deadline that applies if the request asks for none.
    pub default_deadline: Instant,
    /// Idempotency key, if the request has one and its operation is not idempotent.
    pub key: Option<IdempotencyKey>,
    /// Maximum number of backend servers that the request may be sent to; `None` if only the retry
    /// tokens limit it.
    pub max_attempts: Option<u32>,
    /// Identifier of the kind of request by which gates group measured run times; 0 if gates derive
    /// the kind themselves.
    pub kind: u32,
    /// Revision of the catalogue that the request was checked against.
    pub revision: u64,
    /// Maximum size of the request body, in bytes.
    pub max_body_bytes: u64,
}
