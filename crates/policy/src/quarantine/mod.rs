//! Requests that crash the backend servers that run them.
//!
//! A request that crashes its server is sent again, by nodes and by callers, and takes one server
//! after the other down. A [`CrashLedger`] counts the crashes under each request, by its
//! [`RequestFingerprint`], and puts a request in quarantine after the third. Nodes exchange
//! [`CrashRecord`]s, since each crash is seen by another gate. See `docs/overload.md`.

mod crash_ledger;
mod crash_record;
mod fingerprint;

pub use crash_ledger::CrashLedger;
pub use crash_ledger::QuarantineSettings;
pub use crash_ledger::Suspicion;
pub use crash_record::CrashRecord;
pub use crash_record::ToldRecord;
pub use crash_record::MAX_CRASHES;
pub use fingerprint::RequestFingerprint;
