//! Client of the control group, which finds the leader and sends it requests.

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
    },
};
use tokio::time::sleep;

use crate::{
    link::{
        PeerClient,
        PeerPool,
        Role, //
    },
    settings::ReplicaAddress,
};

/// Pause before the replicas are tried again.
const RETRY_PAUSE: Duration = Duration::from_millis(30);

/// Maximum wait for one replica before the next one is tried.
const ATTEMPT_TIMEOUT: Duration = Duration::from_millis(700);

/// Maximum number of known replicas.
const MAX_REPLICAS: usize = 32;

/// Sends requests to the leader of the control group.
pub(crate) struct ControlClient {
    pool: PeerPool,
    inner: Mutex<Inner>,
}

/// Known replicas and the index of the presumed leader.
struct Inner {
    replicas: Vec<(NodeId, Arc<PeerClient>)>,
    leader: usize,
}

impl ControlClient {
    /// Creates a client for the replicas listed in the settings.
    pub(crate) fn new(pool: PeerPool, replicas: &[ReplicaAddress]) -> Self {
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

    /// Tries the replicas until one answers as the leader; returns the last
    /// `Unavailable` reply, or `None`, if none does before the timeout.
    pub(crate) async fn call(
        &self,
        req: &ControlRequest,
        timeout: Duration,
    ) -> Option<ControlReply> {
        let deadline = Instant::now() + timeout;
        // The leader delays the reply to a renewal until it has changes to
        // report, so a renewal gets the whole timeout.
        let full_timeout = matches!(req, ControlRequest::Renew(_));
        let mut last = None;
        loop {
            let known = self.lock().replicas.len();
            for _ in 0..known {
                let left = deadline.saturating_duration_since(Instant::now());
                if left.is_zero() {
                    return last;
                }
                let wait = if full_timeout {
                    left
                } else {
                    left.min(ATTEMPT_TIMEOUT)
                };
                let client = self.likely_leader()?;
                match client.call(req, wait).await {
                    Ok(ControlReply::NotLeader(hint)) => self.switch_leader(hint),
                    Ok(reply @ ControlReply::Unavailable(_)) => {
                        last = Some(reply);
                        self.switch_leader(None);
                    }
                    Ok(reply) => return Some(reply),
                    Err(_) => self.switch_leader(None),
                }
            }
            sleep(RETRY_PAUSE).await;
        }
    }

    fn likely_leader(&self) -> Option<Arc<PeerClient>> {
        let inner = self.lock();
        let (_, client) = inner
            .replicas
            .get(inner.leader % inner.replicas.len().max(1))?;
        Some(Arc::clone(client))
    }

    /// Selects the replica named by the hint, or the next one, as presumed leader.
    ///
    /// A replica that replaced a lost one is not in the settings. If hints to it
    /// were ignored while it leads, the entry would lose its lease although the
    /// group is healthy.
    fn switch_leader(&self, hint: Option<LeaderHint>) {
        let mut inner = self.lock();
        let named = hint.and_then(|hint| {
            let known = inner.replicas.iter().position(|(n, _)| *n == hint.node);
            match (known, hint.addr) {
                (None, Some(addr)) if inner.replicas.len() < MAX_REPLICAS => {
                    let client = self.pool.get(addr, Some(Role::Control(hint.node)));
                    inner.replicas.push((hint.node, client));
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
