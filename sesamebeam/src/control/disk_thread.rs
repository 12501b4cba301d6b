//! The thread that writes a replica's disk.

use std::{
    sync::mpsc::{
        Receiver,
        Sender,
        channel, //
    },
    thread,
    time::Duration,
};

use sesamebeam_core::replica::{
    DiskOp,
    WriteId, //
};

use crate::disk::{
    Disk,
    DiskError, //
};

/// Pause before a write that found the disk full is repeated.
const FULL_PAUSE: Duration = Duration::from_millis(500);

/// A write with its number.
type Write = (WriteId, Vec<DiskOp>);

/// What the disk thread tells.
#[derive(Debug)]
pub enum DiskNotice {
    /// A write is synced.
    Synced(WriteId),
    /// The disk is full, or has space again.
    Full(bool),
    /// The disk failed for good.
    Failed(DiskError),
}

/// Writes in the background, in order.
#[derive(Debug)]
pub struct DiskThread {
    tx: Sender<Write>,
}

impl DiskThread {
    /// Starts the thread; `tell` returns whether anybody still listens.
    ///
    /// # Errors
    ///
    /// Fails if the system gives no thread.
    pub fn start(
        disk: Disk,
        tell: impl Fn(DiskNotice) -> bool + Send + 'static,
    ) -> std::io::Result<Self> {
        let (tx, rx) = channel();
        thread::Builder::new()
            .name("disk".to_owned())
            .spawn(move || run(disk, &rx, &tell))?;
        Ok(Self { tx })
    }

    /// Hands over a write.
    pub fn write(&self, write: WriteId, ops: Vec<DiskOp>) {
        // The thread ends early only after it has told of an error.
        let _ = self.tx.send((write, ops));
    }
}

fn run(mut disk: Disk, rx: &Receiver<Write>, tell: &impl Fn(DiskNotice) -> bool) {
    while let Ok((write, ops)) = rx.recv() {
        if let Err(e) = write_through(&mut disk, &ops, tell) {
            tell(DiskNotice::Failed(e));
            return;
        }
        if !tell(DiskNotice::Synced(write)) {
            return;
        }
    }
}

/// Repeats a write until there is space for it.
fn write_through(
    disk: &mut Disk,
    ops: &[DiskOp],
    tell: &impl Fn(DiskNotice) -> bool,
) -> Result<(), DiskError> {
    let mut full = false;
    loop {
        match disk.write(ops) {
            Ok(()) => break,
            Err(DiskError::Full(_)) => {
                if !full {
                    full = true;
                    tell(DiskNotice::Full(true));
                }
                thread::sleep(FULL_PAUSE);
            }
            Err(e) => return Err(e),
        }
    }
    if full {
        tell(DiskNotice::Full(false));
    }
    Ok(())
}
