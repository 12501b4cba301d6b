//! HTTP client, problem documents and server-sent events.

pub mod client;
mod head_limit;
pub mod problem;
pub(crate) mod received;
pub mod sse;
pub(crate) mod unread;

use std::time::Duration;

use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;

/// Parses the value of a `Retry-After` header in seconds, which may have a fraction. Any other
/// value is logged and ignored.
pub fn retry_after(value: &str) -> Option<Duration> {
    let seconds = value.trim().parse().ok();
    let pause = seconds.and_then(|seconds| Duration::try_from_secs_f64(seconds).ok());
    if pause.is_none() {
        log::warn!(value = value; "invalid Retry-After value of a backend server ignored");
    }
    pause
}

/// Wraps a TCP stream for use with hyper.
pub fn hyper_io(stream: TcpStream) -> TokioIo<TcpStream> {
    TokioIo::new(stream)
}
