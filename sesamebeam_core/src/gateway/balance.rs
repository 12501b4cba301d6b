//! Choice of a backend server.
//!
//! Every entry sees its own requests at once and the load of a backend server
//! only as of the answers that it got from it. Requests with a shared prompt go
//! to the same few backend servers from every entry, by rendezvous hashing, so
//! that the prompt is read once; load bounds how far that goes.

use std::{
    collections::HashMap,
    time::Duration, //
};

use super::{
    directory::{
        ServerId, //
        ServerRecord,
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

/// How far above the mean load a backend server may be, as a share of the mean,
/// and still be preferred for the prompt that it keeps: the bound of consistent
/// hashing with bounded loads.
const LOAD_MARGIN: f64 = 0.25;

/// Requests by which that bound is higher, so that it means something where a
/// backend server has hardly any.
pub(super) const LOAD_SPARE: f64 = 2.0;

/// How much more a waiting request says of the load than a running one: it
/// holds up all that comes, where a running one only slows it.
const WAITING_WEIGHT: f64 = 3.0;

/// Load, as a share of the slots, that a hop to another failure domain is worth:
/// one round trip between domains against the work of a request.
const FAR_COST: f64 = 0.25;

/// Shared tokens below which a prompt is read anew in each failure domain rather
/// than sent to another one that keeps it. Engines read some hundred in a
/// millisecond: twenty milliseconds once, against all requests with it being cut
/// off or held up when something happens to the way between the two. Measured:
/// for all prompts, one deployment won 0.02 of the worth of a day with such
/// troubles and another lost 0.015, as its long shared prompts were read thrice.
const NEAR_BELOW: u32 = 2_000;

/// Longest time for which an engine reads what was sent there before and is still
/// preferred for the prompt that it keeps: what reading that prompt anew takes.
const READS_FOR: Duration = Duration::from_millis(100);

/// Time for which what this entry has heard from a backend server itself counts for
/// more than that another one could not reach it.
const HEARD_OF_LATE: Duration = Duration::from_millis(500);

/// Rest of a backend server with an answer that is overdue, counted anew for as long
/// as that does not come; it ends when anything does.
const OVERDUE_REST: Duration = Duration::from_millis(1000);

/// Longest pause after a backend server could not be reached; below the time
/// that one takes to come back.
const MAX_PAUSE: Duration = Duration::from_secs(4);

/// Weight of the newest answer in the share of failures: ten answers decide.
const FAILURE_WEIGHT: f64 = 0.1;

/// Share of failures above the mean of the others from which a backend server
/// is avoided.
const FAILURE_EXCESS: f64 = 0.2;

/// Load, as a share of the slots, that a request which may run only once goes out of
/// its way for each failure that it is sure to avoid: a queue of ten times the slots
/// takes a tenth of the time that callers wait for plain services.
const DOUBT_COST: f64 = 10.0;

/// One in so many requests that may run again goes as if nobody were doubted: its
/// answer tells whether the backend server is well again.
const TRY_DOUBTED: u64 = 16;

/// Time in which a reported load is worth half: engines turn over within it.
const LOAD_HALF_LIFE: Duration = Duration::from_millis(500);

/// Time after which a load that was told has faded to a thousandth.
const TOLD_COUNTS_FOR: Duration = Duration::from_secs(5);

/// What one entry knows of a backend server from its own requests.
#[derive(Clone, Debug, Default)]
struct Seen {
    /// Its failure domain.
    domain: DomainId,
    /// Own requests that are there.
    in_flight: u32,
    /// Load that it reported to this entry.
    load: Option<Reported>,
    /// Load that it reported to another entry.
    shared: Option<Reported>,
    /// Share of its answers that failed.
    failures: f64,
    /// Pause in which it gets nothing, as it could not be reached.
    pause: Pause,
    /// When anything last came from it.
    heard_at: MonoTime,
    /// Long prompts that it has yet to read.
    queue: Queue,
}

/// Load that a backend server reported.
#[derive(Clone, Copy, Debug)]
struct Reported {
    running: u32,
    waiting: u32,
    /// When it came here.
    at: MonoTime,
    /// Own requests that were there at that time.
    own: u32,
}

/// What a request shares with others.
#[derive(Clone, Copy, Debug)]
pub struct Affinity {
    /// Hash of the shared prompt and model.
    pub key: u64,
    /// Tokens of the shared prompt.
    pub tokens: u32,
}

/// What a choice is made by.
#[derive(Clone, Copy, Debug)]
pub struct Need<'a> {
    /// What is shared; none if any backend server will do.
    pub affinity: Option<Affinity>,
    /// Time that an engine takes to read what no other request shares.
    pub reading: Duration,
    /// Failure domain of this entry.
    pub domain: &'a str,
    /// Backend servers that were tried already.
    pub tried: &'a [ServerId],
    /// Whether the request may run only once.
    pub once: bool,
    /// Breaks ties.
    pub seed: u64,
}

/// How a request at a backend server ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// It answered.
    Good,
    /// Its answer was a failure, or broke off.
    Failed,
    /// It did not run the request and said so.
    Refused,
    /// It could not be reached.
    Unreachable,
    /// No process listens there: it is down, and the way to it is not.
    Down,
    /// It fell silent.
    Silent,
    /// The request was given up for reasons of its own.
    Dropped,
}

