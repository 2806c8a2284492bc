use std::fmt;

use async_trait::async_trait;
use tarragon_model::identity::InstanceId;

/// Why a claim has no result.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ClaimError {
    /// No majority of the control replicas can be reached.
    Unavailable,
}

impl fmt::Display for ClaimError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("no majority of the control replicas can be reached")
    }
}

impl std::error::Error for ClaimError {}

/// Assigns each idempotency key to one gate instance. The assignment is durable and final.
#[async_trait]
pub trait KeyClaims: Send + Sync {
    /// Claims a key of a service for the instance `wanted`. Returns the owner of the key, which is
    /// another instance if the key was claimed for that one before.
    ///
    /// # Errors
    /// `Unavailable` if the owner cannot be determined; the request must then not be forwarded.
    async fn claim(
        &self,
        service: &str,
        key: &str,
        wanted: InstanceId,
    ) -> Result<InstanceId, ClaimError>;
}
