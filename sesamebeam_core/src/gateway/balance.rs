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

use super::{
    directory::{
        Known,
        ServerId, //
    },
    loads::{
        self,
        LoadOf,
        Loads,
        ServerKey, //
    },
    paths::Paths,
    pause::Pause,
    pool::{
        Doubt,
        Outcomes, //
    },
    reading::{
        self,
        Queue, //
    },
    request::Load,
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
pub(super) const LOAD_SPARE: f64 = 2.0;

/// Weight of a waiting request relative to a running one: a queue delays all later
/// requests, while a running request only slows them down.
const WAITING_WEIGHT: f64 = 3.0;

/// Load, as a share of the slots, that balances a hop to another failure domain: one
/// round trip between domains compared with the work of a request.
const FAR_COST: f64 = 0.25;

/// Number of shared tokens below which a prompt is processed once in each failure domain
/// instead of being sent to another domain that has it cached. Engines process some
/// hundred tokens in a millisecond, so this costs about twenty milliseconds once, while a
/// remote prefix exposes all requests with it to faults of the link between the domains.
/// Measured with all prompts kept local, on days with such faults, one deployment gained
/// a score of 0.02 and another lost 0.015, as its long shared prompts were processed
/// three times.
const NEAR_BELOW: u32 = 2_000;

/// Prefill backlog up to which an engine is preferred for a cached prompt: processing
/// that prompt again on another engine takes about as long.
const READS_FOR: Duration = Duration::from_millis(100);

/// Time for which a response received by this entry takes precedence over reports that
/// another entry could not reach the backend server.
const HEARD_OF_LATE: Duration = Duration::from_millis(500);

/// Pause for a backend server whose answer is overdue. It starts anew while the answer is
/// missing and ends with any response.
const OVERDUE_REST: Duration = Duration::from_millis(1000);

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
const TRY_DOUBTED: u64 = 16;

/// Half-life of a reported load; engines replace their running requests within this time.
const LOAD_HALF_LIFE: Duration = Duration::from_millis(500);

/// Time after which a load received from the control replicas has decayed to a
/// thousandth.
const TOLD_COUNTS_FOR: Duration = Duration::from_secs(5);

/// State of a backend server as observed by one entry.
#[derive(Clone, Debug, Default)]
struct Seen {
    domain: DomainId,
    /// Own requests in flight.
    in_flight: u32,
    /// Last load reported to this entry.
    load: Option<Reported>,
    /// Last load reported to another entry.
    shared: Option<Reported>,
    /// Failure rate of its answers, as a moving average.
    failures: f64,
    /// Pause after failed connections, during which it gets no requests.
    pause: Pause,
    /// When it last responded.
    heard_at: MonoTime,
    /// Long prompts that it has not processed yet.
    queue: Queue,
}

/// Load reported by a backend server.
#[derive(Clone, Copy, Debug)]
struct Reported {
    running: u32,
    waiting: u32,
    /// When the report arrived.
    at: MonoTime,
    /// Own requests in flight when the report arrived.
    own: u32,
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
pub struct Need<'a> {
    /// Shared prompt; none if the request has no preferred backend server.
    pub affinity: Option<Affinity>,
    /// Time that an engine takes to process the unshared part of the prompt.
    pub reading: Duration,
    /// Failure domain of this entry.
    pub domain: &'a str,
    /// Backend servers already tried for this request.
    pub tried: &'a [ServerId],
    /// Whether the request must not run more than once.
    pub once: bool,
    /// Pseudo-random tie breaker.
    pub seed: u64,
}

/// Outcome of a send.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The answer was successful.
    Good,
    /// The answer was an error or was cut off.
    Failed,
    /// The backend server rejected the request without running it.
    Refused,
    /// The connection failed.
    Unreachable,
    /// The connection was refused: the process is down, but the network path works.
    Down,
    /// The response timed out.
    Silent,
    /// The request was cancelled for a reason unrelated to the backend server.
    Dropped,
}

