//! TCP listeners.

pub(crate) mod paced;

use std::{
    io,
    net::SocketAddr,
    time::Duration, //
};

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

/// Delay after a failed accept. The usual cause is that the process has no free file
/// descriptors, and some will be closed soon.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(100);

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

/// Accepts connections until cancelled, and serves each one in its own task.
pub(crate) async fn accept<F>(
    listener: TcpListener,
    halt: CancellationToken,
    serve: impl Fn(TcpStream) -> F,
) where
    F: Future<Output = ()> + Send + 'static,
{
    loop {
        let accepted = tokio::select! {
            () = halt.cancelled() => return,
            accepted = listener.accept() => accepted,
        };
        match accepted {
            Ok((stream, _)) => {
                set_nodelay(&stream);
                tokio::spawn(serve(stream));
            }
            Err(e) => {
                log::warn!(error:% = e; "failed to accept a connection");
                sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

/// Sets TCP_NODELAY, without which responses are only slower.
fn set_nodelay(stream: &TcpStream) {
    if let Err(e) = stream.set_nodelay(true) {
        log::debug!(error:% = e; "failed to set TCP_NODELAY");
    }
}
