use std::fmt;
use std::path::PathBuf;

use error_stack::Report;

use crate::raft::PersistRequest;
use crate::raft::RecoveredState;

/// Durable storage of a replica.
pub trait LogStore: Send {
    /// Writes a request. It is durable only after the next successful [`LogStore::sync`].
    ///
    /// # Errors
    /// After any error the store refuses all further calls.
    fn write(&mut self, request: &PersistRequest) -> Result<(), Report<StorageError>>;

    /// Syncs everything written so far. A failed sync is never retried.
    ///
    /// # Errors
    /// After any error the store refuses all further calls.
    fn sync(&mut self) -> Result<(), Report<StorageError>>;

    /// Opens the store again after a failed write or sync and returns what it holds. What was not
    /// synced is discarded.
    ///
    /// # Errors
    /// `StorageError` if it still cannot be written, or is damaged.
    fn reopen(&mut self) -> Result<RecoveredState, Report<StorageError>>;
}

/// Reason why the state cannot be read or written.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StorageError {
    /// An operation of the operating system failed.
    Io {
        /// The failed operation.
        operation: &'static str,
        /// File or directory that it was applied to.
        file: PathBuf,
    },
    /// State that may have been acknowledged is damaged.
    Damaged {
        /// File with the damage.
        file: PathBuf,
        /// Offset of the damage in the file, in bytes.
        offset: u64,
        /// Description of the damage.
        fault: &'static str,
    },
    /// An earlier write or sync failed.
    Failed,
}

impl fmt::Display for StorageError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Io { operation, file } => write!(f, "cannot {operation} {}", file.display()),
            Self::Damaged { file, offset, fault } => write!(
                f,
                "{} is damaged at byte {offset}: {fault}. It may hold acknowledged state, so this \
                 replica cannot continue under its identity. Move its data directory away, start \
                 it with an empty one, remove the old replica from the members, add the new one as \
                 a learner and promote it",
                file.display()
            ),
            Self::Failed => f.write_str("an earlier write or sync failed"),
        }
    }
}

impl std::error::Error for StorageError {}
