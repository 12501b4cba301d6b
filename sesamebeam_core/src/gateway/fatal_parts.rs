//! Detection of prompt parts that crash the backend servers that answer them.
//!
//! Every request whose answer was about to begin at a crashed backend server is a suspect,
//! and so are all parts that its prompt shares with others. An answer that goes beyond its
//! beginning clears the parts of its prompt, at whichever backend server: a fatal part never
//! gets that far. What remains are the parts that are fatal and those that occur only beside
//! them; a request is refused if it has all of these.

mod verdict;

use std::{
    collections::{
        HashMap,
        HashSet,
        VecDeque, //
    },
    time::Duration,
};

pub use self::verdict::Verdict;
use super::{
    directory::ServerIncarnation,
    messages::{
        Crash,
        FatalParts,
        PartEvent,
        PartSuspicion, //
    },
    request::PartId,
};
use crate::ids::{
    Digest,
    MonoTime, //
};

/// Number of crashes from which parts are held to be fatal, if the answers of all suspects
/// had begun with their heads. At most one or two unrelated requests are in that state.
const MIN_CRASHES_BEGUN: usize = 3;

/// Number of crashes from which parts are held to be fatal otherwise. Every request that
/// was waiting is a suspect of each.
const MIN_CRASHES: usize = 5;

/// Number of crashes from which one part of a verdict is held to be fatal by itself.
const MIN_CRASHES_APART: usize = 2;

/// Time after the first crash of a part in which all entries hear of the suspicion and tell
/// of answers on it: two reports and two updates.
const ANSWERS_TOLD_IN: Duration = Duration::from_millis(600);

/// Minimum time from a send to the crash that it causes. A send to a backend server that has
/// already ended fails within a round trip.
const MIN_TIME_TO_CRASH: Duration = Duration::from_millis(10);

/// Time within which crashes are likely to have one cause, such as a power failure.
const BURST: Duration = Duration::from_millis(500);

/// Time within which backend servers that end with a failure domain are noticed, and the
/// number of them, as a share of all, that makes such a failure of several crashes.
const TOGETHER: Duration = Duration::from_millis(20);
const TOGETHER_SHARE: f64 = 0.05;
const TOGETHER_COUNT: std::ops::RangeInclusive<usize> = 3..=16;

/// Maximum number of crashes to keep in all, of one burst, and of suspects of one crash.
/// The failure of a failure domain must not displace what is known of other crashes.
const MAX_CRASHES: usize = 128;
const MAX_CRASHES_PER_BURST: usize = 32;
const MAX_SUSPECTS: usize = 16;

/// Number of parts with events from which those without a crash are forgotten.
const MAX_EVENTS: usize = 4096;

/// Maximum number of verdicts.
const MAX_VERDICTS: usize = 64;

/// Maximum number of suspected parts of which entries are told.
const MAX_TOLD: usize = 256;

/// Time after which a crash no longer counts, and a verdict ends for want of requests.
const RETENTION: Duration = Duration::from_secs(600);

/// A request that may have crashed a backend server.
#[derive(Clone, Debug, PartialEq)]
struct Suspect {
    fingerprint: Digest,
    parts: Vec<PartId>,
    has_begun: bool,
    sent_at: MonoTime,
}

/// A crashed backend server.
#[derive(Clone, Debug)]
struct PartCrash {
    at: MonoTime,
    server: ServerIncarnation,
    suspects: Vec<Suspect>,
    /// Whether it is one of several crashes at the same time.
    is_shared: bool,
}

impl PartCrash {
    /// Iterates over the suspects that can have caused the crash: those whose answer had
    /// begun, if any had. Several backend servers that end together are not ended by what was
    /// waiting.
    fn culprits(&self) -> impl Iterator<Item = &Suspect> {
        let only_begun = self.has_begun() || self.is_shared;
        let in_time = |s: &&Suspect| s.sent_at + MIN_TIME_TO_CRASH <= self.at;
        let in_flight = self.suspects.iter().filter(in_time);
        in_flight.filter(move |s| s.has_begun || !only_begun)
    }

    fn has_begun(&self) -> bool {
        self.suspects.iter().any(|s| s.has_begun)
    }
}

/// A part that is held to be fatal, alone or with others.
#[derive(Debug)]
struct Proven {
    part: PartId,
    crashes: usize,
    /// The part and the others that all suspects with it have.
    company: Vec<PartId>,
}

