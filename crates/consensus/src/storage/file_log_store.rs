use std::fs;
use std::fs::File;
use std::fs::OpenOptions;
use std::io::Write;
use std::path::Path;
use std::path::PathBuf;
use std::sync::Arc;

use error_stack::Report;
use error_stack::ResultExt;

use crate::protocol::DiskId;
use crate::protocol::HardState;
use crate::protocol::LogEntry;
use crate::protocol::Snapshot;
use crate::raft::PersistRequest;
use crate::raft::RecoveredState;
use crate::storage::atomic_file;
use crate::storage::atomic_file::TEMPORARY_SUFFIX;
use crate::storage::metadata::Metadata;
use crate::storage::metadata::METADATA_NAME;
use crate::storage::recovery;
use crate::storage::recovery::RecoveredLog;
use crate::storage::recovery::SegmentFile;
use crate::storage::recovery::SEGMENT_PREFIX;
use crate::storage::segment;
use crate::storage::segment::SegmentHeader;
use crate::storage::segment::HEADER_BYTES;
use crate::storage::snapshot_file;
use crate::storage::synced_position_file::SyncedPosition;
use crate::storage::synced_position_file::SyncedPositionFile;
use crate::storage::LogStore;
use crate::storage::StorageError;

/// Length at which a segment is closed, in bytes. With small segments, compaction frees space
/// earlier and recovery needs less memory, because it reads whole segments.
const SEGMENT_BYTES: u64 = 8 << 20;

/// Stores log, metadata and snapshots in the files of one directory; see the module documentation
/// for their format.
#[derive(Debug)]
pub struct FileLogStore {
    directory: PathBuf,
    metadata: Metadata,
    synced_position_file: SyncedPositionFile,
    /// All segments; the last one is the current segment.
    segments: Vec<SegmentFile>,
    file: File,
    synced_bytes: u64,
    last_index: u64,
    is_failed: bool,
}

impl FileLogStore {
    /// Opens a directory and creates it if it does not exist. A new directory gets the disk id
    /// `new_disk`, which must be random; an existing one keeps its disk id.
    ///
    /// # Errors
    /// `Damaged` if state that may have been acknowledged cannot be read, `Io` if an operation of
    /// the operating system fails.
    pub fn open(
        directory: &Path,
        new_disk: DiskId,
    ) -> Result<(Self, RecoveredState), Report<StorageError>> {
        fs::create_dir_all(directory)
            .change_context_lazy(|| atomic_file::io_error("create", directory))?;
        remove_temporary_files(directory)?;
        let (synced_position_file, synced_position) = SyncedPositionFile::open(directory)?;
        let snapshot = snapshot_file::load(directory)?;
        let metadata = match Metadata::load(directory)? {
            Some(metadata) => metadata,
            None => initialise_directory(directory, new_disk, snapshot.is_some())?,
        };
        let mut log = RecoveredLog::read(directory, synced_position)?;
        let is_continuation = log.align_with_snapshot(snapshot.as_ref())?;
        let last_index =
            log.entries.last().map_or(snapshot.as_ref().map_or(0, |s| s.index), |e| e.index);
        let recovered = RecoveredState {
            hard_state: metadata.hard_state.clone(),
            snapshot: snapshot.map(Arc::new),
            entries: log.entries,
        };
        let current = log.segments.last().expect("reading a log without segments fails");
        let file = open_segment(&current.path)?;
        let synced_bytes = current.bytes;
        let mut store = Self {
            directory: directory.to_path_buf(),
            metadata,
            synced_position_file,
            segments: log.segments,
            file,
            synced_bytes,
            last_index,
            is_failed: false,
        };
        // The recovered state may not be synced yet, and the replica relies on it being durable.
        store.file.sync_all().change_context_lazy(|| atomic_file::io_error("sync", directory))?;
        atomic_file::sync_directory(directory)?;
        if !is_continuation {
            store.replace_segments()?;
        }
        store.write_synced_position();
        Ok((store, recovered))
    }

