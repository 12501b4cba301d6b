//! The thread that writes the replica's disk.

use std::{
    sync::mpsc::{
        Receiver,
        Sender,
        channel, //
    },
    thread,
    time::Duration,
};

use sesamebeam_core::{
    control::ControlEvent,
    replica::{
        DiskOp,
        WriteId, //
    },
};
use tokio::sync::mpsc::UnboundedSender;

use super::Input;
use crate::disk::{
    Disk,
    DiskError, //
};

/// Pause before a write is repeated on a full disk.
const FULL_PAUSE: Duration = Duration::from_millis(500);

/// One write.
type Write = (WriteId, Vec<DiskOp>);

/// Hands writes to the thread.
#[derive(Debug)]
pub(crate) struct DiskThread {
    tx: Sender<Write>,
}

impl DiskThread {
    /// Starts the thread; synced writes and errors come back as inputs.
    ///
    /// # Errors
    ///
    /// Fails if the operating system gives no thread.
    pub(crate) fn start(disk: Disk, back: UnboundedSender<Input>) -> std::io::Result<Self> {
        let (tx, rx) = channel();
        thread::Builder::new()
            .name("disk".to_owned())
            .spawn(move || run(disk, &rx, &back))?;
        Ok(Self { tx })
    }

    /// Hands a write over.
    pub(crate) fn write(&self, write: WriteId, ops: Vec<DiskOp>) {
        // The thread ends early only after it has told of an error.
        let _ = self.tx.send((write, ops));
    }
}

fn run(mut disk: Disk, rx: &Receiver<Write>, back: &UnboundedSender<Input>) {
    while let Ok((write, ops)) = rx.recv() {
        if let Err(e) = write_through(&mut disk, &ops, back) {
            let _ = back.send(Input::DiskFailed(e));
            return;
        }
        if back
            .send(Input::Event(ControlEvent::Synced { write }))
            .is_err()
        {
            return;
        }
    }
}

/// Repeats a write for want of space until there is some: the replica refuses
/// new entries meanwhile and goes on serving reads.
fn write_through(
    disk: &mut Disk,
    ops: &[DiskOp],
    back: &UnboundedSender<Input>,
) -> Result<(), DiskError> {
    let mut full = false;
    loop {
        match disk.write(ops) {
            Ok(()) => break,
            Err(DiskError::Full(_)) => {
                if !full {
                    full = true;
                    let _ = back.send(Input::Event(ControlEvent::DiskFull(true)));
                }
                thread::sleep(FULL_PAUSE);
            }
            Err(e) => return Err(e),
        }
    }
    if full {
        let _ = back.send(Input::Event(ControlEvent::DiskFull(false)));
    }
    Ok(())
}
