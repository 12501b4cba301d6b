//! HTTP/1.1 client with a connection pool for each address, which can be retired
//! separately.

use std::{
    collections::HashMap,
    future::poll_fn,
    io::{
        self,
        ErrorKind, //
    },
    net::SocketAddr,
    sync::{
        Arc,
        Mutex,
        PoisonError, //
    },
    time::{
        Duration,
        Instant, //
    },
};

use bytes::Bytes;
use http_body_util::Full;
use hyper::{
    Request,
    Response,
    body::Incoming, //
    client::conn::http1::{
        SendRequest,
        handshake, //
    }, //
};
use hyper_util::rt::TokioIo;
use prometheus_client::metrics::histogram::Histogram;
use rustix::net::sockopt;
use thiserror::Error;
use tokio::{
    net::TcpStream,
    time::timeout, //
};

use super::{
    head_limit::{
        HeadAllowance, //
        HeadLimited,
    },
    received::LongAnswers,
    unread::{
        KeptConnections,
        UnreadGuard,
        UnreadSlot, //
    },
};

/// Default maximum number of idle connections for each address.
const MAX_IDLE: usize = 32;

/// Time after which an idle connection is not reused. It is shorter than the 5 s
/// after which servers usually close idle connections.
const IDLE_TIMEOUT: Duration = Duration::from_secs(4);

/// Interval of TCP keepalive probes on an idle connection; the minimum that the
/// system accepts.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);

/// Maximum time for which sent data may stay unacknowledged. It covers a thousand
/// round trips within a region, or five consecutive lost packets.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_millis(1500);

/// Share of a server's stated keep-alive time for which a connection is reused. A
/// request sent while the server closes the connection may or may not have run.
const KEEP_ALIVE_SHARE: f64 = 0.7;

/// Why a request received no response.
#[derive(Debug, Error)]
pub enum ClientError {
    /// The connection could not be established: nothing was sent.
    #[error("no connection to {0}")]
    Connect(SocketAddr),
    /// The connection was refused: no process listens there.
    #[error("connection to {0} refused")]
    Refused(SocketAddr),
    /// The latest time to send had passed once the connection was established:
    /// nothing was sent.
    #[error("too late to send to {0}")]
    Late(SocketAddr),
    /// The connection closed before any byte of the request was sent.
    #[error("connection to {0} closed before the request was sent")]
    Unsent(SocketAddr),
    /// The connection failed after sending started: the request may have arrived.
    #[error("connection to {addr} broke: {source}")]
    Broken {
        /// Address.
        addr: SocketAddr,
        /// Error of hyper.
        source: hyper::Error,
    },
    /// No response before the timeout: the request may have arrived.
    #[error("no answer from {0} in time")]
    Timeout(SocketAddr),
}

impl ClientError {
    /// Returns whether the request certainly did not reach the server.
    pub fn is_unsent(&self) -> bool {
        matches!(
            self,
            Self::Connect(_) | Self::Refused(_) | Self::Unsent(_) | Self::Late(_)
        )
    }
}

/// Whether a request may use an idle connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reuse {
    /// Any idle connection.
    Any,
    /// Only a new connection, which may work where existing ones have gone
    /// silent.
    Never,
}

/// Options for sending one request.
#[derive(Clone, Copy, Debug)]
pub struct SendOptions {
    /// Whether an idle connection may be used.
    pub reuse: Reuse,
    /// Maximum wait for the response head.
    pub header_timeout: Duration,
    /// Time after which the request must not be sent.
    pub send_by: Option<Instant>,
}

/// HTTP client that keeps idle connections for each address.
#[derive(Clone, Debug)]
pub struct Client {
    /// Idle connections by address.
    pool: Arc<Mutex<Pool>>,
    /// Timeout for establishing a connection.
    connect_timeout: Duration,
    /// Maximum number of idle connections for each address.
    max_idle: usize,
    /// Times in which connections were established, if they are observed.
    connect_times: Option<Histogram>,
    long_answers: LongAnswers,
    kept: KeptConnections,
}

#[derive(Debug, Default)]
struct Pool {
    hosts: HashMap<SocketAddr, HostPool>,
}

#[derive(Debug, Default)]
struct HostPool {
    /// Incremented when the open connections are retired.
    epoch: u64,
    idle: Vec<IdleConnection>,
}

#[derive(Debug)]
struct IdleConnection {
    conn: Connection,
    until: Instant,
}

/// An open connection.
#[derive(Debug)]
struct Connection {
    sender: SendRequest<Full<Bytes>>,
    allowance: HeadAllowance,
    unread: UnreadSlot,
}