    /// Disk id of the directory.
    pub fn disk_id(&self) -> DiskId {
        self.metadata.disk
    }

    fn current_segment(&mut self) -> &mut SegmentFile {
        self.segments.last_mut().expect("there is always a current segment")
    }

    fn write_synced_position(&mut self) {
        let segment = self.current_segment().number;
        self.synced_position_file.write(SyncedPosition { segment, offset: self.synced_bytes });
    }

    fn write_request(&mut self, request: &PersistRequest) -> Result<(), Report<StorageError>> {
        if let Some(hard_state) = &request.hard_state {
            self.metadata.hard_state = hard_state.clone();
            self.metadata.store(&self.directory)?;
        }
        if let Some(snapshot) = &request.snapshot {
            self.write_snapshot(snapshot, request.is_log_replaced)?;
        }
        self.write_entries(&request.entries)
    }

    fn write_snapshot(
        &mut self,
        snapshot: &Snapshot,
        is_log_replaced: bool,
    ) -> Result<(), Report<StorageError>> {
        self.sync_log()?;
        snapshot_file::store(&self.directory, snapshot)?;
        if is_log_replaced {
            self.last_index = snapshot.index;
            return self.replace_segments();
        }
        self.last_index = self.last_index.max(snapshot.index);
        self.start_segment()?;
        while self.segments.len() > 1 && self.segments[0].max_index <= snapshot.index {
            atomic_file::remove_file(&self.directory, &self.segments[0].path)?;
            self.segments.remove(0);
        }
        Ok(())
    }

    fn write_entries(&mut self, entries: &[LogEntry]) -> Result<(), Report<StorageError>> {
        let Some(last) = entries.last() else { return Ok(()) };
        let mut buffer = Vec::new();
        for entry in entries {
            segment::encode_record(entry, self.synced_bytes, &mut buffer);
        }
        self.last_index = last.index;
        let current = self.segments.last_mut().expect("there is always a current segment");
        current.max_index = current.max_index.max(last.index);
        current.bytes += buffer.len() as u64;
        self.file
            .write_all(&buffer)
            .change_context_lazy(|| atomic_file::io_error("write", &current.path))
    }

    fn sync_log(&mut self) -> Result<(), Report<StorageError>> {
        let current = self.segments.last().expect("there is always a current segment");
        let bytes = current.bytes;
        if bytes == self.synced_bytes {
            return Ok(());
        }
        // `sync_data` also makes the new length of the file durable.
        self.file
            .sync_data()
            .change_context_lazy(|| atomic_file::io_error("sync", &current.path))?;
        self.synced_bytes = bytes;
        self.write_synced_position();
        if bytes >= SEGMENT_BYTES {
            self.start_segment()?;
        }
        Ok(())
    }

    /// Closes the current segment, which must be synced, and starts the next one.
    fn start_segment(&mut self) -> Result<(), Report<StorageError>> {
        let next_index = self.last_index + 1;
        let current = self.current_segment();
        let (number, previous_bytes) = (current.number + 1, current.bytes);
        let header = SegmentHeader { number, next_index, previous_bytes };
        let (segment, file) = create_segment(&self.directory, header)?;
        self.segments.push(segment);
        self.file = file;
        self.synced_bytes = HEADER_BYTES as u64;
        self.write_synced_position();
        Ok(())
    }

    /// Starts a new log after the snapshot and removes the old segments.
    fn replace_segments(&mut self) -> Result<(), Report<StorageError>> {
        self.start_segment()?;
        while self.segments.len() > 1 {
            atomic_file::remove_file(&self.directory, &self.segments[0].path)?;
            self.segments.remove(0);
        }
        Ok(())
    }

    fn run_unless_failed(
        &mut self,
        work: impl FnOnce(&mut Self) -> Result<(), Report<StorageError>>,
    ) -> Result<(), Report<StorageError>> {
        if self.is_failed {
            return Err(Report::new(StorageError::Failed));
        }
        let result = work(self);
        self.is_failed = result.is_err();
        result
    }
}

