use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;

use error_stack::Report;

use crate::raft::PersistRequest;
use crate::raft::RecoveredState;
use crate::storage::LogStore;
use crate::storage::StorageError;

/// Simulated disk in memory, for tests. It loses unsynced data in a simulated power failure.
#[derive(Debug, Clone, Default)]
pub struct FaultyDisk {
    synced: RecoveredState,
    unsynced: Vec<PersistRequest>,
    is_failing: bool,
}

impl FaultyDisk {
    /// Simulates a power failure. Of the requests written since the last sync, the first `kept`
    /// survive, and of the following one its first `torn_entries` entries.
    pub fn crash(&mut self, kept: usize, torn_entries: usize) {
        let unsynced = std::mem::take(&mut self.unsynced);
        for (at, request) in unsynced.into_iter().take(kept + 1).enumerate() {
            if at < kept {
                apply_request(&mut self.synced, &request);
            } else {
                // Term and vote are replaced atomically and before the entries.
                let entries = request.entries.iter().take(torn_entries).cloned().collect();
                apply_request(&mut self.synced, &PersistRequest { entries, ..request });
            }
        }
        self.is_failing = false;
    }

    /// Simulates the loss of the disk with all its data.
    pub fn erase(&mut self) {
        *self = Self::default();
    }

    /// Makes all further writes and syncs fail, as on a full or broken disk.
    pub fn start_failing(&mut self) {
        self.is_failing = true;
    }

    /// Makes writes and syncs work again, as when a full disk has free space again.
    pub fn stop_failing(&mut self) {
        self.is_failing = false;
    }

    /// Whether writes and syncs fail.
    pub fn is_failing(&self) -> bool {
        self.is_failing
    }

    /// State that a replica would recover at start.
    pub fn recover(&self) -> RecoveredState {
        self.synced.clone()
    }

    /// Number of requests written since the last sync.
    pub fn unsynced_count(&self) -> usize {
        self.unsynced.len()
    }
}

fn apply_request(state: &mut RecoveredState, request: &PersistRequest) {
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

/// Store on a [`FaultyDisk`]. Clones share the disk, so a test can access it.
#[derive(Debug, Clone, Default)]
pub struct FaultyStore {
    disk: Arc<Mutex<FaultyDisk>>,
}

impl FaultyStore {
    /// The simulated disk of the store.
    pub fn disk(&self) -> MutexGuard<'_, FaultyDisk> {
        self.disk.lock().expect("no holder of the lock panics")
    }

    fn lock_working_disk(&self) -> Result<MutexGuard<'_, FaultyDisk>, Report<StorageError>> {
        let disk = self.disk();
        if disk.is_failing {
            return Err(Report::new(StorageError::Failed));
        }
        Ok(disk)
    }
}

impl LogStore for FaultyStore {
    fn write(&mut self, request: &PersistRequest) -> Result<(), Report<StorageError>> {
        self.lock_working_disk()?.unsynced.push(request.clone());
        Ok(())
    }

    fn sync(&mut self) -> Result<(), Report<StorageError>> {
        let mut disk = self.lock_working_disk()?;
        for request in std::mem::take(&mut disk.unsynced) {
            apply_request(&mut disk.synced, &request);
        }
        Ok(())
    }

    fn reopen(&mut self) -> Result<RecoveredState, Report<StorageError>> {
        let mut disk = self.lock_working_disk()?;
        disk.unsynced.clear();
        Ok(disk.recover())
    }
}
