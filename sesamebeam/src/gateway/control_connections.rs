//! Connections to the control replicas.
//!
//! An entry is connected to every replica. [`Subscription`] selects one of them, which
//! pushes all updates and receives the entry's reports; the others send summaries of
//! their state.

use std::{
    collections::{
        BTreeMap,
        BTreeSet, //
    },
    net::SocketAddr,
    ops::Bound,
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
    config::ServiceId,
    digests::BucketSet,
    directory::Announcement,
    forwarding::ForwardingOffer,
    limits::LimitOf,
    messages::{
        FatalParts,
        FromEntry,
        Hello,
        PartSuspicion,
        Report,
        ToEntry, //
    },
    server_leases::LeaseGrant,
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
        GaugeKind,
        MessageDirection, //
    },
    frames::{
        self,
        CONNECT_TIMEOUT,
        FrameError,
        HEARTBEAT_INTERVAL,
        Receiver,
        RetryBackoff,
        Sender, //
    },
};

/// Maximum delay before another attempt to connect to an unreachable replica.
const MAX_RETRY_DELAY: Duration = Duration::from_millis(800);

/// Interval between two reports. A bad version is detected a few reports after its first
/// failures.
const REPORT_INTERVAL: Duration = Duration::from_millis(200);

/// Interval at which the subscription is polled.
const SUBSCRIPTION_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Maximum number of messages queued for one replica; further ones are dropped. With five
/// reports per second, the queue holds about three seconds of reports.
const QUEUE_CAPACITY: usize = 16;

/// Delay before a connection to the next replica is attempted while none has succeeded.
const FALLBACK_DELAY: Duration = CONNECT_TIMEOUT;

/// Minimum delay after the first connection before the remaining ones are opened, and a
/// random addition to it. One replica is enough to serve callers. When 295 entries
/// started together, they opened 1,475 connections in a quarter of a second, and the
/// replicas elected no leader while they accepted them.
const REMAINING_DELAY: Duration = Duration::from_millis(300);
const REMAINING_JITTER: Duration = Duration::from_millis(900);

/// Maximum number of backend servers in one message that are logged individually. A newly
/// connected replica sends all of them, and an entry with 0.12 CPU cores wrote 168 lines
/// before it served its first caller.
const MAX_LOGGED: usize = 4;

/// Event that a connection reports to the task that manages all connections.
#[derive(Debug)]
enum ConnectionEvent {
    /// The connection is established; messages to the replica are queued here.
    Connected(mpsc::Sender<FromEntry>),
    /// A message was received from the replica.
    Message(ToEntry),
    /// The connection was lost.
    Disconnected,
}

/// Maintains connections to all known control replicas.
pub(super) async fn run(
    gateway: Arc<Gateway>,
    mut seeds: watch::Receiver<Vec<SocketAddr>>,
    halt: CancellationToken,
) {
    let (tx, mut events) = unbounded_channel();
    let settings = &gateway.settings;
    let mut connections = ControlConnections {
        subscription: Subscription::new(&settings.name, &settings.router.domain),
        gateway: Arc::clone(&gateway),
        entry_id: rand::rng().random(),
        replicas: BTreeSet::new(),
        tasks: BTreeMap::new(),
        queues: BTreeMap::new(),
        reached: CancellationToken::new(),
        isolated: Vec::new(),
        offer: None,
        probed: None,
        events: tx,
        halt: halt.clone(),
    };
    let (mut report_ticks, mut poll_ticks) =
        (ticks(REPORT_INTERVAL), ticks(SUBSCRIPTION_POLL_INTERVAL));
    let mut seeds_closed = false;
    loop {
        connections.update_connections(&seeds.borrow_and_update());
        tokio::select! {
        () = halt.cancelled() => return,
        Some((addr, event)) = events.recv() => connections.handle_event(addr, event),
        changed = seeds.changed(), if !seeds_closed => seeds_closed = changed.is_err(),
        _ = report_ticks.tick() => connections.report(),
        _ = poll_ticks.tick() => {
        connections.poll_subscription();
        connections.check_isolation();
        connections.update_offer();
        connections.report_failures();
        connections.request_leases();
        connections.probe_link();
        }
        }
    }
}

fn ticks(every: Duration) -> Interval {
    let mut ticks = interval(every);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    ticks
}

