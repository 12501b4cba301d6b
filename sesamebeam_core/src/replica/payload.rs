//! Data of a log entry, shared between the log, the disk and messages.

use std::{
    fmt,
    ops::Deref,
    sync::Arc, //
};

use serde::{
    Deserialize,
    Deserializer,
    Serialize,
    Serializer,
    de::Visitor, //
};

/// Immutable bytes with shared ownership: clones do not copy the data.
#[derive(Clone, PartialEq, Eq)]
pub struct Payload(Arc<[u8]>);

impl Deref for Payload {
    type Target = [u8];

    fn deref(&self) -> &[u8] {
        &self.0
    }
}

impl From<Vec<u8>> for Payload {
    fn from(bytes: Vec<u8>) -> Self {
        Payload(bytes.into())
    }
}

impl From<&[u8]> for Payload {
    fn from(bytes: &[u8]) -> Self {
        Payload(bytes.into())
    }
}

impl fmt::Debug for Payload {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "Payload({} bytes)", self.0.len())
    }
}

impl Serialize for Payload {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_bytes(&self.0)
    }
}

impl<'de> Deserialize<'de> for Payload {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_bytes(BytesVisitor)
    }
}

/// Deserializes bytes, borrowed or owned.
struct BytesVisitor;

impl Visitor<'_> for BytesVisitor {
    type Value = Payload;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("bytes")
    }

    fn visit_bytes<E>(self, bytes: &[u8]) -> Result<Payload, E> {
        Ok(bytes.into())
    }

    fn visit_byte_buf<E>(self, bytes: Vec<u8>) -> Result<Payload, E> {
        Ok(bytes.into())
    }
}
