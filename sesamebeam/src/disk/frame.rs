//! Frames: a payload with its length and checksum.
//!
//! Each write is one frame. If the sync of a frame did not finish, any of its bytes
//! can be missing, in any order. Only the last frame of a folder can be torn this
//! way, because the next one is written after the sync.

use serde::{
    Deserialize,
    Serialize, //
};
use sesamebeam_core::replica::{
    Entry,
    HardState,
    LogPosition, //
};

/// Size of the frame header in bytes: magic number, length and checksum.
pub(super) const HEADER_LEN: usize = 12;

/// Magic number at the start of a frame, used to find later frames after damage.
const MAGIC: [u8; 4] = *b"SBF1";

/// Maximum payload size in bytes. A larger length field indicates damage.
const MAX_PAYLOAD: usize = 1 << 28;

/// A record in a log frame.
#[derive(Debug, Serialize, Deserialize)]
pub(super) enum Record {
    /// Term and vote.
    State(HardState),
    /// Entries from this log index on are removed.
    Truncate(u64),
    /// A snapshot file was synced. If the log ends before the end of the snapshot, it
    /// continues after it.
    Snapshot(LogPosition),
    /// Entries appended to the log.
    Entries(Vec<Entry>),
}

/// Location of a frame, which is part of its checksum.
///
/// Otherwise an old frame that the file system returns at another offset, or a copy
/// of a frame inside an entry, would be accepted as a frame.
#[derive(Clone, Copy, Debug)]
pub(super) struct FrameLocation {
    /// Incarnation of the data folder.
    pub(super) incarnation: u128,
    /// Segment number.
    pub(super) segment: u64,
    /// Offset in the segment, in bytes.
    pub(super) offset: u64,
}

/// Error on reading a frame.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum FrameError {
    /// The data ends before the end of the header or payload.
    Truncated,
    /// The magic number is missing.
    BadMagic,
    /// The length exceeds [`MAX_PAYLOAD`].
    BadLength,
    /// The checksum does not match.
    BadChecksum,
}

impl FrameError {
    /// Returns a description for error messages.
    pub(super) fn description(self) -> &'static str {
        match self {
            FrameError::Truncated => "frame is truncated",
            FrameError::BadMagic => "magic number of a frame is missing",
            FrameError::BadLength => "frame length exceeds the maximum",
            FrameError::BadChecksum => "frame checksum does not match",
        }
    }
}

/// Appends a frame to a buffer.
pub(super) fn write_frame(buf: &mut Vec<u8>, location: FrameLocation, payload: &[u8]) {
    let len = u32::try_from(payload.len()).unwrap_or(u32::MAX);
    buf.extend_from_slice(&MAGIC);
    buf.extend_from_slice(&len.to_le_bytes());
    buf.extend_from_slice(&checksum(location, payload).to_le_bytes());
    buf.extend_from_slice(payload);
}

/// Parses the frame at the start of `bytes` and returns its payload.
pub(super) fn read_frame(
    bytes: &[u8],
    location: FrameLocation,
    verify_checksum: bool,
) -> Result<&[u8], FrameError> {
    let header = bytes.get(..HEADER_LEN).ok_or(FrameError::Truncated)?;
    if header[..4] != MAGIC {
        return Err(FrameError::BadMagic);
    }
    let len = read_u32(&header[4..8]) as usize;
    if len > MAX_PAYLOAD {
        return Err(FrameError::BadLength);
    }
    let payload = bytes
        .get(HEADER_LEN..HEADER_LEN + len)
        .ok_or(FrameError::Truncated)?;
    if verify_checksum && read_u32(&header[8..12]) != checksum(location, payload) {
        return Err(FrameError::BadChecksum);
    }
    Ok(payload)
}

/// Returns whether a valid frame starts after the first byte of `bytes`.
pub(super) fn has_later_frame(bytes: &[u8], location: FrameLocation) -> bool {
    let starts = bytes.windows(MAGIC.len()).enumerate().skip(1);
    let candidates = starts.filter(|(_, window)| *window == MAGIC);
    candidates.map(|(at, _)| at).any(|at| {
        let offset = location.offset + at as u64;
        let later = FrameLocation { offset, ..location };
        read_frame(&bytes[at..], later, true).is_ok()
    })
}

/// Computes the checksum of a payload at a location.
fn checksum(location: FrameLocation, payload: &[u8]) -> u32 {
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(&location.incarnation.to_le_bytes());
    hasher.update(&location.segment.to_le_bytes());
    hasher.update(&location.offset.to_le_bytes());
    hasher.update(&(payload.len() as u64).to_le_bytes());
    hasher.update(payload);
    hasher.finalize()
}

/// Decodes a little-endian `u32`.
fn read_u32(bytes: &[u8]) -> u32 {
    let mut array = [0; 4];
    array.copy_from_slice(&bytes[..4]);
    u32::from_le_bytes(array)
}
