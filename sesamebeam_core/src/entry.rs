//! State machine of an entry, the process that accepts and routes requests.
//!
//! [`EntryCore::handle`] processes one event and returns the resulting actions.
//! Sockets and clocks belong to the caller: the runtime or a test harness.

mod arrive;
mod attempts;
mod choose;
mod claims;
mod control_requests;
pub mod event;
pub mod explain;
mod finish;
mod hedge;
mod lease;
mod membership;
pub mod refusal;
mod request;
pub mod view;

use std::{
    collections::{
        BTreeMap,
        VecDeque, //
    },
    time::Duration,
};

use indexmap::{
    IndexMap,
    IndexSet, //
};

use self::{
    control_requests::{
        ControlPurpose,
        PendingCompletions, //
    },
    event::{
        Attempt,
        ControlRequestId,
        EntryAction,
        EntryEvent,
        Recipients, //
    },
    explain::Explain,
    request::Request,
    view::ConfigView, //
};
use crate::{
    ids::{
        ClassId,
        Digest,
        DomainId,
        Incarnation,
        InstanceId,
        MonoTime,
        OrgId,
        RequestId,
        ServerAddr,
        UnixMillis, //
    },
    message::{
        control::ControlRequest,
        peer::{
            LeaseRefresh,
            PeerMessage, //
        },
        record::{
            Claimant,
            PinKey,
            PinView,
            ServerIncarnation, //
        },
    },
    policy::{
        PolicyConfig,
        admission::Admission,
        balance::Balance,
        burn::{
            BurnReport,
            BurnTracker, //
        },
        exposure::Exposure,
        plan::Planner,
        quality::Quality,
        retry::{
            HedgeBudget,
            RetryBudget, //
        },
        servers::Servers,
        suspects::Suspects, //
    },
};

/// Maximum number of recorded broken attempts, and of recorded dead
/// incarnations of backend servers.
const MAX_CRASH_RECORDS: usize = 1024;

/// Maximum number of cached session pins.
const MAX_PINS: usize = 65_536;

/// How far back holds based on ratings are released when the rating service
/// becomes distrusted. Its recent ratings are considered unreliable too.
const RATER_DISTRUST_LOOKBACK: Duration = Duration::from_secs(60);

/// Time for which a broken attempt is considered a possible cause of a backend
/// server crash.
const BROKEN_ATTEMPT_RETENTION: Duration = Duration::from_secs(10);

/// Configuration of an [`EntryCore`].
#[derive(Clone, Debug)]
pub struct EntryConfig {
    /// Name of this instance.
    pub instance: InstanceId,
    /// Failure domain of this instance.
    pub domain: DomainId,
    /// Random number that identifies this run of the process.
    pub incarnation: Incarnation,
    /// Seed for pseudo-random choices.
    pub seed: u64,
    /// Time after requesting a claim within which the request must be sent.
    pub dispatch_window: Duration,
    /// Timeout of requests to the control group, except lease renewals.
    pub claim_timeout: Duration,
    /// Timeout of lease renewals. Must exceed the time for which the control
    /// group delays the response of a renewal.
    pub renew_timeout: Duration,
    /// Delay before a failed renewal is retried.
    pub renew_pause: Duration,
    /// Maximum time without receiving any byte of a response.
    pub progress_timeout: Duration,
    /// Maximum number of requests in flight. Further requests are refused
    /// immediately to bound memory use under overload.
    pub max_in_flight: usize,
    /// Maximum number of attempts per request.
    pub max_attempts: Attempt,
    /// Maximum number of consecutive resumes of a stream without progress.
    pub max_resumes: u32,
    /// Delay before the second resume; it increases by the same amount for each
    /// further one.
    pub resume_pause: Duration,
    /// Default `Retry-After` of refusals.
    pub retry_after: Duration,
    /// Maximum wait for the score of a held response.
    pub rate_timeout: Duration,
    /// Time for which cascades are disabled after the rating service timed out.
    pub rater_rest: Duration,
    /// Whether a rating service is configured.
    pub has_rater: bool,
    /// Interval between heartbeat messages about backend servers to other entries.
    pub alive_every: Duration,
    /// Interval between evidence reports to the control group.
    pub evidence_every: Duration,
    /// Interval between backend server reports to the control group.
    pub servers_every: Duration,
    /// Number of recent requests for which explanations are kept.
    pub explained: usize,
    /// Configuration of the routing and admission policies.
    pub policy: PolicyConfig,
    /// Safeguards disabled by tests.
    #[doc(hidden)]
    pub faults: Faults,
}

