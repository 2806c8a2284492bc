use std::fmt;
use std::path::Path;

use blake3::Hash;
use error_stack::Report;
use error_stack::ResultExt;

/// Minimum length of the text in a key file, in bytes.
const MIN_KEY_TEXT_BYTES: usize = 16;

/// Failure to load a key file.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum KeyFileError {
    /// The file cannot be read.
    Unreadable(String),
    /// The text is shorter than 16 bytes.
    TooShort(String),
}

impl fmt::Display for KeyFileError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Unreadable(path) => write!(f, "key file '{path}' cannot be read"),
            Self::TooShort(path) => {
                write!(f, "key file '{path}' holds fewer than {MIN_KEY_TEXT_BYTES} bytes")
            }
        }
    }
}

impl std::error::Error for KeyFileError {}

/// Secret shared by the nodes of a deployment. It does not implement `Display`, and its `Debug`
/// output does not contain it.
#[derive(Clone)]
pub struct DeploymentKey([u8; 32]);

impl fmt::Debug for DeploymentKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("DeploymentKey(..)")
    }
}

impl DeploymentKey {
    /// Derives a key from secret text, for example the contents of a file.
    pub fn from_text(text: &str) -> Self {
        Self(blake3::derive_key("tarragonloom 2026 deployment key", text.trim().as_bytes()))
    }

    /// Loads the key from a file, without leading and trailing white space.
    ///
    /// # Errors
    /// `Unreadable` if the file cannot be read, `TooShort` if it holds fewer than 16 bytes.
    pub fn from_file(path: &Path) -> Result<Self, Report<KeyFileError>> {
        let path_text = path.display().to_string();
        let text = std::fs::read_to_string(path)
            .change_context(KeyFileError::Unreadable(path_text.clone()))?;
        if text.trim().len() < MIN_KEY_TEXT_BYTES {
            return Err(Report::new(KeyFileError::TooShort(path_text)));
        }
        Ok(Self::from_text(&text))
    }

    /// Computes the keyed hash of bytes. Comparing two hashes takes constant time.
    pub fn tag(&self, bytes: &[u8]) -> Hash {
        blake3::keyed_hash(&self.0, bytes)
    }
}