impl Proven {
    /// Returns whether another part occurs wherever this one does, but not the reverse.
    fn implies(&self, other: &Self) -> bool {
        self.company.contains(&other.part) && !other.company.contains(&self.part)
    }
}

/// The crashes that count against a part.
#[derive(Clone, Debug, Default)]
struct Case {
    /// Counted crashes, and those of them whose suspects' answers had begun.
    crashes: usize,
    begun: usize,
    /// First and latest counted crash.
    first_at: MonoTime,
    last_at: MonoTime,
    /// First request, and whether there was another one.
    first: Digest,
    is_repeated: bool,
}

impl Case {
    /// Counts a crash. `suspect` is the first that was sent of those with the part.
    fn add(&mut self, crash: &PartCrash, suspect: &Suspect) {
        if self.crashes == 0 {
            self.first = suspect.fingerprint;
            self.first_at = crash.at;
        }
        self.is_repeated |= self.first != suspect.fingerprint;
        // All requests that were in flight at a power failure had been sent before it.
        let is_another = self.crashes == 0
            || suspect.sent_at >= self.last_at
            || crash.at.saturating_sub(self.last_at) >= BURST;
        if is_another {
            self.crashes += 1;
            self.begun += usize::from(crash.has_begun());
            self.last_at = crash.at;
        }
    }

    /// Returns whether the part is held to be fatal. `apart` lowers the bar for a part that
    /// is known to be fatal beside others.
    fn is_proven(&self, apart: bool) -> bool {
        let enough = self.begun >= MIN_CRASHES_BEGUN || self.crashes >= MIN_CRASHES;
        self.is_repeated && (enough || apart && self.crashes >= MIN_CRASHES_APART)
    }
}

/// Crashes of backend servers by prompt part, and the parts held to be fatal.
#[derive(Clone, Debug, Default)]
pub struct CrashesByPart {
    crashes: VecDeque<PartCrash>,
    /// Start of the latest burst, and the number of its crashes that are kept.
    burst: (MonoTime, usize),
    /// Latest time of an event of an answer, by suspected part.
    events: HashMap<PartId, MonoTime>,
    verdicts: Vec<Verdict>,
    /// Number of known backend servers.
    servers: usize,
    /// Whether anything has changed that entries are told.
    is_changed: bool,
    /// Whether there is a part that may be held to be fatal once answers would be heard of.
    is_pending: bool,
}

impl CrashesByPart {
    /// Records a suspect of a crash. Several entries may report the same crash.
    pub fn record(&mut self, now: MonoTime, crash: &Crash) {
        if crash.parts.is_empty() {
            return;
        }
        let mut parts = crash.parts.clone();
        parts.sort_unstable();
        parts.dedup();
        let suspect = Suspect {
            fingerprint: crash.fingerprint,
            parts,
            has_begun: crash.has_begun,
            sent_at: now.saturating_sub(crash.sent),
        };
        let known = self.crashes.iter().rposition(|c| c.server == crash.server);
        let Some(at) = known.or_else(|| self.add_crash(now, crash)) else {
            return;
        };
        let known = &mut self.crashes[at];
        // A later report is of a connection that was only used again later.
        known.at = known.at.min(now.saturating_sub(crash.age));
        let suspects = &mut known.suspects;
        if suspects.len() < MAX_SUSPECTS {
            suspects.push(suspect);
        } else if suspect.has_begun
            && let Some(waiting) = suspects.iter_mut().find(|s| !s.has_begun)
        {
            // One that had begun says more than one that was waiting.
            *waiting = suspect;
        } else {
            return;
        }
        self.is_changed = true;
    }

    /// Adds a crash and returns its index, unless it is one of too many at a time.
    fn add_crash(&mut self, now: MonoTime, crash: &Crash) -> Option<usize> {
        if now.saturating_sub(self.burst.0) >= BURST {
            self.burst = (now, 0);
        }
        if self.burst.1 >= MAX_CRASHES_PER_BURST {
            return None;
        }
        self.burst.1 += 1;
        if self.crashes.len() >= MAX_CRASHES {
            self.crashes.pop_front();
        }
        self.crashes.push_back(PartCrash {
            at: now.saturating_sub(crash.age),
            server: crash.server.clone(),
            suspects: Vec::new(),
            is_shared: false,
        });
        Some(self.crashes.len() - 1)
    }

