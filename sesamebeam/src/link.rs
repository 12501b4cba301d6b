//! Connections between the processes of a fleet: QUIC with mutual TLS.
//!
//! A [`Link`] is a UDP socket that accepts and establishes connections. A [`Peer`]
//! is a connection whose remote end has presented a certificate of the same
//! fleet. Each call uses one bidirectional stream. One-way messages share one
//! stream in each direction and keep their order.

mod client;
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
    client::{
        BackOff,
        PeerClient,
        PeerPool, //
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

/// Name in every server certificate of a fleet.
const SERVER_NAME: &str = crate::keys::FLEET_NAME;

/// Maximum number of concurrent calls of one peer; further ones wait at the peer.
/// Each slot costs 68 bytes per connection, even if it is never used.
const MAX_CALLS: u32 = 128;

/// Maximum number of one-way streams that one peer may have open. Only one is in
/// use, but an abandoned stream may overlap with the one that replaces it.
const MAX_ONE_WAY: u32 = 4;

/// Maximum number of bytes in flight or unread on one connection.
const FLOW_CONTROL_WINDOW: u32 = 2 * MAX_MESSAGE_BYTES as u32;

/// Maximum number of concurrent handshakes; further ones are refused.
const MAX_HANDSHAKES: usize = 256;

/// Number of concurrent handshakes above which a client must validate its address,
/// so that datagrams with spoofed source addresses cannot exhaust
/// [`MAX_HANDSHAKES`].
const ADDRESS_VALIDATION_THRESHOLD: usize = MAX_HANDSHAKES / 4;

/// Timeout for a handshake.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(5);

/// Maximum number of connections waiting for [`Link::accept`].
const ACCEPT_QUEUE: usize = 64;

/// Timeouts of a connection.
#[derive(Clone, Copy, Debug)]
pub struct LinkTimings {
    /// Idle time after which a connection is closed.
    pub idle: Duration,
    /// Idle time after which a keep-alive packet is sent.
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
        /// Requested address.
        addr: SocketAddr,
        /// Error of the system.
        source: io::Error,
    },
    /// The credentials cannot be used.
    #[error(transparent)]
    Keys(#[from] KeyError),
    /// The connection attempt could not be started.
    #[error("cannot connect: {0}")]
    Connect(#[from] quinn::ConnectError),
    /// The connection could not be established, or has ended.
    #[error("connection failed: {0}")]
    Connection(#[from] quinn::ConnectionError),
    /// The peer has another role than expected.
    #[error("peer is {found}, not {expected}")]
    WrongRole {
        /// Role expected at the address.
        expected: Role,
        /// Role of the peer.
        found: Role,
    },
    /// A message could not be written.
    #[error("cannot write to the peer: {0}")]
    Write(#[from] quinn::WriteError),
    /// A message could not be encoded or decoded.
    #[error(transparent)]
    Wire(#[from] WireError),
    /// The peer accepted the call but did not answer it.
    #[error("peer gave no answer")]
    NoAnswer,
    /// The deadline passed after the message may have been sent.
    #[error("no answer within {0:?}")]
    Deadline(Duration),
    /// No connection was established before the deadline: nothing was sent.
    #[error("not connected within {0:?}")]
    NotConnected(Duration),
    /// The previous attempts to connect failed and the next one is not due yet.
    #[error("not connected; the next attempt is in {0:?}")]
    BackOff(Duration),
}

/// UDP socket that accepts and establishes connections.
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
    /// Fails if the system cannot provide it.
    pub fn local_addr(&self) -> io::Result<SocketAddr> {
        self.endpoint.local_addr()
    }

    /// Returns the counts of refused or failed handshakes and messages.
    pub fn counts(&self) -> LinkCounts {
        self.counters.counts()
    }

    /// Connects to a peer, which must have the role `expect` if one is given.
    ///
    /// # Errors
    ///
    /// Fails if there is no response, the peer's certificate is not of this fleet,
    /// or the peer has another role.
    pub async fn connect(&self, addr: SocketAddr, expect: Option<Role>) -> Result<Peer, LinkError> {
        self.connect_from(&self.endpoint, addr, expect).await
    }

    /// Connects to a peer from a new UDP port.
    ///
    /// A middlebox that has lost the state of a flow silently drops every datagram
    /// between the two ports, including those of a new connection. A new port
    /// makes it a new flow.
    ///
    /// # Errors
    ///
    /// Fails like [`Link::connect`], or if no socket can be opened.
    pub async fn connect_from_new_port(
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

    /// Waits for the next peer that connects; `None` after [`Link::close`].
    pub async fn accept(&self) -> Option<Peer> {
        self.accepted.lock().await.recv().await
    }

    /// Closes every connection over the link's own socket.
    pub fn close(&self) {
        self.endpoint.close(VarInt::from_u32(0), b"closed");
    }

    /// Waits until the connections have been closed and their peers notified.
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
        let connection = connecting
            .await
            .inspect_err(|e| self.counters.handshake_failed(e))?;
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
        .receive_window(VarInt::from_u32(FLOW_CONTROL_WINDOW))
        .send_window(u64::from(FLOW_CONTROL_WINDOW))
        .datagram_receive_buffer_size(None);
    cfg
}

/// Performs the handshakes of incoming connections until the socket is closed.
async fn accept_all(endpoint: Endpoint, tx: mpsc::Sender<Peer>, counters: Arc<LinkCounters>) {
    let slots = Arc::new(Semaphore::new(MAX_HANDSHAKES));
    let limit = Arc::new(LogLimit::default());
    while let Some(incoming) = endpoint.accept().await {
        let Ok(slot) = Arc::clone(&slots).try_acquire_owned() else {
            counters.handshake_refused();
            incoming.refuse();
            continue;
        };
        let busy = MAX_HANDSHAKES - slots.available_permits();
        if busy > ADDRESS_VALIDATION_THRESHOLD && !incoming.remote_address_validated() {
            // Fails only if the address has already been validated.
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
                    if let Some(held) = limit.allow() {
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
            counters.handshake_timed_out();
            LinkError::NotConnected(HANDSHAKE_TIMEOUT)
        })?
        .inspect_err(|e| counters.handshake_failed(e))?;
    Peer::new(connection, Arc::clone(counters))
}

/// Returns the role in the certificate that the peer presented.
fn role_of(connection: &quinn::Connection) -> Result<PeerRole, KeyError> {
    let identity = connection.peer_identity().ok_or(KeyError::NoRole)?;
    let chain = identity
        .downcast::<Vec<rustls::pki_types::CertificateDer<'static>>>()
        .map_err(|_| KeyError::NoRole)?;
    PeerRole::from_certificate(chain.first().ok_or(KeyError::NoRole)?)
}
