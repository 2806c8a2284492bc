//! Requests under which backend servers have crashed, as this node knows them.

mod shared_ledger;

pub(crate) use shared_ledger::SharedLedger;
