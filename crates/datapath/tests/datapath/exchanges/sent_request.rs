use std::time::Duration;

use crate::exchanges::row::Framing;
use crate::exchanges::row::Kind;
use crate::exchanges::row::Meanwhile;
use crate::exchanges::row::Pace;
use crate::exchanges::row::Path;
use crate::exchanges::row::Row;

/// Deadline of a request, in ms. It is long after everything that happens meanwhile.
pub const DEADLINE_MS: u64 = 12_000;

/// Deadline of a request whose answer cannot arrive, in ms.
pub const CUT_DEADLINE_MS: u64 = 2_500;

/// Pause of a client in the middle of its body, longer than any wait for the first bytes of a body.
const PAUSE_WITHIN: Duration = Duration::from_millis(300);

/// Size of the pieces of a client that sends slowly, and the time for each at 40 Mbit/s.
const SLOW_PIECE: (usize, Duration) = (8_000, Duration::from_micros(1_600));

/// A request as the client sends it.
pub struct SentRequest {
    pub id: String,
    pub method: &'static str,
    pub target: String,
    /// End-to-end fields in the order in which they are sent.
    pub fields: Vec<(&'static str, Vec<u8>)>,
    pub body: Vec<u8>,
    pub trailer: Vec<(String, Vec<u8>)>,
    pub has_body: bool,
    pub head_bytes: Vec<u8>,
    /// What is sent after the head, and the pause after each piece.
    pub body_pieces: Vec<(Vec<u8>, Duration)>,
    pub expects_continue: bool,
}

/// Bytes that differ at each position and for each request.
pub fn pattern(id: &str, length: usize) -> Vec<u8> {
    let offset = id.bytes().fold(7_u32, |sum, byte| sum.wrapping_mul(31).wrapping_add(byte.into()));
    (0..length as u32).map(|at| ((at ^ offset).wrapping_mul(0x9e37_79b1) >> 24) as u8).collect()
}

fn chunked(body: &[u8], chunk_bytes: usize, trailer: &[(String, Vec<u8>)]) -> Vec<u8> {
    let mut bytes = Vec::new();
    for chunk in body.chunks(chunk_bytes) {
        bytes.extend_from_slice(format!("{:x}\r\n", chunk.len()).as_bytes());
        bytes.extend_from_slice(chunk);
        bytes.extend_from_slice(b"\r\n");
    }
    bytes.extend_from_slice(b"0\r\n");
    for (name, value) in trailer {
        bytes.extend_from_slice(name.as_bytes());
        bytes.extend_from_slice(b": ");
        bytes.extend_from_slice(value);
        bytes.extend_from_slice(b"\r\n");
    }
    bytes.extend_from_slice(b"\r\n");
    bytes
}

fn in_pieces(bytes: Vec<u8>, pace: Pace) -> Vec<(Vec<u8>, Duration)> {
    match pace {
        _ if bytes.is_empty() => Vec::new(),
        Pace::AtOnce => vec![(bytes, Duration::ZERO)],
        Pace::PauseWithin => {
            let (first, second) = bytes.split_at(bytes.len() / 2);
            vec![(first.to_vec(), PAUSE_WITHIN), (second.to_vec(), Duration::ZERO)]
        }
        Pace::Slow => {
            let (size, time) = SLOW_PIECE;
            bytes.chunks(size).map(|piece| (piece.to_vec(), time)).collect()
        }
    }
}

impl SentRequest {
    pub fn new(row: &Row, id: &str) -> Self {
        let prefix = match row.kind {
            Kind::Idempotent => "i",
            Kind::AtMostOnce | Kind::Keyed => "o",
            Kind::Upload => "u",
        };
        let target = format!("/{prefix}/rows%2Fred//{id};v=1?q=a%20b&&c=?d&e=%ff");
        let body = pattern(id, row.sent_body_bytes());
        let is_cut = row.path == Path::OneHop && row.meanwhile == Meanwhile::OldPathCut;
        let deadline_ms = if is_cut { CUT_DEADLINE_MS } else { DEADLINE_MS };
        let mut fields = vec![
            ("host", b"counter.test".to_vec()),
            ("accept", b"*/*".to_vec()),
            ("x-twice", b"first, of two".to_vec()),
            ("x-latin", b"Thi\xe8s".to_vec()),
            ("x-twice", b"second".to_vec()),
            ("x-empty", Vec::new()),
        ];
        if row.kind == Kind::Keyed {
            fields.push(("idempotency-key", format!("key-{id}").into_bytes()));
        }
        let mut trailer = Vec::new();
        let mut hop_fields = vec![("tarragon-deadline-ms", deadline_ms.to_string())];
        let mut bytes = body.clone();
        match row.framing {
            Framing::Absent => {}
            Framing::LengthZero | Framing::Length => {
                hop_fields.push(("content-length", body.len().to_string()));
            }
            Framing::ExpectContinue => {
                hop_fields.push(("content-length", body.len().to_string()));
                hop_fields.push(("expect", "100-continue".into()));
            }
            Framing::Chunks => {
                hop_fields.push(("transfer-encoding", "chunked".into()));
                bytes = chunked(&body, row.chunk_bytes, &trailer);
            }
            Framing::ChunksWithTrailer => {
                fields.push(("trailer", b"x-sum".to_vec()));
                trailer.push(("x-sum".to_string(), format!("sum of {id}").into_bytes()));
                hop_fields.push(("transfer-encoding", "chunked".into()));
                bytes = chunked(&body, row.chunk_bytes, &trailer);
            }
        }
        let mut head_bytes = format!("{} {target} HTTP/1.1\r\n", row.method).into_bytes();
        for (name, value) in &fields {
            head_bytes.extend_from_slice(name.as_bytes());
            head_bytes.extend_from_slice(b": ");
            head_bytes.extend_from_slice(value);
            head_bytes.extend_from_slice(b"\r\n");
        }
        for (name, value) in hop_fields {
            head_bytes.extend_from_slice(format!("{name}: {value}\r\n").as_bytes());
        }
        head_bytes.extend_from_slice(b"\r\n");
        Self {
            id: id.into(),
            method: row.method,
            target,
            fields,
            body,
            trailer,
            has_body: row.framing != Framing::Absent,
            head_bytes,
            body_pieces: in_pieces(bytes, row.pace),
            expects_continue: row.framing == Framing::ExpectContinue,
        }
    }
}
