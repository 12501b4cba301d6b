//! Load balancing across backend servers.
//!
//! An entry sees its own requests immediately, but the load of a backend server only as
//! of the last answers from it. Rendezvous hashing sends requests with the same shared
//! prompt from every entry to the same few backend servers, so that the prompt is
//! processed once; the load bounds how far this affinity goes.

use std::{
    collections::HashMap,
    time::Duration, //
};

use rustc_hash::FxHashMap;

use super::{
    directory::{
        ServerId,
        ServerRecord, //
    },
    loads::{
        self,
        Loads,
        ServerKey,
        ServerLoad, //
    },
    outliers::{
        AnswerCounts,
        Doubt, //
    },
    prefill::{
        self,
        PrefillQueue, //
    },
    reachability::Reachability,
    request::Load,
    retry_delay::RetryDelay,
};
use crate::{
    ids::{
        DomainId,
        MonoTime, //
    },
    policy::hash, //
};

/// How far the load of a backend server may exceed the mean, as a share of the mean,
/// before prompt affinity is ignored: the bound of consistent hashing with bounded loads.
const LOAD_MARGIN: f64 = 0.25;

/// Requests added to that bound, so that it is meaningful where backend servers have
/// hardly any load.
pub(super) const LOAD_ALLOWANCE: f64 = 2.0;

/// Weight of a waiting request relative to a running one: a queue delays all later
/// requests, while a running request only slows them down.
const WAITING_WEIGHT: f64 = 3.0;

/// Load, as a share of the slots, that balances a hop to another failure domain: one
/// round trip between domains compared with the work of a request.
const CROSS_DOMAIN_COST: f64 = 0.25;

/// Number of shared tokens below which a prompt is processed once in each failure domain
/// instead of being sent to another domain that has it cached. Engines process some
/// hundred tokens in a millisecond, so this costs about twenty milliseconds once, while a
/// remote prefix exposes all requests with it to faults of the link between the domains.
/// Measured with all prompts kept local, on days with such faults, one deployment gained
/// 0.02 of the value of all its requests and another lost 0.015, as its long shared
/// prompts were processed three times.
const LOCAL_PROMPT_TOKENS: u32 = 2_000;

/// Prefill backlog up to which an engine is preferred for a cached prompt: processing
/// that prompt again on another engine takes about as long.
const MAX_PREFILL_BACKLOG: Duration = Duration::from_millis(100);

/// Time for which a response received by this entry takes precedence over reports that
/// another entry could not reach the backend server.
const OWN_RESPONSE_PRECEDENCE: Duration = Duration::from_millis(500);

/// Pause for a backend server whose answer is overdue. It starts anew while the answer is
/// missing and ends with any response.
const OVERDUE_PAUSE: Duration = Duration::from_millis(1000);

/// Maximum pause for an unreachable backend server; shorter than a restart takes.
const MAX_PAUSE: Duration = Duration::from_secs(4);

/// Weight of the newest answer in the failure rate: about ten answers determine it.
const FAILURE_WEIGHT: f64 = 0.1;

/// Excess over the mean failure rate of the others at which a backend server is avoided.
const FAILURE_EXCESS: f64 = 0.2;

/// Load, as a share of the slots, that balances a failure rate of 1. For a request that
/// may run only once, a queue of ten times the slots takes a tenth of the time that
/// callers of non-streaming services wait.
const DOUBT_COST: f64 = 10.0;

/// One in this many repeatable requests ignores doubts, so that its answer shows whether
/// the backend server has recovered.
const DOUBT_PROBE_ONE_IN: u64 = 16;

/// Half-life of a reported load; engines replace their running requests within this time.
const LOAD_HALF_LIFE: Duration = Duration::from_millis(500);

/// Time after which a load received from the control replicas has decayed to a
/// thousandth.
const SHARED_REPORT_LIFETIME: Duration = Duration::from_secs(5);

/// State of a backend server as observed by one entry.
#[derive(Clone, Debug, Default)]
struct ServerStats {
    domain: DomainId,
    /// Own requests in flight.
    in_flight: u32,
    /// Last load reported to this entry.
    own_report: Option<LoadReport>,
    /// Last load reported to another entry.
    shared_report: Option<LoadReport>,
    /// Failure rate of its answers, as a moving average.
    failure_rate: f64,
    /// Pause after failed connections, during which it gets no requests.
    retry_delay: RetryDelay,
    /// When it last responded.
    last_response_at: MonoTime,
    /// Long prompts that it has not processed yet.
    prefill_queue: PrefillQueue,
}

