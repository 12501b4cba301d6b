//! What was seen from outside, and the promises that it is held against.

use std::{
    collections::{
        BTreeMap,
        BTreeSet,
        VecDeque, //
    },
    sync::{
        Mutex,
        MutexGuard,
        PoisonError, //
    },
    time::{
        Duration,
        Instant, //
    },
};

use tokio_util::sync::CancellationToken;

use crate::{
    brittle,
    retry_counts::{
        RETRY_SLACK,
        RetryCounts, //
    },
    schedule::{
        CONTACT_MS,
        ENTRIES, //
    },
    server::LIMIT,
    stream_callers::ORGANISATIONS, //
};

/// Time after its acknowledgement in which an order to evacuate is known to all entries,
/// and what was sent before has arrived: an entry may be paused for 2.5 s, its bytes may
/// be held up for as long, and a second is left to hear of it.
const EVACUATED_IN: Duration = Duration::from_millis(6000);

/// Span in which requests at a backend server with a limit are counted, and how many may
/// come: one and a half times what the limit makes of it and five.
const LIMIT_SPAN: Duration = Duration::from_secs(4);
const LIMIT_BOUND: usize = (1.5 * 4.0 * LIMIT) as usize + 5;

/// Time after an entry has passed on that there is a limit from which it keeps to it.
const LIMITED_IN: Duration = Duration::from_millis(500);

/// Time after an answer from which its entry keeps to the pause that it asks for, and the
/// requests of one entry that may come all the same.
const PAUSED_IN: Duration = Duration::from_millis(500);
const PAUSE_BOUND: usize = 2;

/// Time after an entry has passed on that a life leaves from which it sends nothing there
/// that a caller sends.
const LEAVES_IN_MS: u64 = 500;

/// Mean number of answers to a caller of engines from which organisations are compared, and
/// the part of it that the callers of each must have on the mean. All callers have the same
/// faults and engines and behave alike. The share of requests that were answered would not
/// show starvation: a caller that waits long sends few requests.
const COMPARED_FROM: f64 = 5.0;
const LEAST_PART: f64 = 0.5;

/// Part of the share of first tries served elsewhere that must be served at an entry which
/// is cut from all backend servers, unless no more fail there than a few, and a part of all.
const LEAST_SERVED: f64 = 2.0 / 3.0;
const FAILED_SLACK: u32 = 10;
const FAILED_ONE_IN: u32 = 50;

/// Number of crashes after which a fatal part must be known, and of requests with it that may
/// reach backend servers once it is.
const FATAL_CRASHES: usize = 5;
const MAX_LATE_FATAL: usize = 3;

/// Fewest callers of brittle backend servers that are served in a run: what the slots of one
/// take in the shortest one, without its start and end.
const LEAST_BRITTLE: u64 = 60;

/// Everything that was seen in one run.
#[derive(Debug)]
pub struct Books {
    began: Instant,
    inner: Mutex<Inner>,
}

impl Default for Books {
    fn default() -> Self {
        Self {
            began: Instant::now(),
            inner: Mutex::default(),
        }
    }
}

/// A pause that a life has asked an entry for.
#[derive(Debug)]
struct Pause {
    entry: usize,
    life: String,
    asked_at: Instant,
    lasts: Duration,
    /// Requests that came in it all the same.
    came: usize,
}

impl Pause {
    /// Returns whether a request that comes now counts.
    fn counts(&self, entry: usize, life: &str) -> bool {
        let since = self.asked_at.elapsed();
        self.entry == entry && self.life == life && since > PAUSED_IN && since < self.lasts
    }
}

