//! Guards recovery: after any damage to any file, a store either opens with everything that was
//! acknowledged or refuses to open.

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

/// A store on files, and a model on a simulated disk that gets the same requests.
struct Pair {
    files: FileLogStore,
    model: FaultyStore,
    /// The model as it was before the last sync of records; only a mark shows that they are synced.
    before_sync: FaultyStore,
    folder: tempfile::TempDir,
    term: u64,
    first_index: u64,
    last_index: u64,
    /// Current segment at the last sync, and its length.
    synced: (PathBuf, u64),
}

fn segments(folder: &Path) -> Vec<PathBuf> {
    let mut found: Vec<PathBuf> = files_of(folder)
        .into_iter()
        .filter(|p| p.file_name().is_some_and(|n| n.to_string_lossy().starts_with("log-")))
        .collect();
    found.sort();
    found
}

fn files_of(folder: &Path) -> Vec<PathBuf> {
    let entries = fs::read_dir(folder).expect("the folder can be read");
    entries.map(|e| e.expect("the entry can be read").path()).collect()
}

fn copy_of(store: &FaultyStore) -> FaultyStore {
    let copy = FaultyStore::default();
    *copy.disk() = store.disk().clone();
    copy
}

fn length(path: &Path) -> u64 {
    fs::metadata(path).expect("the file exists").len()
}

impl Pair {
    fn new() -> Self {
        let folder = tempfile::tempdir().expect("a folder can be made");
        let (files, recovered) =
            FileLogStore::open(folder.path(), DiskId(7)).expect("a new folder can be opened");
        assert_eq!(recovered, RecoveredState::default());
        let current = segments(folder.path()).pop().expect("there is a segment");
        let synced = (current.clone(), length(&current));
        let (model, before_sync) = (FaultyStore::default(), FaultyStore::default());
        let (term, first_index, last_index) = (1, 1, 0);
        Self { files, model, before_sync, folder, term, first_index, last_index, synced }
    }

    fn write(&mut self, request: &PersistRequest) {
        self.files.write(request).expect("the folder can be written");
        self.model.write(request).expect("the model never fails");
        self.before_sync.write(request).expect("the model never fails");
    }

    fn sync(&mut self) {
        let before_sync = copy_of(&self.model);
        self.files.sync().expect("the folder can be synced");
        self.model.sync().expect("the model never fails");
        let current = segments(self.folder.path()).pop().expect("there is a segment");
        let synced = (current.clone(), length(&current));
        if synced != self.synced {
            self.before_sync = before_sync;
            self.synced = synced;
        }
    }

    fn entries(&self, from: u64, count: u64) -> Vec<LogEntry> {
        let payload = |index: u64| EntryPayload::Command(vec![index as u8; 1 + index as usize % 5]);
        let entry = |index| LogEntry { term: self.term, index, payload: payload(index) };
        (from..from + count).map(entry).collect()
    }

