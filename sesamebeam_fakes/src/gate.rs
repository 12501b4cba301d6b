//! Connections that can be made silent.

use std::{
    io,
    pin::Pin,
    sync::{
        Arc,
        Mutex,
        atomic::{
            AtomicBool,
            AtomicU64,
            Ordering, //
        }, //
    },
    task::{
        Context,
        Poll,
        Waker, //
    }, //
};

use tokio::{
    io::{
        AsyncRead,
        AsyncWrite,
        ReadBuf, //
    },
    net::TcpStream, //
};

/// Decides which connections of one fake still move bytes.
#[derive(Debug, Default)]
pub(crate) struct Gate {
    /// Number of the next connection.
    next: AtomicU64,
    /// Connections with a smaller number are silent for good.
    silent_below: AtomicU64,
    /// Whether every connection is silent for now.
    muted: AtomicBool,
    /// Tasks that wait for the end of the muting.
    wakers: Mutex<Vec<Waker>>,
}

impl Gate {
    /// Makes every connection of today silent for good; new ones work.
    pub(crate) fn silence_open(&self) {
        let next = self.next.load(Ordering::SeqCst);
        self.silent_below.store(next, Ordering::SeqCst);
    }

    /// Makes every connection silent, old and new, until it is called with `false`.
    pub(crate) fn mute(&self, muted: bool) {
        self.muted.store(muted, Ordering::SeqCst);
        if muted {
            return;
        }
        let wakers = std::mem::take(&mut *self.wakers.lock().expect("no panic under the lock"));
        wakers.into_iter().for_each(Waker::wake);
    }

    fn is_shut(&self, conn: u64, cx: &Context<'_>) -> bool {
        if conn < self.silent_below.load(Ordering::Relaxed) {
            return true;
        }
        if !self.muted.load(Ordering::SeqCst) {
            return false;
        }
        let mut wakers = self.wakers.lock().expect("no panic under the lock");
        // Read again under the lock: an end of the muting between the two reads
        // has already woken the list, and this task would sleep for good.
        if !self.muted.load(Ordering::SeqCst) {
            return false;
        }
        wakers.push(cx.waker().clone());
        true
    }
}

/// A TCP stream behind a [`Gate`]: when shut it neither reads nor writes, and
/// the peer sees nothing but silence.
#[derive(Debug)]
pub(crate) struct GatedStream {
    stream: TcpStream,
    conn: u64,
    gate: Arc<Gate>,
}

impl GatedStream {
    /// Numbers a new connection.
    pub(crate) fn new(stream: TcpStream, gate: Arc<Gate>) -> Self {
        let conn = gate.next.fetch_add(1, Ordering::SeqCst);
        Self { stream, conn, gate }
    }
}

impl AsyncRead for GatedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.gate.is_shut(self.conn, cx) {
            return Poll::Pending;
        }
        Pin::new(&mut self.stream).poll_read(cx, buf)
    }
}

impl AsyncWrite for GatedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        if self.gate.is_shut(self.conn, cx) {
            return Poll::Pending;
        }
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        if self.gate.is_shut(self.conn, cx) {
            return Poll::Pending;
        }
        Pin::new(&mut self.stream).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        if self.gate.is_shut(self.conn, cx) {
            return Poll::Pending;
        }
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        if self.gate.is_shut(self.conn, cx) {
            return Poll::Pending;
        }
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
