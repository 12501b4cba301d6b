//! Client that an operator's tools use to call the control group and the entries.

use std::{
    net::{
        Ipv4Addr,
        SocketAddr, //
    },
    sync::Arc,
    time::Duration,
};

use futures::future::join_all;
use sesamebeam_core::message::{
    control::{
        ControlReply,
        ControlRequest,
        LeaderHint,
        Status, //
    },
    entry::{
        EntryReply,
        EntryRequest, //
    },
};
use smol_str::SmolStr;
use thiserror::Error;
use tokio::time::{
    Instant,
    sleep_until, //
};

use crate::{
    link::{
        Credentials,
        Link,
        LinkError,
        PeerPool,
        Role, //
    },
    settings::{
        OperatorSettings,
        PeerEntry,
        ReplicaAddress, //
    },
};

/// Timeout of a call to one replica or entry. It is longer than a leader waits for its quorum.
const CALL_TIMEOUT: Duration = Duration::from_secs(4);

/// Delay before the replicas are tried again after all of them failed.
const ROUND_DELAY: Duration = Duration::from_millis(200);

/// Error of a call to the control group.
#[derive(Debug, Error)]
pub enum ControlCallError {
    /// The link could not be opened.
    #[error(transparent)]
    Link(#[from] LinkError),
    /// No replica could be reached, so the request was not sent.
    #[error("no control replica can be reached within {timeout:?}; last error: {last_error}")]
    Unreachable {
        /// Timeout of the call.
        timeout: Duration,
        /// Error of the last replica that was tried.
        last_error: SmolStr,
    },
    /// The request was sent but not answered, so it may or may not have taken effect.
    #[error(
        "no answer within {timeout:?}: it may or may not have been done; last error: {last_error}"
    )]
    Unanswered {
        /// Timeout of the call.
        timeout: Duration,
        /// Error of the last replica that was tried.
        last_error: SmolStr,
    },
}

/// Connections of an operator to control replicas and entries.
pub struct Client {
    pool: PeerPool,
    role: Role,
    control: Vec<ReplicaAddress>,
    timeout: Duration,
}

impl Client {
    /// Opens a link with the credentials named in the operator's settings.
    ///
    /// # Errors
    ///
    /// Fails if the credentials cannot be read or no socket can be opened.
    ///
    /// # Panics
    ///
    /// Panics outside a tokio runtime.
    pub fn open(settings: &OperatorSettings) -> Result<Self, LinkError> {
        let creds = Credentials::load(&settings.keys)?;
        Self::with_credentials(settings, &creds)
    }

    /// Opens a link with credentials that are already loaded.
    ///
    /// # Errors
    ///
    /// Fails if no socket can be opened.
    ///
    /// # Panics
    ///
    /// Panics outside a tokio runtime.
    pub fn with_credentials(
        settings: &OperatorSettings,
        creds: &Credentials,
    ) -> Result<Self, LinkError> {
        let ip = settings.control.first().map(|replica| replica.addr.ip());
        let local_addr = match ip {
            Some(ip) if ip.is_loopback() => SocketAddr::new(ip, 0),
            Some(ip) if ip.is_ipv6() => SocketAddr::from(([0_u16; 8], 0)),
            _ => SocketAddr::from((Ipv4Addr::UNSPECIFIED, 0)),
        };
        let link = Arc::new(Link::bind(local_addr, creds)?);
        Ok(Self {
            pool: PeerPool::new(link, rand::random()),
            role: creds.role().clone(),
            control: settings.control.clone(),
            timeout: settings.timeout,
        })
    }

    /// Returns the role in the client's certificate.
    pub fn role(&self) -> &Role {
        &self.role
    }

    /// Sends a request to the control group, following redirects to the leader.
    ///
    /// The request is retried on the same or another replica until it is
    /// answered. Retries are safe: a change has an id and keeps its first
    /// verdict, and all other requests are reads or idempotent.
    ///
    /// # Errors
    ///
    /// Fails if no replica answers before the timeout.
    pub async fn call_control(
        &self,
        req: &ControlRequest,
    ) -> Result<ControlReply, ControlCallError> {
        let deadline = Instant::now() + self.timeout;
        let mut search = ReplicaSearch::new(&self.control);
        while let Some(replica) = search.next(deadline).await {
            let remaining = deadline.saturating_duration_since(Instant::now());
            let role = Role::Control(replica.node);
            let caller = self.pool.get(replica.addr, Some(role));
            match caller.call(req, remaining.min(CALL_TIMEOUT)).await {
                Ok(ControlReply::NotLeader(hint)) => search.not_leader(&replica, hint),
                Ok(ControlReply::Unavailable(reason)) => search.failed(reason, true),
                Ok(reply) => return Ok(reply),
                Err(e) => search.failed(smol_str::format_smolstr!("{e}"), may_have_been_sent(&e)),
            }
        }
        Err(search.error(self.timeout))
    }

