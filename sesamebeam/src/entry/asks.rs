//! Client of the control group: finds the leader, asks it in time.

use std::{
    sync::{
        Arc,
        Mutex,
        MutexGuard,
        PoisonError, //
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
        ControlRequest,
        LeaderHint, //
    }, //
};
use tokio::time::sleep;

use crate::link::{
    Caller,
    Pool,
    Role, //
};
use crate::settings::ReplicaAddress;

/// Pause before the replicas are asked once more.
const ROUND_PAUSE: Duration = Duration::from_millis(30);

/// Longest wait for one replica while others have not been asked.
const ONE_TRY: Duration = Duration::from_millis(700);

/// Most replicas that are remembered.
const MAX_REPLICAS: usize = 32;

/// Asks the control group.
pub(crate) struct Asks {
    pool: Pool,
    inner: Mutex<Inner>,
}

/// Replicas known, and which of them led when it was last asked.
struct Inner {
    replicas: Vec<(NodeId, Arc<Caller>)>,
    leader: usize,
}

impl Asks {
    /// Takes the replicas of the settings.
    pub(crate) fn new(pool: Pool, replicas: &[ReplicaAddress]) -> Self {
        let replicas = replicas
            .iter()
            .map(|replica| {
                let expect = Some(Role::Control(replica.node));
                (replica.node, pool.get(replica.addr, expect))
            })
            .collect();
        Self {
            pool,
            inner: Mutex::new(Inner {
                replicas,
                leader: 0,
            }),
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
            let known = self.lock().replicas.len();
            for _ in 0..known {
                let left = until.saturating_duration_since(Instant::now());
                if left.is_zero() {
                    return last;
                }
                let wait = if patient { left } else { left.min(ONE_TRY) };
                let caller = self.likely_leader()?;
                match caller.call(req, wait).await {
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

    fn likely_leader(&self) -> Option<Arc<Caller>> {
        let inner = self.lock();
        let (_, caller) = inner
            .replicas
            .get(inner.leader % inner.replicas.len().max(1))?;
        Some(Arc::clone(caller))
    }

    /// Turns to the replica that was named, or to the next one.
    ///
    /// A replica that took the place of a lost one is not in the settings. If
    /// it leads and were not followed, the entry would lose its lease while the
    /// group is well.
    fn follow(&self, hint: Option<LeaderHint>) {
        let mut inner = self.lock();
        let named = hint.and_then(|hint| {
            let known = inner.replicas.iter().position(|(n, _)| *n == hint.node);
            match (known, hint.addr) {
                (None, Some(addr)) if inner.replicas.len() < MAX_REPLICAS => {
                    let caller = self.pool.get(addr, Some(Role::Control(hint.node)));
                    inner.replicas.push((hint.node, caller));
                    Some(inner.replicas.len() - 1)
                }
                (known, _) => known,
            }
        });
        inner.leader = match named {
            Some(at) => at,
            None => (inner.leader + 1) % inner.replicas.len().max(1),
        };
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
