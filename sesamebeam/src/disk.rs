//! The data folder of a control replica.
//!
//! | file | holds |
//! |---|---|
//! | `identity` | group, number and incarnation; written once |
//! | `lock` | nothing; locked while a process has the folder open |
//! | `log-N.seg` | frames with records, appended; see [`frame`] |
//! | `snapshot-I.snap` | the state up to position `I`, one frame |
//!
//! A write counts once its frame is synced. The end of the newest segment can be
//! torn by a power cut and is cut off; damage anywhere else is refused, for to
//! go on without an acknowledged entry would be to lose it silently.

mod error;
mod folder;
mod frame;
mod load;

use std::{
    fs::{
        self,
        File,
        OpenOptions, //
    },
    io::{
        self,
        Seek,
        SeekFrom,
        Write, //
    },
    path::{
        Path,
        PathBuf, //
    },
};

pub use error::DiskError;
pub use folder::Identity;
pub(crate) use folder::write_whole;

use frame::{
    Place,
    Record,
    write_frame, //
};
use load::{
    Loaded,
    Segment,
    load,
    snapshot_place, //
};
use sesamebeam_core::{
    ids::LogIndex,
    replica::{
        DiskOp,
        HardState,
        LogPosition,
        SavedState,
        Snapshot, //
    },
};

/// Start of the name of a segment.
const SEGMENT_PREFIX: &str = "log-";

/// End of the name of a segment.
const SEGMENT_SUFFIX: &str = ".seg";

/// Start of the name of a snapshot.
const SNAPSHOT_PREFIX: &str = "snapshot-";

/// End of the name of a snapshot.
const SNAPSHOT_SUFFIX: &str = ".snap";

/// Bytes after which a new segment is begun.
const SEGMENT_BYTES: u64 = 16 << 20;

/// Safeguards switched off, for tests alone.
#[doc(hidden)]
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Faults {
    /// Takes frames whose checksum does not match.
    pub skip_crc: bool,
    /// Appends after a torn end instead of cutting it off.
    pub keep_torn_tail: bool,
}

/// An open data folder, locked against other processes.
#[derive(Debug)]
pub struct Disk {
    /// The folder.
    path: PathBuf,
    /// Whose it is.
    identity: Identity,
    /// Segments in order; the last is appended to.
    segments: Vec<Segment>,
    /// The last segment, if one is open.
    file: Option<File>,
    /// Term and vote as last written, to begin a segment with.
    state: HardState,
    /// End of the newest snapshot.
    snapshot: Option<LogPosition>,
    /// Whether a write failed so that nobody knows what the disk holds.
    failed: bool,
    /// Bytes that may still be appended, where a test plays a full disk.
    room: Option<usize>,
    /// Holds the lock.
    _lock: File,
}

impl Disk {
    /// Makes a data folder.
    ///
    /// # Errors
    ///
    /// Fails if there is one already or it cannot be written and synced.
    pub fn create(path: impl AsRef<Path>, identity: &Identity) -> Result<(), DiskError> {
        folder::create(path.as_ref(), identity)
    }

    /// Returns whether there is a data folder.
    pub fn is_made(path: impl AsRef<Path>) -> bool {
        folder::is_made(path.as_ref())
    }

    /// Removes what a data folder holds, so that it can be made anew.
    ///
    /// # Errors
    ///
    /// Fails if a file cannot be removed or the folder not synced.
    pub fn remove(path: impl AsRef<Path>) -> Result<(), DiskError> {
        folder::remove(path.as_ref())
    }

    /// Opens a data folder and reads what it holds.
    ///
    /// # Errors
    ///
    /// Fails if there is none, another process has it, or it is damaged.
    pub fn open(path: impl AsRef<Path>) -> Result<(Disk, SavedState), DiskError> {
        Disk::open_with(path, Faults::default())
    }

