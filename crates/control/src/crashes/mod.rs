//! Requests that crash their servers, kept in the replicated log.

mod archived_crashes;
mod replicated_crash_archive;

pub use archived_crashes::ArchivedCrash;
pub use archived_crashes::ArchivedCrashes;
pub use replicated_crash_archive::ReplicatedCrashArchive;
