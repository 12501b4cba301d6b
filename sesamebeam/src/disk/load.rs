//! Loading of the persisted state from a data folder.

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
    folder::numbered_files,
    frame::{
        FrameLocation,
        HEADER_LEN,
        Record,
        has_later_frame,
        read_frame, //
    },
};

/// A log segment.
#[derive(Debug)]
pub(super) struct Segment {
    /// Segment number.
    pub(super) number: u64,
    /// Path of the file.
    pub(super) path: PathBuf,
    /// Highest log index of its entries.
    pub(super) last_index: LogIndex,
    /// Size of the valid data in bytes.
    pub(super) len: u64,
}

/// Contents of a data folder.
#[derive(Debug, Default)]
pub(super) struct Loaded {
    /// State passed to the replica.
    pub(super) saved: SavedState,
    /// Segments in ascending order.
    pub(super) segments: Vec<Segment>,
    /// Whether the newest snapshot was synced but its record was not, because of a
    /// power failure in between.
    pub(super) snapshot_unrecorded: bool,
}

/// Loads a data folder.
pub(super) fn load(folder: &Path, incarnation: u128, faults: Faults) -> Result<Loaded, DiskError> {
    let snapshot = load_snapshot(folder, incarnation)?;
    let files = numbered_files(folder, SEGMENT_PREFIX, SEGMENT_SUFFIX)?;
    let newest = files.last().map(|&(number, _)| number);
    let mut replay = Replay::default();
    let mut segments = Vec::new();
    for (number, path) in files {
        let location = FrameLocation {
            incarnation,
            segment: number,
            offset: 0,
        };
        let is_newest = Some(number) == newest;
        segments.push(replay.read_segment(path, location, is_newest, faults)?);
    }
    let end = snapshot.as_ref().map_or(LogPosition::default(), |s| s.end);
    let snapshot_unrecorded = snapshot.is_some() && replay.recorded_snapshot != Some(end.index);
    if snapshot_unrecorded {
        replay.apply_unrecorded_snapshot(end);
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
        snapshot_unrecorded,
    })
}

/// Loads the newest snapshot.
fn load_snapshot(folder: &Path, incarnation: u128) -> Result<Option<Snapshot>, DiskError> {
    let files = numbered_files(folder, SNAPSHOT_PREFIX, SNAPSHOT_SUFFIX)?;
    let Some((number, path)) = files.last() else {
        return Ok(None);
    };
    let bytes = fs::read(path).map_err(|e| DiskError::io(path, e))?;
    let location = snapshot_location(incarnation, *number);
    let payload = read_frame(&bytes, location, true)
        .map_err(|e| DiskError::damaged(path, 0, e.description()))?;
    let snapshot = postcard::from_bytes(payload)
        .map_err(|_| DiskError::damaged(path, HEADER_LEN as u64, "snapshot cannot be decoded"))?;
    Ok(Some(snapshot))
}

/// Returns the frame location of a snapshot, part of its checksum.
pub(super) fn snapshot_location(incarnation: u128, index: LogIndex) -> FrameLocation {
    FrameLocation {
        incarnation,
        segment: index,
        offset: u64::MAX,
    }
}

/// State reconstructed by replaying the records.
#[derive(Debug, Default)]
struct Replay {
    /// Term and vote.
    state: HardState,
    /// Entries with consecutive indexes.
    entries: Vec<Entry>,
    /// Log index that the next entry must have, if known.
    next_index: Option<LogIndex>,
    /// Log index of the end of the last recorded snapshot.
    recorded_snapshot: Option<LogIndex>,
}

impl Replay {
    /// Replays a segment. A torn write at the end of the newest segment is truncated.
    fn read_segment(
        &mut self,
        path: PathBuf,
        mut location: FrameLocation,
        is_newest: bool,
        faults: Faults,
    ) -> Result<Segment, DiskError> {
        let bytes = fs::read(&path).map_err(|e| DiskError::io(&path, e))?;
        let mut rest = &bytes[..];
        let mut last_index = 0;
        while !rest.is_empty() {
            let payload = match read_frame(rest, location, !faults.skip_crc) {
                Ok(payload) => payload,
                // Only the last frame can be torn. A later valid frame shows that this
                // one was synced, so truncating here would drop acknowledged entries.
                Err(_) if is_newest && !has_later_frame(rest, location) => {
                    if !faults.keep_torn_tail {
                        truncate_file(&path, location.offset)?;
                    }
                    break;
                }
                Err(e) => return Err(DiskError::damaged(&path, location.offset, e.description())),
            };
            let records: Vec<Record> = postcard::from_bytes(payload).map_err(|_| {
                DiskError::damaged(&path, location.offset, "record cannot be decoded")
            })?;
            let len = HEADER_LEN + payload.len();
            for record in records {
                last_index = last_index.max(self.apply(record, &path, location.offset)?);
            }
            rest = &rest[len..];
            location.offset += len as u64;
        }
        let len = if faults.keep_torn_tail {
            bytes.len() as u64
        } else {
            location.offset
        };
        Ok(Segment {
            number: location.segment,
            path,
            last_index,
            len,
        })
    }

    /// Applies one record and returns the index of its last entry, or 0.
    fn apply(&mut self, record: Record, path: &Path, offset: u64) -> Result<LogIndex, DiskError> {
        match record {
            Record::State(state) => {
                self.state = state;
                Ok(0)
            }
            Record::Truncate(from) => {
                self.entries.retain(|entry| entry.index < from);
                self.next_index = self.next_index.map(|next| next.min(from));
                Ok(0)
            }
            Record::Snapshot(end) => {
                self.recorded_snapshot = Some(end.index);
                if self.next_index.is_some_and(|next| next <= end.index) {
                    self.entries.clear();
                    self.next_index = Some(end.index + 1);
                }
                Ok(0)
            }
            Record::Entries(entries) => {
                let mut last = 0;
                for entry in entries {
                    if self.next_index.is_some_and(|next| next != entry.index) {
                        return Err(DiskError::damaged(
                            path,
                            offset,
                            "log entries are not consecutive",
                        ));
                    }
                    last = entry.index;
                    self.next_index = Some(last + 1);
                    self.entries.push(entry);
                }
                Ok(last)
            }
        }
    }

    /// Applies the end of a snapshot whose record was lost. Removes all entries if the
    /// entry at the end of the snapshot is missing or of another term.
    fn apply_unrecorded_snapshot(&mut self, end: LogPosition) {
        let at_end = self.entries.iter().find(|entry| entry.index == end.index);
        if at_end.is_none_or(|entry| entry.term != end.term) {
            self.entries.clear();
        }
    }

    /// Returns the entries after the log index of a snapshot.
    fn entries_after(
        &mut self,
        snapshot_index: LogIndex,
        folder: &Path,
    ) -> Result<Vec<Entry>, DiskError> {
        let mut entries = std::mem::take(&mut self.entries);
        entries.retain(|entry| entry.index > snapshot_index);
        match entries.first() {
            Some(first) if first.index != snapshot_index + 1 => Err(DiskError::damaged(
                folder,
                0,
                "log entries do not follow the newest snapshot",
            )),
            _ => Ok(entries),
        }
    }
}

/// Truncates a file and syncs it.
fn truncate_file(path: &Path, len: u64) -> Result<(), DiskError> {
    let file = OpenOptions::new().write(true).open(path);
    let result = file.and_then(|file| {
        file.set_len(len)?;
        file.sync_all()
    });
    result.map_err(|e| DiskError::io(path, e))
}