    /// Opens a data folder with safeguards switched off.
    ///
    /// # Errors
    ///
    /// As [`Disk::open`].
    #[doc(hidden)]
    pub fn open_with(
        path: impl AsRef<Path>,
        faults: Faults,
    ) -> Result<(Disk, SavedState), DiskError> {
        let path = path.as_ref();
        let identity = folder::read_identity(path)?;
        let lock = folder::lock(path)?;
        let Loaded {
            saved,
            segments,
            unnamed,
        } = load(path, identity.incarnation, faults)?;
        let mut disk = Disk {
            path: path.to_path_buf(),
            identity,
            segments,
            file: None,
            state: saved.state,
            snapshot: saved.snapshot.as_ref().map(|s| s.end),
            failed: false,
            room: None,
            _lock: lock,
        };
        disk.reopen_last()?;
        if unnamed {
            disk.name_snapshot(&saved)?;
        }
        disk.remove_old_snapshots()?;
        Ok((disk, saved))
    }

    /// Returns whose folder it is.
    pub fn identity(&self) -> Identity {
        self.identity
    }

    /// Plays a disk with this many bytes left, or without a limit.
    #[doc(hidden)]
    pub fn limit_room(&mut self, bytes: Option<usize>) {
        self.room = bytes;
    }

    /// Writes operations in order and syncs them; blocks.
    ///
    /// # Errors
    ///
    /// After [`DiskError::Full`] the same write may be repeated; after any
    /// other error the folder must be opened again.
    pub fn write(&mut self, ops: &[DiskOp]) -> Result<(), DiskError> {
        if self.failed {
            return Err(DiskError::Failed(self.path.clone()));
        }
        let written = self.try_write(ops);
        if let Err(e) = &written {
            self.failed |= !matches!(e, DiskError::Full(_));
        }
        written
    }

    /// Writes the snapshots first, then one frame that names them.
    fn try_write(&mut self, ops: &[DiskOp]) -> Result<(), DiskError> {
        let mut records = Vec::new();
        let mut snapshot = None;
        for op in ops {
            records.push(match op {
                DiskOp::State(state) => {
                    self.state = *state;
                    Record::State(*state)
                }
                DiskOp::Truncate { from } => Record::Truncate(*from),
                DiskOp::Entries(entries) => Record::Entries(entries.clone()),
                DiskOp::Snapshot(kept) => {
                    self.write_snapshot(kept)?;
                    snapshot = Some(kept.end);
                    Record::Snapshot(kept.end)
                }
            });
        }
        if snapshot.is_some() || self.is_segment_full() || self.file.is_none() {
            self.begin_segment()?;
        }
        self.append(&records)?;
        if let Some(end) = snapshot {
            self.snapshot = Some(end);
            self.remove_old_segments(end.index)?;
            self.remove_old_snapshots()?;
        }
        Ok(())
    }

    /// Appends one frame and syncs it.
    ///
    /// If there is no space, the part of the frame that was written is cut off,
    /// so that the write can be repeated. A sync that fails is never repeated:
    /// the system may have dropped the pages and report the next one as good.
    fn append(&mut self, records: &[Record]) -> Result<(), DiskError> {
        let payload = postcard::to_stdvec(records).unwrap_or_default();
        let incarnation = self.identity.incarnation;
        let (Some(segment), Some(file)) = (self.segments.last_mut(), &mut self.file) else {
            return Err(DiskError::Failed(self.path.clone()));
        };
        let place = Place {
            incarnation,
            segment: segment.number,
            offset: segment.len,
        };
        let mut buf = Vec::new();
        write_frame(&mut buf, place, &payload);
        if let Err(e) = write_within(file, &buf, &mut self.room) {
            // Synced, or a power cut could bring the part back after the next
            // segment was begun, where it would pass for damage.
            let cut = file.set_len(segment.len).and_then(|()| file.sync_all());
            let back = cut.and_then(|()| file.seek(SeekFrom::Start(segment.len)));
            back.map_err(|_| DiskError::Failed(segment.path.clone()))?;
            return Err(DiskError::io(&segment.path, e));
        }
        let synced = file.sync_data();
        synced.map_err(|source| DiskError::Io {
            path: segment.path.clone(),
            source,
        })?;
        segment.len += buf.len() as u64;
        segment.last = records.iter().map(last_of).fold(segment.last, u64::max);
        Ok(())
    }

