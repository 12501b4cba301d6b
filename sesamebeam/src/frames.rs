//! Messages between our own processes as frames on plain TCP.
//!
//! For platforms that hand out no keys, where a connection of
//! [`link`](crate::link) cannot be authenticated. Each message is a length, a
//! byte that tells whether the rest is packed, and a postcard body. Both ends say
//! that they live; a connection that stays silent is closed, since one that has
//! lost its path shows no error by itself.

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

/// Pause between two messages that say that the sender lives. A quarter of the
/// time after which a cut must be noticed for a configuration to be in force
/// within the two seconds that deployments ask for.
pub const ALIVE_EVERY: Duration = Duration::from_millis(500);

/// Silence after which a connection is closed: three messages missed.
pub const SILENT_FOR: Duration = Duration::from_millis(1600);

/// Longest wait for a connection: some hundred round trips within a region, and
/// ten between regions. What is sent to an instance that is not up yet, or whose
/// path is lost, gets no answer, and the system repeats it only after a second.
/// With 600 ms, entries and replicas that had all lost their power found each
/// other 0.7 s after they had started.
pub const CONNECT_TIMEOUT: Duration = Duration::from_millis(150);

/// Pause before a connection that ended is opened again.
const RETRY_FIRST: Duration = Duration::from_millis(50);

/// How much longer each pause is than the one before: up to 800 ms, the first
/// second has seven tries, an hour 4,500.
const RETRY_GROWTH: f64 = 1.5;

/// Pauses between tries to open a connection.
#[derive(Clone, Copy, Debug)]
pub struct Retry {
    pause: Duration,
    longest: Duration,
}

impl Retry {
    /// Makes pauses no longer than `longest`.
    pub fn up_to(longest: Duration) -> Self {
        Self {
            pause: RETRY_FIRST,
            longest,
        }
    }

    /// Waits for the next pause, which grows until a connection was `reached`.
    pub async fn pause(&mut self, reached: bool) {
        if reached {
            self.pause = RETRY_FIRST;
        }
        let jitter: f64 = rand::rng().random_range(0.5..1.0);
        sleep(self.pause.mul_f64(jitter)).await;
        self.pause = self.pause.mul_f64(RETRY_GROWTH).min(self.longest);
    }
}

/// Longest wait for one message to leave.
const SEND_TIMEOUT: Duration = Duration::from_secs(1);

/// Longest message: a configuration of 4 MiB with room for the rest.
const MAX_FRAME: usize = 16 << 20;

/// Bytes from which a message for many receivers is packed: a millisecond on a
/// link of 10 Mbit/s.
const PACK_FROM: usize = 1 << 10;

/// First byte of a frame whose body is as it was encoded.
const PLAIN: u8 = 0;

/// First byte of a frame whose body is packed.
const PACKED: u8 = 1;

/// Why a message did not pass.
#[derive(Debug, Error)]
pub enum FrameError {
    /// There is no connection.
    #[error("no connection to {addr}: {source}")]
    Connect {
        /// Where to.
        addr: SocketAddr,
        /// Why not.
        source: io::Error,
    },
    /// The connection broke.
    #[error("connection broke: {0}")]
    Io(#[from] io::Error),
    /// Nothing came, or nothing left, for too long.
    #[error("connection silent")]
    Silent,
    /// The other end closed it.
    #[error("connection closed")]
    Closed,
    /// A message cannot be read.
    #[error("message cannot be read: {0}")]
    Codec(#[from] postcard::Error),
    /// A frame is empty, or of a kind that is not known.
    #[error("frame of an unknown kind")]
    Kind,
}

/// The sending end of a connection.
#[derive(Debug)]
pub struct Sender(FramedWrite<OwnedWriteHalf, LengthDelimitedCodec>);

/// The receiving end of a connection.
#[derive(Debug)]
pub struct Receiver(FramedRead<OwnedReadHalf, LengthDelimitedCodec>);

/// Opens a connection.
///
/// # Errors
///
/// Fails if there is none in time.
pub async fn connect(addr: SocketAddr) -> Result<(Sender, Receiver), FrameError> {
    let opened = timeout(CONNECT_TIMEOUT, TcpStream::connect(addr)).await;
    let opened = opened.unwrap_or_else(|_| Err(io::ErrorKind::TimedOut.into()));
    let stream = opened.map_err(|source| FrameError::Connect { addr, source })?;
    split(stream)
}

/// Splits a connection into its ends.
///
/// # Errors
///
/// Fails if the socket takes no options.
pub fn split(stream: TcpStream) -> Result<(Sender, Receiver), FrameError> {
    stream.set_nodelay(true)?;
    let (rx, tx) = stream.into_split();
    Ok((
        Sender(FramedWrite::new(tx, codec())),
        Receiver(FramedRead::new(rx, codec())),
    ))
}

/// Encodes a message once for many receivers. A long one is packed.
///
/// A configuration goes from every replica to every entry. On the narrow links of
/// entries it stood in the way of the events of streams for longer than these may
/// wait: of streams that were running when 888 routes came, a half was late.
///
/// # Errors
///
/// Fails if the message has no encoding.
pub fn encode(message: &impl Serialize) -> Result<Bytes, FrameError> {
    let frame = plain(message)?;
    if frame.len() < PACK_FROM {
        return Ok(frame);
    }
    let mut packer = DeflateEncoder::new(vec![PACKED], Compression::fast());
    packer.write_all(&frame[1..])?;
    Ok(packer.finish()?.into())
}

/// Decodes the frame of a message.
///
/// # Errors
///
/// Fails if it is no such message, or longer than any may be.
pub fn decode<T: DeserializeOwned>(frame: &[u8]) -> Result<T, FrameError> {
    match frame.split_first() {
        Some((&PLAIN, body)) => Ok(postcard::from_bytes(body)?),
        Some((&PACKED, body)) => {
            let mut unpacked = Vec::new();
            let most = MAX_FRAME as u64;
            DeflateDecoder::new(body)
                .take(most)
                .read_to_end(&mut unpacked)?;
            Ok(postcard::from_bytes(&unpacked)?)
        }
        _ => Err(FrameError::Kind),
    }
}

fn plain(message: &impl Serialize) -> Result<Bytes, FrameError> {
    Ok(postcard::to_extend(message, vec![PLAIN])?.into())
}

impl Sender {
    /// Sends a message.
    ///
    /// # Errors
    ///
    /// Fails if it does not leave in time.
    pub async fn send(&mut self, message: &impl Serialize) -> Result<(), FrameError> {
        self.send_encoded(plain(message)?).await
    }

    /// Sends an encoded message.
    ///
    /// # Errors
    ///
    /// Fails if it does not leave in time.
    pub async fn send_encoded(&mut self, message: Bytes) -> Result<(), FrameError> {
        match timeout(SEND_TIMEOUT, self.0.send(message)).await {
            Ok(sent) => Ok(sent?),
            Err(_) => Err(FrameError::Silent),
        }
    }
}

impl Receiver {
    /// Waits for the next message.
    ///
    /// # Errors
    ///
    /// Fails if the connection ends or stays silent for [`SILENT_FOR`].
    pub async fn next<T: DeserializeOwned>(&mut self) -> Result<T, FrameError> {
        match timeout(SILENT_FOR, self.0.next()).await {
            Ok(Some(frame)) => decode(&frame?),
            Ok(None) => Err(FrameError::Closed),
            Err(_) => Err(FrameError::Silent),
        }
    }
}

fn codec() -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder()
        .max_frame_length(MAX_FRAME)
        .new_codec()
}
