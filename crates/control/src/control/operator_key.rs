use std::path::Path;

use error_stack::Report;
use tarragon_wire::DeploymentKey;
use tarragon_wire::KeyFileError;

/// Context string that separates the operators' secret from other uses of a keyed hash.
const OPERATOR_CONTEXT: &[u8] = b"operator";

/// Secret that operators' commands carry. It is compared by hash in constant time.
#[derive(Debug, Clone)]
pub struct OperatorKey(DeploymentKey);

impl OperatorKey {
    /// Uses secret text.
    pub fn from_text(text: &str) -> Self {
        Self(DeploymentKey::from_text(text))
    }

    /// Loads the secret from a file.
    ///
    /// # Errors
    /// The file cannot be read or is too short.
    pub fn from_file(path: &Path) -> Result<Self, Report<KeyFileError>> {
        DeploymentKey::from_file(path).map(Self)
    }

    /// Whether a command carries the secret.
    pub fn is_matched_by(&self, bearer: &str) -> bool {
        let sent = DeploymentKey::from_text(bearer);
        sent.tag(OPERATOR_CONTEXT) == self.0.tag(OPERATOR_CONTEXT)
    }
}