/// Connections to all control replicas.
struct ControlConnections {
    gateway: Arc<Gateway>,
    subscription: Subscription,
    /// Random identifier of this process, drawn at startup.
    entry_id: u64,
    /// Replica addresses learned from other replicas.
    replicas: BTreeSet<SocketAddr>,
    /// Connection tasks, by replica address.
    tasks: BTreeMap<SocketAddr, CancellationToken>,
    /// Message queues of established connections.
    queues: BTreeMap<SocketAddr, mpsc::Sender<FromEntry>>,
    /// Cancelled when the first connection is established.
    reached: CancellationToken,
    /// Isolated services that were logged last.
    isolated: Vec<ServiceId>,
    /// What this entry offers to others.
    offer: Option<ForwardingOffer>,
    /// Replica to which the round trip was measured last.
    probed: Option<SocketAddr>,
    events: UnboundedSender<(SocketAddr, ConnectionEvent)>,
    halt: CancellationToken,
}

impl ControlConnections {
    /// Starts tasks for all seeds and known replicas, and cancels those of other
    /// addresses.
    fn update_connections(&mut self, seeds: &[SocketAddr]) {
        let port = self.gateway.settings.control_port;
        let mut wanted = self.replicas.clone();
        wanted.extend(seeds.iter().map(|s| SocketAddr::new(s.ip(), port)));
        self.tasks.retain(|addr, token| {
            let keep = wanted.contains(addr);
            if !keep {
                token.cancel();
            }
            keep
        });
        let tasks = &self.tasks;
        let mut new: Vec<_> = wanted
            .into_iter()
            .filter(|a| !tasks.contains_key(a))
            .collect();
        new.shuffle(&mut rand::rng());
        for addr in new {
            let token = self.halt.child_token();
            let connection = Connection {
                addr,
                entry_id: self.entry_id,
                name: self.gateway.settings.name.clone(),
                events: self.events.clone(),
                metrics: Arc::clone(&self.gateway.metrics),
            };
            let delay = self.startup_delay(self.tasks.len());
            let cancel = token.clone();
            tokio::spawn(async move {
                tokio::select! {
                () = cancel.cancelled() => return,
                () = delay => {}
                }
                maintain(connection, cancel).await;
            });
            self.tasks.insert(addr, token);
        }
    }

    /// Returns the delay before a connection is opened, given the number of earlier ones.
    fn startup_delay(&self, opened_before: usize) -> impl Future<Output = ()> + use<> {
        let reached = self.reached.clone();
        let jitter = REMAINING_JITTER.mul_f64(rand::rng().random());
        async move {
            if opened_before == 0 {
                return;
            }
            let waited = timeout(FALLBACK_DELAY * opened_before as u32, reached.cancelled()).await;
            if waited.is_ok() {
                sleep(REMAINING_DELAY + jitter).await;
            }
        }
    }

    fn handle_event(&mut self, addr: SocketAddr, event: ConnectionEvent) {
        match event {
            ConnectionEvent::Connected(tx) => {
                self.reached.cancel();
                self.queues.insert(addr, tx);
                self.send(addr, FromEntry::OfferForwarding(self.offer.clone()));
                self.subscription.connected(self.gateway.now(), addr);
                self.poll_subscription();
            }
            ConnectionEvent::Message(message) => self.handle_message(addr, message),
            ConnectionEvent::Disconnected => {
                self.queues.remove(&addr);
                self.subscription.disconnected(addr);
                self.poll_subscription();
            }
        }
    }

    /// Polls the subscription and performs the requested actions.
    fn poll_subscription(&mut self) {
        let now = self.gateway.now();
        let holding = self.gateway.router().local_summary();
        for action in self.subscription.poll(now, &holding) {
            log::info!(
                order:? = action, config:? = holding.config, index = holding.index,
                servers = holding.servers;
                "control replica asked"
            );
            let held = self.gateway.router().sync_state();
            match action {
                SubscriptionAction::Follow(addr) => {
                    // A replica that has just started learns the fatal parts before it tells
                    // this entry which it knows.
                    let report = {
                        let router = self.gateway.router();
                        Report {
                            rollout_ages: router.rollout_ages(now),
                            fatal_parts: router.fatal_parts(now),
                            ..Report::default()
                        }
                    };
                    self.send(addr, FromEntry::Report(Box::new(report)));
                    self.send(addr, FromEntry::Follow(held));
                }
                SubscriptionAction::Unfollow(addr) => self.send(addr, FromEntry::Unfollow),
                SubscriptionAction::Ask(addr) => self.send(addr, FromEntry::RequestUpdate(held)),
            }
        }
    }

