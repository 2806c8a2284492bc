//! Tests of recovery: after any damage to any file, a store either opens with all acknowledged
//! state or returns an error.

use std::fs;
use std::path::Path;
use std::path::PathBuf;
use std::sync::Arc;

use tarragon_consensus::protocol::ClusterConfiguration;
use tarragon_consensus::protocol::DiskId;
use tarragon_consensus::protocol::EntryPayload;
use tarragon_consensus::protocol::HardState;
use tarragon_consensus::protocol::LogEntry;
use tarragon_consensus::protocol::Snapshot;
use tarragon_consensus::raft::PersistRequest;
use tarragon_consensus::raft::RecoveredState;
use tarragon_consensus::storage::FaultyStore;
use tarragon_consensus::storage::FileLogStore;
use tarragon_consensus::storage::LogStore;
use tarragon_consensus::storage::StorageError;
use tarragon_testkit::check_property;

/// A store in files, and a model on a simulated disk that receives the same requests.
struct StoreWithModel {
    file_store: FileLogStore,
    model: FaultyStore,
    /// The model before the last sync of records; recovery may return it without the `synced` file.
    before_sync: FaultyStore,
    directory: tempfile::TempDir,
    term: u64,
    first_index: u64,
    last_index: u64,
    /// Current segment at the last sync, and its length in bytes.
    synced_segment: (PathBuf, u64),
}

fn segment_files(directory: &Path) -> Vec<PathBuf> {
    let mut found: Vec<PathBuf> = files_in(directory)
        .into_iter()
        .filter(|p| p.file_name().is_some_and(|n| n.to_string_lossy().starts_with("log-")))
        .collect();
    found.sort();
    found
}

fn files_in(directory: &Path) -> Vec<PathBuf> {
    let entries = fs::read_dir(directory).expect("the directory can be read");
    entries.map(|e| e.expect("the entry can be read").path()).collect()
}

fn copy_store(store: &FaultyStore) -> FaultyStore {
    let copy = FaultyStore::default();
    *copy.disk() = store.disk().clone();
    copy
}

fn file_length(path: &Path) -> u64 {
    fs::metadata(path).expect("the file exists").len()
}

impl StoreWithModel {
    fn new() -> Self {
        let directory = tempfile::tempdir().expect("a directory can be created");
        let (file_store, recovered) =
            FileLogStore::open(directory.path(), DiskId(7)).expect("a new directory can be opened");
        assert_eq!(recovered, RecoveredState::default());
        let current = segment_files(directory.path()).pop().expect("there is a segment");
        let synced_segment = (current.clone(), file_length(&current));
        let (model, before_sync) = (FaultyStore::default(), FaultyStore::default());
        let (term, first_index, last_index) = (1, 1, 0);
        Self {
            file_store,
            model,
            before_sync,
            directory,
            term,
            first_index,
            last_index,
            synced_segment,
        }
    }

    fn write(&mut self, request: &PersistRequest) {
        self.file_store.write(request).expect("the directory can be written");
        self.model.write(request).expect("the model never fails");
        self.before_sync.write(request).expect("the model never fails");
    }

    fn sync(&mut self) {
        let before_sync = copy_store(&self.model);
        self.file_store.sync().expect("the directory can be synced");
        self.model.sync().expect("the model never fails");
        let current = segment_files(self.directory.path()).pop().expect("there is a segment");
        let synced_segment = (current.clone(), file_length(&current));
        if synced_segment != self.synced_segment {
            self.before_sync = before_sync;
            self.synced_segment = synced_segment;
        }
    }

    fn entries(&self, from: u64, count: u64) -> Vec<LogEntry> {
        let payload = |index: u64| EntryPayload::Command(vec![index as u8; 1 + index as usize % 5]);
        let entry = |index| LogEntry { term: self.term, index, payload: payload(index) };
        (from..from + count).map(entry).collect()
    }

