use std::path::Path;

use error_stack::Report;
use error_stack::ResultExt;
use serde::Deserialize;
use serde::Serialize;

use crate::protocol::DiskId;
use crate::protocol::HardState;
use crate::storage::atomic_file;
use crate::storage::StorageError;

const MAGIC: &[u8; 8] = b"tgmeta1\n";

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
        let payload = atomic_file::verify_checksum_header(MAGIC, &path, &bytes)?;
        let fault = "the content cannot be decoded";
        let damaged = || StorageError::Damaged { file: path.clone(), offset: 20, fault };
        postcard::from_bytes(payload).change_context_lazy(damaged).map(Some)
    }
}
