//! Frames: checked units of a file, each written and synced at once.
//!
//! A frame is its payload's length, the payload's CRC, the CRC of these two, the payload and an
//! end mark. Numbers are little-endian `u32`.

/// Bytes before the payload.
const HEADER_BYTES: usize = 12;

/// The byte after the payload; not zero, so that unwritten bytes show.
const END_MARK: u8 = 0xa5;

/// Bytes that a disk writes at once.
const SECTOR_BYTES: usize = 512;

/// The fewest zero bytes that are taken for unwritten ones.
const MIN_UNWRITTEN_BYTES: usize = 8;

/// What lies at a place of a file.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum Found<'a> {
    /// A whole frame.
    Frame { payload: &'a [u8], end: usize },
    /// The end of the file.
    End,
    /// The beginning of a frame whose write was cut off.
    Torn,
    /// Bytes that were written but are no frame.
    Damaged,
}

/// Puts a payload into a frame.
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
pub(crate) fn read(data: &[u8], start: usize) -> Found<'_> {
    let rest = &data[start..];
    if rest.is_empty() {
        return Found::End;
    }
    if ends_unwritten(data, start) {
        return Found::Torn;
    }
    if rest.len() < HEADER_BYTES {
        return Found::Torn;
    }
    if crc32fast::hash(&rest[..8]) != number(rest, 8) {
        return Found::Damaged;
    }
    let end = HEADER_BYTES + number(rest, 0) as usize;
    let Some(payload) = rest.get(HEADER_BYTES..end) else {
        return Found::Torn;
    };
    match rest.get(end) {
        None => Found::Torn,
        Some(&END_MARK) if crc32fast::hash(payload) == number(rest, 4) => {
            Found::Frame { payload, end: start + end + 1 }
        }
        Some(_) => Found::Damaged,
    }
}

/// Whether the file ends in whole sectors that were never written, within or before this frame.
fn ends_unwritten(data: &[u8], start: usize) -> bool {
    let written = data.iter().rposition(|&byte| byte != 0).map_or(0, |it| it + 1);
    let unwritten = written.next_multiple_of(SECTOR_BYTES).max(start);
    let zeros = data.len().saturating_sub(unwritten);
    zeros >= MIN_UNWRITTEN_BYTES && !holds_frame(data, start)
}

fn holds_frame(data: &[u8], start: usize) -> bool {
    let rest = &data[start..];
    rest.len() >= HEADER_BYTES
        && crc32fast::hash(&rest[..8]) == number(rest, 8)
        && rest.get(HEADER_BYTES + number(rest, 0) as usize) == Some(&END_MARK)
}

fn number(data: &[u8], offset: usize) -> u32 {
    let bytes = data[offset..offset + 4].try_into().expect("four bytes");
    u32::from_le_bytes(bytes)
}
