//! TCP listeners.

use std::{
    io,
    net::SocketAddr,
    time::Duration, //
};

use thiserror::Error;
use tokio::{
    net::{
        TcpListener,
        TcpStream, //
    },
    time::sleep,
};
use tokio_util::sync::CancellationToken;

/// Delay after a failed accept. The usual cause is that the process has no free file
/// descriptors, and some will be closed soon.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(100);

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
    let bound = TcpListener::bind(addr).await;
    bound.map_err(|source| ListenError { addr, source })
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
                // Without TCP_NODELAY responses are only slower.
                if let Err(e) = stream.set_nodelay(true) {
                    log::debug!(error:% = e; "failed to set TCP_NODELAY");
                }
                tokio::spawn(serve(stream));
            }
            Err(e) => {
                log::warn!(error:% = e; "failed to accept a connection");
                sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}
