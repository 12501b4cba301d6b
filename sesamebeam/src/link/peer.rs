//! A connection to another process of the fleet.

use std::{
    net::SocketAddr,
    sync::Arc,
    time::Duration, //
};

use futures::{
    StreamExt,
    stream::FuturesUnordered, //
};
use quinn::{
    Connection,
    ConnectionError,
    ReadToEndError,
    RecvStream,
    SendStream,
    VarInt, //
};
use serde::{
    Serialize,
    de::DeserializeOwned, //
};
use sesamebeam_core::message::wire::{
    self,
    MAX_MESSAGE_BYTES, //
};
use tokio::{
    sync::{
        Mutex,
        mpsc, //
    },
    task::AbortHandle,
    time::timeout,
};

use super::{
    LinkCounters,
    LinkError,
    Role,
    role_of, //
};

/// Maximum number of messages of one peer waiting for [`Peer::next`]. When the
/// queue is full, flow control slows the peer down.
const INCOMING_QUEUE: usize = 64;

/// Maximum time to receive a request once its stream is open. Without it, a peer
/// that opens streams and sends nothing would occupy them forever.
const READ_TIMEOUT: Duration = Duration::from_secs(30);

/// Size of the length prefix of a one-way message, in bytes.
const LENGTH_BYTES: usize = size_of::<u32>();

/// Stream error code for a message that is too long.
const MALFORMED: VarInt = VarInt::from_u32(1);

/// Stream error code for a call that is not answered.
const NO_ANSWER: VarInt = VarInt::from_u32(2);

/// A connection to another process of the fleet.
///
/// Dropping it ends the connection once pending answers have been sent.
pub struct Peer {
    connection: Connection,
    role: Role,
    /// Stream of one-way messages; `None` before the first message and after a
    /// failure.
    one_way: Mutex<Option<SendStream>>,
    incoming: Mutex<mpsc::Receiver<Incoming>>,
    driver: AbortHandle,
}

/// Call or message received from a peer.
#[derive(Debug)]
pub enum Incoming {
    /// A call that expects an answer.
    Call {
        /// The encoded request.
        bytes: Vec<u8>,
        /// Sends the answer.
        reply: Replier,
    },
    /// A one-way message, encoded.
    Message(Vec<u8>),
}

/// Sends the answer to one call. Dropping it tells the peer that the call is not
/// answered.
#[derive(Debug)]
pub struct Replier {
    stream: Option<SendStream>,
}

impl Peer {
    pub(super) fn new(
        connection: Connection,
        counters: Arc<LinkCounters>,
    ) -> Result<Self, LinkError> {
        let role = role_of(&connection)?;
        let (tx, rx) = mpsc::channel(INCOMING_QUEUE);
        let driver = tokio::spawn(receive_all(connection.clone(), tx, counters)).abort_handle();
        Ok(Self {
            connection,
            role,
            one_way: Mutex::new(None),
            incoming: Mutex::new(rx),
            driver,
        })
    }

    /// Returns the role in the peer's certificate.
    pub fn role(&self) -> &Role {
        &self.role
    }

    /// Returns the peer's address.
    pub fn remote(&self) -> SocketAddr {
        self.connection.remote_address()
    }

    /// Sends a request on a new stream and waits for the answer.
    ///
    /// There is no deadline; see [`super::PeerClient::call`] for one.
    ///
    /// # Errors
    ///
    /// Fails if the connection ends, the peer does not answer, or a message cannot
    /// be encoded or decoded.
    pub async fn call<Q: Serialize, A: DeserializeOwned>(&self, req: &Q) -> Result<A, LinkError> {
        let buf = wire::encode(req)?;
        let (mut tx, mut rx) = self.connection.open_bi().await?;
        tx.write_all(&buf).await?;
        // It fails only if the stream was finished before.
        let _ = tx.finish();
        match rx.read_to_end(MAX_MESSAGE_BYTES).await {
            Ok(answer) => Ok(wire::decode(&answer)?),
            Err(ReadToEndError::TooLong) => {
                Err(wire::WireError::TooLong(MAX_MESSAGE_BYTES + 1).into())
            }
            Err(ReadToEndError::Read(quinn::ReadError::ConnectionLost(e))) => Err(e.into()),
            Err(ReadToEndError::Read(_)) => Err(LinkError::NoAnswer),
        }
    }

