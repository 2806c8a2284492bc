//! Atomic replacement of whole files, and durable changes to their directory.

use std::fs;
use std::fs::File;
use std::io::Write;
use std::path::Path;

use error_stack::Report;
use error_stack::ResultExt;

use crate::storage::StorageError;

/// Suffix of the names of incomplete files, which are removed at start.
pub(super) const TEMPORARY_SUFFIX: &str = ".tmp";

/// Error context for a failed operation of the operating system.
pub(super) fn io_error(operation: &'static str, file: &Path) -> StorageError {
    StorageError::Io { operation, file: file.to_path_buf() }
}

/// Makes renames, creations and removals in a directory durable.
pub(super) fn sync_directory(directory: &Path) -> Result<(), Report<StorageError>> {
    let error = || io_error("sync the directory", directory);
    File::open(directory).and_then(|d| d.sync_all()).change_context_lazy(error)
}

/// Replaces a file: writes and syncs a temporary one, renames it and syncs the directory.
///
/// # Errors
/// An operation of the operating system failed; the file has its former or its new content.
pub fn replace_file(
    directory: &Path,
    name: &str,
    content: &[u8],
) -> Result<(), Report<StorageError>> {
    let path = directory.join(name);
    let temporary = directory.join(format!("{name}{TEMPORARY_SUFFIX}"));
    let mut file =
        File::create(&temporary).change_context_lazy(|| io_error("create", &temporary))?;
    file.write_all(content).change_context_lazy(|| io_error("write", &temporary))?;
    file.sync_all().change_context_lazy(|| io_error("sync", &temporary))?;
    fs::rename(&temporary, &path).change_context_lazy(|| io_error("rename to", &path))?;
    sync_directory(directory)
}

/// Removes a file and syncs the directory.
pub(super) fn remove_file(directory: &Path, path: &Path) -> Result<(), Report<StorageError>> {
    fs::remove_file(path).change_context_lazy(|| io_error("remove", path))?;
    sync_directory(directory)
}

/// Prefixes a payload with a magic number, its length and its CRC32.
pub(super) fn add_checksum_header(magic: &[u8; 8], payload: &[u8]) -> Vec<u8> {
    let mut bytes = magic.to_vec();
    bytes.extend_from_slice(&(payload.len() as u64).to_le_bytes());
    bytes.extend_from_slice(&crc32fast::hash(payload).to_le_bytes());
    bytes.extend_from_slice(payload);
    bytes
}

/// Verifies the magic number, length and CRC32 of a file and returns its payload.
pub(super) fn verify_checksum_header<'a>(
    magic: &[u8; 8],
    path: &Path,
    bytes: &'a [u8],
) -> Result<&'a [u8], Report<StorageError>> {
    let damaged = |offset: usize, fault: &'static str| {
        Report::new(StorageError::Damaged { file: path.into(), offset: offset as u64, fault })
    };
    if bytes.len() < 20 {
        return Err(damaged(bytes.len(), "the header is cut short"));
    }
    if &bytes[..8] != magic {
        return Err(damaged(0, "the file type is wrong"));
    }
    let length = u64::from_le_bytes(bytes[8..16].try_into().expect("eight bytes"));
    let crc = u32::from_le_bytes(bytes[16..20].try_into().expect("four bytes"));
    let payload = &bytes[20..];
    if payload.len() as u64 != length {
        return Err(damaged(8, "the length does not match"));
    }
    if crc32fast::hash(payload) != crc {
        return Err(damaged(20, "the checksum does not match"));
    }
    Ok(payload)
}
