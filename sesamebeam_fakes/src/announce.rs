//! Announcements of a backend server to entries.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        Mutex,
        atomic::{
            AtomicBool,
            AtomicU64,
            Ordering, //
        }, //
    },
    time::Duration, //
};

use bytes::Bytes;
use futures::future::join_all;
use hyper::StatusCode;
use sesamebeam_core::{
    ids::{
        DomainId,
        PoolId, //
    },
    message::server::Announcement, //
};
use smol_str::{
    SmolStr,
    format_smolstr, //
};
use tokio::sync::Notify;

use crate::client::{
    Call,
    Client,
    ClientError, //
};

/// Longest wait for the answer of one entry.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(1);

/// What a backend server announces, and to whom.
#[derive(Clone, Debug)]
pub struct AnnounceConfig {
    /// Announcement addresses of entries.
    pub entries: Vec<SocketAddr>,
    /// Bearer key of announcements.
    pub key: SmolStr,
    /// Pool of the backend server.
    pub pool: PoolId,
    /// Failure domain of the backend server.
    pub domain: DomainId,
    /// Time between two announcements.
    pub interval: Duration,
    /// Entries told each time; when one fails the next in the list is told.
    pub fanout: usize,
}

impl Default for AnnounceConfig {
    fn default() -> Self {
        Self {
            entries: Vec::new(),
            key: SmolStr::default(),
            pool: SmolStr::new_static("pool"),
            domain: SmolStr::new_static("domain"),
            interval: Duration::from_millis(500),
            fanout: 2,
        }
    }
}

/// Counts of what entries answered to announcements.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct AnnounceCounts {
    /// Accepted.
    pub accepted: u64,
    /// Refused by an entry, such as for a wrong key.
    pub refused: u64,
    /// Not answered.
    pub failed: u64,
}

/// Sends announcements over all lives of one backend server.
#[derive(Debug)]
pub(crate) struct Announcer {
    cfg: AnnounceConfig,
    entries: Mutex<Vec<SocketAddr>>,
    paused: AtomicBool,
    nudge: Notify,
    accepted: AtomicU64,
    refused: AtomicU64,
    failed: AtomicU64,
}

impl Announcer {
    /// Prepares announcements.
    pub(crate) fn new(cfg: AnnounceConfig) -> Arc<Self> {
        Arc::new(Self {
            entries: Mutex::new(cfg.entries.clone()),
            cfg,
            paused: AtomicBool::new(false),
            nudge: Notify::new(),
            accepted: AtomicU64::new(0),
            refused: AtomicU64::new(0),
            failed: AtomicU64::new(0),
        })
    }

    /// Pool and failure domain that are announced.
    pub(crate) fn config(&self) -> &AnnounceConfig {
        &self.cfg
    }

    /// Announces without waiting for the interval to end.
    pub(crate) fn nudge(&self) {
        self.nudge.notify_one();
    }

    /// Stops announcing, or goes on.
    pub(crate) fn pause(&self, paused: bool) {
        self.paused.store(paused, Ordering::SeqCst);
        self.nudge();
    }

    /// Changes the entries that are told.
    pub(crate) fn set_entries(&self, entries: Vec<SocketAddr>) {
        *self.entries.lock().expect("no panic under the lock") = entries;
        self.nudge();
    }

    /// What entries have answered so far.
    pub(crate) fn counts(&self) -> AnnounceCounts {
        AnnounceCounts {
            accepted: self.accepted.load(Ordering::SeqCst),
            refused: self.refused.load(Ordering::SeqCst),
            failed: self.failed.load(Ordering::SeqCst),
        }
    }

    /// Announces at each interval for one life; `source` is given the sequence number.
    pub(crate) async fn run(self: Arc<Self>, source: impl Fn(u64) -> Announcement) {
        let mut links = Vec::new();
        let mut seq = 0;
        loop {
            if !self.paused.load(Ordering::SeqCst) {
                self.refresh(&mut links);
                seq += 1;
                let body = serde_json::to_vec(&source(seq)).expect("an announcement is plain JSON");
                self.tell(&mut links, Bytes::from(body)).await;
            }
            tokio::select! {
                () = tokio::time::sleep(self.cfg.interval) => {}
                () = self.nudge.notified() => {}
            }
        }
    }

    /// Takes over a changed list of entries.
    fn refresh(&self, links: &mut Vec<Link>) {
        let entries = self.entries.lock().expect("no panic under the lock");
        links.retain(|link| entries.contains(&link.entry));
        for &entry in entries.iter() {
            if !links.iter().any(|link| link.entry == entry) {
                links.push(Link {
                    entry,
                    client: None,
                });
            }
        }
    }

    /// Tells as many entries as the fan-out says, passing over those that fail.
    async fn tell(&self, links: &mut [Link], body: Bytes) {
        let mut missing = self.cfg.fanout.min(links.len());
        let mut tried = 0;
        while missing > 0 && tried < links.len() {
            let end = (tried + missing).min(links.len());
            let posts = links[tried..end]
                .iter_mut()
                .map(|link| link.post(&self.cfg.key, body.clone()));
            let told = join_all(posts).await;
            tried = end;
            missing -= told
                .into_iter()
                .filter(|result| self.count(result))
                .count()
                .min(missing);
        }
        // Links that work stand first next time.
        links.sort_by_key(|link| link.client.is_none());
    }

    fn count(&self, result: &Result<StatusCode, ClientError>) -> bool {
        let counter = match result {
            Ok(status) if status.is_success() => &self.accepted,
            Ok(_) => &self.refused,
            Err(_) => &self.failed,
        };
        counter.fetch_add(1, Ordering::SeqCst);
        result.is_ok()
    }
}

/// Connection to one entry.
struct Link {
    entry: SocketAddr,
    client: Option<Client>,
}

impl Link {
    async fn post(&mut self, key: &str, body: Bytes) -> Result<StatusCode, ClientError> {
        let call = Call::post("/announce", body)
            .header("authorization", &format_smolstr!("Bearer {key}"))
            .header("content-type", "application/json");
        let result = tokio::time::timeout(ANSWER_TIMEOUT, self.send(call)).await;
        let result = result.unwrap_or(Err(ClientError::Timeout));
        if result.is_err() {
            self.client = None;
        }
        result
    }

    async fn send(&mut self, call: Call) -> Result<StatusCode, ClientError> {
        if let Some(client) = self.client.as_mut()
            && let Ok(answer) = client.call(call.clone()).await
        {
            return Ok(answer.status);
        }
        // An entry may have closed an idle connection: only a new one says more.
        let client = self.client.insert(Client::connect(self.entry).await?);
        Ok(client.call(call).await?.status)
    }
}
