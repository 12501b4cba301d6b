//! Connections to the control replicas.
//!
//! An entry holds one to every replica. One of them tells it all that changes and
//! takes its reports, as [`Subscription`] decides; the others say what they hold.

use std::{
    collections::{
        BTreeMap,
        BTreeSet, //
    },
    net::SocketAddr,
    sync::Arc,
    time::{
        Duration,
        Instant, //
    },
};

use rand::{
    RngExt,
    seq::SliceRandom, //
};
use sesamebeam_core::gateway::{
    digests::BucketSet,
    directory::Announcement,
    limits::LimitOf,
    messages::{
        FromEntry,
        Hello,
        Report,
        ToEntry, //
    },
    store::Document,
    subscription::{
        Subscription,
        SubscriptionAction, //
    },
};
use smol_str::SmolStr;
use tokio::{
    sync::{
        mpsc::{
            self,
            UnboundedSender,
            unbounded_channel, //
        },
        watch,
    },
    time::{
        Interval,
        MissedTickBehavior,
        interval,
        sleep,
        timeout, //
    },
};
use tokio_util::sync::CancellationToken;

use super::Gateway;
use crate::{
    exposition::{
        Exposition,
        Level,
        Way, //
    },
    frames::{
        self,
        ALIVE_EVERY,
        CONNECT_TIMEOUT,
        FrameError,
        Receiver,
        Retry,
        Sender, //
    },
};

/// Longest pause before a replica that stays away is tried again.
const RETRY_MAX: Duration = Duration::from_millis(800);

/// Pause between two reports of what was seen. A bad version is noticed a few of
/// these after its first failures.
const REPORT_EVERY: Duration = Duration::from_millis(200);

/// Pause between two looks at who tells this entry and what it lacks.
const LOOK_EVERY: Duration = Duration::from_millis(50);

/// Messages that wait for one replica; more are dropped. A report a fifth of a
/// second makes three seconds.
const MAX_WAITING: usize = 16;

/// Time for which a first replica may be tried before a second one is.
const NEXT_AFTER: Duration = CONNECT_TIMEOUT;

/// Time after the first connection at which the others are opened, at the least and
/// with a random part on top. One replica is enough to serve callers. 295 entries
/// that started together opened 1,475 connections in a quarter of a second, and the
/// replicas elected no leader while they took them.
const OTHERS_AFTER: Duration = Duration::from_millis(300);
const OTHERS_SPREAD: Duration = Duration::from_millis(900);

/// Most backend servers of one message that are logged by themselves: a replica that
/// is reached tells of all, and an entry with 0.12 of a processor wrote 168 lines before
/// it served its first caller.
const MAX_LOGGED: usize = 4;

/// What a connection tells the task that follows all of them.
#[derive(Debug)]
enum Heard {
    /// It stands; messages for the replica go here.
    Connected(mpsc::Sender<FromEntry>),
    /// The replica says something.
    Said(ToEntry),
    /// It has ended.
    Lost,
}

/// Keeps connections to all control replicas that are known.
pub(super) async fn run(
    gateway: Arc<Gateway>,
    mut seeds: watch::Receiver<Vec<SocketAddr>>,
    halt: CancellationToken,
) {
    let (tx, mut heard) = unbounded_channel();
    let settings = &gateway.settings;
    let mut feed = Feed {
        subscription: Subscription::new(&settings.name, &settings.router.domain),
        gateway: Arc::clone(&gateway),
        life: rand::rng().random(),
        replicas: BTreeSet::new(),
        kept: BTreeMap::new(),
        links: BTreeMap::new(),
        reached: CancellationToken::new(),
        heard: tx,
        halt: halt.clone(),
    };
    let (mut reports, mut looks) = (ticks(REPORT_EVERY), ticks(LOOK_EVERY));
    let mut seeds_end = false;
    loop {
        feed.keep_links(&seeds.borrow_and_update());
        tokio::select! {
            () = halt.cancelled() => return,
            Some((addr, heard)) = heard.recv() => feed.take(addr, heard),
            changed = seeds.changed(), if !seeds_end => seeds_end = changed.is_err(),
            _ = reports.tick() => feed.report(),
            _ = looks.tick() => {
                feed.look();
                feed.report_failures();
            }
        }
    }
}