    /// Performs one of the write operations of a replica; everything except entries is synced.
    /// `operation` selects it, modulo 8: 0 starts a term, 1 takes a snapshot, 2 replaces the log
    /// with a snapshot, 3 replaces the last entry and may append more, 4 syncs, and 5 to 7 append
    /// entries. 1 and 3 append if the log is too short for them. `size` determines the index of the
    /// snapshot or the number of entries.
    fn perform(&mut self, operation: u8, size: u8) {
        let size = u64::from(size);
        match operation % 8 {
            0 => {
                self.term += 1;
                let hard_state = Some(HardState { term: self.term, ..HardState::default() });
                self.write(&PersistRequest { hard_state, ..PersistRequest::default() });
                self.sync();
            }
            1 if self.last_index > self.first_index => {
                let index = self.first_index + size % (self.last_index - self.first_index);
                self.snapshot(index, false);
            }
            2 => self.snapshot(self.last_index + 1 + size % 3, true),
            3 if self.last_index > self.first_index => {
                // Entries of a new leader replace the last ones.
                self.term += 1;
                let entries = self.entries(self.last_index, 1 + size % 3);
                self.append(entries);
            }
            4 => self.sync(),
            _ => self.append(self.entries(self.last_index + 1, 1 + size % 4)),
        }
    }

    fn append(&mut self, entries: Vec<LogEntry>) {
        self.last_index = entries.last().expect("there is an entry").index;
        self.write(&PersistRequest { entries, ..PersistRequest::default() });
    }

    fn snapshot(&mut self, index: u64, is_log_replaced: bool) {
        self.sync();
        let entries = self.model.disk().recover().entries;
        let term = entries.iter().find(|e| e.index == index).map_or(self.term, |e| e.term);
        let (configuration, data) = (ClusterConfiguration::default(), vec![index as u8; 9]);
        let snapshot = Some(Arc::new(Snapshot { index, term, configuration, data }));
        self.write(&PersistRequest { snapshot, is_log_replaced, ..PersistRequest::default() });
        self.first_index = index + 1;
        self.last_index = self.last_index.max(index);
        self.sync();
    }

    /// Opens a copy of the directory after damaging it.
    fn open_damaged(
        &self,
        damage: impl FnOnce(&Path),
    ) -> Result<RecoveredState, Option<StorageError>> {
        let copy = tempfile::tempdir().expect("a directory can be created");
        for file in files_in(self.directory.path()) {
            let name = file.file_name().expect("a file has a name");
            fs::copy(&file, copy.path().join(name)).expect("the file can be copied");
        }
        damage(copy.path());
        match FileLogStore::open(copy.path(), DiskId(8)) {
            Ok((store, recovered)) => {
                assert_eq!(store.disk_id(), DiskId(7), "the disk id never changes");
                drop(store);
                let (_, again) = FileLogStore::open(copy.path(), DiskId(8))
                    .expect("the second start succeeds like the first");
                assert_eq!(again, recovered, "a second start recovers the same state");
                Ok(recovered)
            }
            Err(report) => Err(report.downcast_ref::<StorageError>().cloned()),
        }
    }
}

/// Whether a power failure could leave this state: everything that is synced, and a prefix of the
/// rest. Term and vote are durable as soon as they are written, so they may be newer than the
/// entries.
fn is_possible_after_crash(model: &FaultyStore, found: &RecoveredState) -> bool {
    let unsynced = model.disk().unsynced_count();
    let mut synced_model = copy_store(model);
    synced_model.sync().expect("the model never fails");
    let latest = synced_model.disk().recover().hard_state;
    (0..=unsynced).any(|kept| {
        (0..6).any(|torn_entries| {
            let copy = copy_store(model);
            copy.disk().crash(kept, torn_entries);
            let state = copy.disk().recover();
            let with_latest_hard_state =
                RecoveredState { hard_state: latest.clone(), ..state.clone() };
            state == *found || with_latest_hard_state == *found
        })
    })
}

fn truncate(path: &Path, length: u64) {
    let file = fs::OpenOptions::new().write(true).open(path).expect("the file exists");
    file.set_len(length).expect("the file can be truncated");
}

fn flip_bits(path: &Path, offset: u64) {
    let mut bytes = fs::read(path).expect("the file exists");
    bytes[offset as usize] ^= 0x41;
    fs::write(path, bytes).expect("the file can be written");
}