#[derive(Debug, Default)]
struct Inner {
    /// Times that each request that may not be repeated began to run.
    runs: BTreeMap<String, u32>,
    /// Requests of which a caller was told that they have not run.
    refused: BTreeSet<String>,
    /// Highest configuration that was acknowledged.
    acknowledged: u64,
    /// Since when it is acknowledged that nothing goes to the evacuated backend server.
    evacuated: Option<Instant>,
    /// Since when each entry knows of the limit, by what it has passed on since its start.
    told_limit: BTreeMap<usize, Instant>,
    /// Requests of such entries at the backend server that names it, of late.
    at_limited: VecDeque<Instant>,
    /// Pauses that entries were asked for and that are not over.
    pauses: Vec<Pause>,
    /// When, in milliseconds of the run, each entry passed on that a life leaves.
    told_leaving: BTreeMap<(usize, String), u64>,
    /// When a backend server first named the rejections that it bears.
    brittle_since_ms: Option<u64>,
    /// When backend servers went down under rejections.
    falls: Vec<u64>,
    /// Callers of these that were served.
    brittle_served: u64,
    /// Requests that began to run at an engine and may do so again.
    started: BTreeSet<String>,
    /// What became of the requests to engines of each organisation.
    served: BTreeMap<&'static str, Served>,
    /// When a fault last hit each entry, or ended.
    disturbed: BTreeMap<usize, Instant>,
    /// Entry that sent each request to a backend server.
    senders: BTreeMap<String, usize>,
    /// First tries of callers.
    tries: Vec<Try>,
    /// Times at which an entry was cut from all backend servers.
    cuts: Vec<CutSpan>,
    /// Faults of daemons that go on, and when one last ended, in milliseconds of the run.
    daemon_faults: usize,
    daemon_fault_ended_ms: u64,
    /// When backend servers went down for a fatal part, in milliseconds of the run.
    crashes: Vec<u64>,
    /// Entries that sent requests with it later than that is allowed.
    late_fatal: Vec<Option<usize>>,
    /// Requests and retries of each service.
    arrivals: BTreeMap<&'static str, RetryCounts>,
    answered: u64,
    failed: u64,
    broken: Vec<String>,
}

/// First try of a caller.
#[derive(Clone, Copy, Debug)]
struct Try {
    entry: usize,
    sent_ms: u64,
    is_served: bool,
}

/// Time for which an entry was cut from all backend servers.
#[derive(Clone, Copy, Debug)]
struct CutSpan {
    entry: usize,
    from_ms: u64,
    to_ms: Option<u64>,
    /// Whether a fault of a daemon overlaps it, so that more than the cut is to be seen.
    is_overlapped: bool,
}

/// Requests of an organisation that ended.
#[derive(Clone, Copy, Debug, Default)]
struct Served {
    answered: u64,
    ended: u64,
}

impl CutSpan {
    /// Returns a line if callers of the entry were served far less than others.
    fn neglected(&self, tries: &[Try]) -> Option<String> {
        let span = self.from_ms + CONTACT_MS..self.to_ms?;
        let count = |is_cut: bool| {
            let there = tries.iter().filter(|t| span.contains(&t.sent_ms));
            let there = there.filter(|t| (t.entry == self.entry) == is_cut);
            there.fold((0, 0), |(served, all), t| {
                (served + u32::from(t.is_served), all + 1)
            })
        };
        let ((served, all), (others_served, others)) = (count(true), count(false));
        let share = |served: u32, all: u32| f64::from(served) / f64::from(all.max(1));
        let is_worse = share(served, all) < LEAST_SERVED * share(others_served, others);
        let many_failed = all - served > FAILED_SLACK + (all + others) / FAILED_ONE_IN;
        (is_worse && many_failed && !self.is_overlapped).then(|| {
            format!(
                "entry {} was cut from all backend servers and served {served} of {all} \
                 first tries, the others {others_served} of {others}",
                self.entry
            )
        })
    }
}

impl Inner {
    fn arrivals_of(&mut self, service: &'static str) -> &mut RetryCounts {
        let new = || RetryCounts::new(RETRY_SLACK);
        self.arrivals.entry(service).or_insert_with(new)
    }

    /// Returns a line for each organisation whose callers got much less than others.
    fn starved(&self) -> Vec<String> {
        let answered = |name: &str| self.served.get(name).map_or(0, |s| s.answered) as f64;
        let total: f64 = ORGANISATIONS.iter().map(|(name, ..)| answered(name)).sum();
        let callers: u64 = ORGANISATIONS.iter().map(|(.., count)| count).sum();
        let mean = total / (callers * ENTRIES as u64) as f64;
        let mut lines = Vec::new();
        for (name, _, count) in ORGANISATIONS {
            let got = answered(name) / (count * ENTRIES as u64) as f64;
            if mean >= COMPARED_FROM && got < LEAST_PART * mean {
                lines.push(format!(
                    "callers of {name} got {got:.1} answers each, all {mean:.1}"
                ));
            }
        }
        lines
    }
}