/// Safeguards that tests disable to verify that their absence is detected.
#[doc(hidden)]
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Faults {
    /// Sends a request before its claim is committed.
    pub send_unclaimed: bool,
    /// Skips the checks when a request leaves the queue.
    pub no_last_check: bool,
    /// Sends hedges without the checks that apply to new work.
    pub hedge_unchecked: bool,
    /// Takes over a claim of this entry although it may still be used.
    pub retake_early: bool,
    /// Reports "not run" without looking up the claim.
    pub claim_not_run: bool,
    /// Replaces a configuration by an older one.
    pub revert_config: bool,
    /// Renews the lease although the delta in the reply does not apply to the
    /// configuration in force.
    pub lease_unfitting: bool,
    /// Allows every organisation to use every version.
    pub any_version: bool,
    /// Pins a session name locally while the lease is not held.
    pub pin_when_cut: bool,
    /// Reruns a broken non-idempotent request on another backend server.
    pub rerun_once: bool,
    /// Sends new work to backend servers that have announced a shutdown.
    pub ignore_leaving: bool,
}

impl EntryConfig {
    /// Creates the default configuration of an instance.
    pub fn new(instance: InstanceId, domain: DomainId, incarnation: Incarnation) -> Self {
        Self {
            instance,
            domain,
            incarnation,
            seed: incarnation,
            dispatch_window: Duration::from_secs(3),
            claim_timeout: Duration::from_secs(2),
            renew_timeout: Duration::from_secs(5),
            renew_pause: Duration::from_millis(200),
            progress_timeout: Duration::from_secs(5),
            max_in_flight: 4096,
            max_attempts: 3,
            max_resumes: 3,
            resume_pause: Duration::from_millis(150),
            retry_after: Duration::from_secs(2),
            rate_timeout: Duration::from_secs(2),
            rater_rest: Duration::from_secs(10),
            has_rater: false,
            alive_every: Duration::from_secs(1),
            evidence_every: Duration::from_secs(1),
            servers_every: Duration::from_secs(2),
            explained: 2048,
            policy: PolicyConfig::default(),
            faults: Faults::default(),
        }
    }
}

/// State machine of an entry.
#[derive(Debug)]
pub struct EntryCore {
    cfg: EntryConfig,
    view: ConfigView,
    quality: Quality,
    planner: Planner,
    exposure: Exposure,
    balance: Balance,
    admission: Admission,
    retries: RetryBudget,
    hedges: HedgeBudget,
    suspects: Suspects,
    servers: Servers,
    burn: BurnTracker,
    explain: Explain,
    requests: IndexMap<RequestId, Request>,
    pins: IndexMap<PinKey, PinView>,
    control_requests: BTreeMap<ControlRequestId, ControlPurpose>,
    pending: PendingCompletions,
    /// Organisation and class of responses sampled for rating.
    sampled: IndexMap<RequestId, (OrgId, ClassId)>,
    /// Recently broken attempts: time, backend server, request digest.
    broken_attempts: VecDeque<(MonoTime, ServerIncarnation, Digest)>,
    /// Backend server incarnations whose crash was already handled.
    dead_incarnations: VecDeque<ServerIncarnation>,
    /// Backend servers that refreshed their lease here since the last heartbeat
    /// message to other entries.
    refreshed: IndexMap<ServerAddr, LeaseRefresh>,
    /// Backend servers that announced themselves here since the last report to
    /// the control group.
    unreported: IndexSet<ServerAddr>,
    next_control_request: ControlRequestId,
    next_renew: MonoTime,
    next_config_query: MonoTime,
    next_alive: MonoTime,
    next_server_query: MonoTime,
    next_evidence: MonoTime,
    next_servers: MonoTime,
    rater_disabled_until: MonoTime,
    renewing: bool,
    /// Duration of the last granted lease.
    last_lease: Option<Duration>,
    rater_distrusted: bool,
    lease_was_held: bool,
    queue_check_due: bool,
    stopping: bool,
    /// Whether the lease is being released after the last request ended.
    releasing_lease: bool,
    drained: bool,
    /// Wall-clock time of the current event, for records.
    unix: UnixMillis,
    actions: Vec<EntryAction>,
}

