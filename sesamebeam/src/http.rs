//! HTTP pieces that the edges share.

pub mod client;
pub mod problem;
pub mod sse;

use std::time::Duration;

use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;

/// Reads the value of a `Retry-After` in seconds, which may have a fraction. Another one is
/// logged and counts as none.
pub fn retry_after(value: &str) -> Option<Duration> {
    let seconds = value.trim().parse().ok();
    let pause = seconds.and_then(|seconds| Duration::try_from_secs_f64(seconds).ok());
    if pause.is_none() {
        log::warn!(value = value; "pause that a backend server asks for not understood");
    }
    pause
}

/// Makes a connection usable by the HTTP library.
pub fn io(stream: TcpStream) -> TokioIo<TcpStream> {
    TokioIo::new(stream)
}
