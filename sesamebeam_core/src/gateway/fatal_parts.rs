//! Detection of prompt parts that crash the backend servers that answer them.
//!
//! Every request that was in flight at a crashed backend server is a suspect, and so are all
//! parts that its prompt shares with others. An answer that is complete, or comes clearly
//! further than those at the crash, clears the parts of its prompt, at whichever backend
//! server: a fatal part strikes each time before that. What remains are the parts that are
//! fatal and those that occur only beside them; a request is refused if it has all of these.

mod answers;
mod verdict;

use std::{
    collections::{
        HashMap,
        HashSet,
        VecDeque, //
    },
    time::Duration,
};

use self::answers::RecentAnswers;
pub use self::verdict::Verdict;
use super::{
    directory::ServerIncarnation,
    messages::{
        Crash,
        FatalParts,
        PartAnswer,
        PartSuspicion, //
    },
    request::{
        AnswerStage,
        PartId, //
    },
};
use crate::ids::{
    Digest,
    MonoTime, //
};

/// Number of crashes from which parts are held to be fatal, if the answers of all suspects
/// had begun with their heads. At most one or two unrelated requests are in that state.
const MIN_CRASHES_BEGUN: usize = 3;

/// Number of crashes from which parts are held to be fatal otherwise. Every request that
/// was waiting, and every answer under way, is a suspect of each.
const MIN_CRASHES: usize = 5;

/// Number of crashes from which one part of a verdict is held to be fatal by itself.
const MIN_CRASHES_APART: usize = 2;

/// Time after the first crash of a part in which all entries hear of the suspicion and tell
/// of answers on it: two reports and two updates.
const ANSWERS_TOLD_IN: Duration = Duration::from_millis(600);

/// Time after a crash in which all entries have told of their requests there.
const SUSPECTS_TOLD_IN: Duration = Duration::from_millis(200);

/// Minimum time that a backend server takes to begin an answer.
const MIN_TIME_TO_BEGIN: Duration = Duration::from_millis(1);

/// Time within which crashes are likely to have one cause, such as a power failure.
const BURST: Duration = Duration::from_millis(500);

/// Time within which backend servers that end with a failure domain are noticed, and the
/// number of them, as a share of all, that makes such a failure of several crashes.
const TOGETHER: Duration = Duration::from_millis(20);
const TOGETHER_SHARE: f64 = 0.05;
const TOGETHER_COUNT: std::ops::RangeInclusive<usize> = 3..=16;

/// Maximum number of crashes to keep in all, of one burst, and of sets of parts that were in
/// flight at one crash. The failure of a failure domain must not displace what is known of
/// other crashes. A large engine answers a hundred requests at once.
const MAX_CRASHES: usize = 128;
const MAX_CRASHES_PER_BURST: usize = 32;
const MAX_SUSPECTS: usize = 128;

/// Number of parts with answers from which those without a crash are forgotten.
const MAX_ANSWERED: usize = 4096;

/// Maximum number of verdicts.
const MAX_VERDICTS: usize = 64;

/// Maximum number of suspected parts of which entries are told.
const MAX_TOLD: usize = 256;

/// Time after which a crash no longer counts, and a verdict ends for want of requests.
const RETENTION: Duration = Duration::from_secs(600);

/// Requests that may have crashed a backend server: those with the same parts, whose answers
/// were at the same stage.
#[derive(Clone, Debug, PartialEq)]
struct Suspect {
    /// The request that was sent first.
    fingerprint: Digest,
    sent_at: MonoTime,
    /// Round-trip time to the backend server.
    round_trip: Duration,
    parts: Vec<PartId>,
    /// With the highest number of events.
    stage: AnswerStage,
}

impl Suspect {
    fn has_begun(&self) -> bool {
        self.stage == AnswerStage::Begun
    }

    /// Returns whether the backend server can have begun the answer before it crashed. A send to
    /// one that has already ended fails within a round trip; twice that leaves room for its
    /// jitter.
    fn can_have_begun(&self, crashed_at: MonoTime) -> bool {
        self.sent_at + self.round_trip * 2 + MIN_TIME_TO_BEGIN <= crashed_at
    }

    fn is_alike(&self, other: &Self) -> bool {
        std::mem::discriminant(&self.stage) == std::mem::discriminant(&other.stage)
            && self.parts == other.parts
    }

    /// Adds a request that is alike.
    fn add(&mut self, other: &Self) {
        if other.sent_at < self.sent_at {
            self.sent_at = other.sent_at;
            self.round_trip = other.round_trip;
            self.fingerprint = other.fingerprint;
        }
        if other.stage.events() > self.stage.events() {
            self.stage = other.stage;
        }
    }
}