/// What a run came to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Verdict {
    /// Requests that were answered with success.
    pub answered: u64,
    /// Requests that were not.
    pub failed: u64,
    /// Promises that were broken, one line each.
    pub broken: Vec<String>,
}

impl Books {
    /// Notes that a caller sends a request to a service.
    pub fn sent(&self, service: &'static str) {
        let now_ms = self.now_ms();
        self.lock().arrivals_of(service).record_sent(now_ms);
    }

    /// Notes that a backend server of a service has read a request, whatever it makes of it.
    pub fn read(&self, service: &'static str, id: &str) {
        let now_ms = self.now_ms();
        self.lock().arrivals_of(service).record_read(now_ms, id);
    }

    /// Notes that a request that may not be repeated begins to run.
    pub fn ran(&self, id: &str) {
        *self.lock().runs.entry(id.to_owned()).or_default() += 1;
    }

    /// Notes that a caller was told that its request has not run.
    pub fn refused(&self, id: &str) {
        let mut inner = self.lock();
        inner.failed += 1;
        inner.refused.insert(id.to_owned());
    }

    /// Notes that a request that may be repeated begins to run.
    pub fn started(&self, id: &str) {
        self.lock().started.insert(id.to_owned());
    }

    /// Notes that a caller of engines was told that its request has not run.
    pub fn told_not_run(&self, id: &str) {
        self.lock().refused.insert(id.to_owned());
    }

    /// Notes that a request of an organisation to engines ended.
    pub fn served(&self, organisation: &'static str, answered: bool) {
        let mut inner = self.lock();
        let served = inner.served.entry(organisation).or_default();
        served.ended += 1;
        served.answered += u64::from(answered);
    }

    /// Notes that a fault hits an entry, or ends.
    pub fn disturbed(&self, entry: usize) {
        self.lock().disturbed.insert(entry, Instant::now());
    }

    /// Notes that a request sent then was over too long after its deadline. That is no
    /// fault of an entry that stood still or ended in between.
    pub fn late(&self, id: &str, entry: usize, sent_at: Instant) {
        let mut inner = self.lock();
        if inner.disturbed.get(&entry).is_none_or(|at| *at < sent_at) {
            let took = sent_at.elapsed().as_millis();
            let line = format!("request {id} was over after {took} ms, past its deadline");
            inner.broken.push(line);
        }
    }

    /// Notes an answer that is whole and the request's own.
    pub fn answered(&self) {
        self.lock().answered += 1;
    }

    /// Notes a request without an answer that counts.
    pub fn failed(&self) {
        self.lock().failed += 1;
    }

    /// Notes a promise that was broken.
    pub fn broke(&self, what: impl Into<String>) {
        self.lock().broken.push(what.into());
    }

    /// Notes that a configuration was acknowledged.
    pub fn acknowledged(&self, version: u64) {
        let mut inner = self.lock();
        inner.acknowledged = inner.acknowledged.max(version);
    }

    /// Notes that an order to evacuate is acknowledged, or is about to be withdrawn.
    pub fn evacuated(&self, evacuated: bool) {
        self.lock().evacuated = evacuated.then(Instant::now);
    }

    /// Notes that a request reached the backend server that is evacuated at times.
    pub fn reached_evacuated(&self, id: &str) {
        let mut inner = self.lock();
        if let Some(since) = inner.evacuated
            && since.elapsed() > EVACUATED_IN
        {
            let late = since.elapsed().as_millis();
            let line = format!("request {id} came {late} ms after its domain was evacuated");
            inner.broken.push(line);
        }
    }

    /// Notes that an entry has passed on an answer that names a limit.
    pub fn told_limit(&self, entry: usize) {
        let mut inner = self.lock();
        inner.told_limit.entry(entry).or_insert_with(Instant::now);
    }

    /// Notes that an entry ends or starts, and knows nothing of what it has passed on.
    pub fn forgot(&self, entry: usize) {
        self.lock().told_limit.remove(&entry);
        self.froze(entry);
    }

    /// Notes that an entry stands still, or goes on: what it was asked for in the
    /// meantime it could not heed.
    pub fn froze(&self, entry: usize) {
        let mut inner = self.lock();
        inner.pauses.retain(|pause| pause.entry != entry);
        inner.told_leaving.retain(|(told, _), _| *told != entry);
    }

