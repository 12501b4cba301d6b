//! Links between our own processes: QUIC with mutual TLS.
//!
//! A [`Link`] is one UDP socket that accepts and makes connections. A [`Peer`]
//! is a connection whose other end has shown a certificate of the same fleet.
//! A call is one bidirectional stream; one-way messages share one stream in
//! each direction and keep their order.

mod caller;
mod counters;
mod peer;

use std::{
    io,
    net::{
        IpAddr,
        SocketAddr, //
    },
    sync::Arc,
    time::Duration,
};

use quinn::{
    ClientConfig,
    Endpoint,
    IdleTimeout,
    ServerConfig,
    TransportConfig,
    VarInt, //
};
use sesamebeam_core::message::wire::{
    MAX_MESSAGE_BYTES,
    WireError, //
};
use thiserror::Error;
use tokio::sync::{
    Mutex,
    Semaphore,
    mpsc, //
};

use self::counters::LinkCounters;
pub use self::{
    caller::{
        BackOff,
        Caller,
        Pool, //
    },
    counters::LinkCounts,
    peer::{
        Incoming,
        Peer,
        Replier, //
    },
};
pub use crate::keys::{
    Credentials,
    Role,
    RoleKind, //
};
use crate::{
    keys::{
        KeyError,
        Role as PeerRole, //
    },
    limit::LogLimit,
};

/// Name that every server certificate of a fleet carries.
const SERVER_NAME: &str = crate::keys::FLEET_NAME;

/// Calls that one peer may have open at a time; further ones wait at the peer.
/// Each place costs 68 bytes for every connection, whether used or not.
const MAX_CALLS: u32 = 128;

/// One-way streams that one peer may have open at a time. One is in use; a few
/// more bridge the moment between an abandoned stream and its successor.
const MAX_ONE_WAY: u32 = 4;

/// Bytes of one connection that may be under way unread.
const WINDOW: u32 = 2 * MAX_MESSAGE_BYTES as u32;

/// Handshakes under way at a time; more are refused.
const MAX_HANDSHAKES: usize = 256;

/// Handshakes under way from which on a newcomer must prove its address, so
/// that datagrams with forged senders cannot use the handshakes up.
const PROVE_ADDRESS_FROM: usize = MAX_HANDSHAKES / 4;

/// Longest time that a handshake may take.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(5);

/// Connections that wait for [`Link::accept`].
const ACCEPT_QUEUE: usize = 64;

/// Times of a connection.
#[derive(Clone, Copy, Debug)]
pub struct LinkTimings {
    /// Silence after which a connection is given up.
    pub idle: Duration,
    /// Silence after which a sign of life is sent.
    pub keep_alive: Duration,
}

impl Default for LinkTimings {
    fn default() -> Self {
        Self {
            idle: Duration::from_secs(12),
            keep_alive: Duration::from_secs(4),
        }
    }
}