/// Checks truncation of a file at an offset, and a changed byte there.
fn check_damage(stores: &StoreWithModel, file: &Path, offset: u64) -> Result<(), String> {
    let name = file.file_name().expect("a file has a name");
    let is_synced_file = name.to_string_lossy() == "synced";
    let is_unsynced = *file == stores.synced_segment.0 && offset >= stores.synced_segment.1;
    for is_bit_flip in [false, true] {
        let damage = |copy: &Path| match is_bit_flip {
            true => flip_bits(&copy.join(name), offset),
            false => truncate(&copy.join(name), offset),
        };
        match stores.open_damaged(damage) {
            Ok(found) if is_possible_after_crash(&stores.model, &found) => {}
            Ok(found) => {
                return Err(format!("{name:?} damaged at {offset}: opened with {found:?}"))
            }
            Err(error) if is_unsynced || is_synced_file => {
                return Err(format!(
                    "{name:?} damaged at {offset}: nothing is lost, but {error:?}"
                ));
            }
            Err(Some(StorageError::Damaged { .. })) => {}
            Err(error) => return Err(format!("{name:?} damaged at {offset}: {error:?}")),
        }
    }
    // Without the `synced` file, the records show what was synced before the last batch.
    let without_synced_file = stores.open_damaged(|copy| {
        fs::remove_file(copy.join("synced")).expect("the `synced` file exists");
        if !is_synced_file {
            flip_bits(&copy.join(name), offset);
        }
    });
    match without_synced_file {
        Ok(found) if !is_possible_after_crash(&stores.before_sync, &found) => Err(format!(
            "{name:?} damaged at {offset} without the synced file: opened with {found:?}"
        )),
        _ => Ok(()),
    }
}

/// Guards against lost or wrong state after damage to any byte of any file. The directory has two
/// segments, a snapshot and unsynced entries.
#[test]
fn damage_at_any_offset_loses_no_acknowledged_state() {
    let mut stores = StoreWithModel::new();
    for (operation, size) in
        [(0, 0), (5, 3), (5, 2), (4, 0), (1, 2), (5, 1), (4, 0), (3, 1), (4, 0)]
    {
        stores.perform(operation, size);
    }
    stores.perform(5, 3);
    stores.perform(5, 0);
    assert_eq!(segment_files(stores.directory.path()).len(), 2);
    let mut locations = 0;
    for file in files_in(stores.directory.path()) {
        for offset in 0..file_length(&file) {
            check_damage(&stores, &file, offset).unwrap();
            locations += 1;
        }
    }
    assert!(locations > 400, "{locations} locations were damaged");
}

/// Guards against the same for generated histories and offsets, and against lost state in an
/// undamaged directory.
#[test]
fn damage_to_generated_histories_loses_no_acknowledged_state() {
    fn property(operations: Vec<(u8, u8)>, locations: (u64, u64, u64)) -> Result<(), String> {
        let mut stores = StoreWithModel::new();
        for (operation, size) in operations.into_iter().take(30) {
            stores.perform(operation, size);
        }
        let written = copy_store(&stores.model);
        written.disk().crash(usize::MAX - 1, 0);
        let undamaged = stores.open_damaged(|_| {}).map_err(|e| format!("undamaged: {e:?}"))?;
        if undamaged != written.disk().recover() {
            return Err(format!("an undamaged directory opened with {undamaged:?}"));
        }
        let files = files_in(stores.directory.path());
        for location in [locations.0, locations.1, locations.2] {
            let file = &files[(location % files.len() as u64) as usize];
            check_damage(&stores, file, location / 7 % file_length(file).max(1))?;
        }
        Ok(())
    }
    check_property(105, 40, property as fn(Vec<(u8, u8)>, (u64, u64, u64)) -> Result<(), String>);
}

