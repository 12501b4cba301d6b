//! Encoding of messages with a version in front.

use serde::{
    Serialize,
    de::DeserializeOwned, //
};
use thiserror::Error;

/// Version that this release writes.
pub const WIRE_VERSION: u8 = 1;

/// Oldest version that this release reads: one release back.
pub const OLDEST_WIRE_VERSION: u8 = 1;

/// Largest message in bytes; a longer one is refused before it is read.
pub const MAX_MESSAGE: usize = 8 << 20;

/// Why a message could not be written or read.
#[derive(Debug, Error, PartialEq, Eq)]
pub enum WireError {
    /// The message has no bytes.
    #[error("message is empty")]
    Empty,
    /// The message is too long.
    #[error("message of {0} bytes is longer than {MAX_MESSAGE}")]
    TooLong(usize),
    /// The sender's version is not understood.
    #[error("wire version {0} is not understood, only {OLDEST_WIRE_VERSION} to {WIRE_VERSION}")]
    Version(u8),
    /// The bytes do not decode.
    #[error("message does not decode: {0}")]
    Codec(#[from] postcard::Error),
}

/// Encodes a message.
///
/// # Errors
///
/// Fails if the message is longer than [`MAX_MESSAGE`].
pub fn encode(message: &impl Serialize) -> Result<Vec<u8>, WireError> {
    let buf = postcard::to_extend(message, vec![WIRE_VERSION])?;
    if buf.len() > MAX_MESSAGE {
        return Err(WireError::TooLong(buf.len()));
    }
    Ok(buf)
}

/// Decodes a message.
///
/// # Errors
///
/// Fails if the version is not understood or the bytes do not decode.
pub fn decode<T: DeserializeOwned>(buf: &[u8]) -> Result<T, WireError> {
    if buf.len() > MAX_MESSAGE {
        return Err(WireError::TooLong(buf.len()));
    }
    let (&version, body) = buf.split_first().ok_or(WireError::Empty)?;
    if !(OLDEST_WIRE_VERSION..=WIRE_VERSION).contains(&version) {
        return Err(WireError::Version(version));
    }
    Ok(postcard::from_bytes(body)?)
}
