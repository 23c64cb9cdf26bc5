//! Frames: units of a file that are protected by checksums, each written and synced on its own.
//!
//! A frame consists of the payload's length, the payload's CRC, the CRC of these two fields, the
//! payload and an end mark. Numbers are little-endian `u32`.

/// Size of the header before the payload.
const HEADER_BYTES: usize = 12;

/// Byte after the payload; nonzero, to tell it from unwritten bytes.
const END_MARK: u8 = 0xa5;

/// Size of the smallest unit that a disk writes.
const SECTOR_BYTES: usize = 512;

/// Fewest trailing zero bytes that count as unwritten.
const MIN_UNWRITTEN_BYTES: usize = 8;

/// The result of reading a frame.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum ReadResult<'a> {
    /// A valid frame and the offset after it.
    Frame { payload: &'a [u8], end: usize },
    /// The end of the file.
    End,
    /// A frame that was only partly written.
    Torn,
    /// Written bytes that are not a valid frame.
    Corrupt,
}

/// Encodes a payload as a frame.
pub(crate) fn encode(payload: &[u8]) -> Vec<u8> {
    let len = u32::try_from(payload.len()).expect("frames are smaller than 4 GiB");
    let mut frame = Vec::with_capacity(HEADER_BYTES + payload.len() + 1);
    frame.extend_from_slice(&len.to_le_bytes());
    frame.extend_from_slice(&crc32fast::hash(payload).to_le_bytes());
    frame.extend_from_slice(&crc32fast::hash(&frame).to_le_bytes());
    frame.extend_from_slice(payload);
    frame.push(END_MARK);
    frame
}

/// Reads the frame at `start`.
pub(crate) fn read(data: &[u8], start: usize) -> ReadResult<'_> {
    let rest = &data[start..];
    if rest.is_empty() {
        return ReadResult::End;
    }
    if has_unwritten_tail(data, start) {
        return ReadResult::Torn;
    }
    if rest.len() < HEADER_BYTES {
        return ReadResult::Torn;
    }
    if crc32fast::hash(&rest[..8]) != read_u32(rest, 8) {
        return ReadResult::Corrupt;
    }
    let end = HEADER_BYTES + read_u32(rest, 0) as usize;
    let Some(payload) = rest.get(HEADER_BYTES..end) else {
        return ReadResult::Torn;
    };
    match rest.get(end) {
        None => ReadResult::Torn,
        Some(&END_MARK) if crc32fast::hash(payload) == read_u32(rest, 4) => {
            ReadResult::Frame { payload, end: start + end + 1 }
        }
        Some(_) => ReadResult::Corrupt,
    }
}

/// Returns whether the file ends in sectors that were never written and the frame is incomplete.
///
/// Such sectors read as zeros: a file's new size can reach the disk before its data.
fn has_unwritten_tail(data: &[u8], start: usize) -> bool {
    let written = data.iter().rposition(|&byte| byte != 0).map_or(0, |it| it + 1);
    let unwritten = written.next_multiple_of(SECTOR_BYTES).max(start);
    let zeros = data.len().saturating_sub(unwritten);
    zeros >= MIN_UNWRITTEN_BYTES && !has_frame_bounds(data, start)
}

/// Returns whether the frame's header is valid and its end mark is in place.
fn has_frame_bounds(data: &[u8], start: usize) -> bool {
    let rest = &data[start..];
    rest.len() >= HEADER_BYTES
        && crc32fast::hash(&rest[..8]) == read_u32(rest, 8)
        && rest.get(HEADER_BYTES + read_u32(rest, 0) as usize) == Some(&END_MARK)
}

fn read_u32(data: &[u8], offset: usize) -> u32 {
    let bytes = data[offset..offset + 4].try_into().expect("four bytes");
    u32::from_le_bytes(bytes)
}
