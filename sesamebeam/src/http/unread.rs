//! Requests that were sent and may not have been read yet.
//!
//! Closing a connection takes back nothing of what the other end's system has received: a
//! process that stands still reads it when it goes on. A request that is given up therefore
//! counts as unread until its server closes the connection or answers.

use std::{
    any::Any,
    error::Error,
    io,
    sync::{
        Arc,
        Mutex,
        PoisonError, //
    },
    time::Instant,
};

use tokio::{
    io::{
        AsyncRead,
        AsyncReadExt,
        AsyncWrite,
        AsyncWriteExt, //
    },
    sync::Semaphore,
    time::sleep_until,
};

/// Connections with a request that was given up that are kept until the server has closed
/// them too.
const MAX_KEPT: usize = 256;

/// Value that is kept for as long as a request may still be read, and then dropped.
pub(crate) type UnreadGuard = Box<dyn Any + Send>;

/// A request that may still be read, with the time until which its sender waits for it.
struct UnreadRequest {
    guard: UnreadGuard,
    deadline: Instant,
}

/// Place of the request on a connection that may not have been read yet.
#[derive(Clone, Default)]
pub(super) struct UnreadSlot(Arc<Mutex<Option<UnreadRequest>>>);

impl UnreadSlot {
    /// Records that a request is about to be sent.
    pub(super) fn set(&self, guard: Option<UnreadGuard>, deadline: Instant) {
        *self.lock() = guard.map(|guard| UnreadRequest { guard, deadline });
    }

    /// Records that the request was read, or never sent, and returns its guard.
    pub(super) fn take(&self) -> Option<UnreadGuard> {
        self.lock().take().map(|unread| unread.guard)
    }

    /// Returns the deadline of the request that may not have been read.
    fn deadline(&self) -> Option<Instant> {
        self.lock().as_ref().map(|unread| unread.deadline)
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Option<UnreadRequest>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl std::fmt::Debug for UnreadSlot {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("UnreadSlot")
    }
}

/// Connections that are kept, of all clients that share them.
#[derive(Clone, Debug)]
pub(super) struct KeptConnections(Arc<Semaphore>);

impl Default for KeptConnections {
    fn default() -> Self {
        Self(Arc::new(Semaphore::new(MAX_KEPT)))
    }
}

impl KeptConnections {
    /// Closes a connection that is not used any more. If its request may not have been read,
    /// returns once it can't be: the server has closed its end or begun to answer. Where that
    /// can't be seen, as too many connections are kept or the path failed, the request counts
    /// as unread until its deadline.
    pub(super) async fn close(
        &self,
        mut io: impl AsyncRead + AsyncWrite + Unpin,
        ended: Result<(), hyper::Error>,
        slot: &UnreadSlot,
    ) {
        // The other end may be gone already.
        let _ = io.shutdown().await;
        let Some(deadline) = slot.deadline() else {
            return;
        };
        let is_closed = match ended {
            Ok(()) => self.wait_for_close(io).await,
            Err(e) => {
                drop(io);
                is_closed_by_peer(&e)
            }
        };
        if !is_closed {
            sleep_until(deadline.into()).await;
        }
        drop(slot.take());
    }

    /// Returns whether the other end was seen to close the connection or to answer.
    async fn wait_for_close(&self, mut io: impl AsyncRead + Unpin) -> bool {
        let Ok(_kept) = self.0.try_acquire() else {
            return false;
        };
        match io.read_u8().await {
            Ok(_) => true,
            Err(e) => is_close(e.kind()),
        }
    }
}

fn is_closed_by_peer(error: &hyper::Error) -> bool {
    let source = error.source().and_then(|e| e.downcast_ref::<io::Error>());
    error.is_incomplete_message() || source.is_some_and(|e| is_close(e.kind()))
}

fn is_close(kind: io::ErrorKind) -> bool {
    matches!(
        kind,
        io::ErrorKind::UnexpectedEof | io::ErrorKind::ConnectionReset | io::ErrorKind::BrokenPipe
    )
}
