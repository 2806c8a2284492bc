//! Recovery of the log from its segments at start.

use std::fs;
use std::fs::OpenOptions;
use std::path::Path;
use std::path::PathBuf;

use error_stack::Report;
use error_stack::ResultExt;

use crate::protocol::LogEntry;
use crate::protocol::Snapshot;
use crate::storage::atomic_file;
use crate::storage::segment;
use crate::storage::segment::SegmentHeader;
use crate::storage::segment::HEADER_BYTES;
use crate::storage::snapshot_file::numbered_files;
use crate::storage::synced_position_file::SyncedPosition;
use crate::storage::StorageError;

/// Prefix of the names of segment files.
pub(super) const SEGMENT_PREFIX: &str = "log-";

/// A segment file on disk.
#[derive(Debug)]
pub(super) struct SegmentFile {
    pub(super) number: u64,
    pub(super) path: PathBuf,
    /// Highest entry index in the segment; 0 if it has no records.
    pub(super) max_index: u64,
    /// Length of the file, in bytes.
    pub(super) bytes: u64,
}

/// The log as read from the segments.
#[derive(Debug, Default)]
pub(super) struct RecoveredLog {
    pub(super) segments: Vec<SegmentFile>,
    /// Entries in order; a later record replaces earlier ones of the same and higher indices.
    pub(super) entries: Vec<LogEntry>,
    /// First entry index of the first segment.
    first_index: u64,
}

fn damaged(file: &Path, offset: usize, fault: &'static str) -> Report<StorageError> {
    Report::new(StorageError::Damaged { file: file.into(), offset: offset as u64, fault })
}

/// Segment files of a directory, ordered by number.
pub(super) fn list_segments(directory: &Path) -> Result<Vec<(u64, PathBuf)>, Report<StorageError>> {
    let mut found = numbered_files(directory, SEGMENT_PREFIX)?;
    found.sort();
    Ok(found)
}

impl RecoveredLog {
    /// Reads all segments and truncates a damaged tail that contains no acknowledged entries.
    pub(super) fn read(
        directory: &Path,
        synced_position: SyncedPosition,
    ) -> Result<Self, Report<StorageError>> {
        let found = list_segments(directory)?;
        let mut log = Self::default();
        let Some((last_number, last_path)) = found.last().cloned() else {
            return Err(damaged(directory, 0, "there is no log segment"));
        };
        if synced_position.segment > last_number {
            return Err(damaged(&last_path, 0, "a later segment is missing"));
        }
        for (number, path) in found {
            if log.segments.last().is_some_and(|previous| previous.number + 1 != number) {
                return Err(damaged(&path, 0, "the segment before this one is missing"));
            }
            let synced_bytes =
                if synced_position.segment == number { synced_position.offset } else { 0 };
            log.read_segment(number, path, number == last_number, synced_bytes)?;
        }
        Ok(log)
    }

    fn read_segment(
        &mut self,
        number: u64,
        path: PathBuf,
        is_last: bool,
        synced_bytes: u64,
    ) -> Result<(), Report<StorageError>> {
        let bytes = fs::read(&path).change_context_lazy(|| atomic_file::io_error("read", &path))?;
        let header = SegmentHeader::decode(&bytes).filter(|header| header.number == number);
        let Some(header) = header else {
            // A segment gets records only after its header is synced. So if the last segment has a
            // damaged header and no records, the replica stopped while it created the segment. The
            // segment can be removed unless it is the only one.
            let is_unused = is_last
                && synced_bytes == 0
                && bytes.len() <= HEADER_BYTES
                && !self.segments.is_empty();
            if !is_unused {
                return Err(damaged(&path, 0, "the header is damaged"));
            }
            return fs::remove_file(&path)
                .change_context_lazy(|| atomic_file::io_error("remove", &path));
        };
        match self.segments.last() {
            None => self.first_index = header.next_index,
            Some(previous) if previous.bytes != header.previous_bytes => {
                let offset = usize::try_from(previous.bytes).unwrap_or(usize::MAX);
                return Err(damaged(
                    &previous.path,
                    offset,
                    "its length differs from the length recorded in the next segment",
                ));
            }
            Some(_) => {}
        }
        let mut offset = HEADER_BYTES;
        let mut max_index = 0;
        while let Some(record) = segment::read_record(&bytes, offset) {
            self.add_entry(record.entry, &path, offset, &mut max_index)?;
            offset = record.end_offset;
        }
        if (offset as u64) < synced_bytes {
            return Err(damaged(&path, offset, "a synced record is damaged or missing"));
        }
        if offset < bytes.len() {
            if !is_last || segment::is_synced_beyond(&bytes, offset) {
                return Err(damaged(&path, offset, "a synced record is damaged"));
            }
            tracing::warn!(
                "log: truncating {} bytes that were never synced from {} at byte {offset}",
                bytes.len() - offset,
                path.display()
            );
            truncate_file(&path, offset as u64)?;
        }
        self.segments.push(SegmentFile { number, path, max_index, bytes: offset as u64 });
        Ok(())
    }

    /// Adds an entry in place of the entries with the same and higher indices.
    fn add_entry(
        &mut self,
        entry: LogEntry,
        path: &Path,
        offset: usize,
        max_index: &mut u64,
    ) -> Result<(), Report<StorageError>> {
        *max_index = (*max_index).max(entry.index);
        let first = self.entries.first().map_or(entry.index, |e| e.index);
        let kept_count = entry.index.saturating_sub(first);
        let kept_count = usize::try_from(kept_count).unwrap_or(usize::MAX);
        let is_start_missing = self.entries.is_empty() && entry.index > self.first_index;
        if kept_count > self.entries.len() || is_start_missing {
            return Err(damaged(path, offset, "entries are missing before this record"));
        }
        self.entries.truncate(kept_count);
        self.entries.push(entry);
        Ok(())
    }

    /// Removes the entries that a snapshot contains. Returns false if the log does not continue the
    /// snapshot, because the replica stopped while it replaced the log with the snapshot.
    pub(super) fn align_with_snapshot(
        &mut self,
        snapshot: Option<&Snapshot>,
    ) -> Result<bool, Report<StorageError>> {
        let snapshot_index = snapshot.map_or(0, |s| s.index);
        let first = self.entries.first().map_or(self.first_index, |e| e.index);
        if first.min(self.first_index) > snapshot_index + 1 {
            let path = &self.segments[0].path;
            return Err(damaged(path, HEADER_BYTES, "the snapshot before it is missing"));
        }
        let Some(snapshot) = snapshot else { return Ok(true) };
        // Entries after the snapshot that have an earlier term belong to a log that it replaced.
        let starts_after_snapshot = self
            .entries
            .first()
            .is_some_and(|e| e.index == snapshot.index + 1 && e.term >= snapshot.term);
        let has_snapshot_entry = self
            .entries
            .iter()
            .any(|entry| entry.index == snapshot.index && entry.term == snapshot.term);
        let is_empty_after_snapshot =
            self.entries.is_empty() && self.first_index == snapshot.index + 1;
        self.entries.retain(|e| e.index > snapshot.index);
        if has_snapshot_entry || starts_after_snapshot || is_empty_after_snapshot {
            return Ok(true);
        }
        self.entries.clear();
        Ok(false)
    }
}

fn truncate_file(path: &Path, length: u64) -> Result<(), Report<StorageError>> {
    let error = || atomic_file::io_error("truncate the damaged end of", path);
    let file = OpenOptions::new().write(true).open(path).change_context_lazy(error)?;
    file.set_len(length).change_context_lazy(error)?;
    file.sync_all().change_context_lazy(error)
}