/// Load balancer of one entry.
#[derive(Debug, Default)]
pub struct Balance {
    seen: HashMap<ServerId, Seen>,
    paths: Paths,
    /// Loads to report to the other entries.
    heard: Loads,
    /// Unreported counts of good and bad answers.
    outcomes: HashMap<ServerKey, (u32, u32)>,
    /// Unreported unreachable backend servers, each with whether it is down.
    unreached: Vec<(ServerKey, bool)>,
    /// Failure rates of backend servers that fail more often than their service.
    doubts: HashMap<ServerKey, f64>,
}

impl Balance {
    /// Chooses among the candidates and counts the request.
    pub fn choose<'a>(
        &mut self,
        now: MonoTime,
        candidates: &[&'a Known],
        need: &Need<'_>,
    ) -> Option<&'a Known> {
        let fit = self.fit(now, candidates, need.tried);
        let chosen = match need.affinity {
            Some(affinity) => self.by_prompt(now, &fit, affinity, need),
            None => self.by_load(now, &fit, need),
        }?;
        let seen = self.seen.entry(chosen.said.id.clone()).or_default();
        seen.in_flight += 1;
        seen.domain = chosen.said.domain.clone();
        self.paths.tries(now, &chosen.said.domain);
        if need.reading >= reading::LONG {
            self.expect_queue(now, &chosen.said.id, need.reading);
        }
        Some(chosen)
    }

    /// Records a response from a backend server.
    pub fn heard(&mut self, now: MonoTime, id: &ServerId, load: Option<Load>) {
        let seen = self.seen.entry(id.clone()).or_default();
        seen.heard_at = now;
        seen.pause = Pause::default();
        self.paths.heard(&seen.domain);
        if let Some(load) = load {
            let load = LoadOf::new(id, load);
            seen.load = Some(seen.reported(now, load));
            let load = load.reading(seen.queue.own_left(now));
            self.heard.take(now, [load]);
        }
    }

    /// Resets the state of a backend server that restarted: the new incarnation is idle
    /// and has no failures.
    pub fn reborn(&mut self, id: &ServerId) {
        if let Some(seen) = self.seen.get_mut(id) {
            *seen = Seen {
                domain: seen.domain.clone(),
                in_flight: seen.in_flight,
                ..Seen::default()
            };
        }
    }

    /// Records a load measured by another entry.
    pub fn told(&mut self, now: MonoTime, id: &ServerId, load: LoadOf) {
        let seen = self.seen.entry(id.clone()).or_default();
        seen.shared = Some(seen.reported(now, load));
        seen.queue.told(now, load.reads_for());
    }

    /// Records a long prompt sent to an engine, for this entry and the others, until its
    /// first event arrives.
    ///
    /// An engine sends nothing while it processes a long prompt and looks idle; up to 27
    /// requests queued up behind one and were late. Reported as a number of tokens, the
    /// backlog was taken for work of the small model and decayed within a second, so it
    /// is reported as a time.
    fn expect_queue(&mut self, now: MonoTime, id: &ServerId, reading: Duration) {
        let seen = self.seen.entry(id.clone()).or_default();
        seen.queue.send(now, reading);
        let newest = seen.newest();
        let load = Load {
            running: newest.map_or(0, |r| r.running),
            waiting: newest.map_or(0, |r| r.waiting),
            slots: 0,
        };
        let load = LoadOf::new(id, load).reading(seen.queue.own_left(now));
        self.heard.take(now, [load]);
    }

    /// Records that a long prompt was processed or that its request ended.
    pub fn read(&mut self, now: MonoTime, id: &ServerId, reading: Duration) {
        if reading >= reading::LONG
            && let Some(seen) = self.seen.get_mut(id)
        {
            seen.queue.done(now, reading);
        }
    }

    /// Takes the loads that are due to be reported.
    pub fn take_heard(&mut self, now: MonoTime) -> Option<Vec<LoadOf>> {
        self.heard.due(now, 0)
    }

    /// Returns when a backend server last responded.
    pub fn heard_at(&self, id: &ServerId) -> MonoTime {
        self.seen.get(id).map_or(MonoTime::ZERO, |s| s.heard_at)
    }

    /// Takes the unreported answer counts.
    pub fn take_outcomes(&mut self) -> Vec<Outcomes> {
        let outcome = |(server, (good, bad))| Outcomes { server, good, bad };
        self.outcomes.drain().map(outcome).collect()
    }

    /// Returns whether there are unreported failures or unreachable backend servers.
    pub fn has_failures(&self) -> bool {
        !self.unreached.is_empty() || self.outcomes.values().any(|(_, bad)| *bad > 0)
    }

    /// Takes the unreported unreachable backend servers, each with whether it is down.
    pub fn take_unreached(&mut self) -> Vec<(ServerKey, bool)> {
        std::mem::take(&mut self.unreached)
    }

    /// Records that another entry in this failure domain could not reach a backend
    /// server.
    ///
    /// When a failure domain was partitioned, each of 295 entries had to detect that
    /// itself, and again after each pause: 1,260 requests waited for connections that
    /// failed within six seconds.
    pub fn told_unreached(
        &mut self,
        now: MonoTime,
        id: &ServerId,
        domain: &DomainId,
        is_down: bool,
    ) {
        let seen = self.seen.entry(id.clone()).or_default();
        seen.domain = domain.clone();
        if seen.heard_at > MonoTime::ZERO && now < seen.heard_at + HEARD_OF_LATE {
            return;
        }
        if seen.pause.is_over(now) {
            seen.pause.lengthen(now, MAX_PAUSE);
        }
        if !is_down {
            self.paths.unreached(now, domain, id);
        }
    }

    /// Sets the backend servers whose failure rate over all entries is above that of
    /// their service.
    pub fn set_doubts(&mut self, doubts: impl IntoIterator<Item = Doubt>) {
        let share = |d: Doubt| (d.server, f64::from(d.failing) / 100.0);
        self.doubts = doubts.into_iter().map(share).collect();
    }

    /// Pauses a backend server with an overdue answer, here and at the other entries in
    /// this failure domain, until it responds.
    pub fn overdue(&mut self, now: MonoTime, id: &ServerId) {
        let seen = self.seen.entry(id.clone()).or_default();
        seen.pause.at_least(now, OVERDUE_REST);
        self.unreached.push((loads::key(id), true));
    }

    /// Records the outcome of a send.
    pub fn finished(&mut self, now: MonoTime, id: &ServerId, outcome: Outcome) {
        match outcome {
            Outcome::Good => self.outcomes.entry(loads::key(id)).or_default().0 += 1,
            Outcome::Failed => self.outcomes.entry(loads::key(id)).or_default().1 += 1,
            Outcome::Refused
            | Outcome::Unreachable
            | Outcome::Down
            | Outcome::Silent
            | Outcome::Dropped => {}
        }
        let seen = self.seen.entry(id.clone()).or_default();
        seen.in_flight = seen.in_flight.saturating_sub(1);
        match outcome {
            Outcome::Good => seen.failures *= 1.0 - FAILURE_WEIGHT,
            Outcome::Failed => {
                seen.failures = seen.failures * (1.0 - FAILURE_WEIGHT) + FAILURE_WEIGHT;
            }
            Outcome::Down => {
                self.unreached.push((loads::key(id), true));
                seen.pause.lengthen(now, MAX_PAUSE);
            }
            Outcome::Unreachable | Outcome::Silent => {
                // Busy engines send nothing for seconds: a report to other entries could
                // take whole failure domains out of service under load.
                if outcome == Outcome::Unreachable {
                    self.unreached.push((loads::key(id), false));
                }
                seen.pause.lengthen(now, MAX_PAUSE);
                self.paths.unreached(now, &seen.domain, id);
            }
            Outcome::Refused | Outcome::Dropped => {}
        }
    }

    /// Returns whether a backend server is neither paused nor behind a partition.
    pub fn reaches(&self, now: MonoTime, known: &Known) -> bool {
        let seen = self.seen.get(&known.said.id);
        let rested = seen.is_none_or(|s| s.pause.is_over(now));
        rested && !self.paths.avoids(now, &known.said.domain)
    }

    /// Returns the mean share of occupied slots of backend servers.
    pub fn taken(&self, now: MonoTime, servers: &[&Known]) -> f64 {
        let loads: Vec<f64> = servers.iter().map(|k| self.shared_load(now, k)).collect();
        mean(&loads)
    }

    /// Removes state of backend servers that are gone, and decayed reports of other
    /// entries.
    pub fn retain(&mut self, now: MonoTime, known: impl Fn(&ServerId) -> bool) {
        self.seen
            .retain(|id, seen| seen.in_flight > 0 || seen.tells(now) && known(id));
    }

    /// Returns the number of tracked backend servers.
    pub fn count(&self) -> usize {
        self.seen.len()
    }

    /// Excludes backend servers that were tried, are unreachable or have a high failure
    /// rate, as long as others remain.
    fn fit<'a>(&self, now: MonoTime, all: &[&'a Known], tried: &[ServerId]) -> Vec<&'a Known> {
        let fresh: Vec<&Known> = all
            .iter()
            .copied()
            .filter(|k| !tried.contains(&k.said.id))
            .collect();
        let reached = |k: &&Known| self.reaches(now, k);
        let mean = self.mean_failures(&fresh);
        let sound = |k: &&Known| self.failures(k) <= mean + FAILURE_EXCESS;
        let best: Vec<&Known> = fresh
            .iter()
            .copied()
            .filter(reached)
            .filter(sound)
            .collect();
        if !best.is_empty() {
            return best;
        }
        let reached: Vec<&Known> = fresh.iter().copied().filter(reached).collect();
        if reached.is_empty() { fresh } else { reached }
    }

    /// Chooses the backend server with the highest rendezvous weight among those within
    /// the load bound, preferring this entry's failure domain for a short shared prompt.
    fn by_prompt<'a>(
        &self,
        now: MonoTime,
        fit: &[&'a Known],
        affinity: Affinity,
        need: &Need<'_>,
    ) -> Option<&'a Known> {
        let slots = fit.iter().map(|k| k.said.slots).max().unwrap_or(1);
        let spare = LOAD_SPARE / f64::from(slots.max(1));
        let loads: Vec<f64> = fit.iter().map(|k| self.shared_load(now, k)).collect();
        let bound = mean(&loads) * (1.0 + LOAD_MARGIN) + spare;
        let key = affinity.key.to_le_bytes();
        let near_first = affinity.tokens < NEAR_BELOW;
        let loaded = || fit.iter().copied().zip(loads.iter().copied());
        let within = loaded().filter(|(k, load)| {
            let reads_for = self.reads_for(now, k);
            *load <= bound && reads_for <= READS_FOR
        });
        let best = within.max_by_key(|(k, _)| {
            let near = near_first && k.said.domain == need.domain;
            let sound = self.doubt(k, need) == 0.0;
            (sound, near, hash::rendezvous(&k.said.id, &key))
        });
        // A second of prefill backlog delays as many requests as a full engine.
        let held_up = |(k, load): &(&Known, f64)| load + self.reads_for(now, k).as_secs_f64();
        let lightest = || loaded().min_by(|a, b| held_up(a).total_cmp(&held_up(b)));
        best.or_else(lightest).map(|(k, _)| k)
    }

    fn by_load<'a>(&self, now: MonoTime, fit: &[&'a Known], need: &Need<'_>) -> Option<&'a Known> {
        let salt = need.seed.to_string();
        let cost = |k: &Known| {
            let far = if k.said.domain == need.domain {
                0.0
            } else {
                FAR_COST
            };
            let jitter = hash::unit(k.said.id.as_bytes(), &salt) * 0.05;
            self.load(now, k) + far + jitter + DOUBT_COST * self.doubt(k, need)
        };
        let best = fit.iter().min_by(|a, b| cost(a).total_cmp(&cost(b)));
        best.copied()
    }

    /// Returns the requests on a backend server as a share of its slots, from own
    /// observations only.
    fn load(&self, now: MonoTime, known: &Known) -> f64 {
        let seen = self.seen.get(&known.said.id);
        seen.map_or(0.0, |seen| seen.load(now, known.said.slots, seen.load))
    }

    /// Returns the requests on a backend server as a share of its slots, from the
    /// observations of all entries.
    ///
    /// This only limits which backend servers are eligible and never ranks them: all
    /// entries receive it at the same time and would all choose the same one.
    fn shared_load(&self, now: MonoTime, known: &Known) -> f64 {
        let Some(seen) = self.seen.get(&known.said.id) else {
            return 0.0;
        };
        seen.load(now, known.said.slots, seen.newest())
    }

    /// Returns the time that an engine still needs for long prompts sent to it.
    fn reads_for(&self, now: MonoTime, known: &Known) -> Duration {
        let seen = self.seen.get(&known.said.id);
        seen.map_or(Duration::ZERO, |seen| seen.queue.left(now))
    }

    /// Returns the failure rate for which a backend server is avoided.
    fn doubt(&self, known: &Known, need: &Need<'_>) -> f64 {
        let tries = !need.once && need.tried.is_empty() && need.seed.is_multiple_of(TRY_DOUBTED);
        if self.doubts.is_empty() || tries {
            return 0.0;
        }
        let doubt = self.doubts.get(&loads::key(&known.said.id));
        doubt.copied().unwrap_or_default()
    }

    fn failures(&self, known: &Known) -> f64 {
        self.seen.get(&known.said.id).map_or(0.0, |s| s.failures)
    }

    fn mean_failures(&self, fit: &[&Known]) -> f64 {
        let failures: Vec<f64> = fit.iter().map(|k| self.failures(k)).collect();
        mean(&failures)
    }
}