    /// Records that an answer on a part went beyond its beginning. Returns whether that ends
    /// or changes a verdict.
    pub fn record_event(&mut self, now: MonoTime, event: &PartEvent) -> bool {
        let at = now.saturating_sub(event.age);
        let latest = self.events.entry(event.part).or_default();
        *latest = at.max(*latest);
        self.is_changed = true;
        let mut changed = false;
        self.verdicts.retain_mut(|verdict| {
            changed |= verdict.clear(event.part, at);
            !verdict.parts.is_empty()
        });
        changed
    }

    /// Records that requests were refused for a verdict.
    pub fn record_refusals(&mut self, now: MonoTime, parts: &[PartId], count: u32) {
        if let Some(verdict) = self.verdicts.iter_mut().find(|v| v.parts == parts) {
            verdict.record_refusals(now, count);
        }
    }

    /// Adopts a verdict that an entry knows, which this process may have forgotten.
    pub fn adopt(&mut self, now: MonoTime, parts: &FatalParts) {
        let is_known = |v: &Verdict| parts.parts.iter().any(|p| v.parts.contains(p));
        let latest = |p| self.events.get(p).copied().unwrap_or_default();
        let began_at = now.saturating_sub(parts.age);
        let is_cleared = parts.parts.iter().any(|p| latest(p) > began_at);
        if !self.verdicts.iter().any(is_known) && !is_cleared {
            let mut verdict = Verdict::new(now, parts.parts.clone(), parts.crashes);
            verdict.last_crash_at = began_at;
            self.add_verdict(verdict);
        }
    }

    /// Returns whether one request may be sent to find out whether a verdict still holds.
    /// Only one process of the group may ask.
    pub fn take_probe(&mut self, now: MonoTime, parts: &[PartId]) -> bool {
        let verdict = self.verdicts.iter_mut().find(|v| v.parts == parts);
        verdict.is_some_and(|v| v.take_probe(now))
    }

    /// Returns the parts held to be fatal.
    pub fn verdicts(&self) -> &[Verdict] {
        &self.verdicts
    }

    /// Returns whether anything has changed since the last call that entries are told.
    pub fn take_changed(&mut self) -> bool {
        std::mem::take(&mut self.is_changed)
    }

    /// Removes crashes, events and verdicts that no longer count.
    pub fn expire(&mut self, now: MonoTime) {
        let is_old = |at: MonoTime| now.saturating_sub(at) > RETENTION;
        let before = (self.crashes.len(), self.verdicts.len());
        while self.crashes.front().is_some_and(|c| is_old(c.at)) {
            self.crashes.pop_front();
        }
        self.verdicts.retain(|v| !is_old(v.last_used_at()));
        let is_expired = before != (self.crashes.len(), self.verdicts.len());
        self.is_changed |= is_expired;
        if is_expired || self.events.len() > MAX_EVENTS {
            let suspects = self.crashes.iter().flat_map(|c| &c.suspects);
            let suspected: HashSet<PartId> = suspects.flat_map(|s| s.parts.clone()).collect();
            self.events.retain(|p, _| suspected.contains(p));
        }
    }

    /// Reaches the verdicts that the crashes so far allow. Returns whether there is a new
    /// one.
    pub fn judge(&mut self, now: MonoTime) -> bool {
        let mut found = false;
        self.mark_shared();
        self.is_pending = false;
        while let Some((parts, crashes)) = self.find_fatal(now) {
            self.verdicts
                .retain(|v| !parts.iter().all(|p| v.parts.contains(p)));
            self.add_verdict(Verdict::new(now, parts, crashes as u32));
            found = true;
        }
        for crash in &self.crashes {
            for verdict in &mut self.verdicts {
                if crash.culprits().any(|s| verdict.covers(&s.parts)) {
                    verdict.last_crash_at = verdict.last_crash_at.max(crash.at);
                }
            }
        }
        found
    }

    /// Sets the number of known backend servers.
    pub fn set_server_count(&mut self, count: usize) {
        self.servers = count;
    }

    /// Marks the crashes of backend servers that ended together.
    fn mark_shared(&mut self) {
        let share = (self.servers as f64 * TOGETHER_SHARE) as usize;
        let needed = share.clamp(*TOGETHER_COUNT.start(), *TOGETHER_COUNT.end());
        let times: Vec<MonoTime> = self.crashes.iter().map(|c| c.at).collect();
        for crash in &mut self.crashes {
            let is_near = |at: &&MonoTime| crash.at.abs_diff(**at) <= TOGETHER;
            crash.is_shared = times.iter().filter(is_near).count() >= needed;
        }
    }

    /// Does the same if a verdict only waited for answers that other entries may tell of.
    pub fn judge_pending(&mut self, now: MonoTime) -> bool {
        self.is_pending && self.judge(now)
    }

