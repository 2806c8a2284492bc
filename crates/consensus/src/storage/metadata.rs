use std::path::Path;

use error_stack::Report;
use error_stack::ResultExt;
use serde::Deserialize;
use serde::Serialize;

use crate::protocol::DiskId;
use crate::protocol::HardState;
use crate::storage::atomic_file;
use crate::storage::StorageError;

const MAGIC: &[u8; 8] = b"tgmeta2\n";

/// Magic number of files without [`HardState::committed_configuration_index`], their last field.
const MAGIC_WITHOUT_COMMIT: &[u8; 8] = b"tgmeta1\n";

/// Encoding of the missing index, 0: no configuration is known to be committed.
const MISSING_INDEX: u8 = 0;

/// Name of the metadata file.
pub(super) const METADATA_NAME: &str = "metadata";

/// Identity of the directory, and the term, vote and log of the replica.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(super) struct Metadata {
    pub(super) disk: DiskId,
    pub(super) hard_state: HardState,
}

impl Metadata {
    pub(super) fn store(&self, directory: &Path) -> Result<(), Report<StorageError>> {
        let path = directory.join(METADATA_NAME);
        let payload = postcard::to_stdvec(self)
            .change_context_lazy(|| atomic_file::io_error("encode", &path))?;
        atomic_file::replace_file(
            directory,
            METADATA_NAME,
            &atomic_file::add_checksum_header(MAGIC, &payload),
        )
    }

    /// Reads the metadata file; `None` if it does not exist.
    pub(super) fn load(directory: &Path) -> Result<Option<Self>, Report<StorageError>> {
        let path = directory.join(METADATA_NAME);
        if !path.exists() {
            return Ok(None);
        }
        let bytes =
            std::fs::read(&path).change_context_lazy(|| atomic_file::io_error("read", &path))?;
        let is_without_commit = bytes.starts_with(MAGIC_WITHOUT_COMMIT);
        let magic = if is_without_commit { MAGIC_WITHOUT_COMMIT } else { MAGIC };
        let mut payload = atomic_file::verify_checksum_header(magic, &path, &bytes)?.to_vec();
        if is_without_commit {
            payload.push(MISSING_INDEX);
        }
        let fault = "the content cannot be decoded";
        let damaged = || StorageError::Damaged { file: path.clone(), offset: 20, fault };
        postcard::from_bytes(&payload).change_context_lazy(damaged).map(Some)
    }
}
