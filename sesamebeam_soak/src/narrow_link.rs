//! Network link of an instance, on which what passes in one direction takes its turn.

use std::{
    io,
    net::SocketAddr,
    sync::{
        Arc,
        Mutex,
        PoisonError, //
    },
    time::Duration,
};

use bytes::Bytes;
use rustix::net::sockopt;
use tokio::{
    io::{
        AsyncRead,
        AsyncReadExt,
        AsyncWrite,
        AsyncWriteExt, //
    },
    net::{
        TcpSocket,
        TcpStream, //
    },
    sync::mpsc,
    time::{
        Instant,
        sleep_until, //
    },
};
use tokio_util::sync::CancellationToken;

/// Bytes of a connection that take one turn, and those of their headers.
const SEGMENT: usize = 1400;
const HEADERS: usize = 60;

/// Segments of a connection that are on their way at a time.
const WINDOW: usize = 10;

/// Connections that wait to be passed.
const BACKLOG: u32 = 4096;

/// One direction of a link.
#[derive(Debug)]
struct Direction {
    bytes_per_s: f64,
    /// When the last bytes that were queued have passed.
    free_at: Mutex<Instant>,
}

impl Direction {
    fn new(bytes_per_s: f64) -> Self {
        Self {
            bytes_per_s,
            free_at: Mutex::new(Instant::now()),
        }
    }

    /// Queues bytes with their headers, and returns when they have passed.
    fn enqueue(&self, bytes: usize) -> Instant {
        let takes = Duration::from_secs_f64((bytes + HEADERS) as f64 / self.bytes_per_s);
        let mut free_at = self.free_at.lock().unwrap_or_else(PoisonError::into_inner);
        *free_at = Instant::now().max(*free_at) + takes;
        *free_at
    }
}

/// Which way bytes go, as seen from the instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Way {
    /// To the instance.
    In,
    /// From the instance.
    Out,
}

/// Link of an instance.
#[derive(Debug)]
pub struct NarrowLink {
    inbound: Direction,
    outbound: Direction,
}

impl NarrowLink {
    /// Creates a link with this many bits a second to and from the instance.
    pub fn new(inbound: f64, outbound: f64) -> Arc<Self> {
        Arc::new(Self {
            inbound: Direction::new(inbound / 8.0),
            outbound: Direction::new(outbound / 8.0),
        })
    }

    fn direction(&self, way: Way) -> &Direction {
        match way {
            Way::In => &self.inbound,
            Way::Out => &self.outbound,
        }
    }

    /// Queues bytes with their headers, and returns when they have passed.
    pub(crate) fn enqueue(&self, way: Way, bytes: usize) -> Instant {
        self.direction(way).enqueue(bytes)
    }

    /// Waits until a message has passed.
    pub async fn pass(&self, way: Way, bytes: usize) {
        sleep_until(self.enqueue(way, bytes)).await;
    }

    /// Returns how long bytes that are sent now wait until they have passed.
    pub fn delay(&self, way: Way) -> Duration {
        let free_at = self.direction(way).free_at.lock();
        let free_at = *free_at.unwrap_or_else(PoisonError::into_inner);
        free_at.saturating_duration_since(Instant::now())
    }

    /// Copies bytes over the link until either end closes.
    pub async fn copy(
        &self,
        way: Way,
        mut rx: impl AsyncRead + Unpin,
        mut tx: impl AsyncWrite + Unpin,
    ) {
        let (segments_tx, mut segments) = mpsc::channel::<(Instant, Bytes)>(WINDOW);
        let reading = async {
            let mut buf = vec![0; SEGMENT];
            while let Ok(read @ 1..) = rx.read(&mut buf).await {
                let passed = self.direction(way).enqueue(read);
                let segment = Bytes::copy_from_slice(&buf[..read]);
                if segments_tx.send((passed, segment)).await.is_err() {
                    return;
                }
            }
            drop(segments_tx);
        };
        let writing = async {
            while let Some((passed, segment)) = segments.recv().await {
                sleep_until(passed).await;
                if tx.write_all(&segment).await.is_err() {
                    segments.close();
                    return;
                }
            }
        };
        tokio::join!(reading, writing);
    }

    /// Passes callers' connections to an instance until cancelled.
    ///
    /// # Errors
    ///
    /// Fails if the near address cannot be listened on.
    pub async fn pass_callers(
        self: &Arc<Self>,
        near: SocketAddr,
        far: SocketAddr,
        ended: CancellationToken,
    ) -> io::Result<()> {
        let socket = TcpSocket::new_v4()?;
        socket.set_reuseaddr(true)?;
        socket.bind(near)?;
        let listener = socket.listen(BACKLOG)?;
        let link = Arc::clone(self);
        let accepting = async move {
            while let Ok((stream, _)) = listener.accept().await {
                let link = Arc::clone(&link);
                tokio::spawn(async move { link.pass_caller(stream, far).await });
            }
        };
        tokio::spawn(ended.run_until_cancelled_owned(accepting));
        Ok(())
    }

    /// Passes one connection: its opening, what is sent both ways, and its end.
    async fn pass_caller(&self, mut near: TcpStream, far: SocketAddr) {
        // A connection without these options is closed in order, or sends late.
        let _ = near.set_nodelay(true);
        self.pass(Way::In, 0).await;
        self.pass(Way::Out, 0).await;
        let Ok(mut far) = TcpStream::connect(far).await else {
            let _ = sockopt::set_socket_linger(&near, Some(Duration::ZERO));
            return;
        };
        let _ = far.set_nodelay(true);
        let (near_rx, near_tx) = near.split();
        let (far_rx, far_tx) = far.split();
        tokio::select! {
            () = self.copy(Way::In, near_rx, far_tx) => {}
            () = self.copy(Way::Out, far_rx, near_tx) => {}
        }
    }
}
