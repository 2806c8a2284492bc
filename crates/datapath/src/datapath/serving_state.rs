use std::time::Instant;

/// Whether a node accepts requests of callers.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum ServingState {
    /// The node has not loaded the configuration in force yet and refuses all requests.
    #[default]
    NotReady,
    /// The node serves requests.
    Ready,
    /// The node still serves requests, and asks callers to reconnect to another node. Its gate runs only
    /// what will end before the process is killed.
    Closing {
        /// Time by which a run must have ended.
        calls_end_at: Instant,
    },
    /// The time for callers to reconnect is over. The node serves only the calls that its own
    /// backend server makes, until the last request that runs there has finished, and only those
    /// that will end before the process is killed.
    BackendCallsOnly {
        /// Time by which a call must have ended.
        calls_end_at: Instant,
    },
    /// The process will be killed soon. The node finishes the requests in progress and refuses all
    /// others.
    FinishingOnly,
}
