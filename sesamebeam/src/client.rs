//! Questions of an operator to the control group and to the entries.

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

/// Longest wait for one replica; longer than a leader waits for its quorum.
const ONE_REPLICA: Duration = Duration::from_secs(4);

/// Pause after every replica was asked in vain.
const ROUND_PAUSE: Duration = Duration::from_millis(200);

/// Why a question got no answer.
#[derive(Debug, Error)]
pub enum AskError {
    /// No link could be opened.
    #[error(transparent)]
    Link(#[from] LinkError),
    /// Nobody could be reached, so nothing was asked.
    #[error("no control replica can be reached within {within:?}; the last failure: {last}")]
    Unreachable {
        /// Time that was spent.
        within: Duration,
        /// What the last replica said.
        last: SmolStr,
    },
    /// It was asked and not answered: it may or may not have been done.
    #[error(
        "no answer within {within:?}: it may or may not have been done; the last failure: {last}"
    )]
    Unanswered {
        /// Time that was spent.
        within: Duration,
        /// What the last replica said.
        last: SmolStr,
    },
}

/// An operator's connections.
pub struct Client {
    pool: PeerPool,
    role: Role,
    control: Vec<ReplicaAddress>,
    timeout: Duration,
}

impl Client {
    /// Opens a link with an operator's credentials.
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
        Self::with(settings, &creds)
    }

    /// Opens a link with credentials in memory.
    ///
    /// # Errors
    ///
    /// Fails if no socket can be opened.
    ///
    /// # Panics
    ///
    /// Panics outside a tokio runtime.
    pub fn with(settings: &OperatorSettings, creds: &Credentials) -> Result<Self, LinkError> {
        let ip = settings.control.first().map(|replica| replica.addr.ip());
        let from = match ip {
            Some(ip) if ip.is_loopback() => SocketAddr::new(ip, 0),
            Some(ip) if ip.is_ipv6() => SocketAddr::from(([0_u16; 8], 0)),
            _ => SocketAddr::from((Ipv4Addr::UNSPECIFIED, 0)),
        };
        let link = Arc::new(Link::bind(from, creds)?);
        Ok(Self {
            pool: PeerPool::new(link, rand::random()),
            role: creds.role().clone(),
            control: settings.control.clone(),
            timeout: settings.timeout,
        })
    }

    /// Returns who asks.
    pub fn role(&self) -> &Role {
        &self.role
    }

    /// Asks the control group, following it to its leader.
    ///
    /// The request is sent again, to the same or another replica, until it is
    /// answered. That does no harm: a change has an id, and the first verdict
    /// on it stands; the other requests either read or come to the same end.
    ///
    /// # Errors
    ///
    /// Fails if no replica answers in time.
    pub async fn ask(&self, req: &ControlRequest) -> Result<ControlReply, AskError> {
        let until = Instant::now() + self.timeout;
        let mut search = Search::new(&self.control);
        while let Some(replica) = search.next(until).await {
            let left = until.saturating_duration_since(Instant::now());
            let role = Role::Control(replica.node);
            let caller = self.pool.get(replica.addr, Some(role));
            match caller.call(req, left.min(ONE_REPLICA)).await {
                Ok(ControlReply::NotLeader(hint)) => search.not_leader(&replica, hint),
                Ok(ControlReply::Unavailable(why)) => search.failed(why, true),
                Ok(reply) => return Ok(reply),
                Err(e) => search.failed(smol_str::format_smolstr!("{e}"), was_sent(&e)),
            }
        }
        Err(search.error(self.timeout))
    }

    /// Asks for the state of the group, of the leader if it can be reached.
    ///
    /// Any replica tells its own state, so that an operator sees something
    /// without a quorum too; but only the leader knows the entries and the other
    /// replicas.
    ///
    /// # Errors
    ///
    /// Fails like [`Client::ask`], or with the answer if it is no status.
    pub async fn status(&self) -> Result<Result<Box<Status>, ControlReply>, AskError> {
        let status = match self.ask(&ControlRequest::Status).await? {
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
        let timeout = self.timeout.min(ONE_REPLICA);
        match caller.call(&ControlRequest::Status, timeout).await {
            Ok(ControlReply::Status(status)) => Ok(Ok(status)),
            _ => Ok(Ok(status)),
        }
    }

    /// Asks several entries at once.
    pub async fn ask_entries<'a>(
        &self,
        entries: &'a [PeerEntry],
        req: &EntryRequest,
    ) -> Vec<(&'a PeerEntry, Result<EntryReply, LinkError>)> {
        let asks = entries
            .iter()
            .map(|entry| async move { (entry, self.ask_entry(entry, req).await) });
        join_all(asks).await
    }

    /// Asks one entry.
    ///
    /// # Errors
    ///
    /// Fails if the entry does not answer in time.
    pub async fn ask_entry(
        &self,
        entry: &PeerEntry,
        req: &EntryRequest,
    ) -> Result<EntryReply, LinkError> {
        let role = Role::Entry(entry.instance.clone());
        let caller = self.pool.get(entry.addr, Some(role));
        caller.call(req, self.timeout.min(ONE_REPLICA)).await
    }
}

