use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;

use error_stack::Report;

use crate::raft::PersistRequest;
use crate::raft::RecoveredState;
use crate::storage::LogStore;
use crate::storage::StorageError;

/// A disk in memory that loses what a power failure would lose. For tests.
#[derive(Debug, Clone, Default)]
pub struct FaultyDisk {
    synced: RecoveredState,
    unsynced: Vec<PersistRequest>,
    is_failing: bool,
}

impl FaultyDisk {
    /// Power fails: of what was written since the last sync, the first `kept` requests survive,
    /// and of the next one only its first `torn_entries` entries.
    pub fn crash(&mut self, kept: usize, torn_entries: usize) {
        let unsynced = std::mem::take(&mut self.unsynced);
        for (at, request) in unsynced.into_iter().take(kept + 1).enumerate() {
            if at < kept {
                apply(&mut self.synced, &request);
            } else {
                // Term and vote are replaced as a whole and before the entries.
                let entries = request.entries.iter().take(torn_entries).cloned().collect();
                apply(&mut self.synced, &PersistRequest { entries, ..request });
            }
        }
        self.is_failing = false;
    }

    /// The disk is lost with all that was on it.
    pub fn erase(&mut self) {
        *self = Self::default();
    }

    /// Writes and syncs fail from now on, as on a full or broken disk.
    pub fn start_failing(&mut self) {
        self.is_failing = true;
    }

    /// Whether writes and syncs fail.
    pub fn is_failing(&self) -> bool {
        self.is_failing
    }

    /// What a start would find.
    pub fn recover(&self) -> RecoveredState {
        self.synced.clone()
    }

    /// Number of requests written since the last sync.
    pub fn unsynced_count(&self) -> usize {
        self.unsynced.len()
    }
}

fn apply(state: &mut RecoveredState, request: &PersistRequest) {
    if let Some(hard_state) = &request.hard_state {
        state.hard_state = hard_state.clone();
    }
    if let Some(snapshot) = &request.snapshot {
        if request.is_log_replaced {
            state.entries.clear();
        }
        state.entries.retain(|e| e.index > snapshot.index);
        state.snapshot = Some(Arc::clone(snapshot));
    }
    for entry in &request.entries {
        state.entries.retain(|e| e.index < entry.index);
        state.entries.push(entry.clone());
    }
}

/// Store on a [`FaultyDisk`] that the test keeps a handle on.
#[derive(Debug, Clone, Default)]
pub struct FaultyStore {
    disk: Arc<Mutex<FaultyDisk>>,
}

impl FaultyStore {
    /// The disk behind the store.
    pub fn disk(&self) -> MutexGuard<'_, FaultyDisk> {
        self.disk.lock().expect("no holder of the lock panics")
    }

    fn checked(&self) -> Result<MutexGuard<'_, FaultyDisk>, Report<StorageError>> {
        let disk = self.disk();
        if disk.is_failing {
            return Err(Report::new(StorageError::Failed));
        }
        Ok(disk)
    }
}

impl LogStore for FaultyStore {
    fn write(&mut self, request: &PersistRequest) -> Result<(), Report<StorageError>> {
        self.checked()?.unsynced.push(request.clone());
        Ok(())
    }

    fn sync(&mut self) -> Result<(), Report<StorageError>> {
        let mut disk = self.checked()?;
        for request in std::mem::take(&mut disk.unsynced) {
            apply(&mut disk.synced, &request);
        }
        Ok(())
    }
}
