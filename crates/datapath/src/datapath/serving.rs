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
}