/// Load reported by a backend server.
#[derive(Clone, Copy, Debug)]
struct LoadReport {
    running: u32,
    waiting: u32,
    /// When the report arrived.
    at: MonoTime,
    /// Own requests in flight when the report arrived.
    own_in_flight: u32,
}

/// Prompt prefix that a request shares with others.
#[derive(Clone, Copy, Debug)]
pub struct Affinity {
    /// Hash of the shared prompt and the model.
    pub key: u64,
    /// Number of tokens of the shared prompt.
    pub tokens: u32,
}

/// Parameters of a choice.
#[derive(Clone, Copy, Debug)]
pub struct ChoiceParams<'a> {
    /// Shared prompt; none if the request has no preferred backend server.
    pub affinity: Option<Affinity>,
    /// Time that an engine takes to process the unshared part of the prompt.
    pub prefill_time: Duration,
    /// Failure domain of this entry.
    pub domain: &'a str,
    /// Backend servers already tried for this request.
    pub tried: &'a [ServerId],
    /// Whether the request must not run more than once.
    pub at_most_once: bool,
    /// Pseudo-random tie breaker.
    pub seed: u64,
}

/// Outcome of a send.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The answer was successful.
    Good,
    /// The answer was an error or was truncated.
    Failed,
    /// The backend server rejected the request without running it.
    Refused,
    /// The connection failed.
    Unreachable,
    /// The connection was refused: the process is down, but the network path works.
    Down,
    /// The backend server sent nothing for too long.
    Silent,
    /// The request was cancelled for a reason unrelated to the backend server.
    Dropped,
}

/// Load balancer of one entry.
#[derive(Debug, Default)]
pub struct LoadBalancer {
    servers: FxHashMap<ServerId, ServerStats>,
    reachability: Reachability,
    /// Loads to report to the other entries.
    unreported_loads: Loads,
    /// Unreported counts of good and bad answers.
    unreported_outcomes: HashMap<ServerKey, (u32, u32)>,
    /// Unreported unreachable backend servers, each with whether it is down.
    unreached: Vec<(ServerKey, bool)>,
    /// Failure rates of backend servers that fail more often than their service.
    doubts: HashMap<ServerKey, f64>,
}

