use serde::Deserialize;
use serde::Serialize;

/// Settings of [`KeyTable`](crate::once::KeyTable).
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct OnceSettings {
    /// Time after a run for which its answer and, if it is foreign, its key are kept, in s. It must
    /// be the same on all nodes, because claims in the replicated log are kept for the same time.
    /// Longer than an hour, since regions may be partitioned for an hour and callers that resend
    /// after that should still get their answer.
    pub key_retention_s: u64,
    /// Largest body of an answer that is kept for repeated requests, in bytes.
    pub max_body_bytes: usize,
    /// Maximum memory of the table, in bytes. Each issued key takes 8 to 9 bytes until the end of
    /// the instance, so 64 MiB are enough for about 7.4 million keys. When only such records are
    /// left, the table accepts no new keys.
    pub max_memory_bytes: usize,
    /// Whether a key becomes void when the gate refuses its request, for example because of
    /// overload. If true, no copy of the request that arrives late through another entry can run,
    /// as guarantee G4 requires, but the caller needs a new key for a retry. If false, the caller
    /// may retry with the same key, and can conclude that the request did not run only if every
    /// copy was reported as `not-run`.
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
