//! A thread that performs the disk writes of a replica.

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

/// Delay before a write that failed on a full disk is retried.
const DISK_FULL_RETRY_DELAY: Duration = Duration::from_millis(500);

/// A write and its ID.
type Write = (WriteId, Vec<DiskOp>);

/// Notification from the disk thread.
#[derive(Debug)]
pub enum DiskNotice {
    /// A write is synced.
    Synced(WriteId),
    /// The disk is full (`true`) or has free space again (`false`).
    Full(bool),
    /// The disk failed permanently.
    Failed(DiskError),
}

/// Handle of the disk thread, which performs writes in order.
#[derive(Debug)]
pub struct DiskThread {
    tx: Sender<Write>,
}

impl DiskThread {
    /// Starts the thread. `notify` returns whether the receiver still exists.
    ///
    /// # Errors
    ///
    /// Fails if the operating system cannot create the thread.
    pub fn start(
        disk: Disk,
        notify: impl Fn(DiskNotice) -> bool + Send + 'static,
    ) -> std::io::Result<Self> {
        let (tx, rx) = channel();
        thread::Builder::new()
            .name("disk".to_owned())
            .spawn(move || run(disk, &rx, &notify))?;
        Ok(Self { tx })
    }

    /// Queues a write.
    pub fn write(&self, write: WriteId, ops: Vec<DiskOp>) {
        // The thread ends early only after it has reported an error or the receiver
        // of its notifications is gone.
        let _ = self.tx.send((write, ops));
    }
}

fn run(mut disk: Disk, rx: &Receiver<Write>, notify: &impl Fn(DiskNotice) -> bool) {
    while let Ok((write, ops)) = rx.recv() {
        if let Err(e) = write_with_retry(&mut disk, &ops, notify) {
            notify(DiskNotice::Failed(e));
            return;
        }
        if !notify(DiskNotice::Synced(write)) {
            return;
        }
    }
}

/// Performs a write, retrying while the disk is full.
fn write_with_retry(
    disk: &mut Disk,
    ops: &[DiskOp],
    notify: &impl Fn(DiskNotice) -> bool,
) -> Result<(), DiskError> {
    let mut full = false;
    loop {
        match disk.write(ops) {
            Ok(()) => break,
            Err(DiskError::Full(_)) => {
                if !full {
                    full = true;
                    notify(DiskNotice::Full(true));
                }
                thread::sleep(DISK_FULL_RETRY_DELAY);
            }
            Err(e) => return Err(e),
        }
    }
    if full {
        notify(DiskNotice::Full(false));
    }
    Ok(())
}