fn ticks(every: Duration) -> Interval {
    let mut ticks = interval(every);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    ticks
}

/// All connections.
struct Feed {
    gateway: Arc<Gateway>,
    subscription: Subscription,
    /// Number of this entry, drawn at its start.
    life: u64,
    /// Replicas that any replica has named.
    replicas: BTreeSet<SocketAddr>,
    /// Tasks that keep connections.
    kept: BTreeMap<SocketAddr, CancellationToken>,
    /// Connections that stand.
    links: BTreeMap<SocketAddr, mpsc::Sender<FromEntry>>,
    /// Cancelled when the first connection stands.
    reached: CancellationToken,
    heard: UnboundedSender<(SocketAddr, Heard)>,
    halt: CancellationToken,
}

impl Feed {
    /// Keeps connections to the seeds and the replicas, and to nobody else.
    fn keep_links(&mut self, seeds: &[SocketAddr]) {
        let port = self.gateway.settings.feed_port;
        let mut wanted = self.replicas.clone();
        wanted.extend(seeds.iter().map(|s| SocketAddr::new(s.ip(), port)));
        self.kept.retain(|addr, token| {
            let keep = wanted.contains(addr);
            if !keep {
                token.cancel();
            }
            keep
        });
        let kept = &self.kept;
        let mut new: Vec<_> = wanted
            .into_iter()
            .filter(|a| !kept.contains_key(a))
            .collect();
        new.shuffle(&mut rand::rng());
        for addr in new {
            let token = self.halt.child_token();
            let link = Link {
                addr,
                life: self.life,
                name: self.gateway.settings.name.clone(),
                heard: self.heard.clone(),
                meters: Arc::clone(&self.gateway.meters),
            };
            let turn = self.turn(self.kept.len());
            let cancel = token.clone();
            tokio::spawn(async move {
                tokio::select! {
                    () = cancel.cancelled() => return,
                    () = turn => {}
                }
                keep(link, cancel).await;
            });
            self.kept.insert(addr, token);
        }
    }

    /// Waits until it is the turn of a connection, by how many were opened before.
    fn turn(&self, before: usize) -> impl Future<Output = ()> + use<> {
        let reached = self.reached.clone();
        let spread = OTHERS_SPREAD.mul_f64(rand::rng().random());
        async move {
            if before == 0 {
                return;
            }
            let first = timeout(NEXT_AFTER * before as u32, reached.cancelled()).await;
            if first.is_ok() {
                sleep(OTHERS_AFTER + spread).await;
            }
        }
    }

    fn take(&mut self, addr: SocketAddr, heard: Heard) {
        match heard {
            Heard::Connected(tx) => {
                self.reached.cancel();
                self.links.insert(addr, tx);
                self.subscription.connected(self.gateway.now(), addr);
                self.look();
            }
            Heard::Said(said) => self.said(addr, said),
            Heard::Lost => {
                self.links.remove(&addr);
                self.subscription.disconnected(addr);
                self.look();
            }
        }
    }

    /// Carries out what is due.
    fn look(&mut self) {
        let now = self.gateway.now();
        let holding = self.gateway.router().local_summary();
        for order in self.subscription.poll(now, &holding) {
            log::info!(
                order:? = order, config:? = holding.config, index = holding.index,
                servers = holding.servers;
                "control replica asked"
            );
            let held = self.gateway.router().sync_state();
            match order {
                SubscriptionAction::Follow(addr) => {
                    self.send(addr, FromEntry::Follow(held));
                    let ages = self.gateway.router().rollout_ages(now);
                    let report = Report {
                        rollout_ages: ages,
                        ..Report::default()
                    };
                    self.send(addr, FromEntry::Report(report));
                }
                SubscriptionAction::Unfollow(addr) => self.send(addr, FromEntry::Unfollow),
                SubscriptionAction::Ask(addr) => self.send(addr, FromEntry::RequestUpdate(held)),
            }
        }
    }

