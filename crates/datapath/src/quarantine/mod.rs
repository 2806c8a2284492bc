//! Requests under which backend servers have crashed, as this node knows them.

mod crash_archiver;
mod crash_spreader;
mod shared_ledger;

pub(crate) use crash_archiver::CrashArchiver;
pub(crate) use crash_spreader::CrashSpreader;
pub(crate) use shared_ledger::SharedLedger;
pub(crate) use shared_ledger::SpreadState;