impl LoadBalancer {
    /// Chooses among the candidates and counts the request.
    pub fn choose<'a>(
        &mut self,
        now: MonoTime,
        candidates: &[&'a ServerRecord],
        params: &ChoiceParams<'_>,
    ) -> Option<&'a ServerRecord> {
        let chosen = self.pick(now, candidates, params)?;
        self.record_send(now, chosen, params.prefill_time);
        Some(chosen)
    }

    /// Returns the backend server that [`choose`](Self::choose) would choose.
    pub fn pick<'a>(
        &self,
        now: MonoTime,
        candidates: &[&'a ServerRecord],
        params: &ChoiceParams<'_>,
    ) -> Option<&'a ServerRecord> {
        let eligible = self.eligible(now, candidates, params.tried);
        match params.affinity {
            Some(affinity) => self.choose_by_prompt(now, &eligible, affinity, params),
            None => self.choose_by_load(now, &eligible, params),
        }
    }

    /// Counts a request that is sent to a backend server.
    pub fn record_send(&mut self, now: MonoTime, chosen: &ServerRecord, prefill_time: Duration) {
        let stats = self
            .servers
            .entry(chosen.announcement.id.clone())
            .or_default();
        stats.in_flight += 1;
        stats.domain = chosen.announcement.domain.clone();
        self.reachability
            .record_attempt(now, &chosen.announcement.domain);
        if prefill_time >= prefill::LONG_PREFILL {
            self.record_prefill(now, &chosen.announcement.id, prefill_time);
        }
    }

    /// Records a response from a backend server.
    pub fn record_response(&mut self, now: MonoTime, id: &ServerId, load: Option<Load>) {
        let stats = self.servers.entry(id.clone()).or_default();
        stats.last_response_at = now;
        stats.retry_delay = RetryDelay::default();
        self.reachability.record_response(&stats.domain);
        if let Some(load) = load {
            let load = ServerLoad::new(id, load);
            stats.own_report = Some(stats.make_report(now, load));
            let load = load.with_prefill(stats.prefill_queue.own_remaining(now));
            self.unreported_loads.merge(now, [load]);
        }
    }

    /// Resets the state of a backend server that restarted: the new incarnation is idle
    /// and has no failures.
    pub fn reset(&mut self, id: &ServerId) {
        if let Some(stats) = self.servers.get_mut(id) {
            *stats = ServerStats {
                domain: stats.domain.clone(),
                in_flight: stats.in_flight,
                ..ServerStats::default()
            };
        }
    }

    /// Records a load measured by another entry.
    pub fn apply_load(&mut self, now: MonoTime, id: &ServerId, load: ServerLoad) {
        let stats = self.servers.entry(id.clone()).or_default();
        stats.shared_report = Some(stats.make_report(now, load));
        stats.prefill_queue.reported(now, load.prefill_time());
    }

    /// Records a long prompt sent to an engine, for this entry and the others, until its
    /// first event arrives.
    ///
    /// An engine sends nothing while it processes a long prompt and looks idle; up to 27
    /// requests queued up behind one and were late. Reported as a number of tokens, the
    /// backlog was taken for work of the small model and decayed within a second, so it
    /// is reported as a time.
    fn record_prefill(&mut self, now: MonoTime, id: &ServerId, prefill_time: Duration) {
        let stats = self.servers.entry(id.clone()).or_default();
        stats.prefill_queue.sent(now, prefill_time);
        let newest_report = stats.newest_report();
        let load = Load {
            running: newest_report.map_or(0, |r| r.running),
            waiting: newest_report.map_or(0, |r| r.waiting),
            slots: 0,
            slowdown: None,
        };
        let load = ServerLoad::new(id, load).with_prefill(stats.prefill_queue.own_remaining(now));
        self.unreported_loads.merge(now, [load]);
    }

    /// Records that a long prompt was processed or that its request ended.
    pub fn record_prefilled(&mut self, now: MonoTime, id: &ServerId, prefill_time: Duration) {
        if prefill_time >= prefill::LONG_PREFILL
            && let Some(stats) = self.servers.get_mut(id)
        {
            stats.prefill_queue.finished(now, prefill_time);
        }
    }

    /// Takes the loads that are due to be reported.
    pub fn take_loads(&mut self, now: MonoTime) -> Option<Vec<ServerLoad>> {
        self.unreported_loads.take_due(now, 0)
    }

    /// Returns when a backend server last responded.
    pub fn last_response_at(&self, id: &ServerId) -> MonoTime {
        self.servers
            .get(id)
            .map_or(MonoTime::ZERO, |s| s.last_response_at)
    }

    /// Returns the number of own requests in flight at a backend server.
    pub fn in_flight(&self, id: &ServerId) -> u32 {
        self.servers.get(id).map_or(0, |s| s.in_flight)
    }

    /// Iterates over the backend servers at which own requests are in flight.
    pub fn all_in_flight(&self) -> impl Iterator<Item = (&ServerId, u32)> {
        let in_flight = self.servers.iter().map(|(id, s)| (id, s.in_flight));
        in_flight.filter(|(_, count)| *count > 0)
    }

    /// Takes the unreported answer counts.
    pub fn take_outcomes(&mut self) -> Vec<AnswerCounts> {
        let outcome = |(server, (good, bad))| AnswerCounts { server, good, bad };
        self.unreported_outcomes.drain().map(outcome).collect()
    }

    /// Returns whether there are unreported failures or unreachable backend servers.
    pub fn has_failures(&self) -> bool {
        !self.unreached.is_empty() || self.unreported_outcomes.values().any(|(_, bad)| *bad > 0)
    }

    /// Takes the unreported unreachable backend servers, each with whether it is down.
    pub fn take_unreached(&mut self) -> Vec<(ServerKey, bool)> {
        std::mem::take(&mut self.unreached)
    }

    /// Puts an unreachable backend server back that is not to be reported yet.
    pub fn restore_unreached(&mut self, server: ServerKey, is_down: bool) {
        self.unreached.push((server, is_down));
    }

    /// Records that another entry in this failure domain could not reach a backend
    /// server.
    ///
    /// When a failure domain was partitioned, each of 295 entries had to detect that
    /// itself, and again after each pause: 1,260 requests waited for connections that
    /// failed within six seconds.
    pub fn apply_unreachable(
        &mut self,
        now: MonoTime,
        id: &ServerId,
        domain: &DomainId,
        is_down: bool,
    ) {
        let stats = self.servers.entry(id.clone()).or_default();
        stats.domain = domain.clone();
        if stats.last_response_at > MonoTime::ZERO
            && now < stats.last_response_at + OWN_RESPONSE_PRECEDENCE
        {
            return;
        }
        if stats.retry_delay.is_over(now) {
            stats.retry_delay.start_next(now, MAX_PAUSE);
        }
        if !is_down {
            self.reachability.record_unreachable(now, domain, id);
        }
    }

    /// Sets the backend servers whose failure rate over all entries is above that of
    /// their service.
    pub fn set_doubts(&mut self, doubts: impl IntoIterator<Item = Doubt>) {
        let share = |d: Doubt| (d.server, f64::from(d.failing) / 100.0);
        self.doubts = doubts.into_iter().map(share).collect();
    }

    /// Ends the pauses of backend servers that could not be reached.
    pub fn end_pauses<'a>(&mut self, servers: impl IntoIterator<Item = &'a ServerRecord>) {
        for server in servers {
            let announcement = &server.announcement;
            self.reachability.record_response(&announcement.domain);
            if let Some(stats) = self.servers.get_mut(&announcement.id) {
                stats.retry_delay = RetryDelay::default();
            }
        }
    }

    /// Pauses a backend server with an overdue answer, here and at the other entries in
    /// this failure domain, until it responds.
    pub fn record_overdue(&mut self, now: MonoTime, id: &ServerId) {
        let stats = self.servers.entry(id.clone()).or_default();
        stats.retry_delay.extend_to(now, OVERDUE_PAUSE);
        self.unreached.push((loads::key(id), true));
    }

    /// Records the outcome of a send.
    pub fn record_outcome(&mut self, now: MonoTime, id: &ServerId, outcome: Outcome) {
        match outcome {
            Outcome::Good => {
                self.unreported_outcomes
                    .entry(loads::key(id))
                    .or_default()
                    .0 += 1
            }
            Outcome::Failed => {
                self.unreported_outcomes
                    .entry(loads::key(id))
                    .or_default()
                    .1 += 1
            }
            Outcome::Refused
            | Outcome::Unreachable
            | Outcome::Down
            | Outcome::Silent
            | Outcome::Dropped => {}
        }
        let stats = self.servers.entry(id.clone()).or_default();
        stats.in_flight = stats.in_flight.saturating_sub(1);
        match outcome {
            Outcome::Good => stats.failure_rate *= 1.0 - FAILURE_WEIGHT,
            Outcome::Failed => {
                stats.failure_rate = stats.failure_rate * (1.0 - FAILURE_WEIGHT) + FAILURE_WEIGHT;
            }
            Outcome::Down => {
                self.unreached.push((loads::key(id), true));
                stats.retry_delay.start_next(now, MAX_PAUSE);
            }
            Outcome::Unreachable | Outcome::Silent => {
                // Busy engines send nothing for seconds: a report to other entries could
                // take whole failure domains out of service under load.
                if outcome == Outcome::Unreachable {
                    self.unreached.push((loads::key(id), false));
                }
                stats.retry_delay.start_next(now, MAX_PAUSE);
                self.reachability.record_unreachable(now, &stats.domain, id);
            }
            Outcome::Refused | Outcome::Dropped => {}
        }
    }

    /// Returns whether a backend server is neither paused nor behind a partition.
    pub fn is_reachable(&self, now: MonoTime, known: &ServerRecord) -> bool {
        let stats = self.servers.get(&known.announcement.id);
        let is_unpaused = stats.is_none_or(|s| s.retry_delay.is_over(now));
        is_unpaused
            && !self
                .reachability
                .is_avoided(now, &known.announcement.domain)
    }

    /// Returns the mean share of occupied slots of backend servers.
    pub fn utilization(&self, now: MonoTime, servers: &[&ServerRecord]) -> f64 {
        let loads: Vec<f64> = servers.iter().map(|k| self.shared_load(now, k)).collect();
        mean(&loads)
    }

    /// Removes state of backend servers that are gone, and decayed reports of other
    /// entries.
    pub fn retain(&mut self, now: MonoTime, known: impl Fn(&ServerId) -> bool) {
        self.servers
            .retain(|id, stats| stats.in_flight > 0 || stats.is_relevant(now) && known(id));
    }

    /// Returns the number of tracked backend servers.
    pub fn count(&self) -> usize {
        self.servers.len()
    }

    /// Excludes backend servers that were tried, are unreachable or have a high failure
    /// rate, as long as others remain.
    pub fn eligible<'a>(
        &self,
        now: MonoTime,
        all: &[&'a ServerRecord],
        tried: &[ServerId],
    ) -> Vec<&'a ServerRecord> {
        let untried: Vec<&ServerRecord> = all
            .iter()
            .copied()
            .filter(|k| !tried.contains(&k.announcement.id))
            .collect();
        let reachable = |k: &&ServerRecord| self.is_reachable(now, k);
        let mean = self.mean_failure_rate(&untried);
        let is_reliable = |k: &&ServerRecord| self.failure_rate(k) <= mean + FAILURE_EXCESS;
        let best: Vec<&ServerRecord> = untried
            .iter()
            .copied()
            .filter(reachable)
            .filter(is_reliable)
            .collect();
        if !best.is_empty() {
            return best;
        }
        let reachable: Vec<&ServerRecord> = untried.iter().copied().filter(reachable).collect();
        if reachable.is_empty() {
            untried
        } else {
            reachable
        }
    }

    /// Chooses the backend server with the highest rendezvous weight among those within
    /// the load bound, preferring this entry's failure domain for a short shared prompt.
    fn choose_by_prompt<'a>(
        &self,
        now: MonoTime,
        eligible: &[&'a ServerRecord],
        affinity: Affinity,
        params: &ChoiceParams<'_>,
    ) -> Option<&'a ServerRecord> {
        let slots = eligible
            .iter()
            .map(|k| k.announcement.slots)
            .max()
            .unwrap_or(1);
        let allowance = LOAD_ALLOWANCE / f64::from(slots.max(1));
        let loads: Vec<f64> = eligible.iter().map(|k| self.shared_load(now, k)).collect();
        let bound = mean(&loads) * (1.0 + LOAD_MARGIN) + allowance;
        let key = affinity.key.to_le_bytes();
        let with_loads = || eligible.iter().copied().zip(loads.iter().copied());
        let within_bound = with_loads().filter(|(k, load)| {
            let backlog = self.prefill_backlog(now, k);
            *load <= bound && backlog <= MAX_PREFILL_BACKLOG
        });
        let best = within_bound.max_by_key(|(k, _)| {
            let is_local = self.is_preferred_domain(k, params);
            let is_reliable = self.is_reliable(k, params);
            (
                is_reliable,
                is_local,
                hash::rendezvous(&k.announcement.id, &key),
            )
        });
        // A second of prefill backlog delays as many requests as a full engine.
        let delay =
            |(k, load): &(&ServerRecord, f64)| load + self.prefill_backlog(now, k).as_secs_f64();
        let least_delayed = || with_loads().min_by(|a, b| delay(a).total_cmp(&delay(b)));
        best.or_else(least_delayed).map(|(k, _)| k)
    }

    fn choose_by_load<'a>(
        &self,
        now: MonoTime,
        eligible: &[&'a ServerRecord],
        params: &ChoiceParams<'_>,
    ) -> Option<&'a ServerRecord> {
        let salt = params.seed.to_string();
        let cost = |k: &ServerRecord| {
            let distance = if k.announcement.domain == params.domain {
                0.0
            } else {
                CROSS_DOMAIN_COST
            };
            let jitter = hash::unit(k.announcement.id.as_bytes(), &salt) * 0.05;
            self.own_load(now, k) + distance + jitter + DOUBT_COST * self.doubt_rate(k, params)
        };
        let best = eligible.iter().min_by(|a, b| cost(a).total_cmp(&cost(b)));
        best.copied()
    }

    /// Returns the requests on a backend server as a share of its slots, from own
    /// observations only.
    fn own_load(&self, now: MonoTime, known: &ServerRecord) -> f64 {
        let stats = self.servers.get(&known.announcement.id);
        stats.map_or(0.0, |stats| {
            stats.load(now, known.announcement.slots, stats.own_report)
        })
    }

    /// Returns the requests on a backend server as a share of its slots, from the
    /// observations of all entries.
    ///
    /// This only limits which backend servers are eligible and never ranks them: all
    /// entries receive it at the same time and would all choose the same one.
    fn shared_load(&self, now: MonoTime, known: &ServerRecord) -> f64 {
        let Some(stats) = self.servers.get(&known.announcement.id) else {
            return 0.0;
        };
        stats.load(now, known.announcement.slots, stats.newest_report())
    }

    /// Returns the time that an engine still needs for long prompts sent to it.
    fn prefill_backlog(&self, now: MonoTime, known: &ServerRecord) -> Duration {
        let stats = self.servers.get(&known.announcement.id);
        stats.map_or(Duration::ZERO, |stats| stats.prefill_queue.remaining(now))
    }

    /// Returns whether a backend server fails no more often than others of its service.
    pub fn is_reliable(&self, known: &ServerRecord, params: &ChoiceParams<'_>) -> bool {
        self.doubt_rate(known, params) == 0.0
    }

    /// Returns whether a backend server is preferred for its failure domain.
    pub fn is_preferred_domain(&self, known: &ServerRecord, params: &ChoiceParams<'_>) -> bool {
        let is_short = params
            .affinity
            .is_some_and(|affinity| affinity.tokens < LOCAL_PROMPT_TOKENS);
        is_short && known.announcement.domain == params.domain
    }

    /// Returns the failure rate for which a backend server is avoided.
    fn doubt_rate(&self, known: &ServerRecord, params: &ChoiceParams<'_>) -> f64 {
        let probes = !params.at_most_once
            && params.tried.is_empty()
            && params.seed.is_multiple_of(DOUBT_PROBE_ONE_IN);
        if self.doubts.is_empty() || probes {
            return 0.0;
        }
        let doubt = self.doubts.get(&loads::key(&known.announcement.id));
        doubt.copied().unwrap_or_default()
    }

    fn failure_rate(&self, known: &ServerRecord) -> f64 {
        self.servers
            .get(&known.announcement.id)
            .map_or(0.0, |s| s.failure_rate)
    }

    fn mean_failure_rate(&self, eligible: &[&ServerRecord]) -> f64 {
        let rates: Vec<f64> = eligible.iter().map(|k| self.failure_rate(k)).collect();
        mean(&rates)
    }
}