/// Guards against errors caused by garbage and zeros at the end, as a file system may leave them
/// after a power failure.
#[test]
fn an_unsynced_tail_is_truncated() {
    let mut stores = StoreWithModel::new();
    stores.perform(5, 3);
    stores.sync();
    for tail in [vec![0; 600], vec![0xa5; 600], vec![1]] {
        let found = stores.open_damaged(|copy| {
            let path = segment_files(copy).pop().expect("there is a segment");
            let mut bytes = fs::read(&path).expect("the segment can be read");
            bytes.extend_from_slice(&tail);
            fs::write(&path, bytes).expect("the segment can be written");
        });
        assert_eq!(found, Ok(stores.model.disk().recover()));
    }
}

/// Guards against missing files, and checks that the error names the damage and the remedy.
#[test]
fn missing_files_are_detected_and_the_error_says_how_to_rejoin() {
    let mut stores = StoreWithModel::new();
    for (operation, size) in [(0, 0), (5, 3), (4, 0), (2, 0), (5, 1), (4, 0)] {
        stores.perform(operation, size);
    }
    for file in files_in(stores.directory.path()) {
        let name = file.file_name().unwrap();
        if name == "synced" {
            continue;
        }
        let error = stores.open_damaged(|copy| fs::remove_file(copy.join(name)).unwrap());
        assert!(matches!(error, Err(Some(StorageError::Damaged { .. }))), "{name:?}: {error:?}");
    }
    let last = segment_files(stores.directory.path()).pop().unwrap();
    let name = last.file_name().unwrap();
    let error = stores.open_damaged(|copy| flip_bits(&copy.join(name), 60)).unwrap_err().unwrap();
    let text = error.to_string();
    for part in [name.to_str().unwrap(), "at byte", "add the new one as a learner"] {
        assert!(text.contains(part), "'{part}' is not in: {text}");
    }
}

/// Guards against a replica that cannot start after it stopped while it stored a snapshot, or that
/// then recovers entries of the log that the snapshot replaced.
#[test]
fn an_interrupted_snapshot_is_finished_at_the_next_start() {
    for (is_log_replaced, index) in [(false, 4), (true, 12)] {
        let mut stores = StoreWithModel::new();
        for (operation, size) in [(0, 0), (5, 3), (5, 2), (4, 0)] {
            stores.perform(operation, size);
        }
        let before = files_in(stores.directory.path());
        let before: Vec<_> =
            before.into_iter().map(|p| (p.clone(), fs::read(p).unwrap())).collect();
        stores.snapshot(index, is_log_replaced);
        let expected = Ok(stores.model.disk().recover());
        let is_log = |path: &Path| path.to_string_lossy().contains("log-");
        // The snapshot exists, but the segments are still the old ones.
        let found = stores.open_damaged(|copy| {
            segment_files(copy).iter().for_each(|path| fs::remove_file(path).unwrap());
            for (path, bytes) in &before {
                fs::write(copy.join(path.file_name().unwrap()), bytes).unwrap();
            }
        });
        assert_eq!(found, expected);
        // The new segment exists as well, but the old ones are not removed yet.
        let found = stores.open_damaged(|copy| {
            for (path, bytes) in before.iter().filter(|(path, _)| is_log(path)) {
                fs::write(copy.join(path.file_name().unwrap()), bytes).unwrap();
            }
        });
        assert_eq!(found, expected);
    }
}

/// Guards against recovery of entries that a snapshot replaced, when only some of their segments
/// were removed.
#[test]
fn entries_of_a_replaced_log_are_not_recovered() {
    let mut stores = StoreWithModel::new();
    let entry =
        |index| LogEntry { term: 1, index, payload: EntryPayload::Command(vec![1; 5 << 20]) };
    stores.append(vec![entry(1), entry(2)]);
    stores.sync();
    stores.append(stores.entries(3, 2));
    stores.sync();
    let old = segment_files(stores.directory.path());
    assert_eq!(old.len(), 2, "the first segment is full");
    let bytes = fs::read(&old[1]).unwrap();
    let (configuration, data) = (ClusterConfiguration::default(), vec![2; 9]);
    let snapshot = Some(Arc::new(Snapshot { index: 2, term: 5, configuration, data }));
    stores.write(&PersistRequest { snapshot, is_log_replaced: true, ..PersistRequest::default() });
    stores.sync();
    let found = stores.open_damaged(|copy| {
        fs::write(copy.join(old[1].file_name().unwrap()), &bytes).unwrap();
    });
    assert_eq!(found, Ok(stores.model.disk().recover()));
}