/// What is known of all backend servers.
#[derive(Debug, Default)]
pub struct Balance {
    seen: HashMap<ServerId, Seen>,
    paths: Paths,
    /// What was heard here and is to be told to the others.
    heard: Loads,
    /// Answers that are to be told to the others, good and bad.
    outcomes: HashMap<ServerKey, (u32, u32)>,
    /// Those that could not be reached, and whether they are down, which entries
    /// nearby should know of.
    unreached: Vec<(ServerKey, bool)>,
    /// Share of failures of those that fail more often than their service.
    doubts: HashMap<ServerKey, f64>,
}

impl Balance {
    /// Chooses among backend servers that take work, and counts the request.
    pub fn choose<'a>(
        &mut self,
        now: MonoTime,
        candidates: &[&'a ServerRecord],
        need: &Need<'_>,
    ) -> Option<&'a ServerRecord> {
        let fit = self.fit(now, candidates, need.tried);
        let chosen = match need.affinity {
            Some(affinity) => self.by_prompt(now, &fit, affinity, need),
            None => self.by_load(now, &fit, need),
        }?;
        let seen = self.seen.entry(chosen.announcement.id.clone()).or_default();
        seen.in_flight += 1;
        seen.domain = chosen.announcement.domain.clone();
        self.paths.tries(now, &chosen.announcement.domain);
        if need.reading >= reading::LONG {
            self.expect_queue(now, &chosen.announcement.id, need.reading);
        }
        Some(chosen)
    }

    /// Notes that something came from a backend server.
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

    /// Forgets what was seen of an older life under a name: the new one is back,
    /// empty, and has failed nothing.
    pub fn reborn(&mut self, id: &ServerId) {
        if let Some(seen) = self.seen.get_mut(id) {
            *seen = Seen {
                domain: seen.domain.clone(),
                in_flight: seen.in_flight,
                ..Seen::default()
            };
        }
    }

    /// Notes a load that another entry has heard.
    pub fn told(&mut self, now: MonoTime, id: &ServerId, load: LoadOf) {
        let seen = self.seen.entry(id.clone()).or_default();
        seen.shared = Some(seen.reported(now, load));
        seen.queue.told(now, load.reads_for());
    }

    /// Notes that a long prompt is on its way, here and for the others, until its
    /// first event comes.
    ///
    /// While an engine reads one it says nothing and looks idle: up to 27 requests
    /// gathered behind it, and were late. Told as a queue of so many tokens, it was
    /// taken for one that the small model reads, and faded within a second.
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

    /// Notes that a long prompt was read, or that its request ended before.
    pub fn read(&mut self, now: MonoTime, id: &ServerId, reading: Duration) {
        if reading >= reading::LONG
            && let Some(seen) = self.seen.get_mut(id)
        {
            seen.queue.done(now, reading);
        }
    }

    /// Takes the loads that the others should be told of, if it is time.
    pub fn take_heard(&mut self, now: MonoTime) -> Option<Vec<LoadOf>> {
        self.heard.due(now, 0)
    }

    /// Returns when anything last came from a backend server.
    pub fn heard_at(&self, id: &ServerId) -> MonoTime {
        self.seen.get(id).map_or(MonoTime::ZERO, |s| s.heard_at)
    }

    /// Takes the answers that the others should be told of.
    pub fn take_outcomes(&mut self) -> Vec<Outcomes> {
        let outcome = |(server, (good, bad))| Outcomes { server, good, bad };
        self.outcomes.drain().map(outcome).collect()
    }

    /// Returns whether there is a failure among them, or one that could not be
    /// reached.
    pub fn has_failures(&self) -> bool {
        !self.unreached.is_empty() || self.outcomes.values().any(|(_, bad)| *bad > 0)
    }

    /// Takes those that could not be reached, and whether they are down.
    pub fn take_unreached(&mut self) -> Vec<(ServerKey, bool)> {
        std::mem::take(&mut self.unreached)
    }

    /// Notes that an entry nearby could not reach a backend server.
    ///
    /// When a failure domain was cut off, each of 295 entries found that out by
    /// itself, and again after each pause: 1,260 requests waited for a connection in
    /// vain within six seconds.
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

    /// Takes those that fail more often than their service, as all entries see them.
    pub fn set_doubts(&mut self, doubts: impl IntoIterator<Item = Doubt>) {
        let share = |d: Doubt| (d.server, f64::from(d.failing) / 100.0);
        self.doubts = doubts.into_iter().map(share).collect();
    }

    /// Notes that an answer which should have come is overdue: the backend server
    /// rests, here and at entries nearby, until it is heard.
    pub fn overdue(&mut self, now: MonoTime, id: &ServerId) {
        let seen = self.seen.entry(id.clone()).or_default();
        seen.pause.at_least(now, OVERDUE_REST);
        self.unreached.push((loads::key(id), true));
    }

    /// Notes how a request ended.
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
                // Busy engines are silent for seconds: what others make of that
                // would take whole failure domains out under load.
                if outcome == Outcome::Unreachable {
                    self.unreached.push((loads::key(id), false));
                }
                seen.pause.lengthen(now, MAX_PAUSE);
                self.paths.unreached(now, &seen.domain, id);
            }
            Outcome::Refused | Outcome::Dropped => {}
        }
    }

    /// Returns whether a backend server may be tried: it does not rest, and the way to
    /// it is not cut.
    pub fn reaches(&self, now: MonoTime, known: &ServerRecord) -> bool {
        let seen = self.seen.get(&known.announcement.id);
        let rested = seen.is_none_or(|s| s.pause.is_over(now));
        rested && !self.paths.avoids(now, &known.announcement.domain)
    }

    /// Returns the share of the slots of some backend servers that are taken.
    pub fn taken(&self, now: MonoTime, servers: &[&ServerRecord]) -> f64 {
        let loads: Vec<f64> = servers.iter().map(|k| self.shared_load(now, k)).collect();
        mean(&loads)
    }

    /// Forgets backend servers that are gone, and what was told of others so long ago that
    /// it says nothing any more.
    pub fn retain(&mut self, now: MonoTime, known: impl Fn(&ServerId) -> bool) {
        self.seen
            .retain(|id, seen| seen.in_flight > 0 || seen.tells(now) && known(id));
    }

    /// Returns how many backend servers anything is kept of.
    pub fn count(&self) -> usize {
        self.seen.len()
    }

    /// Leaves out those that were tried, could not be reached or are behind a way
    /// that is cut, as long as others are left.
    fn fit<'a>(
        &self,
        now: MonoTime,
        all: &[&'a ServerRecord],
        tried: &[ServerId],
    ) -> Vec<&'a ServerRecord> {
        let fresh: Vec<&ServerRecord> = all
            .iter()
            .copied()
            .filter(|k| !tried.contains(&k.announcement.id))
            .collect();
        let reached = |k: &&ServerRecord| self.reaches(now, k);
        let mean = self.mean_failures(&fresh);
        let sound = |k: &&ServerRecord| self.failures(k) <= mean + FAILURE_EXCESS;
        let best: Vec<&ServerRecord> = fresh
            .iter()
            .copied()
            .filter(reached)
            .filter(sound)
            .collect();
        if !best.is_empty() {
            return best;
        }
        let reached: Vec<&ServerRecord> = fresh.iter().copied().filter(reached).collect();
        if reached.is_empty() { fresh } else { reached }
    }

    /// Takes the first by rendezvous weight whose load is within the bound, one of
    /// this entry's failure domain if little is shared.
    fn by_prompt<'a>(
        &self,
        now: MonoTime,
        fit: &[&'a ServerRecord],
        affinity: Affinity,
        need: &Need<'_>,
    ) -> Option<&'a ServerRecord> {
        let slots = fit.iter().map(|k| k.announcement.slots).max().unwrap_or(1);
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
            let near = near_first && k.announcement.domain == need.domain;
            let sound = self.doubt(k, need) == 0.0;
            (sound, near, hash::rendezvous(&k.announcement.id, &key))
        });
        // A second of reading holds up as many as a full engine.
        let held_up =
            |(k, load): &(&ServerRecord, f64)| load + self.reads_for(now, k).as_secs_f64();
        let lightest = || loaded().min_by(|a, b| held_up(a).total_cmp(&held_up(b)));
        best.or_else(lightest).map(|(k, _)| k)
    }

    fn by_load<'a>(
        &self,
        now: MonoTime,
        fit: &[&'a ServerRecord],
        need: &Need<'_>,
    ) -> Option<&'a ServerRecord> {
        let salt = need.seed.to_string();
        let cost = |k: &ServerRecord| {
            let far = if k.announcement.domain == need.domain {
                0.0
            } else {
                FAR_COST
            };
            let jitter = hash::unit(k.announcement.id.as_bytes(), &salt) * 0.05;
            self.load(now, k) + far + jitter + DOUBT_COST * self.doubt(k, need)
        };
        let best = fit.iter().min_by(|a, b| cost(a).total_cmp(&cost(b)));
        best.copied()
    }

    /// Returns the requests at a backend server as a share of its slots, as far as
    /// this entry has heard from it.
    fn load(&self, now: MonoTime, known: &ServerRecord) -> f64 {
        let seen = self.seen.get(&known.announcement.id);
        seen.map_or(0.0, |seen| {
            seen.load(now, known.announcement.slots, seen.load)
        })
    }

    /// Returns the same from what any entry has heard.
    ///
    /// It bounds who may get a request and never says who is the best: all entries
    /// are told the same at once, and would all send to one.
    fn shared_load(&self, now: MonoTime, known: &ServerRecord) -> f64 {
        let Some(seen) = self.seen.get(&known.announcement.id) else {
            return 0.0;
        };
        seen.load(now, known.announcement.slots, seen.newest())
    }

    /// Returns for how long an engine reads long prompts that were sent there.
    fn reads_for(&self, now: MonoTime, known: &ServerRecord) -> Duration {
        let seen = self.seen.get(&known.announcement.id);
        seen.map_or(Duration::ZERO, |seen| seen.queue.left(now))
    }

    /// Returns the share of failures for which a backend server is passed over.
    fn doubt(&self, known: &ServerRecord, need: &Need<'_>) -> f64 {
        let tries = !need.once && need.tried.is_empty() && need.seed.is_multiple_of(TRY_DOUBTED);
        if self.doubts.is_empty() || tries {
            return 0.0;
        }
        let doubt = self.doubts.get(&loads::key(&known.announcement.id));
        doubt.copied().unwrap_or_default()
    }

    fn failures(&self, known: &ServerRecord) -> f64 {
        self.seen
            .get(&known.announcement.id)
            .map_or(0.0, |s| s.failures)
    }

    fn mean_failures(&self, fit: &[&ServerRecord]) -> f64 {
        let failures: Vec<f64> = fit.iter().map(|k| self.failures(k)).collect();
        mean(&failures)
    }
}

