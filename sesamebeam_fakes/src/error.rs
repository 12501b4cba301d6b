//! Errors of the fakes.

use std::{
    io,
    net::SocketAddr, //
};

use thiserror::Error;

/// Why a fake could not start.
#[derive(Debug, Error)]
pub enum FakeError {
    /// The address could not be bound or listened on.
    #[error("cannot listen on {addr}: {source}")]
    Listen {
        /// Address that was asked for.
        addr: SocketAddr,
        /// What the system said.
        source: io::Error,
    },
    /// The fake still runs, so it can't be started again.
    #[error("the fake on {0} is still running")]
    StillRunning(SocketAddr),
    /// The token that was passed to the fake has been cancelled.
    #[error("the fake on {0} has been stopped for good")]
    Stopped(SocketAddr),
}

/// Why the body of an answer ends before its end.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum BodyError {
    /// The test asked for truncated streams.
    #[error("stream cut on purpose")]
    Cut,
    /// The request was cancelled.
    #[error("request cancelled")]
    Cancelled,
}
