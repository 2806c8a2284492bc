use std::fmt;

use async_trait::async_trait;
use tarragon_model::identity::InstanceId;

/// Why a claim has no answer.
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

/// Assigns a key to one gate instance, durably and once.
#[async_trait]
pub trait KeyClaims: Send + Sync {
    /// Claims a key of a service for `wanted` and returns the instance that owns it, which is
    /// another one if the key was claimed before.
    ///
    /// # Errors
    /// `Unavailable` if the claim cannot be settled; the request must then not be forwarded.
    async fn claim(
        &self,
        service: &str,
        key: &str,
        wanted: InstanceId,
    ) -> Result<InstanceId, ClaimError>;
}
