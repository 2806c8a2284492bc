use std::sync::Arc;
use std::time::SystemTime;

use async_trait::async_trait;
use tarragon_datapath::archive::CrashArchive;
use tarragon_model::api::unix_ms;
use tarragon_policy::quarantine::ToldRecord;
use tracing::warn;

use crate::control::ControlCommand;
use crate::control::ControlLog;
use crate::control::ControlQuery;
use crate::control::ControlRequest;
use crate::control::ControlResponse;
use crate::crashes::ArchivedCrash;

/// Keeps the requests that crash their servers in the replicated log.
pub struct ReplicatedCrashArchive {
    log: Arc<dyn ControlLog>,
}

impl ReplicatedCrashArchive {
    /// Creates access to the records in a log.
    pub fn new(log: Arc<dyn ControlLog>) -> Self {
        Self { log }
    }
}

#[async_trait]
impl CrashArchive for ReplicatedCrashArchive {
    async fn store(&self, records: Vec<ToldRecord>) -> bool {
        let now_ms = unix_ms(SystemTime::now());
        let archived = records.iter().map(|told| ArchivedCrash {
            fingerprint: told.record.fingerprint.to_string(),
            clearings: told.record.clearings,
            record: told.record.to_string(),
            changed_at_ms: now_ms.saturating_sub(told.age_ms),
        });
        let command = ControlCommand::ArchiveCrashes(archived.collect());
        self.log.request(&ControlRequest::Propose(command)).await.is_ok()
    }

    async fn load(&self) -> Option<Vec<ToldRecord>> {
        let query = ControlRequest::Read(ControlQuery::ArchivedCrashes);
        let Ok(ControlResponse::ArchivedCrashes(archived)) = self.log.request(&query).await else {
            return None;
        };
        let now_ms = unix_ms(SystemTime::now());
        let told = archived.iter().filter_map(|archived| {
            let age_ms = now_ms.saturating_sub(archived.changed_at_ms);
            match archived.record.parse() {
                Ok(record) => Some(ToldRecord { age_ms, record }),
                Err(()) => {
                    warn!("gate: ignoring a malformed crash record: {}", archived.record);
                    None
                }
            }
        });
        Some(told.collect())
    }
}
