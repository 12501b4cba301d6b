//! Listening for connections.

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

/// Pause after a connection could not be accepted: descriptors are used up, and
/// some will be free soon.
const PAUSE: Duration = Duration::from_millis(100);

/// An address cannot be listened on.
#[derive(Debug, Error)]
#[error("cannot listen on {addr}: {source}")]
pub struct ListenError {
    /// The address.
    pub addr: SocketAddr,
    /// Why not.
    pub source: io::Error,
}

/// Listens on an address.
///
/// # Errors
///
/// Fails if the address cannot be used.
pub(crate) async fn bind(addr: SocketAddr) -> Result<TcpListener, ListenError> {
    let bound = TcpListener::bind(addr).await;
    bound.map_err(|source| ListenError { addr, source })
}

/// Serves each connection in a task of its own until cancelled.
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
                // Without the option answers are only slower.
                if let Err(e) = stream.set_nodelay(true) {
                    log::debug!(error:% = e; "no option set");
                }
                tokio::spawn(serve(stream));
            }
            Err(e) => {
                log::warn!(error:% = e; "connection not accepted");
                sleep(PAUSE).await;
            }
        }
    }
}
