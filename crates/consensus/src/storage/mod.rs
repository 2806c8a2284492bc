//! Durable state of a replica.
//!
//! [`FileLogStore`] keeps, in one directory:
//!
//! | file | content |
//! |---|---|
//! | `metadata` | disk id, term, vote; replaced as a whole |
//! | `log-<number>` | segments of records, each with length and CRC32 |
//! | `snapshot-<index>` | the latest snapshot |
//! | `synced` | how far the log is known to be synced (see below) |
//!
//! Recovery cuts a damaged tail only if nothing acknowledged can be in it. Entries are
//! acknowledged after a sync, so the question is whether the damage lies before the end of the
//! last successful sync. Two things answer it: the `synced` file, which is written after each sync
//! (but not synced itself, so it may be old after a power loss), and a field in every record with
//! the length of the segment that was synced before the record was written. If either reaches
//! beyond the damage, or if the damage is not in the last segment, opening fails. Otherwise the
//! damage is in what was written after the last sync, and is cut.

mod atomic_file;
mod faulty_store;
mod file_log_store;
mod log_store;
mod metadata;
mod recovery;
mod segment;
mod snapshot_file;
mod sync_mark;

pub use faulty_store::FaultyDisk;
pub use faulty_store::FaultyStore;
pub use file_log_store::FileLogStore;
pub use log_store::LogStore;
pub use log_store::StorageError;