    /// Returns the parts that are suspected but not held to be fatal, those with the most
    /// crashes first.
    pub fn suspicions(&self, now: MonoTime) -> Vec<PartSuspicion> {
        let cases = self.cases().into_iter();
        let mut told: Vec<PartSuspicion> = cases
            .map(|(part, case)| PartSuspicion {
                part,
                crashes: case.crashes as u32,
                age: now.saturating_sub(case.last_at),
            })
            .collect();
        told.sort_by_key(|s| (std::cmp::Reverse(s.crashes), s.part));
        told.truncate(MAX_TOLD);
        told
    }

    fn add_verdict(&mut self, verdict: Verdict) {
        if self.verdicts.len() >= MAX_VERDICTS {
            let least_used = (0..).zip(&self.verdicts);
            if let Some((at, _)) = least_used.min_by_key(|(_, v)| v.last_used_at()) {
                self.verdicts.remove(at);
            }
        }
        self.verdicts.push(verdict);
    }

    /// Returns the parts of the next verdict and the number of its crashes.
    ///
    /// A part that occurs in all suspects with another one is as often a suspect as that
    /// one, and more often by coincidence. So the rarer of them decides, and the verdict is
    /// about both. Between parts that don't occur together, more crashes decide.
    fn find_fatal(&mut self, now: MonoTime) -> Option<(Vec<PartId>, usize)> {
        let is_apart = |p: &PartId| self.verdicts.iter().any(|v| v.parts.contains(p));
        let is_told = |case: &Case| now >= case.first_at + ANSWERS_TOLD_IN;
        let mut cases = self.cases();
        cases.retain(|part, case| case.is_proven(is_apart(part)));
        self.is_pending |= !cases.values().all(is_told);
        cases.retain(|_, case| is_told(case));
        let proven: Vec<Proven> = cases
            .into_iter()
            .map(|(part, case)| Proven {
                part,
                crashes: case.crashes,
                company: self.company(part),
            })
            .collect();
        let is_implied = |p: &Proven| proven.iter().any(|other| other.implies(p));
        let rarest: Vec<&Proven> = proven.iter().filter(|p| !is_implied(p)).collect();
        let most = rarest.iter().map(|p| p.crashes).max()?;
        let mut likeliest = rarest.iter().filter(|p| p.crashes == most);
        let first = likeliest.next()?;
        // Another crash tells apart two parts that occur in different requests.
        let is_clear = likeliest.all(|p| p.company == first.company);
        is_clear.then(|| (first.company.clone(), most))
    }

    /// Iterates over the crashes that no verdict explains.
    fn unexplained(&self) -> impl Iterator<Item = &PartCrash> {
        let explains = |v: &Verdict, c: &PartCrash| c.culprits().any(|s| v.covers(&s.parts));
        let crashes = self.crashes.iter();
        crashes.filter(move |c| !self.verdicts.iter().any(|v| explains(v, c)))
    }

    /// Returns whether no answer on a part has begun since a crash.
    fn is_open(&self, part: &PartId, crash: &PartCrash) -> bool {
        self.events.get(part).is_none_or(|at| *at <= crash.at)
    }

    /// Returns what the crashes that no verdict explains say against each part.
    fn cases(&self) -> HashMap<PartId, Case> {
        let mut cases: HashMap<PartId, Case> = HashMap::new();
        for crash in self.unexplained() {
            let mut blamed: HashMap<PartId, &Suspect> = HashMap::new();
            for suspect in crash.culprits() {
                for part in suspect.parts.iter().filter(|p| self.is_open(p, crash)) {
                    let earliest = blamed.entry(*part).or_insert(suspect);
                    if suspect.sent_at < earliest.sent_at {
                        *earliest = suspect;
                    }
                }
            }
            for (part, suspect) in blamed {
                cases.entry(part).or_default().add(crash, suspect);
            }
        }
        cases
    }

    /// Returns a part and the other uncleared ones that all suspects with it have.
    fn company(&self, part: PartId) -> Vec<PartId> {
        let mut company: Option<Vec<PartId>> = None;
        for crash in self.unexplained().filter(|c| self.is_open(&part, c)) {
            for suspect in crash.culprits().filter(|s| s.parts.contains(&part)) {
                let company = company.get_or_insert_with(|| suspect.parts.clone());
                company.retain(|p| suspect.parts.contains(p) && self.is_open(p, crash));
            }
        }
        company.unwrap_or_default()
    }
}
