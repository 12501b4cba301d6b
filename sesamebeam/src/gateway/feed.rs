//! Connections to the control replicas.
//!
//! An entry holds one to every replica and hears all of them: what one that is
//! cut off cannot tell, the others do.

use std::{
    collections::{
        BTreeMap,
        BTreeSet, //
    },
    net::SocketAddr,
    sync::{
        Arc,
        Mutex,
        MutexGuard,
        PoisonError, //
    },
    time::Duration,
};

use rand::RngExt;
use sesamebeam_core::gateway::{
    feed::{
        FromEntry,
        Hello,
        ToEntry, //
    },
    store::Document,
};
use tokio::{
    sync::{
        broadcast,
        mpsc::{
            UnboundedSender,
            unbounded_channel, //
        },
        watch,
    },
    time::{
        MissedTickBehavior,
        interval, //
    },
};
use tokio_util::sync::CancellationToken;

use super::Gateway;
use crate::{
    exposition::Level,
    frames::{
        self,
        ALIVE_EVERY,
        FrameError,
        Receiver,
        Retry,
        Sender, //
    },
};

/// Longest pause before a replica that stays away is tried again.
const RETRY_MAX: Duration = Duration::from_millis(800);

/// Pause between two reports of answers. A bad version is noticed a few of
/// these after its first failures.
const REPORT_EVERY: Duration = Duration::from_millis(200);

/// Reports that wait for one replica.
const MAX_WAITING: usize = 16;

/// Keeps connections to all control replicas that are known.
pub(super) async fn run(
    gateway: Arc<Gateway>,
    mut seeds: watch::Receiver<Vec<SocketAddr>>,
    halt: CancellationToken,
) {
    let life: u64 = rand::rng().random();
    let (found, mut heard) = unbounded_channel::<Vec<SocketAddr>>();
    let (reports, _) = broadcast::channel(MAX_WAITING);
    let teller = Teller::default();
    let mut replicas: BTreeSet<SocketAddr> = BTreeSet::new();
    let mut kept: BTreeMap<SocketAddr, CancellationToken> = BTreeMap::new();
    let mut ticks = interval(REPORT_EVERY);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        let mut wanted = replicas.clone();
        let port = gateway.settings.feed_port;
        wanted.extend(
            seeds
                .borrow_and_update()
                .iter()
                .map(|s| SocketAddr::new(s.ip(), port)),
        );
        kept.retain(|addr, token| {
            let keep = wanted.contains(addr);
            if !keep {
                token.cancel();
            }
            keep
        });
        for addr in wanted {
            kept.entry(addr).or_insert_with(|| {
                let token = halt.child_token();
                let link = Link {
                    gateway: Arc::clone(&gateway),
                    addr,
                    life,
                    found: found.clone(),
                    reports: reports.clone(),
                    teller: teller.clone(),
                };
                tokio::spawn(keep(link, token.clone()));
                token
            });
        }
        tokio::select! {
            () = halt.cancelled() => return,
            Some(addrs) = heard.recv() => {
                // A replica that knows of nobody yet says nothing.
                if !addrs.is_empty() {
                    replicas = addrs.into_iter().collect();
                }
            }
            changed = seeds.changed() => {
                if changed.is_err() {
                    return;
                }
            }
            _ = ticks.tick() => report(&gateway, &reports),
        }
    }
}

/// Sends what was counted to all replicas: whichever leads decides.
fn report(gateway: &Gateway, reports: &broadcast::Sender<FromEntry>) {
    gateway
        .meters
        .set(Level::Ready, u64::from(gateway.is_ready()));
    let mut router = gateway.router();
    router.tidy(gateway.now());
    let crashes = router.take_crashes();
    if !crashes.is_empty() {
        let _ = reports.send(FromEntry::Crashed(crashes));
    }
    for kept in router.take_kept() {
        let _ = reports.send(FromEntry::Kept(kept));
    }
    if let Some(loads) = router.take_loads(gateway.now()) {
        let _ = reports.send(FromEntry::Loads(loads));
    }
    let evidence = router.take_evidence();
    if !evidence.is_empty() {
        // Nobody is connected yet, or all have their queues.
        let _ = reports.send(FromEntry::Evidence(evidence));
    }
}

/// The replica that tells this entry of loads: the first that was reached, and
/// another once that one is lost.
#[derive(Clone, Debug, Default)]
struct Teller(Arc<Mutex<Option<SocketAddr>>>);

impl Teller {
    /// Returns whether it is this replica, which it becomes if there is none.
    fn is(&self, addr: SocketAddr) -> bool {
        *self.lock().get_or_insert(addr) == addr
    }

    /// Notes that a replica is lost.
    fn lost(&self, addr: SocketAddr) {
        self.lock().take_if(|teller| *teller == addr);
    }

