//! Interface for records of requests that crash their servers that outlive all nodes, see
//! `docs/design.md`, section 5.4.1.

mod crash_archive;

pub use crash_archive::CrashArchive;
pub use crash_archive::NoArchive;
