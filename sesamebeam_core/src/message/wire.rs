//! Encoding of messages, prefixed with a version.

use serde::{
    Serialize,
    de::DeserializeOwned, //
};
use thiserror::Error;

/// Wire version that this release writes.
pub const WIRE_VERSION: u8 = 1;

/// Oldest wire version that this release reads, that of the previous release.
pub const OLDEST_WIRE_VERSION: u8 = 1;

/// Maximum message length in bytes; a longer message is refused before it is
/// read.
pub const MAX_MESSAGE_BYTES: usize = 8 << 20;

/// Reason why a message could not be encoded or decoded.
#[derive(Debug, Error, PartialEq, Eq)]
pub enum WireError {
    /// The message is empty.
    #[error("message is empty")]
    Empty,
    /// The message is too long.
    #[error("message of {0} bytes is longer than {MAX_MESSAGE_BYTES}")]
    TooLong(usize),
    /// The wire version of the sender is not supported.
    #[error("wire version {0} is not supported, only {OLDEST_WIRE_VERSION} to {WIRE_VERSION}")]
    UnsupportedVersion(u8),
    /// The message cannot be decoded.
    #[error("cannot decode message: {0}")]
    Codec(#[from] postcard::Error),
}

/// Encodes a message.
///
/// # Errors
///
/// Fails if the message is longer than [`MAX_MESSAGE_BYTES`].
pub fn encode(message: &impl Serialize) -> Result<Vec<u8>, WireError> {
    let buf = postcard::to_extend(message, vec![WIRE_VERSION])?;
    if buf.len() > MAX_MESSAGE_BYTES {
        return Err(WireError::TooLong(buf.len()));
    }
    Ok(buf)
}

/// Decodes a message.
///
/// # Errors
///
/// Fails if the message is empty, too long or cannot be decoded, or if its
/// version is not supported.
pub fn decode<T: DeserializeOwned>(buf: &[u8]) -> Result<T, WireError> {
    if buf.len() > MAX_MESSAGE_BYTES {
        return Err(WireError::TooLong(buf.len()));
    }
    let (&version, body) = buf.split_first().ok_or(WireError::Empty)?;
    if !(OLDEST_WIRE_VERSION..=WIRE_VERSION).contains(&version) {
        return Err(WireError::UnsupportedVersion(version));
    }
    Ok(postcard::from_bytes(body)?)
}
