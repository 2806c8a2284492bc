use schemars::JsonSchema;
use serde::Deserialize;
use serde::Serialize;

use crate::check::parse_checked;
use crate::check::Mistake;
use crate::note::ServiceSpec;

/// A document with which operators change the catalogue, see `docs/design.md`, section 5.1.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct ReleaseNote {
    /// Id of the note. A repeated submission has the same id and content.
    pub id: String,
    /// Version of the note, which must be the current revision of the catalogue plus one.
    pub version: u64,
    /// New services.
    #[serde(default)]
    pub add: Vec<ServiceSpec>,
    /// Services that replace the existing ones of the same name.
    #[serde(default)]
    pub change: Vec<ServiceSpec>,
    /// Names of services to remove.
    #[serde(default)]
    pub withdraw: Vec<String>,
    /// Operation kinds, the most important first. Replaces the previous order.
    #[serde(default)]
    pub importance: Option<Vec<String>>,
}

impl ReleaseNote {
    /// Parses a note and validates it against its schema. The catalogue checks the content.
    ///
    /// # Errors
    /// Returns every violation of the schema.
    pub fn from_json(text: &str) -> Result<Self, Vec<Mistake>> {
        parse_checked(text)
    }

    /// Digest of the content, by which a repeated submission is recognised.
    pub fn digest(&self) -> [u8; 16] {
        let text = serde_json::to_vec(self).expect("a release note is valid JSON");
        let mut digest = [0; 16];
        digest.copy_from_slice(&blake3::hash(&text).as_bytes()[..16]);
        digest
    }
}
