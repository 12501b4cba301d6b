//! Client of one address, which reconnects when its connection fails.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{
        Arc,
        Mutex,
        PoisonError, //
    },
    time::Duration,
};

use rand::{
    RngExt,
    SeedableRng,
    rngs::StdRng, //
};
use serde::{
    Serialize,
    de::DeserializeOwned, //
};
use tokio::time::{
    Instant,
    timeout_at, //
};

use super::{
    Link,
    LinkError,
    Peer,
    Role, //
};

/// Maximum delay after the first failed attempt to connect.
const INITIAL_BACK_OFF: Duration = Duration::from_millis(50);

/// Maximum delay between two attempts to connect.
const MAX_BACK_OFF: Duration = Duration::from_secs(5);

/// Timeout for one attempt to connect.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(3);

/// Time without a datagram from a peer that is sent one-way messages, after which
/// its connection is considered silent. A peer normally acknowledges each message
/// within some tens of milliseconds.
const SILENCE_TIMEOUT: Duration = Duration::from_secs(1);

/// Minimum number of unacknowledged messages before a connection is considered
/// silent. A process that was suspended and sends again has not yet read the
/// acknowledgements of its last message, and must not consider that as silence.
const MIN_UNACKNOWLEDGED: u32 = 3;

/// Exponential back-off with jitter: delays double up to a maximum, and each is
/// shortened randomly by up to a half, so that processes that lost the same peer
/// do not reconnect to it at the same moment.
#[derive(Debug)]
pub struct BackOff {
    rng: StdRng,
    failures: u32,
}

impl BackOff {
    /// Creates a back-off without failures; `seed` determines the jitter.
    pub fn new(seed: u64) -> Self {
        Self {
            rng: StdRng::seed_from_u64(seed),
            failures: 0,
        }
    }

    /// Counts a failure and returns the delay before the next attempt.
    pub fn fail(&mut self) -> Duration {
        let doubled = INITIAL_BACK_OFF.saturating_mul(1 << self.failures.min(16));
        self.failures = self.failures.saturating_add(1);
        doubled
            .min(MAX_BACK_OFF)
            .mul_f64(self.rng.random_range(0.5..=1.0))
    }

    /// Resets the number of failures after a success.
    pub fn reset(&mut self) {
        self.failures = 0;
    }
}

/// Keeps a connection to one address and applies a deadline to each call.
pub struct PeerClient {
    link: Arc<Link>,
    addr: SocketAddr,
    expect: Option<Role>,
    state: tokio::sync::Mutex<State>,
}

struct State {
    peer: Option<Arc<Peer>>,
    /// Whether the last connection went silent, so that the next one uses a new
    /// local port.
    silent: bool,
    /// One-way messages sent since the last datagram was received.
    unacknowledged: Option<Unacknowledged>,
    back_off: BackOff,
    /// Earliest time of the next attempt to connect.
    not_before: Option<Instant>,
}

/// One-way messages sent while no datagram was received.
#[derive(Clone, Copy)]
struct Unacknowledged {
    /// Number of datagrams received before the messages.
    received: u64,
    /// Time at which the first of the messages was sent.
    since: Instant,
    /// Number of messages.
    sent: u32,
}

impl PeerClient {
    /// Creates a client that connects at its first call.
    pub fn new(link: Arc<Link>, addr: SocketAddr, expect: Option<Role>, seed: u64) -> Self {
        let state = State {
            peer: None,
            silent: false,
            unacknowledged: None,
            back_off: BackOff::new(seed),
            not_before: None,
        };
        Self {
            link,
            addr,
            expect,
            state: tokio::sync::Mutex::new(state),
        }
    }

    /// Returns the address of the peer.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Sends a request and waits for the answer until the deadline, connecting
    /// first if necessary.
    ///
    /// # Errors
    ///
    /// Fails immediately if the next attempt to connect is not due yet. Otherwise
    /// fails like [`Peer::call`], or if the deadline passes.
    pub async fn call<Q: Serialize, A: DeserializeOwned>(
        &self,
        req: &Q,
        deadline: Duration,
    ) -> Result<A, LinkError> {
        let until = Instant::now() + deadline;
        let peer = self.peer_until(until, deadline).await?;
        let received = peer.datagrams_received();
        match timeout_at(until, peer.call(req)).await {
            Ok(answer) => answer,
            Err(_) => {
                self.retire_if_silent(&peer, received).await;
                Err(LinkError::Deadline(deadline))
            }
        }
    }

    /// Sends a one-way message, connecting first if necessary.
    ///
    /// # Errors
    ///
    /// Fails immediately if the next attempt to connect is not due yet. Otherwise
    /// fails like [`Peer::send`], or if the deadline passes.
    pub async fn send<M: Serialize>(&self, msg: &M, deadline: Duration) -> Result<(), LinkError> {
        let until = Instant::now() + deadline;
        let peer = self.peer_until(until, deadline).await?;
        let received = peer.datagrams_received();
        match timeout_at(until, peer.send(msg)).await {
            Ok(sent) => {
                self.retire_if_unacknowledged(&peer).await;
                sent
            }
            Err(_) => {
                self.retire_if_silent(&peer, received).await;
                Err(LinkError::Deadline(deadline))
            }
        }
    }

    /// Returns the connection, connecting first if necessary.
    ///
    /// # Errors
    ///
    /// Fails immediately if the next attempt to connect is not due yet. Otherwise
    /// fails like [`Link::connect`], or if the deadline passes.
    pub async fn peer(&self, deadline: Duration) -> Result<Arc<Peer>, LinkError> {
        self.peer_until(Instant::now() + deadline, deadline).await
    }