/// Returns whether a failed call may have reached the other end.
fn was_sent(e: &LinkError) -> bool {
    !matches!(
        e,
        LinkError::BackOff(_)
            | LinkError::Bind { .. }
            | LinkError::Connect(_)
            | LinkError::WrongRole { .. }
            | LinkError::NotConnected(_)
    )
}

/// The search for a replica that answers.
struct Search {
    replicas: Vec<ReplicaAddress>,
    /// Position of the replica that is asked next.
    at: usize,
    /// Replicas asked since the last pause.
    asked: usize,
    /// Whether any replica may have acted on the request.
    sent: bool,
    last: SmolStr,
}

impl Search {
    fn new(replicas: &[ReplicaAddress]) -> Self {
        Self {
            replicas: replicas.to_vec(),
            at: 0,
            asked: 0,
            sent: false,
            last: "no replica is listed".into(),
        }
    }

    /// Returns the replica to be asked next; none when the time is over.
    async fn next(&mut self, until: Instant) -> Option<ReplicaAddress> {
        // A leader that was named and points elsewhere again must not keep the
        // search going round without a pause.
        if self.asked > self.replicas.len() {
            self.asked = 0;
            sleep_until(until.min(Instant::now() + ROUND_PAUSE)).await;
        }
        if Instant::now() >= until {
            return None;
        }
        self.asked += 1;
        self.replicas.get(self.at).cloned()
    }

    fn failed(&mut self, why: SmolStr, sent: bool) {
        self.last = why;
        self.sent |= sent;
        self.advance();
    }

    /// Follows the hint to the leader, also to one that the settings do not
    /// list: it may have taken the place of a lost replica.
    fn not_leader(&mut self, asked: &ReplicaAddress, hint: Option<LeaderHint>) {
        self.last = smol_str::format_smolstr!("replica {} does not lead", asked.node);
        let Some(hint) = hint.filter(|hint| hint.node != asked.node) else {
            return self.advance();
        };
        let known = self.replicas.iter().position(|r| r.node == hint.node);
        match (known, hint.addr) {
            (Some(at), _) => self.at = at,
            (None, Some(addr)) => {
                self.at = self.replicas.len();
                self.replicas.push(ReplicaAddress {
                    node: hint.node,
                    addr,
                });
            }
            (None, None) => self.advance(),
        }
    }

    fn advance(&mut self) {
        self.at = (self.at + 1) % self.replicas.len().max(1);
    }

    fn error(self, within: Duration) -> AskError {
        let last = self.last;
        if self.sent {
            AskError::Unanswered { within, last }
        } else {
            AskError::Unreachable { within, last }
        }
    }
}
