//! TCP listeners.

pub(crate) mod paced;

use std::{
    io,
    net::SocketAddr,
    time::Duration, //
};

use hyper::server::conn::http1;
use hyper_util::rt::TokioTimer;
use thiserror::Error;
use tokio::{
    net::{
        TcpListener,
        TcpSocket,
        TcpStream, //
    },
    time::sleep,
};
use tokio_util::sync::CancellationToken;

use crate::{
    intake::{
        Connections,
        OpenConnection, //
    },
    limit::LogLimit,
};

/// Delay after a failed accept. The usual cause is that the process has no free file
/// descriptors, and some will be closed soon.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(100);

/// Timeout of a request head of the platform's own services, including the time since the request
/// before, and the largest head that the HTTP library can be set to, in bytes.
const SERVICE_HEAD_TIMEOUT: Duration = Duration::from_secs(30);
const SERVICE_HEAD_BYTES: usize = 8 << 10;

/// Connections that the system keeps until they are accepted. It drops the opening packets of
/// others, and their callers try again only after a second.
const BACKLOG: u32 = 1024;

/// Error when listening on an address.
#[derive(Debug, Error)]
#[error("cannot listen on {addr}: {source}")]
pub struct ListenError {
    /// The address.
    pub addr: SocketAddr,
    /// Underlying error.
    pub source: io::Error,
}

/// Listens on an address.
///
/// # Errors
///
/// Fails if the address cannot be bound.
pub(crate) async fn bind(addr: SocketAddr) -> Result<TcpListener, ListenError> {
    open(addr).map_err(|source| ListenError { addr, source })
}

/// Listens on an address, with a queue for what arrives while the process does not run.
///
/// # Errors
///
/// Fails if the address cannot be bound.
pub(crate) fn open(addr: SocketAddr) -> io::Result<TcpListener> {
    let socket = match addr {
        SocketAddr::V4(_) => TcpSocket::new_v4(),
        SocketAddr::V6(_) => TcpSocket::new_v6(),
    }?;
    socket.set_reuseaddr(true)?;
    socket.bind(addr)?;
    socket.listen(BACKLOG)
}

/// Accepts connections until cancelled, and serves each one in its own task. One for which there
/// is no room is closed.
pub(crate) async fn accept<F>(
    listener: TcpListener,
    connections: Connections,
    halt: CancellationToken,
    serve: impl Fn(TcpStream, OpenConnection) -> F,
) where
    F: Future<Output = ()> + Send + 'static,
{
    let refused = LogLimit::default();
    loop {
        let accepted = tokio::select! {
            () = halt.cancelled() => return,
            accepted = listener.accept() => accepted,
        };
        match accepted {
            Ok((stream, _)) => {
                set_nodelay(&stream);
                let Some(open) = connections.admit() else {
                    log_refused(&refused);
                    continue;
                };
                let serving = serve(stream, open.clone());
                tokio::spawn(async move { open.run(serving).await });
            }
            Err(e) => {
                log::warn!(error:% = e; "failed to accept a connection");
                sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

/// Returns how HTTP is served to the platform's own services, whose heads are short.
pub(crate) fn service_http() -> http1::Builder {
    let mut http = http1::Builder::new();
    http.timer(TokioTimer::new())
        .header_read_timeout(SERVICE_HEAD_TIMEOUT)
        .max_buf_size(SERVICE_HEAD_BYTES);
    http
}

/// Logs that a connection is closed because too many others have requests in progress.
pub(crate) fn log_refused(limit: &LogLimit) {
    if let Some(suppressed) = limit.allow() {
        log::warn!(suppressed; "connection closed, too many are open");
    }
}

/// Sets TCP_NODELAY, without which responses are only slower.
fn set_nodelay(stream: &TcpStream) {
    if let Err(e) = stream.set_nodelay(true) {
        log::debug!(error:% = e; "failed to set TCP_NODELAY");
    }
}
