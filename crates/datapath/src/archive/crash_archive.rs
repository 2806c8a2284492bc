use async_trait::async_trait;
use tarragon_policy::quarantine::ToldRecord;

/// Keeps the records of requests that are in quarantine, also when all nodes end.
#[async_trait]
pub trait CrashArchive: Send + Sync {
    /// Stores records. Returns whether they are durable; storing them again does no harm.
    async fn store(&self, records: Vec<ToldRecord>) -> bool;

    /// Returns the stored records; `None` if they cannot be read now.
    async fn load(&self) -> Option<Vec<ToldRecord>>;
}

/// Archive of a deployment without one.
pub struct NoArchive;

#[async_trait]
impl CrashArchive for NoArchive {
    async fn store(&self, _records: Vec<ToldRecord>) -> bool {
        true
    }

    async fn load(&self) -> Option<Vec<ToldRecord>> {
        Some(Vec::new())
    }
}