/// Why a link, a call or a message failed.
#[derive(Debug, Error)]
pub enum LinkError {
    /// The socket could not be opened.
    #[error("cannot open a UDP socket on {addr}: {source}")]
    Bind {
        /// Address that was asked for.
        addr: SocketAddr,
        /// What the system said.
        source: io::Error,
    },
    /// The credentials cannot be used.
    #[error(transparent)]
    Keys(#[from] KeyError),
    /// The connection could not be begun.
    #[error("cannot connect: {0}")]
    Connect(#[from] quinn::ConnectError),
    /// The connection could not be made, or ended.
    #[error("connection failed: {0}")]
    Connection(#[from] quinn::ConnectionError),
    /// The peer is not the one that was expected.
    #[error("peer is {found}, not {expected}")]
    WrongRole {
        /// Who should answer there.
        expected: Role,
        /// Who does.
        found: Role,
    },
    /// A message could not be written.
    #[error("cannot write to the peer: {0}")]
    Write(#[from] quinn::WriteError),
    /// A message could not be encoded or decoded.
    #[error(transparent)]
    Wire(#[from] WireError),
    /// The peer took the call and gave no answer.
    #[error("peer gave no answer")]
    NoAnswer,
    /// The deadline passed after the message may have been sent.
    #[error("no answer within {0:?}")]
    Deadline(Duration),
    /// No connection stood before the deadline, so that nothing was sent.
    #[error("not connected within {0:?}")]
    NotConnected(Duration),
    /// The last attempts to connect failed and the next is not due yet.
    #[error("not connected; the next attempt is in {0:?}")]
    BackOff(Duration),
}

/// One UDP socket that accepts and makes connections.
pub struct Link {
    endpoint: Endpoint,
    client: ClientConfig,
    accepted: Mutex<mpsc::Receiver<Peer>>,
    counters: Arc<LinkCounters>,
}

impl Link {
    /// Opens a link with the default timings.
    ///
    /// # Errors
    ///
    /// Fails if the socket cannot be opened or the credentials do not fit.
    ///
    /// # Panics
    ///
    /// Panics outside a tokio runtime.
    pub fn bind(addr: SocketAddr, creds: &Credentials) -> Result<Self, LinkError> {
        Self::bind_with(addr, creds, LinkTimings::default())
    }

    /// Opens a link.
    ///
    /// # Errors
    ///
    /// Fails if the socket cannot be opened or the credentials do not fit.
    ///
    /// # Panics
    ///
    /// Panics outside a tokio runtime.
    pub fn bind_with(
        addr: SocketAddr,
        creds: &Credentials,
        timings: LinkTimings,
    ) -> Result<Self, LinkError> {
        let transport = Arc::new(transport(timings));
        let mut server = ServerConfig::with_crypto(Arc::new(creds.server_config()?));
        server.transport_config(Arc::clone(&transport));
        let mut client = ClientConfig::new(Arc::new(creds.client_config()?));
        client.transport_config(transport);
        let endpoint =
            Endpoint::server(server, addr).map_err(|source| LinkError::Bind { addr, source })?;
        let counters = Arc::new(LinkCounters::default());
        let (tx, rx) = mpsc::channel(ACCEPT_QUEUE);
        tokio::spawn(accept_all(endpoint.clone(), tx, Arc::clone(&counters)));
        Ok(Self {
            endpoint,
            client,
            accepted: Mutex::new(rx),
            counters,
        })
    }

    /// Returns the address of the socket.
    ///
    /// # Errors
    ///
    /// Fails if the system does not tell it.
    pub fn local_addr(&self) -> io::Result<SocketAddr> {
        self.endpoint.local_addr()
    }

    /// Returns what the link has refused so far.
    pub fn counts(&self) -> LinkCounts {
        self.counters.counts()
    }

    /// Connects to a peer, which must be `expect` if that is given.
    ///
    /// # Errors
    ///
    /// Fails if nobody answers, the peer's certificate is not of this fleet, or
    /// the peer is somebody else.
    pub async fn connect(&self, addr: SocketAddr, expect: Option<Role>) -> Result<Peer, LinkError> {
        self.connect_from(&self.endpoint, addr, expect).await
    }

    /// Connects to a peer from a new UDP port.
    ///
    /// A device between the two ends that has lost track of the old pair of
    /// ports drops every datagram between them without a word, also those of a
    /// new connection. A new port is a new flow to such a device.
    ///
    /// # Errors
    ///
    /// Fails like [`Link::connect`], or if no further socket can be opened.
    pub async fn connect_anew(
        &self,
        addr: SocketAddr,
        expect: Option<Role>,
    ) -> Result<Peer, LinkError> {
        let ip = self.endpoint.local_addr().map(|local| local.ip());
        let from = SocketAddr::new(ip.unwrap_or(unspecified(addr)), 0);
        let endpoint =
            Endpoint::client(from).map_err(|source| LinkError::Bind { addr: from, source })?;
        self.connect_from(&endpoint, addr, expect).await
    }

    /// Waits for the next peer that connects; none after [`Link::close`].
    pub async fn accept(&self) -> Option<Peer> {
        self.accepted.lock().await.recv().await
    }

    /// Closes every connection made over the link's own socket.
    pub fn close(&self) {
        self.endpoint.close(VarInt::from_u32(0), b"closed");
    }

    /// Waits until every peer was told of the close.
    pub async fn wait_closed(&self) {
        self.endpoint.wait_idle().await;
    }

    async fn connect_from(
        &self,
        endpoint: &Endpoint,
        addr: SocketAddr,
        expect: Option<Role>,
    ) -> Result<Peer, LinkError> {
        let connecting = endpoint.connect_with(self.client.clone(), addr, SERVER_NAME)?;
        let connection = connecting.await.inspect_err(|e| self.counters.failed(e))?;
        let peer = Peer::new(connection, Arc::clone(&self.counters))?;
        match expect {
            Some(expected) if expected != *peer.role() => Err(LinkError::WrongRole {
                expected,
                found: peer.role().clone(),
            }),
            _ => Ok(peer),
        }
    }
}

impl Drop for Link {
    fn drop(&mut self) {
        self.close();
    }
}

fn unspecified(addr: SocketAddr) -> IpAddr {
    match addr {
        SocketAddr::V4(_) => IpAddr::from([0, 0, 0, 0]),
        SocketAddr::V6(_) => IpAddr::from([0_u16; 8]),
    }
}

fn transport(timings: LinkTimings) -> TransportConfig {
    let mut cfg = TransportConfig::default();
    let idle = IdleTimeout::try_from(timings.idle).ok();
    cfg.max_idle_timeout(idle)
        .keep_alive_interval(Some(timings.keep_alive))
        .max_concurrent_bidi_streams(VarInt::from_u32(MAX_CALLS))
        .max_concurrent_uni_streams(VarInt::from_u32(MAX_ONE_WAY))
        .receive_window(VarInt::from_u32(WINDOW))
        .send_window(u64::from(WINDOW))
        .datagram_receive_buffer_size(None);
    cfg
}

/// Runs the handshakes of peers that connect, until the socket is closed.
async fn accept_all(endpoint: Endpoint, tx: mpsc::Sender<Peer>, counters: Arc<LinkCounters>) {
    let slots = Arc::new(Semaphore::new(MAX_HANDSHAKES));
    let limit = Arc::new(LogLimit::default());
    while let Some(incoming) = endpoint.accept().await {
        let Ok(slot) = Arc::clone(&slots).try_acquire_owned() else {
            counters.refused();
            incoming.refuse();
            continue;
        };
        let busy = MAX_HANDSHAKES - slots.available_permits();
        if busy > PROVE_ADDRESS_FROM && !incoming.remote_address_validated() {
            // It fails only for an address that is proved already.
            let _ = incoming.retry();
            continue;
        }
        let tx = tx.clone();
        let counters = Arc::clone(&counters);
        let limit = Arc::clone(&limit);
        tokio::spawn(async move {
            let remote = incoming.remote_address();
            match handshake(incoming, &counters).await {
                Ok(peer) => {
                    let _ = tx.send(peer).await;
                }
                Err(e) => {
                    if let Some(held) = limit.pass() {
                        log::warn!("event=peer_refused peer={remote} error={e:?} held_back={held}");
                    }
                }
            }
            drop(slot);
        });
    }
}

async fn handshake(
    incoming: quinn::Incoming,
    counters: &Arc<LinkCounters>,
) -> Result<Peer, LinkError> {
    let connecting = incoming.accept()?;
    let connection = tokio::time::timeout(HANDSHAKE_TIMEOUT, connecting)
        .await
        .map_err(|_| {
            counters.timed_out();
            LinkError::NotConnected(HANDSHAKE_TIMEOUT)
        })?
        .inspect_err(|e| counters.failed(e))?;
    Peer::new(connection, Arc::clone(counters))
}

/// Reads the role of the peer out of the certificate that it showed.
fn role_of(connection: &quinn::Connection) -> Result<PeerRole, KeyError> {
    let identity = connection.peer_identity().ok_or(KeyError::NoRole)?;
    let chain = identity
        .downcast::<Vec<rustls::pki_types::CertificateDer<'static>>>()
        .map_err(|_| KeyError::NoRole)?;
    PeerRole::from_certificate(chain.first().ok_or(KeyError::NoRole)?)
}