impl EntryCore {
    /// Creates an entry without configuration or known backend servers.
    pub fn new(cfg: EntryConfig) -> Self {
        let policy = &cfg.policy;
        Self {
            view: ConfigView::new(cfg.faults),
            quality: Quality::new(policy.quality.clone()),
            planner: Planner::new(policy.plan.clone()),
            exposure: Exposure::new(policy.exposure.clone()),
            balance: Balance::new(policy.balance.clone(), cfg.domain.clone(), cfg.seed),
            admission: Admission::new(policy.admission.clone()),
            retries: RetryBudget::new(policy.retry.clone()),
            hedges: HedgeBudget::new(policy.retry.clone()),
            suspects: Suspects::new(policy.suspects.clone()),
            servers: Servers::new(policy.servers.clone()),
            burn: BurnTracker::new(),
            explain: Explain::new(cfg.explained),
            requests: IndexMap::new(),
            pins: IndexMap::new(),
            control_requests: BTreeMap::new(),
            pending: PendingCompletions::default(),
            sampled: IndexMap::new(),
            broken_attempts: VecDeque::new(),
            dead_incarnations: VecDeque::new(),
            refreshed: IndexMap::new(),
            unreported: IndexSet::new(),
            next_control_request: 0,
            next_renew: MonoTime::ZERO,
            next_config_query: MonoTime::ZERO,
            next_alive: MonoTime::ZERO,
            next_server_query: MonoTime::ZERO,
            next_evidence: MonoTime::ZERO,
            next_servers: MonoTime::ZERO,
            rater_disabled_until: MonoTime::ZERO,
            renewing: false,
            last_lease: None,
            rater_distrusted: false,
            lease_was_held: false,
            queue_check_due: false,
            stopping: false,
            releasing_lease: false,
            drained: false,
            unix: 0,
            actions: Vec::new(),
            cfg,
        }
    }

    /// Handles one event and returns the resulting actions in order.
    ///
    /// `now` must be monotonic; `unix` is used only in human-readable records.
    pub fn handle(
        &mut self,
        now: MonoTime,
        unix: UnixMillis,
        event: EntryEvent,
    ) -> Vec<EntryAction> {
        self.unix = unix;
        self.explain.at(now);
        match event {
            EntryEvent::Tick => self.tick(now),
            EntryEvent::Arrived(arrival) => self.handle_arrival(now, *arrival),
            EntryEvent::CallerGone { request } => self.handle_hang_up(now, request),
            EntryEvent::Attempt {
                request,
                attempt,
                report,
            } => self.handle_report(now, request, attempt, report),
            EntryEvent::Cancelled { request, known } => {
                self.handle_cancel_reply(now, request, known)
            }
            EntryEvent::ControlReplied { ask, reply } => self.handle_control_reply(now, ask, reply),
            EntryEvent::Announced(announcement) => {
                self.handle_announcement(now, &announcement, true)
            }
            EntryEvent::Peer { from, message } => self.handle_peer_message(now, from, message),
            EntryEvent::Rated(rating) => self.handle_rating(now, &rating),
            EntryEvent::HeldRated { request, score } => self.handle_score(now, request, score),
            EntryEvent::Stop => self.begin_stop(now),
        }
        self.start_queued(now);
        std::mem::take(&mut self.actions)
    }

