//! Format of log segments.
//!
//! A segment starts with a header, which contains the number of the segment, the index of the entry
//! after all earlier segments, and the length of the previous segment. Records follow. Each one
//! consists of its length, a CRC32, the length of the segment that was synced before the record was
//! written, and the entry.

use crate::protocol::LogEntry;

const MAGIC: &[u8; 8] = b"tgllog1\n";

/// Size of the header, in bytes.
pub(super) const HEADER_BYTES: usize = 36;

/// Encoding of a map without elements.
const EMPTY_MAP: u8 = 0;

const RECORD_HEADER_BYTES: usize = 16;

/// Offset of the synced length in a record.
const SYNCED_BYTES_OFFSET: usize = 8;

/// Maximum length of the entry of a valid record, in bytes; the limit on commands is far lower.
const MAX_RECORD_BYTES: usize = 64 << 20;

/// Header of a segment.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct SegmentHeader {
    pub(super) number: u64,
    /// Index of the entry that follows all earlier segments.
    pub(super) next_index: u64,
    /// Length of the previous segment, in bytes.
    pub(super) previous_bytes: u64,
}

impl SegmentHeader {
    pub(super) fn encode(self) -> Vec<u8> {
        let mut bytes = MAGIC.to_vec();
        for number in [self.number, self.next_index, self.previous_bytes] {
            bytes.extend_from_slice(&number.to_le_bytes());
        }
        bytes.extend_from_slice(&crc32fast::hash(&bytes).to_le_bytes());
        bytes
    }

    pub(super) fn decode(bytes: &[u8]) -> Option<Self> {
        let bytes = bytes.get(..HEADER_BYTES)?;
        let crc = read_u32(bytes, HEADER_BYTES - 4)?;
        let is_valid =
            bytes.starts_with(MAGIC) && crc32fast::hash(&bytes[..HEADER_BYTES - 4]) == crc;
        is_valid.then_some(())?;
        Some(Self {
            number: read_u64(bytes, 8)?,
            next_index: read_u64(bytes, 16)?,
            previous_bytes: read_u64(bytes, 24)?,
        })
    }
}

/// Appends a record to a buffer.
pub(super) fn encode_record(entry: &LogEntry, synced_bytes: u64, buffer: &mut Vec<u8>) {
    let payload = postcard::to_stdvec(entry).expect("an entry can always be encoded");
    let length = u32::try_from(payload.len()).expect("a command is shorter than 4 GiB");
    let crc = record_crc(length, synced_bytes, &payload);
    buffer.extend_from_slice(&length.to_le_bytes());
    buffer.extend_from_slice(&crc.to_le_bytes());
    buffer.extend_from_slice(&synced_bytes.to_le_bytes());
    buffer.extend_from_slice(&payload);
}

fn record_crc(length: u32, synced_bytes: u64, payload: &[u8]) -> u32 {
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(&length.to_le_bytes());
    hasher.update(&synced_bytes.to_le_bytes());
    hasher.update(payload);
    hasher.finalize()
}

/// A decoded record.
#[derive(Debug)]
pub(super) struct LogRecord {
    pub(super) entry: LogEntry,
    /// Offset after the record, in bytes.
    pub(super) end_offset: usize,
}

/// Reads the record at an offset; `None` if it is truncated or damaged.
pub(super) fn read_record(bytes: &[u8], offset: usize) -> Option<LogRecord> {
    let length = read_u32(bytes, offset)?;
    let crc = read_u32(bytes, offset + 4)?;
    let synced_bytes = read_u64(bytes, offset + SYNCED_BYTES_OFFSET)?;
    let start = offset + RECORD_HEADER_BYTES;
    let size = usize::try_from(length).ok().filter(|s| (1..=MAX_RECORD_BYTES).contains(s))?;
    let end_offset = start + size;
    let payload = bytes.get(start..end_offset)?;
    if record_crc(length, synced_bytes, payload) != crc {
        return None;
    }
    Some(LogRecord { entry: decode_entry(payload)?, end_offset })
}

/// Decodes an entry. Entries with members that were written before 2026-12-07 lack their last field,
/// [`crate::protocol::ClusterConfiguration::joined`], which is read as empty.
fn decode_entry(payload: &[u8]) -> Option<LogEntry> {
    let with_empty_field = || [payload, &[EMPTY_MAP]].concat();
    let decoded = postcard::from_bytes(payload).ok();
    decoded.or_else(|| postcard::from_bytes(&with_empty_field()).ok())
}

/// Whether a valid record after `offset` proves that the segment was synced beyond `offset`.
///
/// The search tries every position, because the length of a damaged record cannot be trusted. It
/// checks the synced length first: in a valid record it is at most the offset of the record, so the
/// checksum is rarely needed.
pub(super) fn is_synced_beyond(bytes: &[u8], offset: usize) -> bool {
    (offset + 1..bytes.len()).any(|at| {
        let synced_bytes = read_u64(bytes, at + SYNCED_BYTES_OFFSET);
        let is_plausible = synced_bytes.is_some_and(|s| s > offset as u64 && s <= at as u64);
        is_plausible && read_record(bytes, at).is_some()
    })
}

fn read_u32(bytes: &[u8], at: usize) -> Option<u32> {
    Some(u32::from_le_bytes(bytes.get(at..at + 4)?.try_into().ok()?))
}

fn read_u64(bytes: &[u8], at: usize) -> Option<u64> {
    Some(u64::from_le_bytes(bytes.get(at..at + 8)?.try_into().ok()?))
}

#[cfg(test)]
mod tests;