impl Seen {
    /// Returns whether it says anything of a choice now: this entry has had an answer or
    /// a failure there, or the load that it was told of has not faded.
    fn tells(&self, now: MonoTime) -> bool {
        let is_known = self.heard_at > MonoTime::ZERO || self.pause != Pause::default();
        let reads = !self.queue.left(now).is_zero();
        let shared = self.shared;
        is_known || reads || shared.is_some_and(|s| now < s.at + TOLD_COUNTS_FOR)
    }

    /// Returns the newest report that any entry has heard.
    fn newest(&self) -> Option<Reported> {
        let reports = [self.load, self.shared].into_iter().flatten();
        reports.max_by_key(|reported| reported.at)
    }

    /// Returns the requests there as a share of the slots.
    ///
    /// A report gives way to what this entry sees itself: left standing, an old
    /// report of an idle engine draws every entry to it at once.
    fn load(&self, now: MonoTime, slots: u32, reported: Option<Reported>) -> f64 {
        let own = f64::from(self.in_flight);
        let others = reported.map_or(0.0, |r| {
            let there = f64::from(r.running) + WAITING_WEIGHT * f64::from(r.waiting);
            let age = now.saturating_sub(r.at).as_secs_f64() / LOAD_HALF_LIFE.as_secs_f64();
            (there - f64::from(r.own)).max(0.0) * 0.5f64.powf(age)
        });
        (own + others) / f64::from(slots.max(1))
    }

    /// Makes a report of what was said now.
    fn reported(&self, now: MonoTime, load: LoadOf) -> Reported {
        Reported {
            running: load.running,
            waiting: load.waiting,
            at: now,
            own: self.in_flight,
        }
    }
}

/// Returns the mean, 0 of nothing.
fn mean(values: &[f64]) -> f64 {
    values.iter().sum::<f64>() / values.len().max(1) as f64
}
