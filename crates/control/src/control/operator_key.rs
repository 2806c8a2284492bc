use std::path::Path;

use error_stack::Report;
use tarragon_wire::DeploymentKey;
use tarragon_wire::KeyFileError;

/// Context string that separates the operator key from other uses of the keyed hash.
const OPERATOR_CONTEXT: &[u8] = b"operator";

/// Secret key that authenticates the commands of operators. Keys are compared by their hashes in
/// constant time.
#[derive(Debug, Clone)]
pub struct OperatorKey(DeploymentKey);

impl OperatorKey {
    /// Creates a key from its text.
    pub fn from_text(text: &str) -> Self {
        Self(DeploymentKey::from_text(text))
    }

    /// Loads the key from a file.
    ///
    /// # Errors
    /// The file cannot be read or is too short.
    pub fn from_file(path: &Path) -> Result<Self, Report<KeyFileError>> {
        DeploymentKey::from_file(path).map(Self)
    }

    /// Whether the bearer token of a command is this key.
    pub fn is_matched_by(&self, bearer_token: &str) -> bool {
        let sent_key = DeploymentKey::from_text(bearer_token);
        sent_key.tag(OPERATOR_CONTEXT) == self.0.tag(OPERATOR_CONTEXT)
    }
}
