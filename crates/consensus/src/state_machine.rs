use std::fmt;

use error_stack::Report;

/// State machine that the commands of the log modify.
///
/// All replicas apply the same commands in the same order, so `apply` must be deterministic: its
/// result may depend only on this command and the earlier ones.
pub trait StateMachine: Send {
    /// Applies a committed command and returns its result. It is called in index order and at most
    /// once per index; indices without a command are skipped.
    fn apply(&mut self, index: u64, command: &[u8]) -> Vec<u8>;

    /// Encodes the complete state.
    fn snapshot(&self) -> Vec<u8>;

    /// Replaces the state with a snapshot.
    ///
    /// # Errors
    /// `RestoreError` if the snapshot cannot be decoded; the replica must then stop.
    fn restore(&mut self, snapshot: &[u8]) -> Result<(), Report<RestoreError>>;
}

/// A snapshot could not be decoded by the state machine.
#[derive(Debug)]
pub struct RestoreError(pub String);

impl fmt::Display for RestoreError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "cannot restore the snapshot: {}", self.0)
    }
}

impl std::error::Error for RestoreError {}