    /// Sends what was seen to the replica that tells this entry, which passes it
    /// on to the others.
    fn report(&mut self) {
        let gateway = Arc::clone(&self.gateway);
        gateway
            .meters
            .set(Level::Ready, u64::from(gateway.is_ready()));
        let now = gateway.now();
        gateway.router().remove_expired(now);
        let limited = gateway.router().limited_count();
        gateway.meters.set(Level::Limited, limited as u64);
        let backed_off = gateway.router().backed_off_count(now);
        gateway.meters.set(Level::BackedOff, backed_off as u64);
        let Some(teller) = self.subscription.followed() else {
            return;
        };
        let report = gateway.router().take_report(now);
        if !report.is_empty() {
            self.send(teller, FromEntry::Report(report));
        }
    }

    /// Reports failures sooner than the rest: what fails now fails others too.
    fn report_failures(&mut self) {
        let has_failures = self.gateway.router().has_failures();
        if has_failures {
            self.report();
        }
    }

    fn send(&self, addr: SocketAddr, message: FromEntry) {
        if let Some(tx) = self.links.get(&addr)
            && let Err(e) = tx.try_send(message)
        {
            log::warn!(replica:% = addr, error:% = e; "message to a control replica dropped");
        }
    }

    fn said(&mut self, addr: SocketAddr, said: ToEntry) {
        let gateway = Arc::clone(&self.gateway);
        let now = gateway.now();
        match said {
            ToEntry::Fleet {
                domain,
                replicas,
                entries,
            } => {
                gateway.router().set_entries(now, entries);
                self.subscription.set_domain(addr, domain);
                // A replica that knows of nobody yet says nothing.
                if !replicas.is_empty() {
                    self.replicas = replicas.into_iter().collect();
                }
            }
            ToEntry::Heartbeat(summary) => {
                let holding = gateway.router().local_summary();
                self.subscription
                    .summary_received(now, addr, summary, &holding);
            }
            ToEntry::State {
                index,
                config,
                orders,
                current,
            } => {
                if let Some(document) = config {
                    gateway.take_config(addr, &document);
                }
                if current {
                    gateway.router().set_config_current();
                    gateway.learned.notify_waiters();
                }
                let evacuated = orders.evacuated.clone();
                let taken = gateway.router().set_orders(now, index, orders);
                if taken {
                    log::info!(
                        index = index, replica:% = addr, evacuated:? = evacuated;
                        "orders learned"
                    );
                    gateway.meters.set(Level::Evacuated, evacuated.len() as u64);
                }
            }
            ToEntry::Servers(servers) => self.learn(addr, servers),
            ToEntry::SectionDigests(details) => {
                let router = gateway.router();
                let sections = router.directory().differing_sections(&details);
                drop(router);
                if !sections.is_empty() {
                    self.send(addr, FromEntry::RequestSections(sections));
                }
            }
            ToEntry::RequestBuckets(parts) => self.tell_servers(addr, parts),
            ToEntry::Loads {
                loads,
                waits,
                shares,
            } => {
                let mut router = gateway.router();
                router.apply_loads(now, loads, waits);
                router.set_shares(now, shares);
            }
            ToEntry::Doubts(doubts) => {
                log::info!(doubts:? = doubts; "backend servers doubted");
                gateway.router().set_doubts(doubts);
            }
            ToEntry::Limits(limits) => self.learn_limits(addr, &limits),
            ToEntry::Unreachable(told) => gateway.router().apply_unreachable(now, &told),
            ToEntry::Quarantined(fingerprints) => gateway.router().set_quarantined(fingerprints),
            ToEntry::RetainedSessions(kept, all) => gateway.router().pin_sessions(now, &kept, all),
        }
    }

