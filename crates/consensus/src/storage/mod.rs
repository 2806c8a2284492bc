//! Durable state of a replica.
//!
//! [`FileLogStore`] keeps, in one directory:
//!
//! | file | content |
//! |---|---|
//! | `metadata` | disk id, term, vote and log identity; replaced atomically |
//! | `log-<number>` | segments of records, each with length and CRC32 |
//! | `snapshot-<index>` | the latest snapshot |
//! | `synced` | position up to which the log is known to be synced (see below) |
//!
//! Recovery truncates a damaged tail only if it cannot contain acknowledged entries. Entries are
//! acknowledged after a sync, so recovery must determine whether the damage lies before the end of
//! the last successful sync. Two sources show this: the `synced` file, which is written after each
//! sync (but not synced itself, so it may be outdated after a power failure), and a field in every
//! record with the length of the segment that was synced before the record was written. If either
//! position is beyond the damage, or if the damage is not in the last segment, opening the store
//! fails. Otherwise the damaged bytes were written after the last sync and are truncated.

mod atomic_file;
mod faulty_store;
mod file_log_store;
mod log_store;
mod metadata;
mod recovery;
mod segment;
mod snapshot_file;
mod synced_position_file;

pub use atomic_file::replace_file;
pub use faulty_store::FaultyDisk;
pub use faulty_store::FaultyStore;
pub use file_log_store::FileLogStore;
pub use log_store::LogStore;
pub use log_store::StorageError;