/// A crashed backend server.
#[derive(Clone, Debug)]
struct PartCrash {
    at: MonoTime,
    server: ServerIncarnation,
    suspects: Vec<Suspect>,
    /// Whether the answer of any request in flight had only begun.
    has_begun: bool,
    /// First of several crashes at the same time, if it is one of these.
    shared_since: Option<MonoTime>,
}

impl PartCrash {
    /// Iterates over the suspects that can have caused the crash. What was waiting did not if
    /// any answer had begun. Several backend servers that end together are not ended by what
    /// was waiting or under way at the first of them, but perhaps by a request that was sent
    /// again since.
    fn culprits(&self) -> impl Iterator<Item = &Suspect> {
        let is_apart = |s: &Suspect| self.shared_since.is_none_or(|since| s.sent_at >= since);
        let can_crash = move |s: &&Suspect| match s.stage {
            AnswerStage::Begun => true,
            AnswerStage::UnderWay { .. } => is_apart(s),
            AnswerStage::Awaited => !self.has_begun && is_apart(s) && s.can_have_begun(self.at),
        };
        self.suspects.iter().filter(can_crash)
    }

    /// Iterates over the parts of all suspects.
    fn parts(&self) -> impl Iterator<Item = PartId> {
        self.suspects.iter().flat_map(|s| s.parts.iter().copied())
    }

    /// Returns the highest number of events that an answer on a part had.
    fn events(&self, part: &PartId) -> u32 {
        let with_part = self.culprits().filter(|s| s.parts.contains(part));
        with_part.map(|s| s.stage.events()).max().unwrap_or(0)
    }

    /// Adds a suspect, unless there are too many.
    fn add_suspect(&mut self, suspect: Suspect) {
        self.has_begun |= suspect.has_begun();
        if let Some(alike) = self.suspects.iter_mut().find(|s| s.is_alike(&suspect)) {
            alike.add(&suspect);
        } else if self.suspects.len() < MAX_SUSPECTS {
            self.suspects.push(suspect);
        } else if suspect.has_begun()
            && let Some(other) = self.suspects.iter_mut().find(|s| !s.has_begun())
        {
            // An answer that has only begun says more than one that is awaited or under way.
            *other = suspect;
        }
    }
}

/// A part that is held to be fatal, alone or with others.
#[derive(Debug)]
struct Proven {
    part: PartId,
    case: Case,
    /// The part and the others that all suspects with it have.
    company: Vec<PartId>,
}

impl Proven {
    /// Returns whether another part occurs wherever this one does, but not the reverse.
    fn implies(&self, other: &Self) -> bool {
        self.company.contains(&other.part) && !other.company.contains(&self.part)
    }

    /// Returns whether the crashes that set it apart from a part of other requests are so
    /// recent that their entries may not have told of them.
    fn is_contested(&self, cases: &HashMap<PartId, Case>) -> bool {
        let is_rival = |(part, case): (&PartId, &Case)| {
            !self.company.contains(part) && case.settled >= self.case.settled
        };
        self.case.settled < self.case.crashes && cases.iter().any(is_rival)
    }
}

/// The suspects of one crash that have a part.
struct Blamed<'a> {
    earliest: &'a Suspect,
    /// Whether the answer of any had only begun.
    has_begun: bool,
    /// Highest number of events of their answers.
    events: u32,
}

impl<'a> Blamed<'a> {
    fn new(suspect: &'a Suspect) -> Self {
        Self {
            earliest: suspect,
            has_begun: suspect.has_begun(),
            events: suspect.stage.events(),
        }
    }

    fn add(&mut self, suspect: &'a Suspect) {
        if suspect.sent_at < self.earliest.sent_at {
            self.earliest = suspect;
        }
        self.has_begun |= suspect.has_begun();
        self.events = self.events.max(suspect.stage.events());
    }
}

/// The crashes that count against a part.
#[derive(Clone, Debug, Default)]
struct Case {
    /// Counted crashes, and those of them at which an answer on the part had only begun.
    crashes: usize,
    begun: usize,
    /// Those of them of which all suspects are known.
    settled: usize,
    /// Lowest number of events of the answers on the part at one of the crashes.
    events: u32,
    /// First and latest counted crash.
    first_at: MonoTime,
    last_at: MonoTime,
    /// First request, and whether there was another one.
    first: Digest,
    is_repeated: bool,
}

