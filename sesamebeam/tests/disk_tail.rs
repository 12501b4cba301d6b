//! Tests of the data folder after power failures, damage and a full disk.

use std::{
    fs,
    path::{
        Path,
        PathBuf, //
    },
};

use sesamebeam::disk::{
    Disk,
    DiskError,
    Faults,
    Identity, //
};
use sesamebeam_core::replica::{
    DiskOp,
    Entry,
    EntryBody,
    HardState,
    LogPosition,
    Members,
    SavedState,
    Snapshot, //
};
use tempfile::TempDir;

const IDENTITY: Identity = Identity {
    group: 1,
    node: 2,
    incarnation: 3,
};

fn new_folder() -> TempDir {
    let dir = tempfile::tempdir().unwrap();
    Disk::create(dir.path(), &IDENTITY).unwrap();
    dir
}

fn entry(index: u64) -> Entry {
    Entry {
        term: 1,
        index,
        body: EntryBody::Data(format!("entry {index}").into_bytes().into()),
    }
}

fn entries(from: u64, to: u64) -> DiskOp {
    DiskOp::Entries((from..=to).map(entry).collect())
}

fn state(term: u64) -> DiskOp {
    DiskOp::State(HardState {
        term,
        voted: Some(2),
    })
}

fn snapshot(index: u64) -> DiskOp {
    DiskOp::Snapshot(Snapshot {
        end: LogPosition { term: 1, index },
        members: Members::of_voters([(2, 3)]),
        data: vec![7; 100].into(),
    })
}

fn open(dir: &Path) -> Result<SavedState, DiskError> {
    Disk::open(dir).map(|(_, saved)| saved)
}

/// Returns the path of the newest segment.
fn newest_segment(dir: &Path) -> PathBuf {
    let names = fs::read_dir(dir).unwrap().map(|e| e.unwrap().path());
    let segments = names.filter(|p| p.extension().is_some_and(|e| e == "seg"));
    segments
        .max_by_key(|p| {
            let name = p.file_stem().unwrap().to_str().unwrap();
            name.trim_start_matches("log-").parse::<u64>().unwrap()
        })
        .unwrap()
}

fn last_index(saved: &SavedState) -> u64 {
    saved.entries.last().map_or(0, |entry| entry.index)
}

#[test]
fn round_trip() {
    let dir = new_folder();
    let mut expected = SavedState::default();
    let (mut disk, saved) = Disk::open(dir.path()).unwrap();
    assert!(saved.is_empty());
    assert_eq!(disk.identity(), IDENTITY);
    let writes = [
        vec![state(1), entries(1, 5)],
        vec![DiskOp::Truncate { from: 4 }, entries(4, 8)],
        vec![snapshot(6)],
        vec![state(2), entries(9, 9)],
        // A snapshot from the leader replaces the whole log.
        vec![DiskOp::Truncate { from: 21 }, snapshot(20)],
        vec![entries(21, 30)],
        vec![snapshot(25), entries(31, 31)],
    ];
    for ops in writes {
        disk.write(&ops).unwrap();
        expected.write(&ops);
        drop(disk);
        let (reopened, saved) = Disk::open(dir.path()).unwrap();
        assert_eq!(saved, expected);
        disk = reopened;
    }
}

/// Writes three frames and returns the path of the segment with its bytes before and
/// after the third.
fn three_frames(dir: &Path) -> (PathBuf, Vec<u8>, Vec<u8>) {
    let (mut disk, _) = Disk::open(dir).unwrap();
    disk.write(&[state(1), entries(1, 2)]).unwrap();
    disk.write(&[entries(3, 4)]).unwrap();
    let path = newest_segment(dir);
    let before = fs::read(&path).unwrap();
    disk.write(&[entries(5, 7)]).unwrap();
    let after = fs::read(&path).unwrap();
    (path, before, after)
}

/// Asserts that a torn third frame is truncated and that writes then succeed.
fn assert_recovers(dir: &Path, context: &str) {
    let (mut disk, saved) = Disk::open(dir).unwrap_or_else(|e| panic!("{context}: {e}"));
    assert_eq!(last_index(&saved), 4, "{context}");
    disk.write(&[entries(5, 5)]).unwrap();
    drop(disk);
    let saved = open(dir).unwrap_or_else(|e| panic!("{context}, after another write: {e}"));
    assert_eq!(last_index(&saved), 5, "{context}");
}

