//! The data folder of a control replica.
//!
//! | file | contents |
//! |---|---|
//! | `identity` | group ID, replica ID and incarnation; written once |
//! | `lock` | empty; locked while a process has the folder open |
//! | `log-N.seg` | append-only log segment of frames; see [`frame`] |
//! | `snapshot-I.snap` | one frame with the snapshot up to log index `I` |
//!
//! A write is durable once its frame is synced. A power failure can leave a torn
//! write at the end of the newest segment, which is truncated. Damage anywhere
//! else is an error, because continuing would silently lose acknowledged entries.

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
pub(crate) use folder::write_atomically;

use frame::{
    FrameLocation,
    Record,
    write_frame, //
};
use load::{
    Loaded,
    Segment,
    load,
    snapshot_location, //
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

/// File name prefix of segments.
const SEGMENT_PREFIX: &str = "log-";

/// File name suffix of segments.
const SEGMENT_SUFFIX: &str = ".seg";

/// File name prefix of snapshots.
const SNAPSHOT_PREFIX: &str = "snapshot-";

/// File name suffix of snapshots.
const SNAPSHOT_SUFFIX: &str = ".snap";

/// Segment size above which a new segment is started, in bytes.
const SEGMENT_BYTES: u64 = 16 << 20;

/// Safeguards to disable, for tests only.
#[doc(hidden)]
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Faults {
    /// Accepts frames whose checksum does not match.
    pub skip_crc: bool,
    /// Appends after a torn write instead of truncating it.
    pub keep_torn_tail: bool,
}

/// An open data folder, locked against other processes.
#[derive(Debug)]
pub struct Disk {
    /// Path of the folder.
    path: PathBuf,
    /// Replica that the folder belongs to.
    identity: Identity,
    /// Segments in ascending order; writes are appended to the last one.
    segments: Vec<Segment>,
    /// File of the last segment, if there is one.
    file: Option<File>,
    /// Last written term and vote, repeated at the start of each segment.
    state: HardState,
    /// Last log position covered by the newest snapshot.
    snapshot_end: Option<LogPosition>,
    /// Whether a write failed and left the contents of the disk unknown.
    failed: bool,
    /// Remaining bytes before appends fail as on a full disk, if a test has set a
    /// limit.
    free_space: Option<usize>,
    /// Lock file, locked while it is open.
    _lock: File,
}

impl Disk {
    /// Creates a data folder.
    ///
    /// # Errors
    ///
    /// Fails if one exists already or it cannot be written and synced.
    pub fn create(path: impl AsRef<Path>, identity: &Identity) -> Result<(), DiskError> {
        folder::create(path.as_ref(), identity)
    }

    /// Returns whether a data folder exists at `path`.
    pub fn exists(path: impl AsRef<Path>) -> bool {
        folder::exists(path.as_ref())
    }

    /// Removes the contents of a data folder, so that it can be created again.
    ///
    /// # Errors
    ///
    /// Fails if a file cannot be removed or the folder cannot be synced.
    pub fn remove(path: impl AsRef<Path>) -> Result<(), DiskError> {
        folder::remove(path.as_ref())
    }

    /// Opens a data folder and returns the persisted state.
    ///
    /// # Errors
    ///
    /// Fails if the folder is missing, open in another process or damaged.
    pub fn open(path: impl AsRef<Path>) -> Result<(Disk, SavedState), DiskError> {
        Disk::open_with(path, Faults::default())
    }

    /// Opens a data folder with some safeguards disabled.
    ///
    /// # Errors
    ///
    /// Same as [`Disk::open`].
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
            snapshot_unrecorded,
        } = load(path, identity.incarnation, faults)?;
        let mut disk = Disk {
            path: path.to_path_buf(),
            identity,
            segments,
            file: None,
            state: saved.state,
            snapshot_end: saved.snapshot.as_ref().map(|s| s.end),
            failed: false,
            free_space: None,
            _lock: lock,
        };
        disk.reopen_last_segment()?;
        if snapshot_unrecorded {
            disk.append_snapshot_record(&saved)?;
        }
        disk.remove_old_snapshots()?;
        Ok((disk, saved))
    }

    /// Returns the identity stored in the folder.
    pub fn identity(&self) -> Identity {
        self.identity
    }

    /// Simulates a disk with this much free space in bytes; `None` removes the limit.
    #[doc(hidden)]
    pub fn limit_free_space(&mut self, bytes: Option<usize>) {
        self.free_space = bytes;
    }

    /// Writes operations in order and syncs them. Blocks until they are synced.
    ///
    /// # Errors
    ///
    /// After [`DiskError::Full`] the same write can be retried. After any other error
    /// the folder must be reopened.
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

    /// Writes the snapshot files first, then one frame with the records that refer to
    /// them.
    fn try_write(&mut self, ops: &[DiskOp]) -> Result<(), DiskError> {
        let mut records = Vec::new();
        let mut snapshot_end = None;
        for op in ops {
            records.push(match op {
                DiskOp::State(state) => {
                    self.state = *state;
                    Record::State(*state)
                }
                DiskOp::Truncate { from } => Record::Truncate(*from),
                DiskOp::Entries(entries) => Record::Entries(entries.clone()),
                DiskOp::Snapshot(new_snapshot) => {
                    self.write_snapshot(new_snapshot)?;
                    snapshot_end = Some(new_snapshot.end);
                    Record::Snapshot(new_snapshot.end)
                }
            });
        }
        if snapshot_end.is_some() || self.is_segment_full() || self.file.is_none() {
            self.start_segment()?;
        }
        self.append(&records)?;
        if let Some(end) = snapshot_end {
            self.snapshot_end = Some(end);
            self.remove_old_segments(end.index)?;
            self.remove_old_snapshots()?;
        }
        Ok(())
    }

    /// Appends one frame and syncs it.
    ///
    /// If the disk is full, the partially written frame is truncated, so that the write
    /// can be retried. A failed sync is never retried: the kernel may have dropped the
    /// dirty pages and report success for the next sync.
    fn append(&mut self, records: &[Record]) -> Result<(), DiskError> {
        let payload = postcard::to_stdvec(records).unwrap_or_default();
        let incarnation = self.identity.incarnation;
        let (Some(segment), Some(file)) = (self.segments.last_mut(), &mut self.file) else {
            return Err(DiskError::Failed(self.path.clone()));
        };
        let location = FrameLocation {
            incarnation,
            segment: segment.number,
            offset: segment.len,
        };
        let mut buf = Vec::new();
        write_frame(&mut buf, location, &payload);
        if let Err(e) = write_limited(file, &buf, &mut self.free_space) {
            // The truncation is synced. Otherwise a power failure could restore the
            // partial frame after the next segment was started, where it would be
            // reported as damage.
            let truncated = file.set_len(segment.len).and_then(|()| file.sync_all());
            let rewound = truncated.and_then(|()| file.seek(SeekFrom::Start(segment.len)));
            rewound.map_err(|_| DiskError::Failed(segment.path.clone()))?;
            return Err(DiskError::io(&segment.path, e));
        }
        let synced = file.sync_data();
        synced.map_err(|source| DiskError::Io {
            path: segment.path.clone(),
            source,
        })?;
        segment.len += buf.len() as u64;
        segment.last_index = records
            .iter()
            .map(last_entry_index)
            .fold(segment.last_index, u64::max);
        Ok(())
    }

    /// Starts a segment with the term, the vote and the end of the newest snapshot, so
    /// that older segments can be removed.
    fn start_segment(&mut self) -> Result<(), DiskError> {
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
            last_index: 0,
            len: 0,
        });
        let state = Record::State(self.state);
        let records: Vec<Record> = match self.snapshot_end {
            Some(end) => vec![state, Record::Snapshot(end)],
            None => vec![state],
        };
        self.append(&records)
    }

    /// Appends the record of the newest snapshot, which a power failure between the
    /// sync of the snapshot and that of its record has lost. Also
    /// truncates the log after the last entry of `saved`, which removes entries that
    /// conflict with the snapshot.
    fn append_snapshot_record(&mut self, saved: &SavedState) -> Result<(), DiskError> {
        let Some(end) = self.snapshot_end else {
            return Ok(());
        };
        let from = saved.entries.last().map_or(end.index, |entry| entry.index) + 1;
        if self.file.is_none() {
            return self.start_segment();
        }
        self.append(&[Record::Truncate(from), Record::Snapshot(end)])
    }

    /// Writes a snapshot file atomically.
    fn write_snapshot(&self, snapshot: &Snapshot) -> Result<(), DiskError> {
        let payload = postcard::to_stdvec(snapshot).unwrap_or_default();
        let location = snapshot_location(self.identity.incarnation, snapshot.end.index);
        let mut buf = Vec::new();
        write_frame(&mut buf, location, &payload);
        let name = format!("{SNAPSHOT_PREFIX}{}{SNAPSHOT_SUFFIX}", snapshot.end.index);
        folder::write_atomically(&self.path, &name, &buf)
    }

    /// Opens the last segment for appending.
    fn reopen_last_segment(&mut self) -> Result<(), DiskError> {
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

    /// Returns whether the last segment exceeds [`SEGMENT_BYTES`].
    fn is_segment_full(&self) -> bool {
        self.segments.last().is_some_and(|s| s.len > SEGMENT_BYTES)
    }

    /// Removes the oldest segments whose entries are all covered by the snapshot at
    /// `index`. Their other records are repeated at the start of each segment.
    fn remove_old_segments(&mut self, index: LogIndex) -> Result<(), DiskError> {
        let newest = self.segments.len().saturating_sub(1);
        let candidates = self.segments[..newest].iter();
        let count = candidates
            .take_while(|segment| segment.last_index <= index)
            .count();
        for segment in self.segments.drain(..count) {
            fs::remove_file(&segment.path).map_err(|e| DiskError::io(&segment.path, e))?;
        }
        Ok(())
    }

    /// Removes all snapshots except the newest.
    fn remove_old_snapshots(&self) -> Result<(), DiskError> {
        let mut files = folder::numbered_files(&self.path, SNAPSHOT_PREFIX, SNAPSHOT_SUFFIX)?;
        files.pop();
        for (_, path) in files {
            fs::remove_file(&path).map_err(|e| DiskError::io(&path, e))?;
        }
        Ok(())
    }
}

/// Writes up to `free_space` bytes and fails if the buffer is larger.
fn write_limited(file: &mut File, buf: &[u8], free_space: &mut Option<usize>) -> io::Result<()> {
    let Some(remaining) = free_space else {
        return file.write_all(buf);
    };
    let fitting_len = buf.len().min(*remaining);
    file.write_all(&buf[..fitting_len])?;
    if fitting_len < buf.len() {
        return Err(io::ErrorKind::StorageFull.into());
    }
    *remaining -= fitting_len;
    Ok(())
}

/// Returns the file name of a segment.
fn segment_name(number: u64) -> String {
    format!("{SEGMENT_PREFIX}{number}{SEGMENT_SUFFIX}")
}

/// Returns the index of the last entry in a record, or 0.
fn last_entry_index(record: &Record) -> LogIndex {
    match record {
        Record::Entries(entries) => entries.last().map_or(0, |entry| entry.index),
        Record::State(_) | Record::Truncate(_) | Record::Snapshot(_) => 0,
    }
}