    /// Sends a one-way message, which arrives after those sent before it.
    ///
    /// Waits for flow control, but not until the peer has read the message. A
    /// message may be lost if the connection ends.
    ///
    /// # Errors
    ///
    /// Fails if the connection has ended or the message is too long.
    pub async fn send<M: Serialize>(&self, msg: &M) -> Result<(), LinkError> {
        let body = wire::encode(msg)?;
        let mut buf = Vec::with_capacity(LENGTH_BYTES + body.len());
        // INVARIANT: `encode` rejects messages longer than MAX_MESSAGE_BYTES, which fits
        // in 32 bits.
        buf.extend_from_slice(&(body.len() as u32).to_be_bytes());
        buf.extend_from_slice(&body);
        let mut slot = self.one_way.lock().await;
        // The stream is taken out of its slot during the write. If this future is
        // dropped before the end, or the write fails, the stream is dropped with
        // it and the next message opens a new one. If the stream were kept, the
        // peer would read the next message as the rest of this one.
        let mut stream = match slot.take() {
            Some(stream) => stream,
            None => self.connection.open_uni().await?,
        };
        stream.write_all(&buf).await?;
        *slot = Some(stream);
        Ok(())
    }

    /// Waits for the next call or message of the peer. Cancel safe: dropping the
    /// future loses nothing.
    ///
    /// # Errors
    ///
    /// Fails once the connection has ended and everything received has been
    /// returned.
    pub async fn next(&self) -> Result<Incoming, LinkError> {
        match self.incoming.lock().await.recv().await {
            Some(incoming) => Ok(incoming),
            None => Err(self.connection.closed().await.into()),
        }
    }

    /// Waits until the connection has ended.
    pub async fn closed(&self) -> LinkError {
        self.connection.closed().await.into()
    }

    /// Returns whether the connection has ended.
    pub fn is_closed(&self) -> bool {
        self.connection.close_reason().is_some()
    }

    /// Closes the connection immediately, aborting all calls in progress.
    pub fn close(&self) {
        self.connection.close(VarInt::from_u32(0), b"closed");
    }

    /// Returns the number of datagrams received, which distinguishes a silent
    /// connection from a slow peer.
    pub(super) fn datagrams_received(&self) -> u64 {
        self.connection.stats().udp_rx.datagrams
    }
}

impl Drop for Peer {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

impl Replier {
    /// Sends the answer.
    ///
    /// # Errors
    ///
    /// Fails if the answer is too long or the connection has ended.
    pub async fn reply<A: Serialize>(mut self, answer: &A) -> Result<(), LinkError> {
        let buf = wire::encode(answer)?;
        let Some(mut stream) = self.stream.take() else {
            return Err(LinkError::NoAnswer);
        };
        stream.write_all(&buf).await?;
        // It fails only if the stream was finished before.
        let _ = stream.finish();
        Ok(())
    }
}

impl Drop for Replier {
    fn drop(&mut self) {
        if let Some(mut stream) = self.stream.take() {
            // It fails only if the stream was finished before.
            let _ = stream.reset(NO_ANSWER);
        }
    }
}

/// Reads every stream of a connection into one queue, until the connection ends.
async fn receive_all(
    connection: Connection,
    tx: mpsc::Sender<Incoming>,
    counters: Arc<LinkCounters>,
) -> ConnectionError {
    let mut calls = FuturesUnordered::new();
    let mut one_ways = FuturesUnordered::new();
    loop {
        tokio::select! {
            stream = connection.accept_bi() => match stream {
                Ok((send, recv)) => calls.push(read_call(send, recv, &tx, &counters)),
                Err(e) => return e,
            },
            stream = connection.accept_uni() => match stream {
                Ok(recv) => one_ways.push(read_one_way(recv, &tx, &counters)),
                Err(e) => return e,
            },
            Some(()) = calls.next() => {}
            Some(()) = one_ways.next() => {}
        }
    }
}

async fn read_call(
    send: SendStream,
    mut recv: RecvStream,
    tx: &mpsc::Sender<Incoming>,
    counters: &LinkCounters,
) {
    let reply = Replier { stream: Some(send) };
    match timeout(READ_TIMEOUT, recv.read_to_end(MAX_MESSAGE_BYTES)).await {
        Ok(Ok(bytes)) => {
            // The queue is closed only when the peer is dropped.
            let _ = tx.send(Incoming::Call { bytes, reply }).await;
        }
        Ok(Err(ReadToEndError::TooLong)) => counters.message_broken(),
        Ok(Err(ReadToEndError::Read(_))) | Err(_) => {}
    }
}

/// Reads one-way messages until the stream ends.
async fn read_one_way(mut recv: RecvStream, tx: &mpsc::Sender<Incoming>, counters: &LinkCounters) {
    loop {
        let mut length = [0_u8; LENGTH_BYTES];
        if recv.read_exact(&mut length).await.is_err() {
            return;
        }
        let length = u32::from_be_bytes(length) as usize;
        if length > MAX_MESSAGE_BYTES {
            counters.message_broken();
            let _ = recv.stop(MALFORMED);
            return;
        }
        let mut buf = vec![0; length];
        if recv.read_exact(&mut buf).await.is_err() {
            counters.message_broken();
            return;
        }
        if tx.send(Incoming::Message(buf)).await.is_err() {
            return;
        }
    }
}