    fn lock(&self) -> MutexGuard<'_, Option<SocketAddr>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// One connection.
struct Link {
    gateway: Arc<Gateway>,
    addr: SocketAddr,
    life: u64,
    found: UnboundedSender<Vec<SocketAddr>>,
    reports: broadcast::Sender<FromEntry>,
    teller: Teller,
}

async fn keep(link: Link, cancel: CancellationToken) {
    let mut retry = Retry::up_to(RETRY_MAX);
    loop {
        let mut reached = false;
        let ended = tokio::select! {
            () = cancel.cancelled() => None,
            ended = link.follow(&mut reached) => Some(ended),
        };
        link.teller.lost(link.addr);
        let Some(ended) = ended else {
            return;
        };
        if let Err(e) = ended
            && reached
        {
            log::warn!(replica:% = link.addr, error:% = e; "control replica lost");
        }
        retry.pause(reached).await;
    }
}

impl Link {
    async fn follow(&self, reached: &mut bool) -> Result<(), FrameError> {
        let (mut tx, mut rx) = frames::connect(self.addr).await?;
        tx.send(&Hello::Entry {
            life: self.life,
            name: self.gateway.settings.name.clone(),
        })
        .await?;
        // A replica that has just started learns from here what it does not keep.
        let (servers, ages) = {
            let router = self.gateway.router();
            let servers = router.directory().all().map(|k| k.said.clone());
            (servers.collect(), router.rollout_ages(self.gateway.now()))
        };
        tx.send(&FromEntry::Ages(ages)).await?;
        tx.send(&FromEntry::Servers(servers)).await?;
        *reached = true;
        log::info!(replica:% = self.addr; "control replica reached");
        let reports = self.reports.subscribe();
        tokio::select! {
            ended = self.read(&mut rx) => ended,
            ended = self.write(&mut tx, reports) => ended,
        }
    }

    async fn read(&self, rx: &mut Receiver) -> Result<(), FrameError> {
        loop {
            match rx.next::<ToEntry>().await? {
                ToEntry::Fleet { replicas, entries } => {
                    self.gateway.router().set_entries(entries);
                    let _ = self.found.send(replicas);
                }
                ToEntry::State {
                    index,
                    config,
                    rollouts,
                    current,
                } => {
                    if let Some(document) = config {
                        self.take_config(&document);
                    }
                    if current {
                        self.gateway.router().set_current();
                        self.gateway.learned.notify_waiters();
                    }
                    let rollouts = rollouts.into_iter().collect();
                    let now = self.gateway.now();
                    let taken = self.gateway.router().set_rollouts(now, index, rollouts);
                    if taken {
                        log::info!(index = index, replica:% = self.addr; "roll-outs learned");
                    }
                }
                ToEntry::Servers(servers) => {
                    let now = self.gateway.now();
                    let mut router = self.gateway.router();
                    for said in servers {
                        let (id, state) = (said.id.clone(), said.state);
                        if router.announced(now, said) {
                            log::info!(server:% = id, state:? = state; "backend server learned");
                        }
                    }
                    drop(router);
                    self.gateway.learned.notify_waiters();
                }
                ToEntry::Loads(told) => {
                    let now = self.gateway.now();
                    self.gateway.router().told_loads(now, told);
                }
                ToEntry::Quarantined(fingerprints) => {
                    self.gateway.router().set_quarantined(fingerprints);
                }
                ToEntry::Kept(kept, all) => {
                    let now = self.gateway.now();
                    self.gateway.router().keep_sessions(now, &kept, all);
                }
                ToEntry::Alive => {}
            }
        }
    }

    fn take_config(&self, document: &Document) {
        let held = self.gateway.router().version();
        if held.is_some_and(|held| held >= document.version) {
            return;
        }
        match self.gateway.protocol.config(&document.bytes) {
            Ok(config) => {
                let version = config.version;
                let taken = self.gateway.router().set_config(config);
                if taken {
                    self.gateway.learned.notify_waiters();
                    self.gateway.meters.set(Level::Config, version);
                    log::info!(
                        config = version, before:? = held, replica:% = self.addr;
                        "configuration in force"
                    );
                }
            }
            Err(e) => {
                log::error!(config = document.version, error:% = e; "configuration not understood");
            }
        }
    }

    async fn write(
        &self,
        tx: &mut Sender,
        mut reports: broadcast::Receiver<FromEntry>,
    ) -> Result<(), FrameError> {
        let mut ticks = interval(ALIVE_EVERY);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut told = false;
        loop {
            tokio::select! {
                report = reports.recv() => match report {
                    Ok(report) => tx.send(&report).await?,
                    Err(broadcast::error::RecvError::Lagged(missed)) => {
                        log::warn!(missed = missed; "reports dropped");
                    }
                    Err(broadcast::error::RecvError::Closed) => return Err(FrameError::Closed),
                },
                _ = ticks.tick() => {
                    tx.send(&FromEntry::Alive).await?;
                    let tells = self.teller.is(self.addr);
                    if tells != told {
                        tx.send(&FromEntry::WantsLoads(tells)).await?;
                        told = tells;
                    }
                }
            }
        }
    }
}