    fn learn(&self, from: SocketAddr, servers: Vec<Announcement>) {
        let now = self.gateway.now();
        let told = servers.len();
        let mut news = 0;
        let mut router = self.gateway.router();
        for said in servers {
            let (id, state) = (said.id.clone(), said.state);
            if router.apply_announcement(now, said) {
                news += 1;
                if told <= MAX_LOGGED {
                    log::info!(server:% = id, state:? = state; "backend server learned");
                }
            }
        }
        drop(router);
        if told > MAX_LOGGED {
            log::info!(replica:% = from, told = told, news = news; "backend servers learned");
        }
        self.gateway.learned.notify_waiters();
    }

    fn learn_limits(&self, from: SocketAddr, limits: &[LimitOf]) {
        let now = self.gateway.now();
        let mut router = self.gateway.router();
        let news = router.apply_limits(now, limits);
        if !news.is_empty() {
            let limited = router.limited_count();
            log::info!(
                replica:% = from, limited = limited, news:? = news[..news.len().min(MAX_LOGGED)];
                "limits learned"
            );
        }
    }

    /// Tells a replica of the backend servers in some parts of the directory: one
    /// that has just started learns from here what it does not keep.
    fn tell_servers(&self, addr: SocketAddr, parts: BucketSet) {
        let servers: Vec<_> = {
            let now = self.gateway.now();
            let router = self.gateway.router();
            router
                .directory()
                .announcements_in_buckets(now, parts)
                .collect()
        };
        self.send(addr, FromEntry::Servers(servers));
    }
}

impl Gateway {
    fn take_config(&self, from: SocketAddr, document: &Document) {
        let held = self.router().version();
        if held.is_some_and(|held| held >= document.version) {
            return;
        }
        match self.protocol.config(&document.bytes) {
            Ok(config) => {
                let version = config.version;
                let taken = self.router().set_config(self.now(), config);
                if taken {
                    self.first_config.get_or_init(Instant::now);
                    self.learned.notify_waiters();
                    self.meters.set(Level::Config, version);
                    log::info!(
                        config = version, before:? = held, replica:% = from;
                        "configuration in force"
                    );
                }
            }
            Err(e) => {
                log::error!(config = document.version, error:% = e; "configuration not understood");
            }
        }
    }
}

/// One connection.
struct Link {
    addr: SocketAddr,
    life: u64,
    name: SmolStr,
    heard: UnboundedSender<(SocketAddr, Heard)>,
    meters: Arc<Exposition>,
}

async fn keep(link: Link, cancel: CancellationToken) {
    let mut retry = Retry::up_to(RETRY_MAX);
    loop {
        let mut reached = false;
        let ended = tokio::select! {
            () = cancel.cancelled() => None,
            ended = link.follow(&mut reached) => Some(ended),
        };
        if reached {
            link.tell(Heard::Lost);
        }
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
            id: self.life,
            name: self.name.clone(),
        })
        .await?;
        *reached = true;
        log::info!(replica:% = self.addr; "control replica reached");
        let (queue, messages) = mpsc::channel(MAX_WAITING);
        self.tell(Heard::Connected(queue));
        tokio::select! {
            ended = self.read(&mut rx) => ended,
            ended = write(&mut tx, messages, &self.meters) => ended,
        }
    }

    async fn read(&self, rx: &mut Receiver) -> Result<(), FrameError> {
        loop {
            let said = rx.next::<ToEntry>().await?;
            self.tell(Heard::Said(said));
        }
    }

    fn tell(&self, heard: Heard) {
        // Nobody listens any more when the entry ends.
        let _ = self.heard.send((self.addr, heard));
    }
}

async fn write(
    tx: &mut Sender,
    mut messages: mpsc::Receiver<FromEntry>,
    meters: &Exposition,
) -> Result<(), FrameError> {
    let mut ticks = ticks(ALIVE_EVERY);
    loop {
        let message = tokio::select! {
            message = messages.recv() => message.ok_or(FrameError::Closed)?,
            _ = ticks.tick() => FromEntry::Heartbeat,
        };
        let frame = frames::encode(&message)?;
        meters.message(Way::ToControl, message.kind(), frame.len(), 1);
        tx.send_encoded(frame).await?;
    }
}
