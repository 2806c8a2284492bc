//! Snapshot files. The previous snapshot is removed only once the new one is durable.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::fs;
use std::path::Path;
use std::path::PathBuf;

use error_stack::Report;
use error_stack::ResultExt;
use serde::Deserialize;
use serde::Serialize;

use crate::protocol::ClusterConfiguration;
use crate::protocol::ReplicaId;
use crate::protocol::Snapshot;
use crate::storage::atomic_file;
use crate::storage::StorageError;

const MAGIC: &[u8; 8] = b"tgsnap2\n";

/// Magic number of files whose members lack [`ClusterConfiguration::joined`].
const MAGIC_WITHOUT_JOINED: &[u8; 8] = b"tgsnap1\n";

const PREFIX: &str = "snapshot-";

/// Content of a file with [`MAGIC_WITHOUT_JOINED`].
#[derive(Serialize, Deserialize)]
struct SnapshotWithoutJoined {
    index: u64,
    term: u64,
    configuration: MembersWithoutJoined,
    data: Vec<u8>,
}

#[derive(Serialize, Deserialize)]
struct MembersWithoutJoined {
    voters: BTreeSet<ReplicaId>,
    learners: BTreeSet<ReplicaId>,
}

impl From<SnapshotWithoutJoined> for Snapshot {
    fn from(earlier: SnapshotWithoutJoined) -> Self {
        let SnapshotWithoutJoined { index, term, configuration, data } = earlier;
        let MembersWithoutJoined { voters, learners } = configuration;
        let configuration = ClusterConfiguration { voters, learners, joined: BTreeMap::new() };
        Self { index, term, configuration, data }
    }
}

/// Snapshot files of a directory, ordered by index.
fn list_snapshots(directory: &Path) -> Result<Vec<(u64, PathBuf)>, Report<StorageError>> {
    let mut found = numbered_files(directory, PREFIX)?;
    found.sort();
    Ok(found)
}

/// Files of a directory whose name consists of a prefix and a number of 16 hexadecimal digits.
pub(super) fn numbered_files(
    directory: &Path,
    prefix: &str,
) -> Result<Vec<(u64, PathBuf)>, Report<StorageError>> {
    let error = || atomic_file::io_error("list", directory);
    let mut found = Vec::new();
    for entry in fs::read_dir(directory).change_context_lazy(error)? {
        let path = entry.change_context_lazy(error)?.path();
        let name = path.file_name().and_then(|n| n.to_str()).unwrap_or_default();
        let number = name.strip_prefix(prefix).filter(|digits| digits.len() == 16);
        if let Some(number) = number.and_then(|digits| u64::from_str_radix(digits, 16).ok()) {
            found.push((number, path));
        }
    }
    Ok(found)
}

/// Stores a snapshot durably, then removes older ones.
pub(super) fn store(directory: &Path, snapshot: &Snapshot) -> Result<(), Report<StorageError>> {
    let name = format!("{PREFIX}{:016x}", snapshot.index);
    let payload = postcard::to_stdvec(snapshot)
        .change_context_lazy(|| atomic_file::io_error("encode", Path::new(&name)))?;
    atomic_file::replace_file(
        directory,
        &name,
        &atomic_file::add_checksum_header(MAGIC, &payload),
    )?;
    remove_older(directory, snapshot.index)
}

fn remove_older(directory: &Path, index: u64) -> Result<(), Report<StorageError>> {
    for (found, path) in list_snapshots(directory)? {
        if found < index {
            atomic_file::remove_file(directory, &path)?;
        }
    }
    Ok(())
}

/// Reads the latest snapshot.
///
/// A damaged snapshot is an error even if an older one exists, because the log entries after the
/// older one may have been removed.
pub(super) fn load(directory: &Path) -> Result<Option<Snapshot>, Report<StorageError>> {
    let Some((index, path)) = list_snapshots(directory)?.pop() else { return Ok(None) };
    let bytes = fs::read(&path).change_context_lazy(|| atomic_file::io_error("read", &path))?;
    let is_without_joined = bytes.starts_with(MAGIC_WITHOUT_JOINED);
    let magic = if is_without_joined { MAGIC_WITHOUT_JOINED } else { MAGIC };
    let payload = atomic_file::verify_checksum_header(magic, &path, &bytes)?;
    let damaged = |fault| StorageError::Damaged { file: path.clone(), offset: 20, fault };
    let decoded = match is_without_joined {
        true => postcard::from_bytes::<SnapshotWithoutJoined>(payload).map(Snapshot::from),
        false => postcard::from_bytes(payload),
    };
    let snapshot = decoded.change_context_lazy(|| damaged("the content cannot be decoded"))?;
    if snapshot.index != index {
        return Err(Report::new(damaged("the index does not match the file name")));
    }
    remove_older(directory, index)?;
    Ok(Some(snapshot))
}

#[cfg(test)]
mod tests;