    /// Returns the status of the control group, as seen by the leader if it can be reached.
    ///
    /// Any replica reports its own state, so a status is available without a
    /// quorum too, but only the leader knows the state of the entries and of the
    /// other replicas.
    ///
    /// # Errors
    ///
    /// Fails like [`Client::call_control`]. The inner error is a reply that is not a status.
    pub async fn status(&self) -> Result<Result<Box<Status>, ControlReply>, ControlCallError> {
        let status = match self.call_control(&ControlRequest::Status).await? {
            ControlReply::Status(status) => status,
            other => return Ok(Err(other)),
        };
        let leader = self
            .control
            .iter()
            .find(|replica| Some(replica.node) == status.leader && replica.node != status.node);
        let Some(leader) = leader else {
            return Ok(Ok(status));
        };
        let caller = self.pool.get(leader.addr, Some(Role::Control(leader.node)));
        let timeout = self.timeout.min(CALL_TIMEOUT);
        match caller.call(&ControlRequest::Status, timeout).await {
            Ok(ControlReply::Status(status)) => Ok(Ok(status)),
            _ => Ok(Ok(status)),
        }
    }

    /// Sends a request to several entries concurrently.
    pub async fn call_entries<'a>(
        &self,
        entries: &'a [PeerEntry],
        req: &EntryRequest,
    ) -> Vec<(&'a PeerEntry, Result<EntryReply, LinkError>)> {
        let calls = entries
            .iter()
            .map(|entry| async move { (entry, self.call_entry(entry, req).await) });
        join_all(calls).await
    }

    /// Sends a request to one entry.
    ///
    /// # Errors
    ///
    /// Fails if the entry does not answer before the timeout.
    pub async fn call_entry(
        &self,
        entry: &PeerEntry,
        req: &EntryRequest,
    ) -> Result<EntryReply, LinkError> {
        let role = Role::Entry(entry.instance.clone());
        let caller = self.pool.get(entry.addr, Some(role));
        caller.call(req, self.timeout.min(CALL_TIMEOUT)).await
    }
}

/// Returns whether the request of a failed call may have reached the peer.
fn may_have_been_sent(e: &LinkError) -> bool {
    !matches!(
        e,
        LinkError::BackOff(_)
            | LinkError::Bind { .. }
            | LinkError::Connect(_)
            | LinkError::WrongRole { .. }
            | LinkError::NotConnected(_)
    )
}

/// Order in which replicas are tried until one answers.
struct ReplicaSearch {
    replicas: Vec<ReplicaAddress>,
    /// Index of the replica to try next.
    next_index: usize,
    /// Number of attempts since the last delay.
    attempts: usize,
    /// Whether any replica may have received the request.
    may_have_been_sent: bool,
    last_error: SmolStr,
}

impl ReplicaSearch {
    fn new(replicas: &[ReplicaAddress]) -> Self {
        Self {
            replicas: replicas.to_vec(),
            next_index: 0,
            attempts: 0,
            may_have_been_sent: false,
            last_error: "no control replica is configured".into(),
        }
    }

    /// Returns the replica to try next, or `None` once the deadline has passed.
    async fn next(&mut self, deadline: Instant) -> Option<ReplicaAddress> {
        // Replicas that redirect to each other must not cause a busy loop.
        if self.attempts > self.replicas.len() {
            self.attempts = 0;
            sleep_until(deadline.min(Instant::now() + ROUND_DELAY)).await;
        }
        if Instant::now() >= deadline {
            return None;
        }
        self.attempts += 1;
        self.replicas.get(self.next_index).cloned()
    }

    fn failed(&mut self, error: SmolStr, may_have_been_sent: bool) {
        self.last_error = error;
        self.may_have_been_sent |= may_have_been_sent;
        self.advance();
    }

    /// Follows the hint to the leader. The leader may be missing from the
    /// settings if it replaced a lost replica.
    fn not_leader(&mut self, replica: &ReplicaAddress, hint: Option<LeaderHint>) {
        self.last_error = smol_str::format_smolstr!("replica {} does not lead", replica.node);
        let Some(hint) = hint.filter(|hint| hint.node != replica.node) else {
            return self.advance();
        };
        let known_index = self.replicas.iter().position(|r| r.node == hint.node);
        match (known_index, hint.addr) {
            (Some(index), _) => self.next_index = index,
            (None, Some(addr)) => {
                self.next_index = self.replicas.len();
                self.replicas.push(ReplicaAddress {
                    node: hint.node,
                    addr,
                });
            }
            (None, None) => self.advance(),
        }
    }

    fn advance(&mut self) {
        self.next_index = (self.next_index + 1) % self.replicas.len().max(1);
    }

    fn error(self, timeout: Duration) -> ControlCallError {
        let last_error = self.last_error;
        if self.may_have_been_sent {
            ControlCallError::Unanswered {
                timeout,
                last_error,
            }
        } else {
            ControlCallError::Unreachable {
                timeout,
                last_error,
            }
        }
    }
}