#[test]
fn short_write() {
    // A power failure interrupts the write of the last frame, at each of its bytes.
    // The frame was not acknowledged as synced, so it is truncated.
    let dir = new_folder();
    let (path, before, after) = three_frames(dir.path());
    for len in before.len()..after.len() {
        fs::write(&path, &after[..len]).unwrap();
        assert_recovers(dir.path(), &format!("cut at {len}"));
    }
}

#[test]
fn reordered_write() {
    // The file has its new length, but the end or the start of the frame was never
    // written and reads as zeros.
    let dir = new_folder();
    let (path, before, after) = three_frames(dir.path());
    for at in before.len() + 1..after.len() {
        let mut zero_end = after.clone();
        zero_end[at..].fill(0);
        // The last bytes of the frame may be zeros; then nothing is torn.
        if zero_end != after {
            fs::write(&path, &zero_end).unwrap();
            assert_recovers(dir.path(), &format!("zeros from {at}"));
        }
        let mut zero_start = after.clone();
        zero_start[before.len()..at].fill(0);
        fs::write(&path, &zero_start).unwrap();
        assert_recovers(dir.path(), &format!("zeros up to {at}"));
    }
}

#[test]
fn damaged_synced_frame() {
    // A byte of a synced frame has changed. The replica refuses to start, because
    // continuing would lose an acknowledged entry.
    let dir = new_folder();
    let (path, _, after) = three_frames(dir.path());
    let last_frame = last_frame(&after);
    for at in 0..last_frame {
        let mut damaged = after.clone();
        damaged[at] ^= 0x55;
        fs::write(&path, &damaged).unwrap();
        match open(dir.path()) {
            Err(DiskError::Damaged {
                path: damaged_path,
                offset,
                ..
            }) => {
                assert_eq!(damaged_path, path);
                assert!(offset <= at as u64);
            }
            other => panic!("byte {at}: {other:?}"),
        }
        assert_eq!(
            fs::read(&path).unwrap(),
            damaged,
            "damaged file was modified"
        );
    }
}

/// Returns the offset of the last frame.
fn last_frame(bytes: &[u8]) -> usize {
    let magic = b"SBF1";
    let starts = bytes.windows(magic.len()).enumerate();
    let candidates = starts.filter(|(_, window)| window == magic);
    candidates.map(|(at, _)| at).max().unwrap()
}

#[test]
fn damage_without_checksum() {
    // Without the checksum, the replica would start with a different entry than the
    // one that was acknowledged.
    let dir = new_folder();
    let (path, _, mut bytes) = three_frames(dir.path());
    let at = bytes.windows(7).position(|w| w == b"entry 3").unwrap();
    bytes[at] ^= 0x55;
    fs::write(&path, &bytes).unwrap();
    assert!(matches!(open(dir.path()), Err(DiskError::Damaged { .. })));
    let faults = Faults {
        skip_crc: true,
        ..Faults::default()
    };
    let (_, saved) = Disk::open_with(dir.path(), faults).unwrap();
    assert_ne!(saved.entries[2], entry(3));
}

#[test]
fn torn_tail_kept() {
    // If the torn frame were not truncated, the next write would follow it and the
    // folder could not be opened again.
    let dir = new_folder();
    let (path, before, after) = three_frames(dir.path());
    fs::write(&path, &after[..before.len() + 5]).unwrap();
    let faults = Faults {
        keep_torn_tail: true,
        ..Faults::default()
    };
    let (mut disk, saved) = Disk::open_with(dir.path(), faults).unwrap();
    assert_eq!(last_index(&saved), 4);
    disk.write(&[entries(5, 5)]).unwrap();
    drop(disk);
    assert!(matches!(open(dir.path()), Err(DiskError::Damaged { .. })));
}

#[test]
fn copied_frame() {
    // A torn frame whose payload contains the bytes of an earlier frame is still
    // detected as torn: a frame is valid only at its original location.
    let dir = new_folder();
    let (path, before, mut after) = three_frames(dir.path());
    let copy = before[before.len() - 40..].to_vec();
    after.truncate(before.len() + 6);
    after.extend_from_slice(&before[..40]);
    after.extend_from_slice(&copy);
    fs::write(&path, &after).unwrap();
    assert_recovers(dir.path(), "copy of a frame");
}

