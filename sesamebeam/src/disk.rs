//! The data folder of a control replica.

use std::{
    fs::{
        self,
        File,
        OpenOptions, //
    },
    io::{
        self,
        Read,
        Seek,
        SeekFrom,
        Write, //
    },
    path::{
        Path,
        PathBuf, //
    },
};

use sesamebeam_core::{
    ids::NodeId,
    replica::{
        DiskOp,
        Saved, //
    },
};
use thiserror::Error;

/// Whose data folder it is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Identity {
    /// Group of the replica.
    pub group: u128,
    /// Number of the replica.
    pub node: NodeId,
    /// Drawn at random when the folder is made, so that a lost folder that is
    /// made anew is told from the old one.
    pub incarnation: u128,
}

/// Why a data folder could not be opened or written.
#[derive(Debug, Error)]
pub enum DiskError {
    /// There is no data folder; it must be made on purpose.
    #[error("{0}: no data folder here; make one with `Disk::create`")]
    Missing(PathBuf),
    /// There is a data folder already.
    #[error("{0}: there is a data folder here already")]
    Exists(PathBuf),
    /// Another process has the folder open.
    #[error("{0}: another process has this data folder open")]
    Locked(PathBuf),
    /// What was synced once does not read back.
    #[error("{path}: damaged at offset {offset}: {what}")]
    Damaged {
        /// File that is damaged.
        path: PathBuf,
        /// Offset of the damage in bytes.
        offset: u64,
        /// What is wrong there.
        what: &'static str,
    },
    /// The disk is full. Nothing of the write counts; it may be repeated.
    #[error("{0}: disk is full")]
    Full(PathBuf),
    /// An earlier write failed in a way that leaves its fate open.
    #[error("{0}: an earlier write failed; open the folder again")]
    Failed(PathBuf),
    /// The operating system reports an error.
    #[error("{path}: {source}")]
    Io {
        /// File concerned.
        path: PathBuf,
        /// The error.
        source: std::io::Error,
    },
}

/// Name of the file that says whose folder it is.
const IDENTITY_FILE: &str = "identity";

/// Name of the file that holds everything written, in order.
const LOG_FILE: &str = "log";

/// Bytes in front of each record: its length and its CRC.
const HEAD: usize = 8;

/// An open data folder, locked against other processes.
#[derive(Debug)]
pub struct Disk {
    identity: Identity,
    path: PathBuf,
    log: File,
}

impl Disk {
    /// Makes a data folder.
    ///
    /// # Errors
    ///
    /// Fails if there is one already or it cannot be written and synced.
    pub fn create(path: &Path, identity: &Identity) -> Result<(), DiskError> {
        let file = path.join(IDENTITY_FILE);
        if file.exists() {
            return Err(DiskError::Exists(path.to_path_buf()));
        }
        fs::create_dir_all(path).map_err(|e| failed(path, e))?;
        let log = path.join(LOG_FILE);
        File::create(&log)
            .and_then(|f| f.sync_all())
            .map_err(|e| failed(&log, e))?;
        let fields = (identity.group, identity.node, identity.incarnation);
        let body = postcard::to_stdvec(&fields).unwrap_or_default();
        File::create(&file)
            .and_then(|mut f| f.write_all(&frame(&body)).and_then(|()| f.sync_all()))
            .map_err(|e| failed(&file, e))?;
        sync_folder(path)
    }