    /// Sends a report to the followed replica, which forwards it to the others.
    fn report(&mut self) {
        let gateway = Arc::clone(&self.gateway);
        gateway
            .metrics
            .set_gauge(GaugeKind::Ready, u64::from(gateway.is_ready()));
        let now = gateway.now();
        gateway.router().remove_expired(now);
        let limited = gateway.router().limited_count();
        gateway
            .metrics
            .set_gauge(GaugeKind::LimitedServers, limited as u64);
        let backed_off = gateway.router().backed_off_count(now);
        gateway
            .metrics
            .set_gauge(GaugeKind::BackedOffServers, backed_off as u64);
        let uses_engine_time = gateway.router().uses_engine_time();
        gateway
            .metrics
            .set_gauge(GaugeKind::EngineTime, u64::from(uses_engine_time));
        let ahead = gateway.router().organisations_ahead(now);
        gateway
            .metrics
            .set_gauge(GaugeKind::OrganisationsAhead, ahead as u64);
        let Some(followed) = self.subscription.followed() else {
            return;
        };
        self.request_probes();
        let report = gateway.router().take_report(now);
        if !report.is_empty() {
            self.send(followed, FromEntry::Report(Box::new(report)));
        }
    }

    /// Asks whether a request with fatal prompt parts may be sent. Only the leader answers.
    fn request_probes(&self) {
        let now = self.gateway.now();
        let requests = self.gateway.router().take_probe_requests(now);
        for known in requests {
            for addr in self.queues.keys() {
                self.send(*addr, FromEntry::RequestProbe(known.clone()));
            }
        }
    }

    /// Asks for the leases of backend servers. Only the leader answers.
    fn request_leases(&self) {
        let gateway = &self.gateway;
        let (now, stopping) = (gateway.now(), gateway.stopping.is_cancelled());
        let mut router = gateway.router();
        let request = router.take_lease_request(now, stopping);
        let held = router.lease_count(now);
        drop(router);
        gateway
            .metrics
            .set_gauge(GaugeKind::LeasedServers, held as u64);
        if let Some(request) = request {
            let request = Box::new(request);
            for addr in self.queues.keys() {
                self.send(*addr, FromEntry::RequestLeases(request.clone()));
            }
        }
    }

    /// Measures a round trip to one replica after the other, if callers load the link.
    fn probe_link(&mut self) {
        let load = &self.gateway.caller_load;
        if self.queues.is_empty() || !load.take_probe() {
            return;
        }
        let after = self.probed.map_or(Bound::Unbounded, Bound::Excluded);
        let next = self.queues.range((after, Bound::Unbounded)).next();
        let next = next.or_else(|| self.queues.first_key_value());
        if let Some((&addr, _)) = next {
            self.probed = Some(addr);
            self.send(addr, FromEntry::Ping(load.now()));
        }
    }

    /// Tells all replicas when what this entry offers to others has changed.
    fn update_offer(&mut self) {
        let gateway = &self.gateway;
        let is_open = !gateway.stopping.is_cancelled() && gateway.router().table().is_some();
        let addr = gateway.forwarding_addr.get().filter(|_| is_open);
        let offer = addr.map(|addr| ForwardingOffer {
            addr: *addr,
            key: gateway.forwarding_key,
            domain: gateway.settings.router.domain.clone(),
            isolated_from: self.isolated.clone(),
        });
        if offer == self.offer {
            return;
        }
        self.offer.clone_from(&offer);
        for addr in self.queues.keys() {
            self.send(*addr, FromEntry::OfferForwarding(offer.clone()));
        }
    }

    /// Logs when the set of isolated services has changed.
    fn check_isolation(&mut self) {
        let isolated = self.gateway.router().isolated_services().to_vec();
        if isolated == self.isolated {
            return;
        }
        log::info!(services:? = isolated, before:? = self.isolated; "isolated services changed");
        let count = isolated.len() as u64;
        let metrics = &self.gateway.metrics;
        metrics.set_gauge(GaugeKind::IsolatedServices, count);
        self.isolated = isolated;
    }

    /// Reports failures without waiting for the interval, since other entries are
    /// probably affected as well.
    fn report_failures(&mut self) {
        let has_failures = self.gateway.router().has_failures();
        if has_failures {
            self.report();
        }
    }

    fn send(&self, addr: SocketAddr, message: FromEntry) {
        if let Some(tx) = self.queues.get(&addr)
            && let Err(e) = tx.try_send(message)
        {
            log::warn!(
                replica:% = addr, error:% = e;
                "send queue of a control replica is full or closed; message dropped"
            );
        }
    }

