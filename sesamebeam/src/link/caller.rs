//! Calls to one address over a connection that is kept and renewed.

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

/// Wait after the first failed attempt to connect.
const FIRST_WAIT: Duration = Duration::from_millis(50);

/// Longest wait between two attempts to connect.
const LONGEST_WAIT: Duration = Duration::from_secs(5);

/// Longest time that one attempt to connect may take.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(3);

/// Longest silence of a peer that is sent one-way messages. It acknowledges each
/// within some tens of milliseconds.
const SILENCE: Duration = Duration::from_secs(1);

/// Fewest messages that go unheard before their silence counts. A process that
/// was stopped for a while and sends again has the acknowledgements of its last
/// message still unread; it must not take that for silence.
const LEAST_UNHEARD: u32 = 3;

/// Waits between attempts that double up to a bound, each shortened by a
/// random part of up to a half, so that many processes that lost the same peer
/// do not come back to it in the same moment.
#[derive(Debug)]
pub struct BackOff {
    rng: StdRng,
    failures: u32,
}

impl BackOff {
    /// Starts without a failure; `seed` fixes the random part.
    pub fn new(seed: u64) -> Self {
        Self {
            rng: StdRng::seed_from_u64(seed),
            failures: 0,
        }
    }

    /// Counts a failure and returns the wait before the next attempt.
    pub fn fail(&mut self) -> Duration {
        let doubled = FIRST_WAIT.saturating_mul(1 << self.failures.min(16));
        self.failures = self.failures.saturating_add(1);
        doubled
            .min(LONGEST_WAIT)
            .mul_f64(self.rng.random_range(0.5..=1.0))
    }

    /// Forgets the failures after a success.
    pub fn reset(&mut self) {
        self.failures = 0;
    }
}

/// Keeps one connection to one address and gives each call a deadline.
pub struct Caller {
    link: Arc<Link>,
    addr: SocketAddr,
    expect: Option<Role>,
    state: tokio::sync::Mutex<State>,
}

struct State {
    peer: Option<Arc<Peer>>,
    /// Whether the last connection went silent, so that the next one starts
    /// from a new port.
    silent: bool,
    /// Since when one-way messages were sent without a datagram coming back.
    unheard: Option<Unheard>,
    back_off: BackOff,
    /// No attempt to connect before this moment.
    not_before: Option<Instant>,
}

/// A time from which on nothing came back.
#[derive(Clone, Copy)]
struct Unheard {
    /// Datagrams received up to then.
    received: u64,
    /// When the first message after them was sent.
    since: Instant,
    /// Messages sent from then on.
    sent: u32,
}

impl Caller {
    /// Makes a caller that connects at its first call.
    pub fn new(link: Arc<Link>, addr: SocketAddr, expect: Option<Role>, seed: u64) -> Self {
        let state = State {
            peer: None,
            silent: false,
            unheard: None,
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

    /// Returns the address that is called.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Sends a request and waits for the answer until the deadline, connecting
    /// first if need be.
    ///
    /// # Errors
    ///
    /// Fails at once while the next attempt to connect is not due; else like
    /// [`Peer::call`], or if the deadline passes.
    pub async fn call<Q: Serialize, A: DeserializeOwned>(
        &self,
        req: &Q,
        deadline: Duration,
    ) -> Result<A, LinkError> {
        let until = Instant::now() + deadline;
        let peer = self.peer_until(until, deadline).await?;
        let received = peer.received();
        match timeout_at(until, peer.call(req)).await {
            Ok(answer) => answer,
            Err(_) => {
                self.retire_if_silent(&peer, received).await;
                Err(LinkError::Deadline(deadline))
            }
        }
    }

    /// Sends a one-way message, connecting first if need be.
    ///
    /// # Errors
    ///
    /// Fails at once while the next attempt to connect is not due; else like
    /// [`Peer::send`], or if the deadline passes.
    pub async fn send<M: Serialize>(&self, msg: &M, deadline: Duration) -> Result<(), LinkError> {
        let until = Instant::now() + deadline;
        let peer = self.peer_until(until, deadline).await?;
        let received = peer.received();
        match timeout_at(until, peer.send(msg)).await {
            Ok(sent) => {
                self.retire_if_unheard(&peer).await;
                sent
            }
            Err(_) => {
                self.retire_if_silent(&peer, received).await;
                Err(LinkError::Deadline(deadline))
            }
        }
    }

    /// Returns the connection, making it first if need be.
    ///
    /// # Errors
    ///
    /// Fails at once while the next attempt to connect is not due; else like
    /// [`Link::connect`], or if the deadline passes.
    pub async fn peer(&self, deadline: Duration) -> Result<Arc<Peer>, LinkError> {
        self.peer_until(Instant::now() + deadline, deadline).await
    }

    /// Ends the connection; the next call makes a new one.
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
            state.silent |= is_silence(&peer.closed().await);
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
                state.unheard = None;
                state.not_before = None;
                state.back_off.reset();
                Ok(peer)
            }
            Err(e) => {
                state.silent |= is_silence(&e);
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
            timeout_at(until, self.link.connect_anew(self.addr, expect)).await
        } else {
            timeout_at(until, self.link.connect(self.addr, expect)).await
        };
        connected.map_err(|_| LinkError::NotConnected(until - started))?
    }