    /// Does one of the things that a replica does; everything but entries is synced.
    fn act(&mut self, kind: u8, size: u8) {
        let size = u64::from(size);
        match kind % 8 {
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
                // A new leader's entries replace the last ones.
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

    /// Opens a copy of the folder after something was done to it.
    fn open_damaged(
        &self,
        damage: impl FnOnce(&Path),
    ) -> Result<RecoveredState, Option<StorageError>> {
        let copy = tempfile::tempdir().expect("a folder can be made");
        for file in files_of(self.folder.path()) {
            let name = file.file_name().expect("a file has a name");
            fs::copy(&file, copy.path().join(name)).expect("the file can be copied");
        }
        damage(copy.path());
        match FileLogStore::open(copy.path(), DiskId(8)) {
            Ok((store, recovered)) => {
                assert_eq!(store.disk_id(), DiskId(7), "the disk id never changes");
                drop(store);
                let (_, again) = FileLogStore::open(copy.path(), DiskId(8)).expect("as before");
                assert_eq!(again, recovered, "a second start finds the same");
                Ok(recovered)
            }
            Err(report) => Err(report.downcast_ref::<StorageError>().cloned()),
        }
    }
}

/// Whether a power failure could leave this state: all that is synced, and a prefix of the rest.
/// Term and vote are durable as soon as they are written, so they may be ahead of the entries.
fn is_allowed(model: &FaultyStore, found: &RecoveredState) -> bool {
    let unsynced = model.disk().unsynced_count();
    let mut whole = copy_of(model);
    whole.sync().expect("the model never fails");
    let latest = whole.disk().recover().hard_state;
    (0..=unsynced).any(|kept| {
        (0..6).any(|torn_entries| {
            let copy = copy_of(model);
            copy.disk().crash(kept, torn_entries);
            let state = copy.disk().recover();
            let ahead = RecoveredState { hard_state: latest.clone(), ..state.clone() };
            state == *found || ahead == *found
        })
    })
}

fn truncate(path: &Path, length: u64) {
    let file = fs::OpenOptions::new().write(true).open(path).expect("the file exists");
    file.set_len(length).expect("the file can be cut");
}

fn flip(path: &Path, at: u64) {
    let mut bytes = fs::read(path).expect("the file exists");
    bytes[at as usize] ^= 0x41;
    fs::write(path, bytes).expect("the file can be written");
}

/// Checks a truncation and a changed byte at a position of a file.
fn check_damage(pair: &Pair, file: &Path, at: u64) -> Result<(), String> {
    let name = file.file_name().expect("a file has a name");
    let is_mark = name.to_string_lossy() == "synced";
    let is_unsynced = *file == pair.synced.0 && at >= pair.synced.1;
    for is_flip in [false, true] {
        let damage = |copy: &Path| match is_flip {
            true => flip(&copy.join(name), at),
            false => truncate(&copy.join(name), at),
        };
        match pair.open_damaged(damage) {
            Ok(found) if is_allowed(&pair.model, &found) => {}
            Ok(found) => return Err(format!("{name:?} damaged at {at}: opened with {found:?}")),
            Err(error) if is_unsynced || is_mark => {
                return Err(format!("{name:?} damaged at {at}: nothing is lost, but {error:?}"));
            }
            Err(Some(StorageError::Damaged { .. })) => {}
            Err(error) => return Err(format!("{name:?} damaged at {at}: {error:?}")),
        }
    }
    // Without the mark, the records themselves show what was synced before the last batch.
    let without_mark = pair.open_damaged(|copy| {
        fs::remove_file(copy.join("synced")).expect("the mark exists");
        if !is_mark {
            flip(&copy.join(name), at);
        }
    });
    match without_mark {
        Ok(found) if !is_allowed(&pair.before_sync, &found) => {
            Err(format!("{name:?} damaged at {at} without a mark: opened with {found:?}"))
        }
        _ => Ok(()),
    }
}

/// Guards every byte of every file, in a folder with two segments, a snapshot and a part that was
/// never synced.
#[test]
fn damage_at_any_place_loses_nothing_acknowledged() {
    let mut pair = Pair::new();
    for (kind, size) in [(0, 0), (5, 3), (5, 2), (4, 0), (1, 2), (5, 1), (4, 0), (3, 1), (4, 0)] {
        pair.act(kind, size);
    }
    pair.act(5, 3);
    pair.act(5, 0);
    assert_eq!(segments(pair.folder.path()).len(), 2);
    let mut places = 0;
    for file in files_of(pair.folder.path()) {
        for at in 0..length(&file) {
            check_damage(&pair, &file, at).unwrap();
            places += 1;
        }
    }
    assert!(places > 400, "{places} places were damaged");
}

/// Guards the same for generated histories and places, and that an undamaged folder opens whole.
#[test]
fn generated_histories_survive_damage() {
    fn property(acts: Vec<(u8, u8)>, places: (u64, u64, u64)) -> Result<(), String> {
        let mut pair = Pair::new();
        for (kind, size) in acts.into_iter().take(30) {
            pair.act(kind, size);
        }
        let written = copy_of(&pair.model);
        written.disk().crash(usize::MAX - 1, 0);
        let whole = pair.open_damaged(|_| {}).map_err(|e| format!("undamaged: {e:?}"))?;
        if whole != written.disk().recover() {
            return Err(format!("an undamaged folder opened with {whole:?}"));
        }
        let files = files_of(pair.folder.path());
        for place in [places.0, places.1, places.2] {
            let file = &files[(place % files.len() as u64) as usize];
            check_damage(&pair, file, place / 7 % length(file).max(1))?;
        }
        Ok(())
    }
    check_property(105, 40, property as fn(Vec<(u8, u8)>, (u64, u64, u64)) -> Result<(), String>);
}

/// Guards against garbage and zeros at the end, as a file system leaves them after a power loss.
#[test]
fn a_tail_that_was_never_synced_is_cut() {
    let mut pair = Pair::new();
    pair.act(5, 3);
    pair.sync();
    for tail in [vec![0; 600], vec![0xa5; 600], vec![1]] {
        let found = pair.open_damaged(|copy| {
            let path = segments(copy).pop().expect("there is a segment");
            let mut bytes = fs::read(&path).expect("the segment can be read");
            bytes.extend_from_slice(&tail);
            fs::write(&path, bytes).expect("the segment can be written");
        });
        assert_eq!(found, Ok(pair.model.disk().recover()));
    }
}

/// Guards against missing files, and checks that the error says where and what to do.
#[test]
fn missing_files_are_noticed_and_the_error_says_how_to_rejoin() {
    let mut pair = Pair::new();
    for (kind, size) in [(0, 0), (5, 3), (4, 0), (2, 0), (5, 1), (4, 0)] {
        pair.act(kind, size);
    }
    for file in files_of(pair.folder.path()) {
        let name = file.file_name().unwrap();
        if name == "synced" {
            continue;
        }
        let error = pair.open_damaged(|copy| fs::remove_file(copy.join(name)).unwrap());
        assert!(matches!(error, Err(Some(StorageError::Damaged { .. }))), "{name:?}: {error:?}");
    }
    let last = segments(pair.folder.path()).pop().unwrap();
    let name = last.file_name().unwrap();
    let error = pair.open_damaged(|copy| flip(&copy.join(name), 60)).unwrap_err().unwrap();
    let text = error.to_string();
    for part in [name.to_str().unwrap(), "at byte", "add the new one as a learner"] {
        assert!(text.contains(part), "'{part}' is not in: {text}");
    }
}

/// Guards against a replica that cannot start after it stopped in the middle of a snapshot, or
/// that then takes entries of the log that the snapshot replaced.
#[test]
fn an_interrupted_snapshot_is_finished_at_the_next_start() {
    for (is_log_replaced, index) in [(false, 4), (true, 12)] {
        let mut pair = Pair::new();
        for (kind, size) in [(0, 0), (5, 3), (5, 2), (4, 0)] {
            pair.act(kind, size);
        }
        let before = files_of(pair.folder.path());
        let before: Vec<_> =
            before.into_iter().map(|p| (p.clone(), fs::read(p).unwrap())).collect();
        pair.snapshot(index, is_log_replaced);
        let expected = Ok(pair.model.disk().recover());
        let is_log = |path: &Path| path.to_string_lossy().contains("log-");
        // The snapshot is there, but the segments are still the old ones.
        let found = pair.open_damaged(|copy| {
            segments(copy).iter().for_each(|path| fs::remove_file(path).unwrap());
            for (path, bytes) in &before {
                fs::write(copy.join(path.file_name().unwrap()), bytes).unwrap();
            }
        });
        assert_eq!(found, expected);
        // The new segment is there as well, but the old ones are not removed.
        let found = pair.open_damaged(|copy| {
            for (path, bytes) in before.iter().filter(|(path, _)| is_log(path)) {
                fs::write(copy.join(path.file_name().unwrap()), bytes).unwrap();
            }
        });
        assert_eq!(found, expected);
    }
}

/// Guards against entries that a snapshot replaced coming back when only some of their segments
/// were removed.
#[test]
fn a_replaced_log_does_not_come_back() {
    let mut pair = Pair::new();
    let entry =
        |index| LogEntry { term: 1, index, payload: EntryPayload::Command(vec![1; 5 << 20]) };
    pair.append(vec![entry(1), entry(2)]);
    pair.sync();
    pair.append(pair.entries(3, 2));
    pair.sync();
    let old = segments(pair.folder.path());
    assert_eq!(old.len(), 2, "the first segment is full");
    let bytes = fs::read(&old[1]).unwrap();
    let (configuration, data) = (ClusterConfiguration::default(), vec![2; 9]);
    let snapshot = Some(Arc::new(Snapshot { index: 2, term: 5, configuration, data }));
    pair.write(&PersistRequest { snapshot, is_log_replaced: true, ..PersistRequest::default() });
    pair.sync();
    let found = pair.open_damaged(|copy| {
        fs::write(copy.join(old[1].file_name().unwrap()), &bytes).unwrap();
    });
    assert_eq!(found, Ok(pair.model.disk().recover()));
}

/// Guards against a store that goes on after a failure.
#[test]
fn a_store_that_failed_refuses_all_that_follows() {
    let mut pair = Pair::new();
    let entries = pair.entries(1, 2);
    fs::remove_dir_all(pair.folder.path()).unwrap();
    let hard_state = Some(HardState::default());
    let request = PersistRequest { hard_state, ..PersistRequest::default() };
    let error = pair.files.write(&request).unwrap_err();
    assert!(matches!(error.downcast_ref(), Some(StorageError::Io { .. })));
    let request = PersistRequest { entries, ..PersistRequest::default() };
    for result in [pair.files.write(&request), pair.files.sync()] {
        assert_eq!(result.unwrap_err().downcast_ref(), Some(&StorageError::Failed));
    }
}
