//! HTTP pieces that the edges share.

pub mod client;
pub mod problem;
pub mod sse;

use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;

/// Makes a connection usable by the HTTP library.
pub fn io(stream: TcpStream) -> TokioIo<TcpStream> {
    TokioIo::new(stream)
}