    /// Gives a connection up on which not one datagram came during a call that
    /// missed its deadline.
    ///
    /// The peer's acknowledgement of the request comes whatever the peer does
    /// with it. Without one the path has gone silent, and every later call on
    /// this connection would wait for its deadline until the idle timeout. A
    /// slow peer does acknowledge, and its connection stays.
    async fn retire_if_silent(&self, peer: &Arc<Peer>, received: u64) {
        if peer.received() != received {
            return;
        }
        self.state.lock().await.retire(peer);
    }

    /// Gives a connection up on which messages went out for [`SILENCE`] and not
    /// one datagram came back.
    ///
    /// A one-way message has no deadline of its own. Without this check a leader
    /// whose path to a follower went silent would send its heartbeats into
    /// nothing until the idle timeout, and the follower would stand for election
    /// though a new connection works.
    async fn retire_if_unheard(&self, peer: &Arc<Peer>) {
        let mut state = self.state.lock().await;
        let received = peer.received();
        let now = Instant::now();
        match &mut state.unheard {
            Some(unheard) if unheard.received == received => {
                unheard.sent = unheard.sent.saturating_add(1);
                if unheard.sent >= LEAST_UNHEARD && now - unheard.since >= SILENCE {
                    state.retire(peer);
                }
            }
            _ => {
                state.unheard = Some(Unheard {
                    received,
                    since: now,
                    sent: 1,
                });
            }
        }
    }
}

impl State {
    /// Gives the present connection up, if it is still this one.
    fn retire(&mut self, peer: &Arc<Peer>) {
        if self.peer.as_ref().is_some_and(|p| Arc::ptr_eq(p, peer)) {
            self.peer = None;
            self.silent = true;
            self.unheard = None;
            peer.close();
        }
    }
}

/// Returns whether nothing at all was heard from the other end.
fn is_silence(e: &LinkError) -> bool {
    matches!(
        e,
        LinkError::NotConnected(_) | LinkError::Connection(quinn::ConnectionError::TimedOut)
    )
}

/// An address and the role that is expected there.
type Expected = (SocketAddr, Option<Role>);

/// Callers by address, one connection each.
pub struct Pool {
    link: Arc<Link>,
    seed: u64,
    /// By address and expected role: after a repair another replica listens on
    /// the address of the lost one, and the old caller would refuse it for good.
    callers: Mutex<BTreeMap<Expected, Arc<Caller>>>,
}

impl Pool {
    /// Makes an empty pool; `seed` fixes the random parts of the back-offs.
    pub fn new(link: Arc<Link>, seed: u64) -> Self {
        Self {
            link,
            seed,
            callers: Mutex::new(BTreeMap::new()),
        }
    }

    /// Returns the caller of an address that expects a role, making it first if
    /// need be.
    pub fn get(&self, addr: SocketAddr, expect: Option<Role>) -> Arc<Caller> {
        let mut callers = self.callers.lock().unwrap_or_else(PoisonError::into_inner);
        let seed = self.seed ^ (callers.len() as u64 + 1).wrapping_mul(0x9e37_79b9_7f4a_7c15);
        let caller = callers
            .entry((addr, expect.clone()))
            .or_insert_with(|| Arc::new(Caller::new(Arc::clone(&self.link), addr, expect, seed)));
        Arc::clone(caller)
    }

    /// Forgets an address; its connection ends when its last call has.
    pub fn forget(&self, addr: SocketAddr) {
        let mut callers = self.callers.lock().unwrap_or_else(PoisonError::into_inner);
        callers.retain(|(at, _), _| *at != addr);
    }
}
