use std::fmt;

use error_stack::Report;

/// The state that the log's commands build up.
///
/// All replicas apply the same commands in the same order, so `apply` must depend on nothing but
/// the earlier commands.
pub trait StateMachine: Send {
    /// Applies a committed command and returns its answer. Commands arrive once per index, in
    /// order; an index without a call holds no command.
    fn apply(&mut self, index: u64, command: &[u8]) -> Vec<u8>;

    /// Encodes the whole state.
    fn snapshot(&self) -> Vec<u8>;

    /// Replaces the state.
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
        write!(f, "the snapshot cannot be restored: {}", self.0)
    }
}

impl std::error::Error for RestoreError {}
