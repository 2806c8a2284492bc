/// Whether a node serves callers.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Serving {
    /// It does not know yet what is in force, and refuses.
    #[default]
    NotYet,
    /// It serves.
    Yes,
    /// It serves, and asks callers to go to another node.
    Ending,
    /// Callers have had the time to go. It serves the calls that its backend server makes until its
    /// last run has ended.
    CallsOnly,
}
