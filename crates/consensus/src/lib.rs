//! The replicated log of the control replicas.
//!
//! [`raft::Replica`] is a deterministic state machine of the Raft family, after D. Ongaro,
//! "Consensus: Bridging Theory and Practice" (dissertation, Stanford 2014); comments cite its
//! sections. It does no I/O: [`storage`] keeps its state on disk, and [`driver`] runs both in one
//! task. See `docs/design.md`, section 5.2.

pub mod driver;
pub mod protocol;
pub mod raft;
pub mod storage;

mod state_machine;

pub use state_machine::RestoreError;
pub use state_machine::StateMachine;