    /// Begins a segment with term, vote and the newest snapshot's end, so that
    /// older segments can be removed.
    fn begin_segment(&mut self) -> Result<(), DiskError> {
        let number = self.segments.last().map_or(1, |s| s.number + 1);
        let path = self.path.join(segment_name(number));
        let file = OpenOptions::new()
            .write(true)
            .create(true)
            .truncate(true)
            .open(&path)
            .map_err(|e| DiskError::io(&path, e))?;
        folder::sync_folder(&self.path)?;
        self.file = Some(file);
        self.segments.push(Segment {
            number,
            path,
            last: 0,
            len: 0,
        });
        let state = Record::State(self.state);
        let records: Vec<Record> = match self.snapshot {
            Some(end) => vec![state, Record::Snapshot(end)],
            None => vec![state],
        };
        self.append(&records)
    }

    /// Names the newest snapshot in the log, with what follows on it, because
    /// the record that should have was lost.
    fn name_snapshot(&mut self, saved: &SavedState) -> Result<(), DiskError> {
        let Some(end) = self.snapshot else {
            return Ok(());
        };
        let from = saved.entries.last().map_or(end.index, |entry| entry.index) + 1;
        if self.file.is_none() {
            return self.begin_segment();
        }
        self.append(&[Record::Truncate(from), Record::Snapshot(end)])
    }

    /// Writes a snapshot as a whole file.
    fn write_snapshot(&self, snapshot: &Snapshot) -> Result<(), DiskError> {
        let payload = postcard::to_stdvec(snapshot).unwrap_or_default();
        let place = snapshot_place(self.identity.incarnation, snapshot.end.index);
        let mut buf = Vec::new();
        write_frame(&mut buf, place, &payload);
        let name = format!("{SNAPSHOT_PREFIX}{}{SNAPSHOT_SUFFIX}", snapshot.end.index);
        folder::write_whole(&self.path, &name, &buf)
    }

    /// Opens the last segment for appending.
    fn reopen_last(&mut self) -> Result<(), DiskError> {
        let Some(segment) = self.segments.last() else {
            return Ok(());
        };
        let io = |e| DiskError::io(&segment.path, e);
        let mut file = OpenOptions::new()
            .write(true)
            .open(&segment.path)
            .map_err(io)?;
        file.seek(SeekFrom::Start(segment.len)).map_err(io)?;
        self.file = Some(file);
        Ok(())
    }

    /// Returns whether the last segment has grown enough.
    fn is_segment_full(&self) -> bool {
        self.segments.last().is_some_and(|s| s.len > SEGMENT_BYTES)
    }

    /// Removes the oldest segments as long as a snapshot contains all of their
    /// entries. What they say beside is repeated at the start of each segment.
    fn remove_old_segments(&mut self, index: LogIndex) -> Result<(), DiskError> {
        let newest = self.segments.len().saturating_sub(1);
        let old = self.segments[..newest].iter();
        let count = old.take_while(|segment| segment.last <= index).count();
        for segment in self.segments.drain(..count) {
            fs::remove_file(&segment.path).map_err(|e| DiskError::io(&segment.path, e))?;
        }
        Ok(())
    }

    /// Removes all snapshots but the newest.
    fn remove_old_snapshots(&self) -> Result<(), DiskError> {
        let mut files = folder::numbered(&self.path, SNAPSHOT_PREFIX, SNAPSHOT_SUFFIX)?;
        files.pop();
        for (_, path) in files {
            fs::remove_file(&path).map_err(|e| DiskError::io(&path, e))?;
        }
        Ok(())
    }
}

/// Writes bytes as far as there is room.
fn write_within(file: &mut File, buf: &[u8], room: &mut Option<usize>) -> io::Result<()> {
    let Some(left) = room else {
        return file.write_all(buf);
    };
    let fits = buf.len().min(*left);
    file.write_all(&buf[..fits])?;
    if fits < buf.len() {
        return Err(io::ErrorKind::StorageFull.into());
    }
    *left -= fits;
    Ok(())
}

/// Returns the name of a segment.
fn segment_name(number: u64) -> String {
    format!("{SEGMENT_PREFIX}{number}{SEGMENT_SUFFIX}")
}

/// Returns the last position in a record.
fn last_of(record: &Record) -> LogIndex {
    match record {
        Record::Entries(entries) => entries.last().map_or(0, |entry| entry.index),
        Record::State(_) | Record::Truncate(_) | Record::Snapshot(_) => 0,
    }
}