impl LogStore for FileLogStore {
    fn write(&mut self, request: &PersistRequest) -> Result<(), Report<StorageError>> {
        self.run_unless_failed(|store| store.write_request(request))
    }

    fn sync(&mut self) -> Result<(), Report<StorageError>> {
        self.run_unless_failed(Self::sync_log)
    }

    fn reopen(&mut self) -> Result<RecoveredState, Report<StorageError>> {
        // After a failed sync, the operating system may show data that is not on the disk.
        let path = &self.current_segment().path.clone();
        self.file
            .set_len(self.synced_bytes)
            .and_then(|()| self.file.sync_all())
            .change_context_lazy(|| atomic_file::io_error("truncate", path))?;
        // Opening a directory without metadata would start an empty log under this disk id.
        let metadata = Metadata::load(&self.directory)?;
        if metadata.is_none_or(|metadata| metadata.disk != self.metadata.disk) {
            let (file, fault) = (self.directory.join(METADATA_NAME), "it is not of this disk");
            return Err(Report::new(StorageError::Damaged { file, offset: 0, fault }));
        }
        let (store, recovered) = Self::open(&self.directory, self.metadata.disk)?;
        *self = store;
        // Opening a log may write nothing, so this shows whether writes work again.
        self.metadata.store(&self.directory)?;
        Ok(recovered)
    }
}

/// Initialises a new directory. The metadata file is written last, so a directory that has one is
/// complete.
fn initialise_directory(
    directory: &Path,
    disk: DiskId,
    has_snapshot: bool,
) -> Result<Metadata, Report<StorageError>> {
    if has_snapshot {
        let (file, fault) = (directory.join(METADATA_NAME), "it is missing");
        return Err(Report::new(StorageError::Damaged { file, offset: 0, fault }));
    }
    for (_, path) in recovery::list_segments(directory)? {
        let bytes =
            fs::metadata(&path).change_context_lazy(|| atomic_file::io_error("read", &path))?;
        if bytes.len() > HEADER_BYTES as u64 {
            let fault = "there is no metadata for it";
            return Err(Report::new(StorageError::Damaged { file: path, offset: 0, fault }));
        }
        atomic_file::remove_file(directory, &path)?;
    }
    create_segment(directory, SegmentHeader { number: 1, next_index: 1, previous_bytes: 0 })?;
    let metadata = Metadata { disk, hard_state: HardState::default() };
    metadata.store(directory)?;
    if let Some(parent) = directory.parent().filter(|p| !p.as_os_str().is_empty()) {
        atomic_file::sync_directory(parent)?;
    }
    Ok(metadata)
}

fn remove_temporary_files(directory: &Path) -> Result<(), Report<StorageError>> {
    let error = || atomic_file::io_error("list", directory);
    for entry in fs::read_dir(directory).change_context_lazy(error)? {
        let path = entry.change_context_lazy(error)?.path();
        if path.to_string_lossy().ends_with(TEMPORARY_SUFFIX) {
            fs::remove_file(&path)
                .change_context_lazy(|| atomic_file::io_error("remove", &path))?;
        }
    }
    Ok(())
}

fn create_segment(
    directory: &Path,
    header: SegmentHeader,
) -> Result<(SegmentFile, File), Report<StorageError>> {
    let path = directory.join(format!("{SEGMENT_PREFIX}{:016x}", header.number));
    let mut file =
        File::create(&path).change_context_lazy(|| atomic_file::io_error("create", &path))?;
    file.write_all(&header.encode())
        .change_context_lazy(|| atomic_file::io_error("write", &path))?;
    file.sync_all().change_context_lazy(|| atomic_file::io_error("sync", &path))?;
    atomic_file::sync_directory(directory)?;
    let bytes = HEADER_BYTES as u64;
    Ok((SegmentFile { number: header.number, path, max_index: 0, bytes }, file))
}

fn open_segment(path: &Path) -> Result<File, Report<StorageError>> {
    OpenOptions::new()
        .append(true)
        .open(path)
        .change_context_lazy(|| atomic_file::io_error("open", path))
}
