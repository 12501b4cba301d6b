//! What an entry needs to know of the names used on the wire.

use hyper::{
    HeaderMap,
    http::{
        request,
        response, //
    },
};
use sesamebeam_core::gateway::{
    config::{
        ConfigError,
        GatewayConfig, //
    },
    request::{
        Head,
        Outgoing,
        ResponseHead, //
    },
};
use thiserror::Error;

/// Why the head of a request is refused.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum HeadFault {
    /// A header that every request needs is missing.
    #[error("no {0}")]
    Missing(&'static str),
    /// A header cannot be read.
    #[error("{0} cannot be read")]
    Unreadable(&'static str),
}

/// Names and formats of requests, answers and configurations.
pub trait EntryProtocol: Send + Sync + 'static {
    /// Reads the head of a caller's request.
    ///
    /// # Errors
    ///
    /// Fails if a header is missing or cannot be read.
    fn head(&self, head: &request::Parts) -> Result<Head, HeadFault>;

    /// Turns a caller's headers into those for a backend server: takes out what
    /// is not the caller's to say and sets what the system says.
    fn outgoing(&self, headers: &mut HeaderMap, out: &Outgoing<'_>);

    /// Reads the head of an answer.
    fn answer(&self, head: &response::Parts) -> ResponseHead;

    /// Reads a configuration.
    ///
    /// # Errors
    ///
    /// Fails if it cannot be read or its parts do not fit.
    fn config(&self, document: &[u8]) -> Result<GatewayConfig, ConfigError>;
}
