//! The core of an entry: routes requests, keeps what it promises, explains.
//!
//! [`EntryCore::handle`] takes one event and gives the actions that follow from
//! it. It opens no socket and reads no clock; the edges do, and a harness can.

mod arrive;
mod ask;
mod attempts;
mod choose;
mod claims;
pub mod event;
pub mod explain;
mod finish;
mod hedge;
mod lease;
mod members;
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
    ask::{
        AskFor,
        PendingEnds, //
    },
    event::{
        AskId,
        Attempt,
        Audience,
        EntryAction,
        EntryEvent, //
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
            Alive,
            PeerMessage, //
        },
        record::{
            Claimant,
            PinKey,
            PinView,
            ServerLife, //
        },
    },
    policy::{
        PolicyConfig,
        admission::Admission,
        balance::Balance,
        burn::{
            BurnReport, //
            BurnTracker,
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

/// Broken attempts and dead lives that are remembered.
const MAX_LOST: usize = 1024;

/// Pins that are remembered.
const MAX_PINS: usize = 65_536;

/// Time before the rating service was distrusted from which its holds are let
/// go: what it said then is not believed either.
const RATER_DOUBT: Duration = Duration::from_secs(60);

/// Time for which a broken attempt can still explain a death.
const LOST_FOR: Duration = Duration::from_secs(10);

/// Settings of an entry's core.
#[derive(Clone, Debug)]
pub struct EntryConfig {
    /// Name of the instance.
    pub instance: InstanceId,
    /// Failure domain that it runs in.
    pub domain: DomainId,
    /// This life of the process, drawn at random.
    pub incarnation: Incarnation,
    /// Seed of random choices.
    pub seed: u64,
    /// Time after asking for a claim within which the request is sent.
    pub dispatch_window: Duration,
    /// Time after which a question to the control group is given up.
    pub claim_timeout: Duration,
    /// Time after which a renewal of the lease is given up; longer than the
    /// control group lets one wait.
    pub renew_timeout: Duration,
    /// Pause between failed renewals.
    pub renew_pause: Duration,
    /// Longest time without any byte of an answer.
    pub progress_timeout: Duration,
    /// Requests under way; more are refused at once, so that a flood of callers
    /// cannot fill the memory.
    pub max_in_flight: usize,
    /// Attempts at one request.
    pub max_attempts: Attempt,
    /// Resumes of one stream without progress in between.
    pub max_resumes: u32,
    /// Pause before the second of them; the later ones grow by it.
    pub resume_pause: Duration,
    /// Time after which callers are told to come back.
    pub retry_after: Duration,
    /// Longest wait for the score of a held answer.
    pub rate_timeout: Duration,
    /// Time without cascades after the rating service did not answer.
    pub rater_rest: Duration,
    /// Whether there is a rating service.
    pub has_rater: bool,
    /// Time between two messages of backend servers that are alive.
    pub alive_every: Duration,
    /// Time between two reports of evidence.
    pub evidence_every: Duration,
    /// Time between two reports of backend servers to the control group.
    pub servers_every: Duration,
    /// Requests whose decisions can be explained.
    pub explained: usize,
    /// Settings of the decisions.
    pub policy: PolicyConfig,
    /// Safeguards that tests switch off to see them missed.
    #[doc(hidden)]
    pub faults: Faults,
}

/// Safeguards that tests switch off to see them missed.
#[doc(hidden)]
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Faults {
    /// Sends before the claim is committed.
    pub send_unclaimed: bool,
    /// Skips the checks between the queue and the wire.
    pub no_last_check: bool,
    /// Sends second attempts without the checks of new work.
    pub hedge_unchecked: bool,
    /// Takes a claim over without waiting for window and lease.
    pub retake_early: bool,
    /// Says "not run" without looking at the claim.
    pub claim_not_run: bool,
    /// Takes an older configuration over a newer one.
    pub revert_config: bool,
    /// Takes a lease although the answer's difference does not apply here.
    pub lease_unfitting: bool,
    /// Lets every organisation use every version.
    pub any_version: bool,
    /// Pins a bare session name locally while cut off.
    pub pin_when_cut: bool,
    /// Reruns a broken non-idempotent request elsewhere.
    pub rerun_once: bool,
    /// Sends new work to backend servers that are leaving.
    pub ignore_leaving: bool,
}

impl EntryConfig {
    /// Makes settings with defaults for an instance.
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

/// The core of an entry.
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
    asks: BTreeMap<AskId, AskFor>,
    pending: PendingEnds,
    /// Organisation and class of answers that are being rated.
    sampled: IndexMap<RequestId, (OrgId, ClassId)>,
    /// Attempts that broke off lately, with the request's fingerprint.
    lost: VecDeque<(MonoTime, ServerLife, Digest)>,
    /// Lives whose death was taken.
    dead: VecDeque<ServerLife>,
    /// Backend servers that refreshed their lease here, to be told to others.
    alive: IndexMap<ServerAddr, Alive>,
    /// Backend servers that announced themselves here since the last report.
    unreported: IndexSet<ServerAddr>,
    next_ask: AskId,
    next_renew: MonoTime,
    next_ask_peers: MonoTime,
    next_alive: MonoTime,
    next_want: MonoTime,
    next_evidence: MonoTime,
    next_servers: MonoTime,
    rater_silent_until: MonoTime,
    renewing: bool,
    /// Length of the lease that was granted last.
    last_lease: Option<Duration>,
    rater_distrusted: bool,
    lease_was_held: bool,
    pump_wanted: bool,
    stopping: bool,
    /// Whether the lease was given back, after the last request ended.
    leaving: bool,
    drained: bool,
    /// Wall-clock time of the present event, for records.
    unix: UnixMillis,
    out: Vec<EntryAction>,
}

impl EntryCore {
    /// Makes the core of an entry that knows nothing yet.
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
            asks: BTreeMap::new(),
            pending: PendingEnds::default(),
            sampled: IndexMap::new(),
            lost: VecDeque::new(),
            dead: VecDeque::new(),
            alive: IndexMap::new(),
            unreported: IndexSet::new(),
            next_ask: 0,
            next_renew: MonoTime::ZERO,
            next_ask_peers: MonoTime::ZERO,
            next_alive: MonoTime::ZERO,
            next_want: MonoTime::ZERO,
            next_evidence: MonoTime::ZERO,
            next_servers: MonoTime::ZERO,
            rater_silent_until: MonoTime::ZERO,
            renewing: false,
            last_lease: None,
            rater_distrusted: false,
            lease_was_held: false,
            pump_wanted: false,
            stopping: false,
            leaving: false,
            drained: false,
            unix: 0,
            out: Vec::new(),
            cfg,
        }
    }

    /// Handles one event and gives the actions that follow, in order.
    ///
    /// `now` never goes back; `unix` is for records that people read.
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
            EntryEvent::Arrived(arrival) => self.arrive(now, *arrival),
            EntryEvent::CallerGone { request } => self.caller_gone(now, request),
            EntryEvent::Attempt {
                request,
                attempt,
                report,
            } => self.reported(now, request, attempt, report),
            EntryEvent::Cancelled { request, known } => self.cancelled(now, request, known),
            EntryEvent::Answered { ask, reply } => self.answered(now, ask, reply),
            EntryEvent::Announced(announcement) => self.announced(now, &announcement, true),
            EntryEvent::Peer { from, message } => self.peer(now, from, message),
            EntryEvent::Rated(rating) => self.rated(now, &rating),
            EntryEvent::RatedNow { request, score } => self.rated_now(now, request, score),
            EntryEvent::Stop => self.stop(now),
        }
        self.pump(now);
        std::mem::take(&mut self.out)
    }

    /// The configuration in force.
    pub fn view(&self) -> &ConfigView {
        &self.view
    }

    /// What was decided on recent requests.
    pub fn explanations(&self) -> &Explain {
        &self.explain
    }

    /// Burn of the objectives, of all organisations or of one.
    pub fn burn(&self, now: MonoTime, only: Option<&str>) -> BurnReport {
        self.burn.report(now, only)
    }

    /// Backend servers known here.
    pub fn servers(&self) -> &Servers {
        &self.servers
    }

    /// Requests under way.
    pub fn in_flight(&self) -> usize {
        self.requests.len()
    }

    /// Requests that hold a slot of a pool.
    pub fn slots_held(&self) -> usize {
        self.admission.total_running()
    }

    /// Whether a request is under way.
    pub fn has(&self, request: RequestId) -> bool {
        self.requests.contains_key(&request)
    }

    /// Whether a stop has begun.
    pub fn is_stopping(&self) -> bool {
        self.stopping
    }

    fn tick(&mut self, now: MonoTime) {
        self.tick_lease(now);
        self.tick_servers(now);
        self.resume_paused(now);
        self.tick_hedges(now);
        self.quality.tick(now);
        self.judge_rater(now);
        self.suspects.tick(now);
        self.retry_ends(now);
        self.retry_lost();
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
        self.lost
            .retain(|(at, _, _)| now.saturating_sub(*at) < LOST_FOR);
        while self.pins.len() > MAX_PINS {
            self.pins.swap_remove_index(0);
        }
        self.pump_wanted = true;
        self.check_drained();
    }

    /// Lets go of holds by ratings when the rating service turns out to be
    /// wrong: good versions would else stay held on its word.
    fn judge_rater(&mut self, now: MonoTime) {
        let distrusted = self.quality.rater_distrusted();
        if distrusted && !self.rater_distrusted {
            let since = now.saturating_sub(RATER_DOUBT);
            self.exposure.release_ratings_since(since);
        }
        self.rater_distrusted = distrusted;
    }

    /// Begins a planned stop: requests under way go on to their end.
    fn stop(&mut self, now: MonoTime) {
        if self.stopping {
            return;
        }
        self.stopping = true;
        self.tell(
            Audience::All,
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
            self.ask(
                AskFor::Report,
                ControlRequest::Evidence(evidence),
                self.cfg.claim_timeout,
            );
        }
    }

    /// This entry in its present life.
    fn me(&self) -> Claimant {
        Claimant {
            instance: self.cfg.instance.clone(),
            incarnation: self.cfg.incarnation,
        }
    }
}

/// Drops the oldest of a queue until at most `most` are left.
fn keep_newest<T>(queue: &mut VecDeque<T>, most: usize) {
    while queue.len() > most {
        queue.pop_front();
    }
}
