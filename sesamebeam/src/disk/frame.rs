//! Frames: one record with its length and checksum.
//!
//! One write is one frame. A frame whose sync did not finish can have any of
//! its bytes missing, in any order, and only the last frame of a folder can be
//! such a one, since the next is written after the sync.

use serde::{
    Deserialize,
    Serialize, //
};
use sesamebeam_core::replica::{
    Entry,
    HardState,
    LogPosition, //
};

/// Bytes before the payload: mark, length, checksum.
pub(super) const HEADER: usize = 12;

/// First bytes of a frame, by which a later frame is found behind damage.
const MARK: [u8; 4] = *b"SBF1";

/// Largest payload in bytes; a longer length can only be damage.
const MAX_PAYLOAD: usize = 1 << 28;

/// What a frame records.
#[derive(Debug, Serialize, Deserialize)]
pub(super) enum Record {
    /// Term and vote.
    State(HardState),
    /// Entries from this position on are dropped.
    Truncate(u64),
    /// A snapshot file was synced; a shorter log goes on after its end.
    Snapshot(LogPosition),
    /// Entries that follow on.
    Entries(Vec<Entry>),
}

/// Where a frame lies, which is part of its checksum.
///
/// Without it an old frame that the file system gives back at another place,
/// or a copy of one inside an entry, would pass for a frame.
#[derive(Clone, Copy, Debug)]
pub(super) struct Place {
    /// Incarnation of the data folder.
    pub(super) incarnation: u128,
    /// Number of the segment.
    pub(super) segment: u64,
    /// Offset in the segment.
    pub(super) offset: u64,
}

/// What is wrong with the bytes at a place.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Fault {
    /// There are fewer bytes than a header or its length ask for.
    Short,
    /// There is no frame's mark.
    Mark,
    /// The length is impossible.
    Length,
    /// The checksum does not match.
    Checksum,
}

impl Fault {
    /// Says what is wrong, for people.
    pub(super) fn text(self) -> &'static str {
        match self {
            Fault::Short => "frame is cut short",
            Fault::Mark => "no frame begins here",
            Fault::Length => "length is impossible",
            Fault::Checksum => "checksum does not match",
        }
    }
}

/// Appends a frame to a buffer.
pub(super) fn write_frame(buf: &mut Vec<u8>, place: Place, payload: &[u8]) {
    let len = u32::try_from(payload.len()).unwrap_or(u32::MAX);
    buf.extend_from_slice(&MARK);
    buf.extend_from_slice(&len.to_le_bytes());
    buf.extend_from_slice(&checksum(place, payload).to_le_bytes());
    buf.extend_from_slice(payload);
}

/// Reads the frame at the start of `bytes`. Returns its payload.
pub(super) fn read_frame(bytes: &[u8], place: Place, check: bool) -> Result<&[u8], Fault> {
    let header = bytes.get(..HEADER).ok_or(Fault::Short)?;
    if header[..4] != MARK {
        return Err(Fault::Mark);
    }
    let len = read_u32(&header[4..8]) as usize;
    if len > MAX_PAYLOAD {
        return Err(Fault::Length);
    }
    let payload = bytes.get(HEADER..HEADER + len).ok_or(Fault::Short)?;
    if check && read_u32(&header[8..12]) != checksum(place, payload) {
        return Err(Fault::Checksum);
    }
    Ok(payload)
}

/// Returns whether any whole frame begins after the first byte.
pub(super) fn has_later_frame(bytes: &[u8], place: Place) -> bool {
    let starts = bytes.windows(MARK.len()).enumerate().skip(1);
    let marked = starts.filter(|(_, window)| *window == MARK);
    marked.map(|(at, _)| at).any(|at| {
        let offset = place.offset + at as u64;
        let later = Place { offset, ..place };
        read_frame(&bytes[at..], later, true).is_ok()
    })
}

/// Computes the checksum of a payload at a place.
fn checksum(place: Place, payload: &[u8]) -> u32 {
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(&place.incarnation.to_le_bytes());
    hasher.update(&place.segment.to_le_bytes());
    hasher.update(&place.offset.to_le_bytes());
    hasher.update(&(payload.len() as u64).to_le_bytes());
    hasher.update(payload);
    hasher.finalize()
}

/// Reads a number of four bytes.
fn read_u32(bytes: &[u8]) -> u32 {
    let mut word = [0; 4];
    word.copy_from_slice(&bytes[..4]);
    u32::from_le_bytes(word)
}
