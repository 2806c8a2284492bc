use http::header;
use http::HeaderMap;
use http::HeaderName;
use tarragon_model::call::headers;

/// Headers that concern one connection only (RFC 9110, section 7.6.1), and `Expect`, which the
/// listener answers itself.
const HOP_HEADERS: [HeaderName; 8] = [
    header::CONNECTION,
    HeaderName::from_static("keep-alive"),
    HeaderName::from_static("proxy-connection"),
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
    header::EXPECT,
];

/// Removes the headers that must not be forwarded, and those that `Connection` names.
pub fn strip_hop_headers(map: &mut HeaderMap) {
    if map.contains_key(header::CONNECTION) {
        let named: Vec<HeaderName> = map
            .get_all(header::CONNECTION)
            .iter()
            .filter_map(|value| value.to_str().ok())
            .flat_map(|text| text.split(','))
            .filter_map(|name| name.trim().parse().ok())
            .collect();
        for name in named {
            map.remove(name);
        }
    }
    for name in &HOP_HEADERS {
        map.remove(name);
    }
}

/// Removes the headers of the data path, so that neither a caller nor a backend server sets them
/// for another hop. The idempotency key stays.
pub fn strip_tarragon_headers(map: &mut HeaderMap) {
    let is_own = |name: &&HeaderName| name.as_str().starts_with(headers::PREFIX);
    let own: Vec<HeaderName> = map.keys().filter(is_own).cloned().collect();
    for name in own {
        map.remove(name);
    }
}

/// Size of the headers as they stand on an HTTP/1.1 connection, in bytes.
pub fn header_bytes(map: &HeaderMap) -> usize {
    // Each line has ": " and a line end besides its name and value.
    map.iter().map(|(name, value)| name.as_str().len() + value.len() + 4).sum()
}