    /// Notes the first try of a caller.
    pub fn tried(&self, entry: usize, sent_ms: u64, is_served: bool) {
        self.lock().tries.push(Try {
            entry,
            sent_ms,
            is_served,
        });
    }

    /// Notes that an entry is cut from all backend servers.
    pub fn cut_began(&self, entry: usize) {
        let from_ms = self.now_ms();
        let mut inner = self.lock();
        let is_overlapped = inner.daemon_faults > 0;
        inner.cuts.push(CutSpan {
            entry,
            from_ms,
            to_ms: None,
            is_overlapped,
        });
    }

    /// Notes that the cut of an entry ends.
    pub fn cut_ended(&self, entry: usize) {
        let now_ms = self.now_ms();
        let mut inner = self.lock();
        let open = inner.cuts.iter_mut().filter(|cut| cut.entry == entry);
        for cut in open.filter(|cut| cut.to_ms.is_none()) {
            cut.to_ms = Some(now_ms);
        }
    }

    /// Notes that a fault of a daemon begins or ends.
    pub fn daemons_hit(&self, begins: bool) {
        let now_ms = self.now_ms();
        let mut inner = self.lock();
        if begins {
            inner.daemon_faults += 1;
        } else {
            inner.daemon_faults -= 1;
            inner.daemon_fault_ended_ms = now_ms;
        }
        for cut in &mut inner.cuts {
            cut.is_overlapped |= cut.to_ms.is_none_or(|to| now_ms < to);
        }
    }

    /// Records that a backend server goes down for a fatal part, and ends its life.
    pub fn crashed(&self, life: &CancellationToken) {
        if !life.is_cancelled() {
            let now_ms = self.now_ms();
            self.lock().crashes.push(now_ms);
            life.cancel();
        }
    }

    /// Records that a backend server names the rejections that it bears.
    pub fn brittle_named(&self) {
        let now_ms = self.now_ms();
        self.lock().brittle_since_ms.get_or_insert(now_ms);
    }

    /// Ends the life of a backend server that had to reject too many requests, once every
    /// daemon has had time to hear of it. It counts if no daemon was hit of late.
    pub fn brittle_fell(&self, life: &CancellationToken) {
        let now_ms = self.now_ms();
        let mut inner = self.lock();
        let since = inner.brittle_since_ms;
        if since.is_none_or(|since| now_ms < since + CONTACT_MS) || life.is_cancelled() {
            return;
        }
        life.cancel();
        let calm_from = inner.daemon_fault_ended_ms + CONTACT_MS;
        if inner.daemon_faults == 0 && now_ms > calm_from {
            inner.falls.push(now_ms);
        }
    }

    /// Records an answer to a caller of such backend servers.
    pub fn brittle_answered(&self, is_served: bool) {
        self.lock().brittle_served += u64::from(is_served);
    }

    /// Records that a request with a fatal part has reached a backend server. It counts once
    /// five have gone down and every daemon has had time to hear of it.
    pub fn reached_fatal(&self, sender: Option<usize>) {
        let now_ms = self.now_ms();
        let mut inner = self.lock();
        let calm_from = inner.daemon_fault_ended_ms + CONTACT_MS;
        let is_calm = inner.daemon_faults == 0 && now_ms > calm_from;
        let fifth = inner.crashes.get(FATAL_CRASHES - 1).copied();
        if is_calm && fifth.is_some_and(|at| now_ms > at + CONTACT_MS) {
            inner.late_fatal.push(sender);
        }
    }

    /// Returns the milliseconds since the run began.
    pub fn now_ms(&self) -> u64 {
        self.began.elapsed().as_millis() as u64
    }

    /// Notes that a life turns an entry away and asks it for a pause.
    pub fn asked_pause(&self, entry: usize, life: &str, lasts: Duration) {
        let mut inner = self.lock();
        inner
            .pauses
            .retain(|pause| pause.asked_at.elapsed() < pause.lasts);
        inner.pauses.push(Pause {
            entry,
            life: life.to_owned(),
            asked_at: Instant::now(),
            lasts,
            came: 0,
        });
    }

