use std::sync::Arc;
use std::time::SystemTime;

use async_trait::async_trait;
use tarragon_datapath::claims::ClaimError;
use tarragon_datapath::claims::KeyClaims;
use tarragon_model::identity::InstanceId;

use crate::control::ClaimKey;
use crate::control::ControlCommand;
use crate::control::ControlLog;
use crate::control::ControlRequest;
use crate::control::ControlResponse;

/// Claims idempotency keys in the replicated log.
pub struct ReplicatedKeyClaims {
    log: Arc<dyn ControlLog>,
    retention_s: u64,
}

impl ReplicatedKeyClaims {
    /// Creates access to the claims in a log. `retention_s` is the time for which a claim is kept,
    /// in s.
    pub fn new(log: Arc<dyn ControlLog>, retention_s: u64) -> Self {
        Self { log, retention_s }
    }
}

#[async_trait]
impl KeyClaims for ReplicatedKeyClaims {
    async fn claim(
        &self,
        service: &str,
        key: &str,
        wanted: InstanceId,
    ) -> Result<InstanceId, ClaimError> {
        let now = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default();
        let command = ControlCommand::Claim {
            key: ClaimKey { service: service.into(), key: key.into() },
            wanted,
            now_s: now.as_secs(),
            retention_s: self.retention_s,
        };
        match self.log.request(&ControlRequest::Propose(command)).await {
            Ok(ControlResponse::Owner(owner)) => Ok(owner),
            _ => Err(ClaimError::Unavailable),
        }
    }
}
