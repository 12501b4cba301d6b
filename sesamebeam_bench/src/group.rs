//! A client of the control group under any role.

use std::{
    net::{
        Ipv4Addr,
        SocketAddr, //
    },
    sync::{
        Arc,
        atomic::{
            AtomicUsize,
            Ordering, //
        },
    },
    time::{
        Duration,
        Instant,
        SystemTime,
        UNIX_EPOCH, //
    },
};

use sesamebeam::{
    keys::FleetCa,
    link::{
        Credentials,
        Link,
        LinkError,
        PeerClient,
        PeerPool,
        Role, //
    },
    settings::ReplicaAddress,
};
use sesamebeam_core::{
    fleet::Fleet,
    ids::{
        NodeId,
        Revision, //
    },
    message::{
        command::{
            Change,
            Verdict, //
        },
        control::{
            ControlReply,
            ControlRequest,
            Status, //
        },
    },
};
use thiserror::Error;
use tokio::time::sleep;

/// Pause between two looks at the group's state.
const LOOK_EVERY: Duration = Duration::from_millis(2);

/// Longest wait for one replica.
const ONE_TRY: Duration = Duration::from_millis(500);

/// Longest wait for anything that must come.
pub const PATIENCE: Duration = Duration::from_secs(60);

/// Why the group did not do what was asked.
#[derive(Debug, Error)]
pub enum GroupError {
    /// No link could be opened.
    #[error(transparent)]
    Link(#[from] LinkError),
    /// Nothing came in time.
    #[error("{0} did not come within {1:?}")]
    Late(&'static str, Duration),
    /// The file was not accepted.
    #[error("the fleet file was not accepted: {0:?}")]
    Refused(Box<ControlReply>),
}

/// Connections to the control replicas.
pub struct Group {
    link: Arc<Link>,
    replicas: Vec<(NodeId, Arc<PeerClient>)>,
    leader: AtomicUsize,
}

impl Group {
    /// Opens a link under a role.
    ///
    /// # Errors
    ///
    /// Fails if no certificate can be made or no socket opened.
    pub fn open(ca: &FleetCa, role: &Role, replicas: &[ReplicaAddress]) -> Result<Self, LinkError> {
        let creds = Credentials::from_ca(ca, role)?;
        let from = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        let link = Arc::new(Link::bind(from, &creds)?);
        let pool = PeerPool::new(Arc::clone(&link), 1);
        let replicas = replicas
            .iter()
            .map(|r| (r.node, pool.get(r.addr, Some(Role::Control(r.node)))))
            .collect();
        Ok(Self {
            link,
            replicas,
            leader: AtomicUsize::new(0),
        })
    }

    /// Asks the leader until it answers or the time is over.
    pub async fn ask(&self, req: &ControlRequest, within: Duration) -> Option<ControlReply> {
        let until = Instant::now() + within;
        let patient = matches!(req, ControlRequest::Renew(_));
        while Instant::now() < until {
            let left = until.saturating_duration_since(Instant::now());
            let wait = if patient { left } else { left.min(ONE_TRY) };
            match self.ask_one(req, wait).await {
                Ok(ControlReply::NotLeader(hint)) => {
                    self.follow(hint.map(|hint| hint.node));
                    if hint.is_none() {
                        sleep(LOOK_EVERY).await;
                    }
                }
                Ok(ControlReply::Unavailable(_)) | Err(_) => {
                    self.follow(None);
                    sleep(LOOK_EVERY).await;
                }
                Ok(reply) => return Some(reply),
            }
        }
        None
    }

    /// Asks the leader for the state of the group.
    ///
    /// # Errors
    ///
    /// Fails if no leader answers in time.
    pub async fn status(&self) -> Result<Status, GroupError> {
        let until = Instant::now() + PATIENCE;
        while Instant::now() < until {
            if let Ok(ControlReply::Status(status)) =
                self.ask_one(&ControlRequest::Status, ONE_TRY).await
            {
                if status.leader == Some(status.node) {
                    return Ok(*status);
                }
                self.follow(status.leader);
            } else {
                self.follow(None);
            }
            sleep(LOOK_EVERY).await;
        }
        Err(GroupError::Late("the leader's status", PATIENCE))
    }

    /// Asks one replica for its state, leader or not.
    pub async fn status_at(&self, node: NodeId, wait: Duration) -> Option<Status> {
        let (_, caller) = self.replicas.iter().find(|(n, _)| *n == node)?;
        match caller.call(&ControlRequest::Status, wait).await {
            Ok(ControlReply::Status(status)) => Some(*status),
            _ => None,
        }
    }

    /// Waits until the group's state is as wanted.
    ///
    /// # Errors
    ///
    /// Fails if it does not come in time.
    pub async fn until(
        &self,
        what: &'static str,
        wanted: impl Fn(&Status) -> bool,
    ) -> Result<Status, GroupError> {
        let until = Instant::now() + PATIENCE;
        while Instant::now() < until {
            let status = self.status().await?;
            if wanted(&status) {
                return Ok(status);
            }
            sleep(LOOK_EVERY).await;
        }
        Err(GroupError::Late(what, PATIENCE))
    }

    /// Applies a file on top of a revision and returns the new revision.
    ///
    /// # Errors
    ///
    /// Fails if it is not accepted in time.
    pub async fn apply(&self, base: Revision, fleet: &Fleet) -> Result<Revision, GroupError> {
        let change = Change {
            base,
            digest: u128::from(base) + 1,
            fleet: Box::new(fleet.clone()),
            operator: "bench".into(),
            at: unix_millis(),
        };
        let reply = self.ask(&ControlRequest::Apply(change), PATIENCE).await;
        match reply {
            Some(ControlReply::Verdict(Verdict::Accepted(revision))) => Ok(revision),
            Some(other) => Err(GroupError::Refused(Box::new(other))),
            None => Err(GroupError::Late("a verdict", PATIENCE)),
        }
    }

    /// Closes the connections.
    pub fn close(&self) {
        self.link.close();
    }

    async fn ask_one(
        &self,
        req: &ControlRequest,
        wait: Duration,
    ) -> Result<ControlReply, LinkError> {
        let at = self.leader.load(Ordering::Relaxed) % self.replicas.len();
        self.replicas[at].1.call(req, wait).await
    }

    fn follow(&self, hint: Option<NodeId>) {
        let hinted = hint.and_then(|node| self.replicas.iter().position(|(n, _)| *n == node));
        let next = self.leader.load(Ordering::Relaxed) + 1;
        self.leader.store(
            hinted.unwrap_or(next % self.replicas.len()),
            Ordering::Relaxed,
        );
    }
}

/// Wall-clock time.
pub fn unix_millis() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |d| u64::try_from(d.as_millis()).unwrap_or(u64::MAX))
}