impl ServerStats {
    /// Returns whether the state can still affect a choice: this entry has had a response
    /// or a failure, a long prompt is being processed, or a load report of another entry
    /// has not decayed.
    fn is_relevant(&self, now: MonoTime) -> bool {
        let was_observed =
            self.last_response_at > MonoTime::ZERO || self.retry_delay != RetryDelay::default();
        let is_prefilling = !self.prefill_queue.remaining(now).is_zero();
        let shared = self.shared_report;
        was_observed || is_prefilling || shared.is_some_and(|s| now < s.at + SHARED_REPORT_LIFETIME)
    }

    /// Returns the newest load report of any entry.
    fn newest_report(&self) -> Option<LoadReport> {
        let reports = [self.own_report, self.shared_report].into_iter().flatten();
        reports.max_by_key(|report| report.at)
    }

    /// Returns the requests on the backend server as a share of its slots.
    ///
    /// The reported load decays in favour of own observations; without the decay, an old
    /// report of an idle engine attracts requests from every entry at once.
    fn load(&self, now: MonoTime, slots: u32, report: Option<LoadReport>) -> f64 {
        let own = f64::from(self.in_flight);
        let others = report.map_or(0.0, |r| {
            let total = f64::from(r.running) + WAITING_WEIGHT * f64::from(r.waiting);
            let age = now.saturating_sub(r.at).as_secs_f64() / LOAD_HALF_LIFE.as_secs_f64();
            (total - f64::from(r.own_in_flight)).max(0.0) * 0.5f64.powf(age)
        });
        (own + others) / f64::from(slots.max(1))
    }

    /// Creates a report that arrived now.
    fn make_report(&self, now: MonoTime, load: ServerLoad) -> LoadReport {
        LoadReport {
            running: load.running,
            waiting: load.waiting,
            at: now,
            own_in_flight: self.in_flight,
        }
    }
}

/// Returns the mean, or 0 for an empty slice.
fn mean(values: &[f64]) -> f64 {
    values.iter().sum::<f64>() / values.len().max(1) as f64
}
