use http::header;
use http::HeaderMap;
use http::HeaderName;
use http::HeaderValue;
use tarragon_model::call::headers;

/// Hop-by-hop headers (RFC 9110, section 7.6.1), and `Expect`, which the listener itself responds
/// to. `Trailer` is none of them: it announces the trailer fields of a body, which are passed on.
const HOP_HEADERS: [HeaderName; 7] = [
    header::CONNECTION,
    HeaderName::from_static("keep-alive"),
    HeaderName::from_static("proxy-connection"),
    header::TE,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
    header::EXPECT,
];

/// Removes hop-by-hop headers, including those that `Connection` lists.
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

/// Removes the headers that nodes exchange, so that neither a caller nor a backend server can set
/// them for another hop. The idempotency key is kept.
pub fn strip_tarragon_headers(map: &mut HeaderMap) {
    let is_internal = |name: &&HeaderName| name.as_str().starts_with(headers::PREFIX);
    let internal: Vec<HeaderName> = map.keys().filter(is_internal).cloned().collect();
    for name in internal {
        map.remove(name);
    }
}

/// Gives all values of a header another name.
pub fn move_header(map: &mut HeaderMap, from: &HeaderName, to: &HeaderName) {
    let values: Vec<HeaderValue> = map.get_all(from).iter().cloned().collect();
    map.remove(from);
    for value in values {
        map.append(to, value);
    }
}

/// Size of the headers in HTTP/1.1 wire format, in bytes.
pub fn header_bytes(map: &HeaderMap) -> usize {
    // Each line has ": " and CRLF in addition to its name and value.
    map.iter().map(|(name, value)| name.as_str().len() + value.len() + 4).sum()
}