    fn handle_message(&mut self, addr: SocketAddr, message: ToEntry) {
        let gateway = Arc::clone(&self.gateway);
        let now = gateway.now();
        match message {
            ToEntry::Fleet {
                domain,
                replicas,
                entries,
            } => {
                gateway.router().set_entries(now, entries);
                self.subscription.set_domain(addr, domain);
                // An empty list means that the replica has no members yet.
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
                    gateway.apply_config(addr, &document);
                }
                if current {
                    gateway.router().set_config_current();
                    gateway.state_changed.notify_waiters();
                }
                let evacuated = orders.evacuated.clone();
                let applied = gateway.router().set_orders(now, index, orders);
                if applied {
                    log::info!(
                        index = index, replica:% = addr, evacuated:? = evacuated;
                        "orders learned"
                    );
                    gateway
                        .metrics
                        .set_gauge(GaugeKind::EvacuatedDomains, evacuated.len() as u64);
                }
            }
            ToEntry::Servers(servers) => self.apply_announcements(addr, servers),
            ToEntry::SectionDigests(digests) => {
                let router = gateway.router();
                let sections = router.directory().differing_sections(&digests);
                drop(router);
                if !sections.is_empty() {
                    self.send(addr, FromEntry::RequestSections(sections));
                }
            }
            ToEntry::RequestBuckets(buckets) => self.send_announcements(addr, buckets),
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
            ToEntry::Limits(limits) => self.apply_limits(addr, &limits),
            ToEntry::Unreachable(reports) => gateway.router().apply_unreachable(now, &reports),
            ToEntry::FatalParts { fatal, suspected } => {
                self.apply_fatal_parts(addr, fatal, suspected)
            }
            ToEntry::ProbeAllowed(parts) => {
                log::info!(replica:% = addr, parts:? = parts; "one request with fatal parts allowed");
                gateway.router().allow_probe(&parts);
            }
            ToEntry::Quarantined(fingerprints) => gateway.router().set_quarantined(fingerprints),
            ToEntry::RetainedSessions(sessions, all) => {
                gateway.router().pin_sessions(now, &sessions, all)
            }
            ToEntry::Leases(grant) => self.apply_leases(addr, *grant),
            ToEntry::Pong(sent_at) => gateway.caller_load.record_round_trip(sent_at),
            ToEntry::ForwardingOffers(offers) => gateway.router().set_offers(offers),
        }
    }

    fn apply_announcements(&self, from: SocketAddr, servers: Vec<Announcement>) {
        let now = self.gateway.now();
        let count = servers.len();
        let mut changed = 0;
        let mut router = self.gateway.router();
        for announcement in servers {
            let (id, state) = (announcement.id.clone(), announcement.state);
            if router.apply_announcement(now, announcement) {
                changed += 1;
                if count <= MAX_LOGGED {
                    log::info!(server:% = id, state:? = state; "backend server learned");
                }
            }
        }
        drop(router);
        if count > MAX_LOGGED {
            log::info!(replica:% = from, told = count, news = changed; "backend servers learned");
        }
        self.gateway.state_changed.notify_waiters();
    }

    fn apply_fatal_parts(
        &self,
        from: SocketAddr,
        fatal: Vec<FatalParts>,
        suspected: Vec<PartSuspicion>,
    ) {
        let gateway = &self.gateway;
        let (told, suspected_count) = (fatal.clone(), suspected.len());
        let changed = gateway
            .router()
            .set_fatal_parts(gateway.now(), fatal, suspected);
        if changed {
            log::warn!(
                replica:% = from, fatal:? = told, suspected = suspected_count;
                "fatal prompt parts learned"
            );
            gateway
                .metrics
                .set_gauge(GaugeKind::FatalParts, told.len() as u64);
        }
    }

    fn apply_leases(&self, from: SocketAddr, grant: LeaseGrant) {
        let gateway = &self.gateway;
        let (number, version, leases) = (grant.number, grant.version, grant.leases.len());
        let services = grant.services.clone();
        let changed = gateway.router().apply_leases(grant);
        gateway.slot_freed.notify_waiters();
        if changed {
            let told = services.unwrap_or_default();
            let told: Vec<_> = told
                .iter()
                .map(|s| (&s.service, s.max_rejections, s.sound.len(), s.holders.len()))
                .collect();
            log::info!(
                replica:% = from, number:? = number, version = version, leases = leases,
                services:? = told;
                "leases learned"
            );
        }
    }

    fn apply_limits(&self, from: SocketAddr, limits: &[LimitOf]) {
        let now = self.gateway.now();
        let mut router = self.gateway.router();
        let changed = router.apply_limits(now, limits);
        if !changed.is_empty() {
            let limited = router.limited_count();
            log::info!(
                replica:% = from, limited = limited, news:? = changed[..changed.len().min(MAX_LOGGED)];
                "limits learned"
            );
        }
    }

    /// Sends the announcements in some buckets of the directory to a replica. A restarted
    /// replica thereby recovers what it does not persist.
    fn send_announcements(&self, addr: SocketAddr, buckets: BucketSet) {
        let servers: Vec<_> = {
            let now = self.gateway.now();
            let router = self.gateway.router();
            router
                .directory()
                .announcements_in_buckets(now, buckets)
                .collect()
        };
        self.send(addr, FromEntry::Servers(servers));
    }
}

