use std::collections::BTreeMap;

use error_stack::Report;
use tarragon_consensus::RestoreError;
use tarragon_consensus::StateMachine;

/// State machine that returns the index at which a command was first applied, which shows whether a
/// command was executed twice.
#[derive(Default)]
pub struct Ledger(BTreeMap<Vec<u8>, u64>);

impl StateMachine for Ledger {
    fn apply(&mut self, index: u64, command: &[u8]) -> Vec<u8> {
        self.0.entry(command.to_vec()).or_insert(index).to_le_bytes().to_vec()
    }

    fn snapshot(&self) -> Vec<u8> {
        let pairs: Vec<_> = self.0.iter().collect();
        serde_json::to_vec(&pairs).expect("the ledger can be encoded")
    }

    fn restore(&mut self, snapshot: &[u8]) -> Result<(), Report<RestoreError>> {
        let pairs: Vec<(Vec<u8>, u64)> = serde_json::from_slice(snapshot)
            .map_err(|e| Report::new(RestoreError(e.to_string())))?;
        self.0 = pairs.into_iter().collect();
        Ok(())
    }
}

/// Creates an empty state machine when a replica starts.
pub type MachineFactory = fn() -> Box<dyn StateMachine>;

/// State machine that also records the commands that were applied, by index.
pub struct RecordingMachine {
    inner: Box<dyn StateMachine>,
    pub applied: BTreeMap<u64, Vec<u8>>,
}

impl RecordingMachine {
    pub fn new(inner: Box<dyn StateMachine>) -> Self {
        Self { inner, applied: BTreeMap::new() }
    }

    pub fn apply(&mut self, index: u64, command: &[u8]) -> Vec<u8> {
        self.applied.insert(index, command.to_vec());
        self.inner.apply(index, command)
    }

    pub fn snapshot(&self) -> Vec<u8> {
        let applied: Vec<_> = self.applied.iter().collect();
        serde_json::to_vec(&(applied, self.inner.snapshot())).expect("the state can be encoded")
    }

    pub fn restore(&mut self, snapshot: &[u8]) {
        let (applied, inner): (Vec<(u64, Vec<u8>)>, Vec<u8>) =
            serde_json::from_slice(snapshot).expect("the snapshot was encoded by a replica");
        self.applied = applied.into_iter().collect();
        self.inner.restore(&inner).expect("the snapshot was encoded by a replica");
    }
}
