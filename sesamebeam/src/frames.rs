//! Framed messages between the processes of a fleet over plain TCP.
//!
//! For platforms that provide no keys, where a connection of [`link`](crate::link)
//! cannot be authenticated. A frame consists of a length, a byte that tells whether
//! the body is compressed, and a postcard body. Both ends send heartbeats; a connection
//! without incoming messages is closed, because TCP reports no error when the network
//! path is lost.

use std::{
    io::{
        self,
        Read,
        Write, //
    },
    net::SocketAddr,
    time::Duration, //
};

use bytes::Bytes;
use flate2::{
    Compression,
    read::DeflateDecoder,
    write::DeflateEncoder, //
};
use futures::{
    SinkExt,
    StreamExt, //
};
use rand::RngExt;
use serde::{
    Serialize,
    de::DeserializeOwned, //
};
use thiserror::Error;
use tokio::{
    net::{
        TcpStream,
        tcp::{
            OwnedReadHalf,
            OwnedWriteHalf, //
        },
    },
    time::{
        sleep,
        timeout, //
    },
};
use tokio_util::codec::{
    FramedRead,
    FramedWrite,
    LengthDelimitedCodec, //
};

/// Interval between two heartbeats. A quarter of the time within which a lost connection
/// must be detected for a configuration to be in force within the two seconds that
/// deployments require.
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(500);

/// Time without an incoming message after which a connection is closed: three missed
/// heartbeats.
pub const RECEIVE_TIMEOUT: Duration = Duration::from_millis(1600);

/// Timeout of a connection attempt: about a hundred round trips within a region, and
/// ten between regions. A SYN to an instance that is not up yet, or whose network path
/// is lost, is not answered, and the operating system retransmits it only after a
/// second. With 600 ms, entries and replicas connected to each other only 0.7 s after
/// they had started from a common power loss.
pub const CONNECT_TIMEOUT: Duration = Duration::from_millis(150);

/// Delay before the first attempt to reopen a closed connection.
const INITIAL_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Factor by which each delay exceeds the one before. With a maximum of 800 ms there
/// are seven attempts in the first second and 4,500 in an hour.
const RETRY_DELAY_FACTOR: f64 = 1.5;

/// Exponential backoff with jitter between attempts to open a connection.
#[derive(Clone, Copy, Debug)]
pub struct RetryBackoff {
    delay: Duration,
    max_delay: Duration,
}

impl RetryBackoff {
    /// Creates a backoff with delays of at most `max_delay`.
    pub fn with_max_delay(max_delay: Duration) -> Self {
        Self {
            delay: INITIAL_RETRY_DELAY,
            max_delay,
        }
    }

    /// Waits for the next delay. The delay grows with each attempt, and is reset when the
    /// peer was `reached`.
    pub async fn wait(&mut self, reached: bool) {
        if reached {
            self.delay = INITIAL_RETRY_DELAY;
        }
        let jitter: f64 = rand::rng().random_range(0.5..1.0);
        sleep(self.delay.mul_f64(jitter)).await;
        self.delay = self.delay.mul_f64(RETRY_DELAY_FACTOR).min(self.max_delay);
    }
}

/// Timeout for sending one message.
const SEND_TIMEOUT: Duration = Duration::from_secs(1);

/// Maximum frame length in bytes: a configuration of 4 MiB and room for other content.
const MAX_FRAME_LEN: usize = 16 << 20;

/// Minimum length in bytes at which a message for many receivers is compressed: a
/// millisecond on a link of 10 Mbit/s.
const MIN_COMPRESSED_LEN: usize = 1 << 10;

/// First byte of a frame with an uncompressed body.
const UNCOMPRESSED: u8 = 0;

/// First byte of a frame with a compressed body.
const COMPRESSED: u8 = 1;

