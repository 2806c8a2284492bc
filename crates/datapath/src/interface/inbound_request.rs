use std::time::Instant;

use tarragon_model::identity::IdempotencyKey;
use tarragon_policy::admission::WorkClass;

/// What a listener reads from a request before it forwards it.
#[derive(Debug)]
pub struct InboundRequest {
    /// Service that is called.
    pub service: String,
    /// Identifier that the caller gave the request, for logs; empty if it gave none.
    pub caller_request_id: String,
    /// Rank of the operation.
    pub rank: u8,
    /// Rank of the least important operation of the service.
    pub lowest_rank: u8,
    /// Whether the request may run more than once.
    pub is_idempotent: bool,
    /// Class of the expected run time.
    pub class: WorkClass,
    /// Deadline that the request asks for, if any.
    pub requested_deadline: Option<Instant>,
    /// When the caller itself stops waiting, if it says so.
    pub caller_deadline: Option<Instant>,
    /// Deadline of requests that ask for none.
    pub default_deadline: Instant,
    /// Key, if the operation needs one.
    pub key: Option<IdempotencyKey>,
    /// Most backend servers that the request may be sent to; none if only the retry tokens bound
    /// them.
    pub max_attempts: Option<u32>,
    /// Kind of request, by which gates learn run times; 0 if they know it by themselves.
    pub kind: u32,
    /// Revision of the catalogue that decided.
    pub revision: u64,
    /// Largest body, in bytes.
    pub max_body_bytes: u64,
}