impl Case {
    /// Counts a crash, of which all suspects may be known.
    fn add(&mut self, crash: &PartCrash, blamed: &Blamed<'_>, is_settled: bool) {
        let suspect = blamed.earliest;
        if self.crashes == 0 {
            self.first = suspect.fingerprint;
            self.first_at = crash.at;
            self.events = blamed.events;
        }
        self.events = self.events.min(blamed.events);
        self.is_repeated |= self.first != suspect.fingerprint;
        // All requests that were in flight at a power failure had been sent before it.
        let is_another = self.crashes == 0
            || suspect.sent_at >= self.last_at
            || crash.at.saturating_sub(self.last_at) >= BURST;
        if is_another {
            self.crashes += 1;
            self.begun += usize::from(blamed.has_begun);
            self.settled += usize::from(is_settled);
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
    /// How far answers have come, by suspected part.
    answers: HashMap<PartId, RecentAnswers>,
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
            sent_at: now.saturating_sub(crash.sent),
            round_trip: crash.round_trip,
            parts,
            stage: crash.stage,
        };
        let known = self.crashes.iter().rposition(|c| c.server == crash.server);
        let Some(at) = known.or_else(|| self.add_crash(now, crash)) else {
            return;
        };
        let known = &mut self.crashes[at];
        // A later report is of a connection that was only used again later.
        known.at = known.at.min(now.saturating_sub(crash.age));
        known.add_suspect(suspect);
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
            has_begun: false,
            shared_since: None,
        });
        Some(self.crashes.len() - 1)
    }

    /// Records how far an answer on a part has come. Returns whether that ends or changes a
    /// verdict.
    pub fn record_answer(&mut self, now: MonoTime, answer: &PartAnswer) -> bool {
        let at = now.saturating_sub(answer.age);
        let answers = self.answers.entry(answer.part).or_default();
        answers.record(at, answer.progress);
        self.is_changed = true;
        let mut changed = false;
        self.verdicts.retain_mut(|verdict| {
            changed |= verdict.clear(answer.part, at, answer.progress);
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
        let began_at = now.saturating_sub(parts.age);
        let clears = |a: &RecentAnswers| a.any_beyond(began_at, parts.events);
        let is_cleared = |p| self.answers.get(p).is_some_and(clears);
        if !self.verdicts.iter().any(is_known) && !parts.parts.iter().any(is_cleared) {
            let mut verdict = Verdict::new(now, parts.parts.clone(), parts.crashes);
            verdict.last_crash_at = began_at;
            verdict.events = parts.events;
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

    /// Removes crashes, answers and verdicts that no longer count.
    pub fn expire(&mut self, now: MonoTime) {
        let is_old = |at: MonoTime| now.saturating_sub(at) > RETENTION;
        let before = (self.crashes.len(), self.verdicts.len());
        while self.crashes.front().is_some_and(|c| is_old(c.at)) {
            self.crashes.pop_front();
        }
        self.verdicts.retain(|v| !is_old(v.last_used_at()));
        let is_expired = before != (self.crashes.len(), self.verdicts.len());
        self.is_changed |= is_expired;
        if is_expired || self.answers.len() > MAX_ANSWERED {
            let suspects = self.crashes.iter().flat_map(|c| &c.suspects);
            let suspected: HashSet<PartId> = suspects.flat_map(|s| s.parts.clone()).collect();
            self.answers.retain(|p, _| suspected.contains(p));
        }
    }

    /// Reaches the verdicts that the crashes so far allow. Returns whether there is a new
    /// one.
    pub fn judge(&mut self, now: MonoTime) -> bool {
        let mut found = false;
        self.mark_shared();
        self.drop_cleared();
        self.is_pending = false;
        while let Some((parts, crashes)) = self.find_fatal(now) {
            self.verdicts
                .retain(|v| !parts.iter().all(|p| v.parts.contains(p)));
            self.add_verdict(Verdict::new(now, parts, crashes as u32));
            found = true;
        }
        for crash in &self.crashes {
            for verdict in &mut self.verdicts {
                let covered = crash.culprits().filter(|s| verdict.covers(&s.parts));
                if let Some(events) = covered.map(|s| s.stage.events()).max() {
                    verdict.last_crash_at = verdict.last_crash_at.max(crash.at);
                    verdict.events = verdict.events.max(events);
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
            let is_near = |at: &MonoTime| crash.at.abs_diff(*at) <= TOGETHER;
            let near = times.iter().copied().filter(is_near);
            let is_shared = near.clone().count() >= needed;
            crash.shared_since = near.min().filter(|_| is_shared);
        }
    }

    /// Drops the parts that later answers have cleared from the crashes before these.
    fn drop_cleared(&mut self) {
        for crash in &mut self.crashes {
            let parts: HashSet<PartId> = crash.parts().collect();
            let is_cleared = |p: &PartId| is_cleared(&self.answers, p, crash);
            let cleared: HashSet<PartId> = parts.into_iter().filter(is_cleared).collect();
            for suspect in &mut crash.suspects {
                suspect.parts.retain(|p| !cleared.contains(p));
            }
            crash.suspects.retain(|s| !s.parts.is_empty());
        }
    }

    /// Does the same if a verdict only waited for answers that other entries may tell of.
    pub fn judge_pending(&mut self, now: MonoTime) -> bool {
        self.is_pending && self.judge(now)
    }

    /// Returns the parts that are suspected but not held to be fatal, those with the most
    /// crashes first.
    pub fn suspicions(&self, now: MonoTime) -> Vec<PartSuspicion> {
        let cases = self.cases(now).into_iter();
        let mut told: Vec<PartSuspicion> = cases
            .map(|(part, case)| PartSuspicion {
                part,
                crashes: case.crashes as u32,
                events: case.events,
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
    /// about both. Between parts that don't occur together, more crashes decide, once all
    /// entries have told of their requests there.
    fn find_fatal(&mut self, now: MonoTime) -> Option<(Vec<PartId>, usize)> {
        let is_apart = |p: &PartId| self.verdicts.iter().any(|v| v.parts.contains(p));
        let is_told = |case: &Case| now >= case.first_at + ANSWERS_TOLD_IN;
        let all = self.cases(now);
        let mut cases = all.clone();
        cases.retain(|part, case| case.is_proven(is_apart(part)));
        self.is_pending |= !cases.values().all(is_told);
        cases.retain(|_, case| is_told(case));
        let proven: Vec<Proven> = cases
            .into_iter()
            .map(|(part, case)| Proven {
                part,
                company: self.company(part),
                case,
            })
            .collect();
        let is_implied = |p: &Proven| proven.iter().any(|other| other.implies(p));
        let rarest: Vec<&Proven> = proven.iter().filter(|p| !is_implied(p)).collect();
        let most = rarest.iter().map(|p| p.case.crashes).max()?;
        let mut likeliest = rarest.iter().filter(|p| p.case.crashes == most);
        let first = likeliest.next()?;
        // Another crash tells apart two parts that occur in different requests.
        if !likeliest.all(|p| p.company == first.company) {
            return None;
        }
        if first.is_contested(&all) {
            self.is_pending = true;
            return None;
        }
        Some((first.company.clone(), most))
    }

    /// Iterates over the crashes that no verdict explains.
    fn unexplained(&self) -> impl Iterator<Item = &PartCrash> {
        let explains = |v: &Verdict, c: &PartCrash| c.culprits().any(|s| v.covers(&s.parts));
        let crashes = self.crashes.iter();
        crashes.filter(move |c| !self.verdicts.iter().any(|v| explains(v, c)))
    }

    fn is_open(&self, part: &PartId, crash: &PartCrash) -> bool {
        !is_cleared(&self.answers, part, crash)
    }

    /// Returns what the crashes that no verdict explains say against each part.
    fn cases(&self, now: MonoTime) -> HashMap<PartId, Case> {
        let mut cases: HashMap<PartId, Case> = HashMap::new();
        for crash in self.unexplained() {
            let is_settled = now >= crash.at + SUSPECTS_TOLD_IN;
            let mut suspected: HashMap<PartId, Blamed<'_>> = HashMap::new();
            for suspect in crash.culprits() {
                for &part in &suspect.parts {
                    let blamed = suspected.entry(part);
                    blamed
                        .and_modify(|b| b.add(suspect))
                        .or_insert_with(|| Blamed::new(suspect));
                }
            }
            for (part, blamed) in suspected {
                if self.is_open(&part, crash) {
                    let case = cases.entry(part).or_default();
                    case.add(crash, &blamed, is_settled);
                }
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

/// Returns whether an answer on a part has since come clearly further than those at a crash.
fn is_cleared(answers: &HashMap<PartId, RecentAnswers>, part: &PartId, crash: &PartCrash) -> bool {
    let answers = answers.get(part);
    answers.is_some_and(|a| a.any_beyond(crash.at, crash.events(part)))
}