/// A request of which nothing was sent, with its guard.
type UnsentRequest = (Request<Full<Bytes>>, Option<UnreadGuard>);

/// Connection in use by a request, which can be returned to the pool once the
/// response has been read completely.
#[derive(Debug)]
pub struct ConnectionGuard {
    client: Client,
    addr: SocketAddr,
    epoch: u64,
    conn: Option<Connection>,
}

impl ConnectionGuard {
    /// Returns the turns of long answers, which all connections of the client share.
    pub(crate) fn long_answers(&self) -> &LongAnswers {
        &self.client.long_answers
    }

    /// Returns the connection to the pool. The response must have been read
    /// completely.
    pub fn release(self) {
        let most_idle = self.client.max_idle;
        self.release_with_limits(None, most_idle);
    }

    /// Returns the connection to the pool, unless it already holds `most_idle` connections.
    /// It stays idle for no longer than the server's keep-alive time allows.
    pub fn release_with_limits(mut self, keep_alive: Option<Duration>, most_idle: usize) {
        if let Some(conn) = self.conn.take() {
            self.client
                .put(self.addr, self.epoch, conn, keep_alive, most_idle);
        }
    }
}

impl Client {
    /// Creates a client.
    pub fn new(connect_timeout: Duration) -> Self {
        Self {
            pool: Arc::default(),
            connect_timeout,
            max_idle: MAX_IDLE,
            connect_times: None,
            long_answers: LongAnswers::default(),
            kept: KeptConnections::default(),
        }
    }

    /// Observes the times in which connections are established, in seconds.
    pub fn with_connect_times(self, connect_times: Histogram) -> Self {
        Self {
            connect_times: Some(connect_times),
            ..self
        }
    }

    /// Sets the maximum number of idle connections for each address.
    pub fn with_max_idle(self, max_idle: usize) -> Self {
        Self { max_idle, ..self }
    }

    /// Sends a request and waits for the response head.
    ///
    /// # Errors
    ///
    /// Fails if no response head arrives in time; [`ClientError::is_unsent`]
    /// returns whether the request certainly did not reach the server.
    pub async fn send(
        &self,
        addr: SocketAddr,
        req: Request<Full<Bytes>>,
        options: SendOptions,
    ) -> Result<(Response<Incoming>, ConnectionGuard), ClientError> {
        self.send_guarded(addr, req, options, None).await
    }

    /// Does the same, and drops the guard once the server can't read the request any more: it
    /// answers, nothing was sent, or both ends of the connection are closed. That may be long
    /// after this returns or is dropped.
    ///
    /// # Errors
    ///
    /// Fails like [`Client::send`].
    pub(crate) async fn send_guarded(
        &self,
        addr: SocketAddr,
        req: Request<Full<Bytes>>,
        options: SendOptions,
        guard: Option<UnreadGuard>,
    ) -> Result<(Response<Incoming>, ConnectionGuard), ClientError> {
        let (mut req, mut guard) = (req, guard);
        if options.reuse == Reuse::Any {
            while let Some((conn, epoch)) = self.take(addr) {
                match self.send_on(addr, conn, epoch, req, options, guard).await {
                    Ok(answer) => return Ok(answer),
                    // The server closed the idle connection as it was taken from
                    // the pool. Nothing was sent, so a retry is safe.
                    Err((ClientError::Unsent(_), Some(back))) => (req, guard) = back,
                    Err((e, _)) => return Err(e),
                }
            }
        }
        let (conn, epoch) = self.connect(addr).await?;
        self.send_on(addr, conn, epoch, req, options, guard)
            .await
            .map_err(|(e, _)| e)
    }

    /// Retires every open connection to an address: none of them is reused.
    pub fn retire(&self, addr: SocketAddr) {
        let mut pool = self.lock();
        let host = pool.hosts.entry(addr).or_default();
        host.epoch += 1;
        host.idle.clear();
    }

