//! Reading a data folder back.

use std::{
    fs::{
        self,
        OpenOptions, //
    },
    path::{
        Path,
        PathBuf, //
    },
};

use sesamebeam_core::{
    ids::LogIndex,
    replica::{
        Entry,
        HardState,
        LogPosition,
        SavedState,
        Snapshot, //
    },
};

use super::{
    Faults, SEGMENT_PREFIX, SEGMENT_SUFFIX, SNAPSHOT_PREFIX, SNAPSHOT_SUFFIX,
    error::DiskError,
    folder::numbered,
    frame::{
        HEADER,
        Place,
        Record,
        has_later_frame,
        read_frame, //
    },
};

/// A segment as it was read.
#[derive(Debug)]
pub(super) struct Segment {
    /// Number of the segment.
    pub(super) number: u64,
    /// Its file.
    pub(super) path: PathBuf,
    /// Last position of any entry in it.
    pub(super) last: LogIndex,
    /// Bytes that count.
    pub(super) len: u64,
}

/// What a folder holds.
#[derive(Debug, Default)]
pub(super) struct Loaded {
    /// What the replica gets.
    pub(super) saved: SavedState,
    /// Segments in order.
    pub(super) segments: Vec<Segment>,
    /// Whether the newest snapshot was synced and the record that names it was
    /// not: a power cut came between.
    pub(super) unnamed: bool,
}

/// Reads a folder.
pub(super) fn load(folder: &Path, incarnation: u128, faults: Faults) -> Result<Loaded, DiskError> {
    let snapshot = load_snapshot(folder, incarnation)?;
    let files = numbered(folder, SEGMENT_PREFIX, SEGMENT_SUFFIX)?;
    let newest = files.last().map(|&(number, _)| number);
    let mut replay = Replay::default();
    let mut segments = Vec::new();
    for (number, path) in files {
        let place = Place {
            incarnation,
            segment: number,
            offset: 0,
        };
        let is_newest = Some(number) == newest;
        segments.push(replay.read_segment(path, place, is_newest, faults)?);
    }
    let end = snapshot.as_ref().map_or(LogPosition::default(), |s| s.end);
    let unnamed = snapshot.is_some() && replay.named != Some(end.index);
    if unnamed {
        replay.name_snapshot(end);
    }
    let entries = replay.entries_after(end.index, folder)?;
    let saved = SavedState {
        state: replay.state,
        snapshot,
        entries,
    };
    Ok(Loaded {
        saved,
        segments,
        unnamed,
    })
}

/// Reads the newest snapshot.
fn load_snapshot(folder: &Path, incarnation: u128) -> Result<Option<Snapshot>, DiskError> {
    let files = numbered(folder, SNAPSHOT_PREFIX, SNAPSHOT_SUFFIX)?;
    let Some((number, path)) = files.last() else {
        return Ok(None);
    };
    let bytes = fs::read(path).map_err(|e| DiskError::io(path, e))?;
    let place = snapshot_place(incarnation, *number);
    let payload = read_frame(&bytes, place, true)
        .map_err(|fault| DiskError::damaged(path, 0, fault.text()))?;
    let snapshot = postcard::from_bytes(payload)
        .map_err(|_| DiskError::damaged(path, HEADER as u64, "snapshot does not decode"))?;
    Ok(Some(snapshot))
}

/// Returns where a snapshot lies, as its checksum has it.
pub(super) fn snapshot_place(incarnation: u128, index: LogIndex) -> Place {
    Place {
        incarnation,
        segment: index,
        offset: u64::MAX,
    }
}

/// Records as they are read, one after the other.
#[derive(Debug, Default)]
struct Replay {
    /// Term and vote.
    state: HardState,
    /// Entries without a gap.
    entries: Vec<Entry>,
    /// Position that the next entry must have, if it is known.
    next: Option<LogIndex>,
    /// End of the snapshot that was named last.
    named: Option<LogIndex>,
}

impl Replay {
    /// Reads a segment. In the newest one a torn end is cut off.
    fn read_segment(
        &mut self,
        path: PathBuf,
        mut place: Place,
        is_newest: bool,
        faults: Faults,
    ) -> Result<Segment, DiskError> {
        let bytes = fs::read(&path).map_err(|e| DiskError::io(&path, e))?;
        let mut rest = &bytes[..];
        let mut last = 0;
        while !rest.is_empty() {
            let payload = match read_frame(rest, place, !faults.skip_crc) {
                Ok(payload) => payload,
                // A frame that was synced is followed by others sooner or
                // later; only the last can be torn. Cutting off more than that
                // would drop entries that were acknowledged.
                Err(_) if is_newest && !has_later_frame(rest, place) => {
                    if !faults.keep_torn_tail {
                        cut(&path, place.offset)?;
                    }
                    break;
                }
                Err(fault) => return Err(DiskError::damaged(&path, place.offset, fault.text())),
            };
            let records: Vec<Record> = postcard::from_bytes(payload)
                .map_err(|_| DiskError::damaged(&path, place.offset, "record does not decode"))?;
            let len = HEADER + payload.len();
            for record in records {
                last = last.max(self.take(record, &path, place.offset)?);
            }
            rest = &rest[len..];
            place.offset += len as u64;
        }
        let len = if faults.keep_torn_tail {
            bytes.len() as u64
        } else {
            place.offset
        };
        Ok(Segment {
            number: place.segment,
            path,
            last,
            len,
        })
    }

    /// Takes one record. Returns the last position in it.
    fn take(&mut self, record: Record, path: &Path, offset: u64) -> Result<LogIndex, DiskError> {
        match record {
            Record::State(state) => {
                self.state = state;
                Ok(0)
            }
            Record::Truncate(from) => {
                self.entries.retain(|entry| entry.index < from);
                self.next = self.next.map(|next| next.min(from));
                Ok(0)
            }
            Record::Snapshot(end) => {
                self.named = Some(end.index);
                if self.next.is_some_and(|next| next <= end.index) {
                    self.entries.clear();
                    self.next = Some(end.index + 1);
                }
                Ok(0)
            }
            Record::Entries(entries) => {
                let mut last = 0;
                for entry in entries {
                    if self.next.is_some_and(|next| next != entry.index) {
                        return Err(DiskError::damaged(path, offset, "entries have a gap"));
                    }
                    last = entry.index;
                    self.next = Some(last + 1);
                    self.entries.push(entry);
                }
                Ok(last)
            }
        }
    }

    /// Does what the record that names a snapshot would have done, and drops
    /// entries that belong to another history than the snapshot.
    fn name_snapshot(&mut self, end: LogPosition) {
        let at_end = self.entries.iter().find(|entry| entry.index == end.index);
        if at_end.is_none_or(|entry| entry.term != end.term) {
            self.entries.clear();
        }
    }

    /// Returns the entries after a snapshot.
    fn entries_after(&mut self, base: LogIndex, folder: &Path) -> Result<Vec<Entry>, DiskError> {
        let mut entries = std::mem::take(&mut self.entries);
        entries.retain(|entry| entry.index > base);
        match entries.first() {
            Some(first) if first.index != base + 1 => Err(DiskError::damaged(
                folder,
                0,
                "entries do not follow on the newest snapshot",
            )),
            _ => Ok(entries),
        }
    }
}

/// Cuts a file and syncs it.
fn cut(path: &Path, len: u64) -> Result<(), DiskError> {
    let file = OpenOptions::new().write(true).open(path);
    let done = file.and_then(|file| {
        file.set_len(len)?;
        file.sync_all()
    });
    done.map_err(|e| DiskError::io(path, e))
}
