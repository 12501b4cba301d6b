//! Client of the control group: finds the leader, asks it in time.

use std::{
    sync::{
        Arc,
        atomic::{
            AtomicUsize,
            Ordering, //
        }, //
    },
    time::{
        Duration,
        Instant, //
    },
};

use sesamebeam_core::{
    ids::NodeId,
    message::control::{
        ControlReply,
        ControlRequest, //
    }, //
};
use tokio::time::sleep;

use crate::link::{
    Caller,
    LinkError,
    Pool,
    Role, //
};
use crate::settings::Replica;

/// Pause before the replicas are asked once more.
const ROUND_PAUSE: Duration = Duration::from_millis(30);

/// Longest wait for one replica while others have not been asked.
const ONE_TRY: Duration = Duration::from_millis(700);

/// Asks the control group.
pub(crate) struct Asks {
    replicas: Vec<(NodeId, Arc<Caller>)>,
    /// Position of the replica that led when it was last asked.
    leader: AtomicUsize,
}

impl Asks {
    /// Takes the replicas of the settings.
    pub(crate) fn new(pool: &Pool, replicas: &[Replica]) -> Self {
        let replicas = replicas
            .iter()
            .map(|replica| {
                let expect = Some(Role::Control(replica.node));
                (replica.node, pool.get(replica.addr, expect))
            })
            .collect();
        Self {
            replicas,
            leader: AtomicUsize::new(0),
        }
    }

    /// Asks until a replica answers as the leader; none if none did in time.
    pub(crate) async fn ask(
        &self,
        req: &ControlRequest,
        timeout: Duration,
    ) -> Option<ControlReply> {
        let until = Instant::now() + timeout;
        // A renewal waits at the leader for news, so it has its whole time.
        let patient = matches!(req, ControlRequest::Renew(_));
        let mut last = None;
        loop {
            for _ in 0..self.replicas.len() {
                let left = until.saturating_duration_since(Instant::now());
                if left.is_zero() {
                    return last;
                }
                let wait = if patient { left } else { left.min(ONE_TRY) };
                match self.ask_one(req, wait).await {
                    Ok(ControlReply::NotLeader(hint)) => self.follow(hint),
                    Ok(reply @ ControlReply::Unavailable(_)) => {
                        last = Some(reply);
                        self.follow(None);
                    }
                    Ok(reply) => return Some(reply),
                    Err(_) => self.follow(None),
                }
            }
            sleep(ROUND_PAUSE).await;
        }
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
        let next = match hinted {
            Some(at) => at,
            None => (self.leader.load(Ordering::Relaxed) + 1) % self.replicas.len(),
        };
        self.leader.store(next, Ordering::Relaxed);
    }
}