/// Guards against a store that continues after a failure.
#[test]
fn a_failed_store_rejects_all_further_calls() {
    let mut stores = StoreWithModel::new();
    let entries = stores.entries(1, 2);
    fs::remove_dir_all(stores.directory.path()).unwrap();
    let hard_state = Some(HardState::default());
    let request = PersistRequest { hard_state, ..PersistRequest::default() };
    let error = stores.file_store.write(&request).unwrap_err();
    assert!(matches!(error.downcast_ref(), Some(StorageError::Io { .. })));
    let request = PersistRequest { entries, ..PersistRequest::default() };
    for result in [stores.file_store.write(&request), stores.file_store.sync()] {
        assert_eq!(result.unwrap_err().downcast_ref(), Some(&StorageError::Failed));
    }
}

/// Guards against a store that stays failed after its disk was full for a while, and against entries
/// that were not synced before the failure and count as stored afterwards.
#[test]
fn a_failed_store_can_be_opened_again_with_what_was_synced() {
    let mut stores = StoreWithModel::new();
    let synced = stores.entries(1, 5);
    let request = PersistRequest { entries: synced.clone(), ..PersistRequest::default() };
    stores.file_store.write(&request).expect("the directory can be written");
    stores.file_store.sync().expect("the directory can be synced");
    let unsynced = PersistRequest { entries: stores.entries(6, 3), ..PersistRequest::default() };
    stores.file_store.write(&unsynced).expect("the directory can be written");

    // Without the directory, no file can be created, as on a full disk.
    let directory = stores.directory.path();
    let hidden = directory.with_extension("hidden");
    fs::rename(directory, &hidden).expect("the directory can be renamed");
    let hard_state = Some(HardState { term: 9, ..HardState::default() });
    let vote = PersistRequest { hard_state, ..PersistRequest::default() };
    assert!(stores.file_store.write(&vote).is_err());
    assert!(stores.file_store.reopen().is_err(), "the disk still fails");
    fs::rename(&hidden, directory).expect("the directory can be renamed");

    let recovered = stores.file_store.reopen().expect("the disk works again");
    assert_eq!(recovered.entries, synced);
    let next = PersistRequest { entries: stores.entries(6, 1), ..PersistRequest::default() };
    stores.file_store.write(&next).expect("the store works again");
    stores.file_store.sync().expect("the store works again");
    let directory = stores.directory.path().to_path_buf();
    let (_, recovered) = FileLogStore::open(&directory, DiskId(8)).expect("the log is whole");
    assert_eq!(recovered.entries.len(), 6);
}

/// Guards against a replica that cannot start with the metadata of an earlier version, which lack
/// the index of the committed configuration.
#[test]
fn metadata_without_the_committed_configuration_are_read() {
    let directory = tempfile::tempdir().unwrap();
    let (mut store, _) = FileLogStore::open(directory.path(), DiskId(3)).unwrap();
    let hard_state = HardState { term: 9, log_id: 5, ..HardState::default() };
    let request =
        PersistRequest { hard_state: Some(hard_state.clone()), ..PersistRequest::default() };
    store.write(&request).unwrap();
    store.sync().unwrap();
    drop(store);
    let path = directory.path().join("metadata");
    let bytes = fs::read(&path).unwrap();
    let payload = &bytes[20..bytes.len() - 1];
    let mut former = b"tgmeta1\n".to_vec();
    former.extend((payload.len() as u64).to_le_bytes());
    former.extend(crc32fast::hash(payload).to_le_bytes());
    former.extend(payload);
    fs::write(&path, former).unwrap();
    let (store, recovered) = FileLogStore::open(directory.path(), DiskId(4)).unwrap();
    assert_eq!((store.disk_id(), recovered.hard_state), (DiskId(3), hard_state));
}