#[test]
fn full_disk() {
    // The disk has space for only a part of the frame. The write fails as full and
    // has no effect; it succeeds when retried with enough space.
    let dir = new_folder();
    let (mut disk, _) = Disk::open(dir.path()).unwrap();
    disk.write(&[state(1), entries(1, 4)]).unwrap();
    for free_space in 0..30 {
        disk.limit_free_space(Some(free_space));
        let refused = disk.write(&[entries(5, 6)]);
        assert!(matches!(refused, Err(DiskError::Full(_))), "{refused:?}");
    }
    disk.limit_free_space(None);
    disk.write(&[entries(5, 6)]).unwrap();
    drop(disk);
    assert_eq!(last_index(&open(dir.path()).unwrap()), 6);
}

#[test]
fn full_disk_during_snapshot() {
    // The operating system reports a full disk while a snapshot is written. The
    // previous state remains, and the write can be retried.
    let dir = new_folder();
    let (mut disk, _) = Disk::open(dir.path()).unwrap();
    disk.write(&[state(1), entries(1, 6)]).unwrap();
    let part = dir.path().join("snapshot-5.snap.part");
    std::os::unix::fs::symlink("/dev/full", &part).unwrap();
    let refused = disk.write(&[snapshot(5)]);
    assert!(matches!(refused, Err(DiskError::Full(_))), "{refused:?}");
    disk.write(&[snapshot(5)]).unwrap();
    drop(disk);
    let saved = open(dir.path()).unwrap();
    assert_eq!(saved.snapshot.unwrap().end.index, 5);
    assert_eq!(saved.entries, [entry(6)]);
}

#[test]
fn unrecorded_snapshot() {
    // A power failure comes between the sync of a snapshot and that of its record. The
    // snapshot is used, and the log continues after it.
    for index in [3, 9] {
        let dir = new_folder();
        let (mut disk, _) = Disk::open(dir.path()).unwrap();
        disk.write(&[state(1), entries(1, 6)]).unwrap();
        disk.limit_free_space(Some(0));
        let refused = disk.write(&[snapshot(index)]);
        assert!(matches!(refused, Err(DiskError::Full(_))), "{refused:?}");
        drop(disk);
        let (mut disk, saved) = Disk::open(dir.path()).unwrap();
        assert_eq!(saved.snapshot.as_ref().unwrap().end.index, index);
        let next = last_index(&saved).max(index) + 1;
        disk.write(&[entries(next, next)]).unwrap();
        drop(disk);
        assert_eq!(last_index(&open(dir.path()).unwrap()), next);
    }
}

#[test]
fn locked_folder() {
    // A second process cannot open the folder while the first has it open.
    let dir = new_folder();
    let first = Disk::open(dir.path()).unwrap();
    assert!(matches!(open(dir.path()), Err(DiskError::Locked(_))));
    drop(first);
    open(dir.path()).unwrap();
}

#[test]
fn missing_or_existing_folder() {
    // Opening a missing folder does not create it, and creating an existing folder
    // fails.
    let dir = tempfile::tempdir().unwrap();
    assert!(matches!(open(dir.path()), Err(DiskError::Missing(_))));
    Disk::create(dir.path(), &IDENTITY).unwrap();
    let created = Disk::create(dir.path(), &IDENTITY);
    assert!(matches!(created, Err(DiskError::Exists(_))));
}

#[test]
fn bounded_folder() {
    // Old segments and snapshots are removed after each new snapshot.
    let dir = new_folder();
    let (mut disk, _) = Disk::open(dir.path()).unwrap();
    for round in 0..20 {
        let from = round * 100 + 1;
        disk.write(&[entries(from, from + 99)]).unwrap();
        disk.write(&[snapshot(from + 49)]).unwrap();
    }
    drop(disk);
    let files = fs::read_dir(dir.path()).unwrap().count();
    assert!(files <= 6, "{files} files");
    let saved = open(dir.path()).unwrap();
    assert_eq!(saved.entries.first().map(|e| e.index), Some(1_951));
    assert_eq!(last_index(&saved), 2_000);
}