/// Error when sending or receiving a message.
#[derive(Debug, Error)]
pub enum FrameError {
    /// The connection cannot be opened.
    #[error("no connection to {addr}: {source}")]
    Connect {
        /// Address of the peer.
        addr: SocketAddr,
        /// Underlying error.
        source: io::Error,
    },
    /// The connection failed.
    #[error("connection failed: {0}")]
    Io(#[from] io::Error),
    /// No message was received or could be sent in time.
    #[error("connection silent")]
    TimedOut,
    /// The peer closed the connection.
    #[error("connection closed")]
    Closed,
    /// A message cannot be encoded or decoded.
    #[error("cannot encode or decode message: {0}")]
    Codec(#[from] postcard::Error),
    /// A frame is empty or has an unknown kind byte.
    #[error("empty frame or unknown frame kind")]
    UnknownKind,
}

/// Sending half of a connection.
#[derive(Debug)]
pub struct Sender(FramedWrite<OwnedWriteHalf, LengthDelimitedCodec>);

/// Receiving half of a connection.
#[derive(Debug)]
pub struct Receiver(FramedRead<OwnedReadHalf, LengthDelimitedCodec>);

/// Opens a connection.
///
/// # Errors
///
/// Fails if the connection is not established within [`CONNECT_TIMEOUT`].
pub async fn connect(addr: SocketAddr) -> Result<(Sender, Receiver), FrameError> {
    let opened = timeout(CONNECT_TIMEOUT, TcpStream::connect(addr)).await;
    let opened = opened.unwrap_or_else(|_| Err(io::ErrorKind::TimedOut.into()));
    let stream = opened.map_err(|source| FrameError::Connect { addr, source })?;
    split(stream)
}

/// Splits a connection into its halves.
///
/// # Errors
///
/// Fails if `TCP_NODELAY` cannot be set.
pub fn split(stream: TcpStream) -> Result<(Sender, Receiver), FrameError> {
    stream.set_nodelay(true)?;
    let (rx, tx) = stream.into_split();
    Ok((
        Sender(FramedWrite::new(tx, codec())),
        Receiver(FramedRead::new(rx, codec())),
    ))
}

/// Encodes a message once for many receivers, and compresses a long one.
///
/// Every replica sends a configuration to every entry. Without compression it delayed the
/// events of streams on the low-bandwidth links of entries beyond their limit: a
/// configuration of 888 routes made half of the running streams late.
///
/// # Errors
///
/// Fails if the message cannot be encoded.
pub fn encode(message: &impl Serialize) -> Result<Bytes, FrameError> {
    let frame = encode_uncompressed(message)?;
    if frame.len() < MIN_COMPRESSED_LEN {
        return Ok(frame);
    }
    let mut encoder = DeflateEncoder::new(vec![COMPRESSED], Compression::fast());
    encoder.write_all(&frame[1..])?;
    Ok(encoder.finish()?.into())
}

/// Decodes the frame of a message.
///
/// # Errors
///
/// Fails if the frame is not a valid message of this type, or its decompressed body is
/// longer than the maximum frame length.
pub fn decode<T: DeserializeOwned>(frame: &[u8]) -> Result<T, FrameError> {
    match frame.split_first() {
        Some((&UNCOMPRESSED, body)) => Ok(postcard::from_bytes(body)?),
        Some((&COMPRESSED, body)) => {
            let mut decompressed = Vec::new();
            let max_len = MAX_FRAME_LEN as u64;
            DeflateDecoder::new(body)
                .take(max_len)
                .read_to_end(&mut decompressed)?;
            Ok(postcard::from_bytes(&decompressed)?)
        }
        _ => Err(FrameError::UnknownKind),
    }
}

fn encode_uncompressed(message: &impl Serialize) -> Result<Bytes, FrameError> {
    Ok(postcard::to_extend(message, vec![UNCOMPRESSED])?.into())
}

impl Sender {
    /// Sends a message.
    ///
    /// # Errors
    ///
    /// Fails if the message cannot be encoded or sent in time.
    pub async fn send(&mut self, message: &impl Serialize) -> Result<(), FrameError> {
        self.send_encoded(encode_uncompressed(message)?).await
    }

    /// Sends an encoded message.
    ///
    /// # Errors
    ///
    /// Fails if the message cannot be sent in time.
    pub async fn send_encoded(&mut self, message: Bytes) -> Result<(), FrameError> {
        match timeout(SEND_TIMEOUT, self.0.send(message)).await {
            Ok(sent) => Ok(sent?),
            Err(_) => Err(FrameError::TimedOut),
        }
    }
}

impl Receiver {
    /// Waits for the next message.
    ///
    /// # Errors
    ///
    /// Fails if the connection ends, no message is received for [`RECEIVE_TIMEOUT`], or the message
    /// cannot be decoded.
    pub async fn next<T: DeserializeOwned>(&mut self) -> Result<T, FrameError> {
        match timeout(RECEIVE_TIMEOUT, self.0.next()).await {
            Ok(Some(frame)) => decode(&frame?),
            Ok(None) => Err(FrameError::Closed),
            Err(_) => Err(FrameError::TimedOut),
        }
    }
}

fn codec() -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder()
        .max_frame_length(MAX_FRAME_LEN)
        .new_codec()
}