    /// Notes that an entry has passed on an answer which says that its life leaves.
    pub fn told_leaving(&self, entry: usize, life: &str) {
        let now_ms = self.now_ms();
        let mut inner = self.lock();
        let told = inner.told_leaving.entry((entry, life.to_owned()));
        told.or_insert(now_ms);
    }

    /// Returns the entry that sent a request to a backend server last: another one than its
    /// caller's, if it was forwarded.
    pub fn sender(&self, id: &str) -> Option<usize> {
        self.lock().senders.get(id).copied()
    }

    /// Notes that a request, which a caller sent then, reached a life from an entry.
    pub fn reached(&self, id: &str, entry: usize, life: &str, sent_ms: u64) {
        let mut inner = self.lock();
        inner.senders.insert(id.to_owned(), entry);
        let mut broken = Vec::new();
        for pause in &mut inner.pauses {
            pause.came += usize::from(pause.counts(entry, life));
            if pause.came > PAUSE_BOUND {
                broken.push(format!(
                    "entry {entry} sent {} requests to {life} in a pause of {:?}",
                    pause.came, pause.lasts
                ));
                pause.came = 0;
            }
        }
        let told = inner.told_leaving.get(&(entry, life.to_owned()));
        if let Some(told) = told
            && sent_ms > told + LEAVES_IN_MS
        {
            let late = sent_ms - told;
            broken.push(format!(
                "entry {entry} sent to {life} {late} ms after it said that it leaves"
            ));
        }
        inner.broken.extend(broken);
    }

    /// Notes that a request of an entry reached the backend server that names a limit.
    pub fn reached_limited(&self, entry: Option<usize>) {
        let mut inner = self.lock();
        let told = entry.and_then(|entry| inner.told_limit.get(&entry));
        if told.is_none_or(|told| told.elapsed() < LIMITED_IN) {
            return;
        }
        let now = Instant::now();
        inner.at_limited.push_back(now);
        inner.at_limited.retain(|at| now - *at < LIMIT_SPAN);
        let count = inner.at_limited.len();
        if count > LIMIT_BOUND {
            inner.at_limited.clear();
            let line = format!("{count} requests in {LIMIT_SPAN:?} at a limit of {LIMIT}");
            inner.broken.push(line);
        }
    }

    /// Returns the highest configuration that was acknowledged.
    pub fn newest(&self) -> u64 {
        self.lock().acknowledged
    }

    /// Returns the number of requests that were answered.
    pub fn answers(&self) -> u64 {
        self.lock().answered
    }

    /// Returns the number of requests to engines that were answered.
    pub fn engine_answers(&self) -> u64 {
        self.lock().served.values().map(|s| s.answered).sum()
    }

    /// Holds all that was seen against the promises.
    pub fn verdict(&self) -> Verdict {
        let inner = self.lock();
        let mut broken = inner.broken.clone();
        for (id, runs) in &inner.runs {
            if *runs > 1 {
                broken.push(format!("request {id} ran {runs} times"));
            }
            if inner.refused.contains(id) {
                broken.push(format!("request {id} was refused as not run, and ran"));
            }
        }
        broken.extend(inner.starved());
        for (service, counts) in &inner.arrivals {
            broken.extend(counts.broken(service));
        }
        if inner.late_fatal.len() > MAX_LATE_FATAL {
            broken.push(format!(
                "requests with a fatal part reached backend servers late, sent by {:?}; crashes \
                 at {:?}",
                inner.late_fatal, inner.crashes
            ));
        }
        if inner.falls.len() > brittle::MAX_FALLS {
            broken.push(format!(
                "backend servers went down under rejections at {:?}",
                inner.falls
            ));
        }
        if inner.brittle_since_ms.is_some() && inner.brittle_served < LEAST_BRITTLE {
            broken.push(format!(
                "{} callers of brittle backend servers were served",
                inner.brittle_served
            ));
        }
        let neglected = inner
            .cuts
            .iter()
            .filter_map(|cut| cut.neglected(&inner.tries));
        broken.extend(neglected);
        for id in inner.started.intersection(&inner.refused) {
            broken.push(format!("request {id} was refused as not run, and ran"));
        }
        let answered: u64 = inner.served.values().map(|s| s.answered).sum();
        let ended: u64 = inner.served.values().map(|s| s.ended).sum();
        Verdict {
            answered: inner.answered + answered,
            failed: inner.failed + ended - answered,
            broken,
        }
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
