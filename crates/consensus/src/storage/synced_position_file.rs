use std::fs::File;
use std::fs::OpenOptions;
use std::os::unix::fs::FileExt;
use std::path::Path;

use error_stack::Report;
use error_stack::ResultExt;

use crate::storage::atomic_file;
use crate::storage::StorageError;

const FILE_NAME: &str = "synced";
const SLOT_BYTES: u64 = 28;

/// Position in the log up to which everything is synced.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct SyncedPosition {
    pub(super) segment: u64,
    pub(super) offset: u64,
}

/// File with a lower bound of the synced position, for recovery.
///
/// Two slots are written alternately, so that a torn write leaves the other one intact. The file
/// itself is not synced: that would double the cost of a commit, and with an outdated position
/// recovery only has to rely on the synced lengths in the records.
#[derive(Debug)]
pub(super) struct SyncedPositionFile {
    file: File,
    /// Number of writes; it selects the slot of a write and shows which slot is the latest.
    count: u64,
}

impl SyncedPositionFile {
    /// Opens the file and reads the latest position.
    pub(super) fn open(directory: &Path) -> Result<(Self, SyncedPosition), Report<StorageError>> {
        let path = directory.join(FILE_NAME);
        let file = OpenOptions::new()
            .read(true)
            .write(true)
            .create(true)
            .truncate(false)
            .open(&path)
            .change_context_lazy(|| atomic_file::io_error("open", &path))?;
        let slots = [read_slot(&file, 0), read_slot(&file, SLOT_BYTES)];
        let latest = slots.into_iter().flatten().max_by_key(|(count, _)| *count);
        let (count, synced_position) = latest.unwrap_or_default();
        Ok((Self { file, count }, synced_position))
    }

    /// Records a synced position. A failure is harmless, because the older position stays valid.
    pub(super) fn write(&mut self, synced_position: SyncedPosition) {
        self.count += 1;
        let mut slot = Vec::with_capacity(SLOT_BYTES as usize);
        for number in [self.count, synced_position.segment, synced_position.offset] {
            slot.extend_from_slice(&number.to_le_bytes());
        }
        slot.extend_from_slice(&crc32fast::hash(&slot).to_le_bytes());
        if let Err(error) = self.file.write_all_at(&slot, self.count % 2 * SLOT_BYTES) {
            tracing::warn!("log: cannot write the synced position: {error}");
        }
    }
}

fn read_slot(file: &File, at: u64) -> Option<(u64, SyncedPosition)> {
    let mut slot = [0; SLOT_BYTES as usize];
    file.read_exact_at(&mut slot, at).ok()?;
    let number =
        |from: usize| u64::from_le_bytes(slot[from..from + 8].try_into().expect("eight bytes"));
    let crc = u32::from_le_bytes(slot[24..28].try_into().expect("four bytes"));
    (crc32fast::hash(&slot[..24]) == crc)
        .then(|| (number(0), SyncedPosition { segment: number(8), offset: number(16) }))
}