    /// Opens a data folder and reads what it holds.
    ///
    /// # Errors
    ///
    /// Fails if there is none, another process has it, or it is damaged.
    pub fn open(path: impl AsRef<Path>) -> Result<(Disk, Saved), DiskError> {
        let path = path.as_ref();
        let identity = read_identity(path)?;
        let file = path.join(LOG_FILE);
        let mut log = OpenOptions::new()
            .read(true)
            .write(true)
            .open(&file)
            .map_err(|e| failed(&file, e))?;
        log.try_lock()
            .map_err(|_| DiskError::Locked(path.to_path_buf()))?;
        let mut buf = Vec::new();
        log.read_to_end(&mut buf).map_err(|e| failed(&file, e))?;
        let (saved, end) = replay(&file, &buf)?;
        // The torn tail was never synced as a whole, so nothing of it counts.
        log.set_len(end as u64)
            .and_then(|()| log.seek(SeekFrom::Start(end as u64)))
            .and_then(|_| log.sync_all())
            .map_err(|e| failed(&file, e))?;
        let disk = Disk {
            identity,
            path: file,
            log,
        };
        Ok((disk, saved))
    }

    /// Returns whose folder it is.
    pub fn identity(&self) -> Identity {
        self.identity
    }

    /// Writes operations in order and syncs them; blocks.
    ///
    /// # Errors
    ///
    /// After [`DiskError::Full`] the same write may be repeated; after any
    /// other error the folder must be opened again.
    pub fn write(&mut self, ops: &[DiskOp]) -> Result<(), DiskError> {
        let body = postcard::to_stdvec(ops).unwrap_or_default();
        self.log
            .write_all(&frame(&body))
            .and_then(|()| self.log.sync_data())
            .map_err(|e| failed(&self.path, e))
    }
}

/// Reads whole records; returns what they give and where they end.
fn replay(path: &Path, buf: &[u8]) -> Result<(Saved, usize), DiskError> {
    let mut saved = Saved::default();
    let mut at = 0;
    while let Some((body, next)) = unframe(buf, at) {
        let ops: Vec<DiskOp> = postcard::from_bytes(body).map_err(|_| DiskError::Damaged {
            path: path.to_path_buf(),
            offset: at as u64,
            what: "a record does not decode",
        })?;
        saved.write(&ops);
        at = next;
    }
    Ok((saved, at))
}

fn read_identity(path: &Path) -> Result<Identity, DiskError> {
    let file = path.join(IDENTITY_FILE);
    let buf = match fs::read(&file) {
        Ok(buf) => buf,
        Err(e) if e.kind() == io::ErrorKind::NotFound => {
            return Err(DiskError::Missing(path.to_path_buf()));
        }
        Err(e) => return Err(failed(&file, e)),
    };
    let damaged = || DiskError::Damaged {
        path: file.clone(),
        offset: 0,
        what: "the identity does not read back",
    };
    let (body, _) = unframe(&buf, 0).ok_or_else(damaged)?;
    let (group, node, incarnation) = postcard::from_bytes(body).map_err(|_| damaged())?;
    Ok(Identity {
        group,
        node,
        incarnation,
    })
}

fn frame(body: &[u8]) -> Vec<u8> {
    let mut buf = Vec::with_capacity(HEAD + body.len());
    buf.extend_from_slice(&(body.len() as u32).to_le_bytes());
    buf.extend_from_slice(&crc32fast::hash(body).to_le_bytes());
    buf.extend_from_slice(body);
    buf
}

fn unframe(buf: &[u8], at: usize) -> Option<(&[u8], usize)> {
    let head = buf.get(at..at + HEAD)?;
    let length = u32::from_le_bytes(head[..4].try_into().ok()?) as usize;
    let crc = u32::from_le_bytes(head[4..].try_into().ok()?);
    let body = buf.get(at + HEAD..at + HEAD + length)?;
    (crc32fast::hash(body) == crc).then_some((body, at + HEAD + length))
}

fn sync_folder(path: &Path) -> Result<(), DiskError> {
    File::open(path)
        .and_then(|f| f.sync_all())
        .map_err(|e| failed(path, e))
}

fn failed(path: &Path, source: io::Error) -> DiskError {
    if source.kind() == io::ErrorKind::StorageFull {
        return DiskError::Full(path.to_path_buf());
    }
    DiskError::Io {
        path: path.to_path_buf(),
        source,
    }
}