    async fn send_on(
        &self,
        addr: SocketAddr,
        mut conn: Connection,
        epoch: u64,
        req: Request<Full<Bytes>>,
        options: SendOptions,
        guard: Option<UnreadGuard>,
    ) -> Result<(Response<Incoming>, ConnectionGuard), (ClientError, Option<UnsentRequest>)> {
        // The clock is read after the last wait. A process that was frozen while
        // it connected must not run a request whose claim others have taken over.
        if options.send_by.is_some_and(|by| Instant::now() >= by) {
            return Err((ClientError::Late(addr), None));
        }
        conn.allowance.expect_head();
        conn.unread
            .set(guard, Instant::now() + options.header_timeout);
        let sent = conn.sender.try_send_request(req);
        match timeout(options.header_timeout, sent).await {
            Err(_) => Err((ClientError::Timeout(addr), None)),
            Ok(Err(mut e)) => match e.take_message() {
                Some(back) => {
                    let back = (back, conn.unread.take());
                    Err((ClientError::Unsent(addr), Some(back)))
                }
                None => Err((
                    ClientError::Broken {
                        addr,
                        source: e.into_error(),
                    },
                    None,
                )),
            },
            Ok(Ok(answer)) => {
                conn.allowance.head_complete();
                drop(conn.unread.take());
                let guard = ConnectionGuard {
                    client: self.clone(),
                    addr,
                    epoch,
                    conn: Some(conn),
                };
                Ok((answer, guard))
            }
        }
    }

    async fn connect(&self, addr: SocketAddr) -> Result<(Connection, u64), ClientError> {
        let epoch = self.lock().hosts.entry(addr).or_default().epoch;
        let began = Instant::now();
        let stream = match timeout(self.connect_timeout, TcpStream::connect(addr)).await {
            Ok(Ok(stream)) => {
                if let Some(times) = &self.connect_times {
                    times.observe(began.elapsed().as_secs_f64());
                }
                stream
            }
            Ok(Err(e)) if e.kind() == ErrorKind::ConnectionRefused => {
                return Err(ClientError::Refused(addr));
            }
            _ => return Err(ClientError::Connect(addr)),
        };
        set_socket_options(&stream).map_err(|_| ClientError::Connect(addr))?;
        let allowance = HeadAllowance::default();
        let stream = HeadLimited::new(stream, allowance.clone());
        allowance.expect_head();
        let (sender, mut driver) = handshake(TokioIo::new(stream))
            .await
            .map_err(|_| ClientError::Connect(addr))?;
        let unread = UnreadSlot::default();
        let (kept, slot) = (self.kept.clone(), unread.clone());
        tokio::spawn(async move {
            // Errors are reported to the request that uses the connection as well.
            let ended = poll_fn(|cx| driver.poll_without_shutdown(cx)).await;
            let stream = driver.into_parts().io.into_inner();
            kept.close(stream, ended, &slot).await;
        });
        let conn = Connection {
            sender,
            allowance,
            unread,
        };
        Ok((conn, epoch))
    }

    fn take(&self, addr: SocketAddr) -> Option<(Connection, u64)> {
        let mut pool = self.lock();
        let host = pool.hosts.get_mut(&addr)?;
        while let Some(idle) = host.idle.pop() {
            if Instant::now() < idle.until && idle.conn.sender.is_ready() {
                return Some((idle.conn, host.epoch));
            }
        }
        None
    }

    fn put(
        &self,
        addr: SocketAddr,
        epoch: u64,
        conn: Connection,
        keep_alive: Option<Duration>,
        most_idle: usize,
    ) {
        let keep = keep_alive.map_or(IDLE_TIMEOUT, |k| k.mul_f64(KEEP_ALIVE_SHARE));
        let mut pool = self.lock();
        let host = pool.hosts.entry(addr).or_default();
        // INVARIANT: A retired connection never returns to the pool.
        if host.epoch == epoch && host.idle.len() < most_idle && !conn.sender.is_closed() {
            host.idle.push(IdleConnection {
                conn,
                until: Instant::now() + keep,
            });
        }
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Pool> {
        self.pool.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Enables TCP keepalive and the user timeout, so that a lost path is detected.
///
/// If a backend server loses power, or a middlebox drops the state of a
/// connection, no error is reported and a response would be awaited until the
/// caller gives up. Unacknowledged probes end the connection within
/// [`UNACKNOWLEDGED_TIMEOUT`] and a second, however long the request takes. A
/// missing response alone is no sign of a failure: busy engines are silent for
/// seconds, and giving up on them made 43 of 21,690 requests fail on a calm day.
fn set_socket_options(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    sockopt::set_socket_keepalive(stream, true)?;
    sockopt::set_tcp_keepidle(stream, KEEPALIVE_INTERVAL)?;
    sockopt::set_tcp_keepintvl(stream, KEEPALIVE_INTERVAL)?;
    sockopt::set_tcp_keepcnt(stream, 2)?;
    sockopt::set_tcp_user_timeout(stream, UNACKNOWLEDGED_TIMEOUT.as_millis() as u32)?;
    Ok(())
}