impl Gateway {
    fn apply_config(&self, from: SocketAddr, document: &Document) {
        let current = self.router().version();
        if current.is_some_and(|current| current >= document.version) {
            return;
        }
        match self.protocol.parse_config(&document.bytes) {
            Ok(config) => {
                let version = config.version;
                let applied = self.router().set_config(self.now(), config);
                if applied {
                    self.first_config_at.get_or_init(Instant::now);
                    self.state_changed.notify_waiters();
                    self.metrics.set_gauge(GaugeKind::ConfigVersion, version);
                    log::info!(
                        config = version, before:? = current, replica:% = from;
                        "configuration in force"
                    );
                }
            }
            Err(e) => {
                log::error!(
                    config = document.version, error:% = e;
                    "configuration cannot be parsed; keeping the current one"
                );
            }
        }
    }
}

/// A connection to one control replica.
struct Connection {
    addr: SocketAddr,
    entry_id: u64,
    name: SmolStr,
    events: UnboundedSender<(SocketAddr, ConnectionEvent)>,
    metrics: Arc<Exposition>,
}

async fn maintain(connection: Connection, cancel: CancellationToken) {
    let mut retry = RetryBackoff::with_max_delay(MAX_RETRY_DELAY);
    loop {
        let mut reached = false;
        let result = tokio::select! {
        () = cancel.cancelled() => None,
        ended = connection.follow(&mut reached) => Some(ended),
        };
        if reached {
            connection.notify(ConnectionEvent::Disconnected);
        }
        let Some(ended) = result else {
            return;
        };
        if let Err(e) = ended
            && reached
        {
            log::warn!(replica:% = connection.addr, error:% = e; "control replica lost");
        }
        retry.wait(reached).await;
    }
}

impl Connection {
    async fn follow(&self, reached: &mut bool) -> Result<(), FrameError> {
        let (mut tx, mut rx) = frames::connect(self.addr).await?;
        tx.send(&Hello::Entry {
            id: self.entry_id,
            name: self.name.clone(),
        })
        .await?;
        *reached = true;
        log::info!(replica:% = self.addr; "control replica reached");
        let (queue, messages) = mpsc::channel(QUEUE_CAPACITY);
        self.notify(ConnectionEvent::Connected(queue));
        tokio::select! {
        ended = self.read(&mut rx) => ended,
        ended = write(&mut tx, messages, &self.metrics) => ended,
        }
    }

    async fn read(&self, rx: &mut Receiver) -> Result<(), FrameError> {
        loop {
            let message = rx.next::<ToEntry>().await?;
            self.notify(ConnectionEvent::Message(message));
        }
    }

    fn notify(&self, event: ConnectionEvent) {
        // The receiver is gone once the entry shuts down.
        let _ = self.events.send((self.addr, event));
    }
}

async fn write(
    tx: &mut Sender,
    mut messages: mpsc::Receiver<FromEntry>,
    metrics: &Exposition,
) -> Result<(), FrameError> {
    let mut ticks = ticks(HEARTBEAT_INTERVAL);
    loop {
        let message = tokio::select! {
        message = messages.recv() => message.ok_or(FrameError::Closed)?,
        _ = ticks.tick() => FromEntry::Heartbeat,
        };
        let frame = frames::encode(&message)?;
        metrics.record_message(MessageDirection::ToControl, message.kind(), frame.len(), 1);
        tx.send_encoded(frame).await?;
    }
}
