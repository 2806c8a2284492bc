/// Types of HTTP/2 frames (RFC 9113, section 6).
pub const HTTP2_DATA: u8 = 0;
pub const HTTP2_HEADERS: u8 = 1;
pub const HTTP2_SETTINGS: u8 = 4;
pub const HTTP2_PING: u8 = 6;
pub const HTTP2_CONTINUATION: u8 = 9;

/// An HTTP/2 frame.
pub fn http2_frame(kind: u8, flags: u8, stream: u8, payload: &[u8]) -> Vec<u8> {
    let length = u32::try_from(payload.len()).unwrap().to_be_bytes();
    let mut frame = vec![length[1], length[2], length[3], kind, flags, 0, 0, 0, stream];
    frame.extend_from_slice(payload);
    frame
}
