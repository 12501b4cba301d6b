//! Bound on the bytes that a server may send before the head of its response is complete.

use std::{
    io,
    pin::Pin,
    sync::{
        Arc,
        atomic::{
            AtomicUsize,
            Ordering, //
        },
    },
    task::{
        Context,
        Poll, //
    },
};

use tokio::{
    io::{
        AsyncRead,
        AsyncWrite,
        ReadBuf, //
    },
    net::TcpStream,
};

/// Maximum number of bytes of a response head, informational responses before it included.
const MAX_HEAD_BYTES: usize = 64 << 10;

/// Bytes that may still be read from a connection.
#[derive(Clone, Debug, Default)]
pub(super) struct HeadAllowance(Arc<AtomicUsize>);

impl HeadAllowance {
    /// Bounds what is read from here on, until the head of a response is complete.
    pub(super) fn expect_head(&self) {
        self.0.store(MAX_HEAD_BYTES, Ordering::Relaxed);
    }

    /// Ends the bound: whoever reads the body bounds it.
    pub(super) fn head_complete(&self) {
        self.0.store(usize::MAX, Ordering::Relaxed);
    }
}

/// A connection from which no more is read than its allowance.
///
/// The HTTP library bounds each head, but not how many informational ones come.
#[derive(Debug)]
pub(super) struct HeadLimited {
    stream: TcpStream,
    allowance: HeadAllowance,
}

impl HeadLimited {
    pub(super) fn new(stream: TcpStream, allowance: HeadAllowance) -> Self {
        Self { stream, allowance }
    }
}

impl AsyncRead for HeadLimited {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let left = self.allowance.0.load(Ordering::Relaxed);
        if left == 0 {
            return Poll::Ready(Err(io::ErrorKind::InvalidData.into()));
        }
        let before = buf.filled().len();
        let read = Pin::new(&mut self.stream).poll_read(cx, buf);
        if left != usize::MAX {
            let bytes = buf.filled().len() - before;
            let left = left.saturating_sub(bytes);
            self.allowance.0.store(left, Ordering::Relaxed);
        }
        read
    }
}

impl AsyncWrite for HeadLimited {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