    /// Closes the connection; the next call opens a new one.
    pub async fn disconnect(&self) {
        let peer = self.state.lock().await.peer.take();
        if let Some(peer) = peer {
            peer.close();
        }
    }

    async fn peer_until(&self, until: Instant, deadline: Duration) -> Result<Arc<Peer>, LinkError> {
        let mut state = timeout_at(until, self.state.lock())
            .await
            .map_err(|_| LinkError::NotConnected(deadline))?;
        if let Some(peer) = &state.peer
            && !peer.is_closed()
        {
            return Ok(Arc::clone(peer));
        }
        if let Some(peer) = state.peer.take() {
            state.silent |= is_timeout(&peer.closed().await);
        }
        let now = Instant::now();
        if let Some(due) = state.not_before
            && now < due
        {
            return Err(LinkError::BackOff(due - now));
        }
        match self.connect(&state, until.min(now + CONNECT_TIMEOUT)).await {
            Ok(peer) => {
                let peer = Arc::new(peer);
                state.peer = Some(Arc::clone(&peer));
                state.silent = false;
                state.unacknowledged = None;
                state.not_before = None;
                state.back_off.reset();
                Ok(peer)
            }
            Err(e) => {
                state.silent |= is_timeout(&e);
                let wait = state.back_off.fail();
                state.not_before = Some(Instant::now() + wait);
                Err(e)
            }
        }
    }

    async fn connect(&self, state: &State, until: Instant) -> Result<Peer, LinkError> {
        let started = Instant::now();
        let expect = self.expect.clone();
        let connected = if state.silent {
            timeout_at(until, self.link.connect_from_new_port(self.addr, expect)).await
        } else {
            timeout_at(until, self.link.connect(self.addr, expect)).await
        };
        connected.map_err(|_| LinkError::NotConnected(until - started))?
    }

    /// Closes a connection on which no datagram was received during a call that
    /// missed its deadline.
    ///
    /// A peer acknowledges a request even if it is slow to answer, so without an
    /// acknowledgement the path has gone silent. Every later call on this
    /// connection would miss its deadline until the idle timeout. The connection
    /// to a slow peer is kept.
    async fn retire_if_silent(&self, peer: &Arc<Peer>, received: u64) {
        if peer.datagrams_received() != received {
            return;
        }
        self.state.lock().await.retire(peer);
    }

    /// Closes a connection on which messages were sent for [`SILENCE_TIMEOUT`] and
    /// no datagram was received.
    ///
    /// Nothing answers a one-way message, so a lost one is not noticed. Without
    /// this check, the heartbeats of a leader whose path to a follower has gone
    /// silent would be lost until the idle timeout, and the follower would start
    /// an election although a new connection works.
    async fn retire_if_unacknowledged(&self, peer: &Arc<Peer>) {
        let mut state = self.state.lock().await;
        let received = peer.datagrams_received();
        let now = Instant::now();
        match &mut state.unacknowledged {
            Some(unacknowledged) if unacknowledged.received == received => {
                unacknowledged.sent = unacknowledged.sent.saturating_add(1);
                if unacknowledged.sent >= MIN_UNACKNOWLEDGED
                    && now - unacknowledged.since >= SILENCE_TIMEOUT
                {
                    state.retire(peer);
                }
            }
            _ => {
                state.unacknowledged = Some(Unacknowledged {
                    received,
                    since: now,
                    sent: 1,
                });
            }
        }
    }
}

impl State {
    /// Closes the connection if `peer` is still the current one.
    fn retire(&mut self, peer: &Arc<Peer>) {
        if self.peer.as_ref().is_some_and(|p| Arc::ptr_eq(p, peer)) {
            self.peer = None;
            self.silent = true;
            self.unacknowledged = None;
            peer.close();
        }
    }
}

/// Returns whether the error means that nothing was received from the peer.
fn is_timeout(e: &LinkError) -> bool {
    matches!(
        e,
        LinkError::NotConnected(_) | LinkError::Connection(quinn::ConnectionError::TimedOut)
    )
}

/// Address of a peer and the role expected there.
type PoolKey = (SocketAddr, Option<Role>);

/// Clients by address, with one connection each.
pub struct PeerPool {
    link: Arc<Link>,
    seed: u64,
    /// Clients by address and expected role. After a repair, another replica
    /// listens on the address of the lost one, and the client that expects the
    /// lost one would always refuse it.
    clients: Mutex<BTreeMap<PoolKey, Arc<PeerClient>>>,
}

impl PeerPool {
    /// Creates an empty pool; `seed` determines the jitter of the back-offs.
    pub fn new(link: Arc<Link>, seed: u64) -> Self {
        Self {
            link,
            seed,
            clients: Mutex::new(BTreeMap::new()),
        }
    }

    /// Returns the client for an address and an expected role, creating it first
    /// if necessary.
    pub fn get(&self, addr: SocketAddr, expect: Option<Role>) -> Arc<PeerClient> {
        let mut clients = self.clients.lock().unwrap_or_else(PoisonError::into_inner);
        let seed = self.seed ^ (clients.len() as u64 + 1).wrapping_mul(0x9e37_79b9_7f4a_7c15);
        let client = clients.entry((addr, expect.clone())).or_insert_with(|| {
            Arc::new(PeerClient::new(Arc::clone(&self.link), addr, expect, seed))
        });
        Arc::clone(client)
    }

    /// Removes the clients of an address; their connections end with their last
    /// calls.
    pub fn remove(&self, addr: SocketAddr) {
        let mut clients = self.clients.lock().unwrap_or_else(PoisonError::into_inner);
        clients.retain(|(at, _), _| *at != addr);
    }
}
