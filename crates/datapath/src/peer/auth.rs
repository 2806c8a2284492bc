use http::HeaderMap;
use http::HeaderName;
use http::HeaderValue;
use http::Method;
use subtle::ConstantTimeEq;
use tarragon_model::call::headers;
use tarragon_wire::DeploymentKey;

/// Headers that the hash covers, besides method and path.
const COVERED: [HeaderName; 12] = [
    headers::KIND,
    headers::SERVICE,
    headers::REQUEST_ID,
    headers::SPAN,
    headers::DEADLINE_MS,
    headers::IMPORTANCE,
    headers::DEPTH,
    headers::IDEMPOTENCY_KEY,
    headers::TARGET,
    headers::ATTEMPT,
    headers::RETRY_TOKENS,
    headers::REPEAT_SHARE,
];

/// Proves that a request between nodes comes from a holder of the deployment key.
#[derive(Debug, Clone)]
pub struct PeerAuth {
    key: DeploymentKey,
}

impl PeerAuth {
    /// Creates the proof of a deployment.
    pub fn new(key: DeploymentKey) -> Self {
        Self { key }
    }

    /// Adds the keyed hash over method, path and context.
    pub fn sign(&self, method: &Method, path: &str, map: &mut HeaderMap) {
        let tag = self.key.tag(&covered_bytes(method, path, map)).to_hex();
        let value = HeaderValue::from_str(tag.as_str());
        map.insert(headers::MAC, value.expect("hexadecimal digits are visible ASCII"));
    }

    /// Whether the request carries the right hash. The comparison takes constant time.
    pub fn is_valid(&self, method: &Method, path: &str, map: &HeaderMap) -> bool {
        let mut values = map.get_all(headers::MAC).iter();
        let (Some(given), None) = (values.next(), values.next()) else { return false };
        let expected = self.key.tag(&covered_bytes(method, path, map)).to_hex();
        bool::from(expected.as_bytes().ct_eq(given.as_bytes()))
    }
}

/// Length-prefixed parts, so that no two requests give the same bytes.
fn covered_bytes(method: &Method, path: &str, map: &HeaderMap) -> Vec<u8> {
    let mut bytes = Vec::with_capacity(512);
    push(&mut bytes, method.as_str().as_bytes());
    push(&mut bytes, path.as_bytes());
    for name in &COVERED {
        let values = map.get_all(name);
        let count = u32::try_from(values.iter().count()).unwrap_or(u32::MAX);
        bytes.extend_from_slice(&count.to_le_bytes());
        for value in values {
            push(&mut bytes, value.as_bytes());
        }
    }
    bytes
}

fn push(bytes: &mut Vec<u8>, part: &[u8]) {
    bytes.extend_from_slice(&(part.len() as u64).to_le_bytes());
    bytes.extend_from_slice(part);
}
