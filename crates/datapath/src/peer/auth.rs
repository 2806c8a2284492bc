use http::HeaderMap;
use http::HeaderName;
use http::HeaderValue;
use http::Method;
use subtle::ConstantTimeEq;
use tarragon_model::call::headers;
use tarragon_wire::DeploymentKey;

/// Headers that the keyed hash covers, in addition to method and path.
const SIGNED_HEADERS: [HeaderName; 15] = [
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
    headers::NOTICE,
    headers::FINGERPRINT,
    headers::CRASHES,
];

/// Signs requests between nodes with the deployment key and verifies their signatures.
#[derive(Debug, Clone)]
pub struct PeerAuth {
    key: DeploymentKey,
}

impl PeerAuth {
    /// Creates the signer and verifier of a deployment.
    pub fn new(key: DeploymentKey) -> Self {
        Self { key }
    }

    /// Adds a header with the keyed hash of the method, the path and the covered headers.
    pub fn sign(&self, method: &Method, path: &str, map: &mut HeaderMap) {
        let tag = self.key.tag(&bytes_to_sign(method, path, map)).to_hex();
        let value = HeaderValue::from_str(tag.as_str());
        map.insert(headers::MAC, value.expect("hexadecimal digits are visible ASCII"));
    }

    /// Whether the request has exactly one hash header and its value is correct. The comparison
    /// takes constant time.
    pub fn is_valid(&self, method: &Method, path: &str, map: &HeaderMap) -> bool {
        let mut values = map.get_all(headers::MAC).iter();
        let (Some(given), None) = (values.next(), values.next()) else { return false };
        let expected = self.key.tag(&bytes_to_sign(method, path, map)).to_hex();
        bool::from(expected.as_bytes().ct_eq(given.as_bytes()))
    }
}

/// Serializes the covered parts with length prefixes, so that different requests give different
/// bytes.
fn bytes_to_sign(method: &Method, path: &str, map: &HeaderMap) -> Vec<u8> {
    let mut bytes = Vec::with_capacity(512);
    push_length_prefixed(&mut bytes, method.as_str().as_bytes());
    push_length_prefixed(&mut bytes, path.as_bytes());
    for name in &SIGNED_HEADERS {
        let values = map.get_all(name);
        let count = u32::try_from(values.iter().count()).unwrap_or(u32::MAX);
        bytes.extend_from_slice(&count.to_le_bytes());
        for value in values {
            push_length_prefixed(&mut bytes, value.as_bytes());
        }
    }
    bytes
}

fn push_length_prefixed(bytes: &mut Vec<u8>, part: &[u8]) {
    bytes.extend_from_slice(&(part.len() as u64).to_le_bytes());
    bytes.extend_from_slice(part);
}
