//! Interface between an entry and the wire format of requests, responses and
//! configurations.

use std::time::Duration;

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

/// Why the head of a request cannot be parsed.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum RequestHeadError {
    /// A required header is missing.
    #[error("header {0} is missing")]
    Missing(&'static str),
    /// The value of a header is malformed.
    #[error("header {0} is malformed")]
    Unreadable(&'static str),
}

/// Wire format of requests, responses and configurations.
pub trait EntryProtocol: Send + Sync + 'static {
    /// Parses the head of a caller's request.
    ///
    /// # Errors
    ///
    /// Returns an error if a required header is missing or a header is malformed.
    fn parse_request_head(&self, head: &request::Parts) -> Result<Head, RequestHeadError>;

    /// Turns the headers of a caller into those for a backend server: removes headers
    /// that callers may not set and adds those set by the entry.
    fn prepare_request_headers(&self, headers: &mut HeaderMap, out: &Outgoing<'_>);

    /// Changes the headers of a caller for another entry, which parses them as a caller's:
    /// sets the remaining time, and the event after which a stream goes on, if any.
    fn prepare_forwarded_headers(
        &self,
        headers: &mut HeaderMap,
        remaining: Duration,
        resume_after: Option<u64>,
    );

    /// Parses the head of a response.
    fn parse_response_head(&self, head: &response::Parts) -> ResponseHead;

    /// Parses a configuration document.
    ///
    /// # Errors
    ///
    /// Returns an error if the document is malformed or inconsistent.
    fn parse_config(&self, document: &[u8]) -> Result<GatewayConfig, ConfigError>;
}