    /// Returns the configuration in force.
    pub fn view(&self) -> &ConfigView {
        &self.view
    }

    /// Returns the explanations of recent requests.
    pub fn explanations(&self) -> &Explain {
        &self.explain
    }

    /// Returns the error budget burn of all organisations or of one.
    pub fn burn(&self, now: MonoTime, only: Option<&str>) -> BurnReport {
        self.burn.report(now, only)
    }

    /// Returns the known backend servers.
    pub fn servers(&self) -> &Servers {
        &self.servers
    }

    /// Returns the number of requests in flight.
    pub fn in_flight(&self) -> usize {
        self.requests.len()
    }

    /// Returns the number of requests that hold a pool slot.
    pub fn slots_held(&self) -> usize {
        self.admission.total_running()
    }

    /// Returns whether a request is in flight.
    pub fn has(&self, request: RequestId) -> bool {
        self.requests.contains_key(&request)
    }

    /// Returns whether a planned stop has begun.
    pub fn is_stopping(&self) -> bool {
        self.stopping
    }

    fn tick(&mut self, now: MonoTime) {
        self.tick_lease(now);
        self.tick_servers(now);
        self.start_due_resumes(now);
        self.tick_hedges(now);
        self.quality.tick(now);
        self.check_rater(now);
        self.suspects.tick(now);
        self.retry_completions(now);
        self.repeat_lost_claims();
        for given_up in self.admission.expired(now) {
            let after = Some(given_up.retry_after);
            self.give_up(now, given_up.request, refusal::Reason::Overloaded, after);
        }
        if now >= self.next_evidence {
            self.report_evidence(now);
        }
        if now >= self.next_servers {
            self.report_servers(now);
        }
        self.broken_attempts
            .retain(|(at, _, _)| now.saturating_sub(*at) < BROKEN_ATTEMPT_RETENTION);
        while self.pins.len() > MAX_PINS {
            self.pins.swap_remove_index(0);
        }
        self.queue_check_due = true;
        self.check_drained();
    }

    /// Releases holds based on recent ratings when the rating service becomes
    /// distrusted. Otherwise good versions would stay held because of wrong
    /// ratings.
    fn check_rater(&mut self, now: MonoTime) {
        let distrusted = self.quality.rater_distrusted();
        if distrusted && !self.rater_distrusted {
            let since = now.saturating_sub(RATER_DISTRUST_LOOKBACK);
            self.exposure.release_ratings_since(since);
        }
        self.rater_distrusted = distrusted;
    }

    /// Begins a planned stop; requests in flight are completed.
    fn begin_stop(&mut self, now: MonoTime) {
        if self.stopping {
            return;
        }
        self.stopping = true;
        self.send_to_entries(
            Recipients::All,
            PeerMessage::Leaving {
                instance: self.cfg.instance.clone(),
                domain: self.cfg.domain.clone(),
            },
        );
        self.report_evidence(now);
        self.check_drained();
    }

    fn report_evidence(&mut self, now: MonoTime) {
        self.next_evidence = now + self.cfg.evidence_every;
        let evidence = self.exposure.take_evidence(&self.cfg.instance);
        if !evidence.is_empty() {
            self.send_control(
                ControlPurpose::Report,
                ControlRequest::Evidence(evidence),
                self.cfg.claim_timeout,
            );
        }
    }

    /// Identifies this run of the entry as a claimant.
    fn claimant(&self) -> Claimant {
        Claimant {
            instance: self.cfg.instance.clone(),
            incarnation: self.cfg.incarnation,
        }
    }
}

/// Removes the oldest elements until at most `most` are left.
fn keep_newest<T>(queue: &mut VecDeque<T>, most: usize) {
    while queue.len() > most {
        queue.pop_front();
    }
}