impl Seen {
    /// Returns whether the state can still affect a choice: this entry has had a response
    /// or a failure, a long prompt is being processed, or a load report of another entry
    /// has not decayed.
    fn tells(&self, now: MonoTime) -> bool {
        let is_known = self.heard_at > MonoTime::ZERO || self.pause != Pause::default();
        let reads = !self.queue.left(now).is_zero();
        let shared = self.shared;
        is_known || reads || shared.is_some_and(|s| now < s.at + TOLD_COUNTS_FOR)
    }

    /// Returns the newest load report of any entry.
    fn newest(&self) -> Option<Reported> {
        let reports = [self.load, self.shared].into_iter().flatten();
        reports.max_by_key(|reported| reported.at)
    }

    /// Returns the requests on the backend server as a share of its slots.
    ///
    /// The reported load decays in favour of own observations; without the decay, an old
    /// report of an idle engine attracts requests from every entry at once.
    fn load(&self, now: MonoTime, slots: u32, reported: Option<Reported>) -> f64 {
        let own = f64::from(self.in_flight);
        let others = reported.map_or(0.0, |r| {
            let there = f64::from(r.running) + WAITING_WEIGHT * f64::from(r.waiting);
            let age = now.saturating_sub(r.at).as_secs_f64() / LOAD_HALF_LIFE.as_secs_f64();
            (there - f64::from(r.own)).max(0.0) * 0.5f64.powf(age)
        });
        (own + others) / f64::from(slots.max(1))
    }

    /// Creates a report that arrived now.
    fn reported(&self, now: MonoTime, load: LoadOf) -> Reported {
        Reported {
            running: load.running,
            waiting: load.waiting,
            at: now,
            own: self.in_flight,
        }
    }
}

/// Returns the mean, or 0 for an empty slice.
fn mean(values: &[f64]) -> f64 {
    values.iter().sum::<f64>() / values.len().max(1) as f64
}
