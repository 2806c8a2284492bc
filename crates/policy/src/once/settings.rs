use serde::Deserialize;
use serde::Serialize;

/// Settings of [`KeyTable`](crate::once::KeyTable).
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct OnceSettings {
    /// Time after its run for which an answer is kept and a foreign key is remembered, in s. It is
    /// the same everywhere, because claims in the replicated log are kept for as long. Regions may
    /// be separated for an hour; callers that resend after it should still get their answer.
    pub key_retention_s: u64,
    /// Largest body that is kept for repeats, in bytes.
    pub max_body_bytes: usize,
    /// Most memory of the table, in bytes. Each issued key takes 8 to 9 bytes for as long as the
    /// instance lives, so 64 MiB last about 7.4 million keys. When only such records are left,
    /// the table takes no further key.
    pub max_memory_bytes: usize,
    /// Whether a key is void once the gate refused its request, for example because of load. If
    /// so, no copy of the request that arrives late through another entry can run, which guarantee
    /// G4 asks for, but the caller needs a new key for its next try. If not, the caller may try
    /// again with the same key, and may conclude that the request did not run only when every copy
    /// was reported as `not-run`.
    pub is_refused_key_void: bool,
}

impl Default for OnceSettings {
    fn default() -> Self {
        Self {
            key_retention_s: 7_200,
            max_body_bytes: 64 * 1_024,
            max_memory_bytes: 64 * 1_024 * 1_024,
            is_refused_key_void: true,
        }
    }
}
