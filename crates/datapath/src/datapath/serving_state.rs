/// Whether a node serves callers.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum ServingState {
    /// It does not know yet what is in force, and refuses.
    #[default]
    NotReady,
    /// It serves.
    Ready,
    /// It serves, and asks callers to go to another node.
    Closing,
    /// Callers have had the time to go. It serves the calls that its backend server makes until its
    /// last run has ended.
    BackendCallsOnly,
}
