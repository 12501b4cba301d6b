//! Retries in every window, for any arrivals, failures, delays, division among entries and
//! starts of processes, against the formula of the rule.

use std::{
    collections::BTreeMap,
    ops::Range, //
};

use proptest::{
    collection::vec,
    prelude::*, //
};
use sesamebeam_core::gateway::{
    request_sends::RequestSends,
    retry_budget::{
        RetryBudget,
        RetryBudgetConfig, //
    },
};
use yare::parameterized;

use crate::fixtures::ms;

pub(crate) const SERVICE: &str = "pool";
const RATIO: f64 = 0.9;
const SLACK: f64 = 58.0;
const WINDOW_MS: u64 = 10_000;
pub(crate) const ENTRIES: usize = 4;

/// Time before the first callers for which entries have run, in milliseconds.
pub(crate) const UP_MS: u64 = 20_000;

/// Delays up to which the bound holds, in milliseconds: of requests from callers to entries, and
/// of retries from entries to backend servers.
const REQUEST_DELAY_MS: u64 = 500;
pub(crate) const RETRY_DELAY_MS: u64 = 2000;

/// Interval of signs of life, in milliseconds.
const ALIVE_EVERY_MS: u64 = 50;

/// Sends of a request, and time after which one without an answer is given up, in milliseconds.
const MAX_SENDS: u32 = 5;
const GIVEN_UP_MS: u64 = 400;

/// Callers that come at an even rate.
#[derive(Clone, Debug)]
pub(crate) struct Burst {
    /// Milliseconds from the first callers.
    pub(crate) from: u64,
    pub(crate) lasts: u64,
    /// Requests a second.
    pub(crate) rate: u64,
    /// How many of these callers use each entry, relative to the others.
    weights: [u64; ENTRIES],
    pub(crate) fails_percent: u64,
}

impl Burst {
    pub(crate) fn even(from: u64, lasts: u64, rate: u64, fails_percent: u64) -> Self {
        Self {
            from,
            lasts,
            rate,
            weights: [1; ENTRIES],
            fails_percent,
        }
    }

    /// Returns the entry to which the caller of a request comes.
    pub(crate) fn entry_of(&self, request: usize) -> usize {
        let mut place = draw(request as u64, self.weights.iter().sum());
        let entry = self.weights.iter().position(|&weight| {
            let is_here = place < weight;
            place = place.saturating_sub(weight);
            is_here
        });
        entry.unwrap_or(0)
    }
}

/// What is due.
#[derive(Clone, Copy, Debug)]
enum Event {
    /// An entry is killed, and another process starts in its place.
    Restart { entry: usize },
    /// An entry gives a sign of life.
    Alive { entry: usize },
    /// A request reaches its entry.
    Arrives { request: usize },
    /// A send is read, or closed by its backend server.
    Read { request: usize, send: u32 },
    /// A send is given up if it was not read.
    GivenUp { request: usize, send: u32 },
}

/// A request and its sends.
struct Request {
    entry: usize,
    /// Process that has read it.
    life: u32,
    sends: RequestSends,
    made: u32,
    reads: u32,
    fails: bool,
    /// Whether a send was answered with success.
    is_over: bool,
}

/// A process in the place of an entry.
pub(crate) struct Entry {
    pub(crate) life: u32,
    pub(crate) started: u64,
    pub(crate) budget: RetryBudget,
}

impl Entry {
    pub(crate) fn new(life: u32, started: u64) -> Self {
        let mut budget = RetryBudget::new(RetryBudgetConfig {
            ratio: RATIO,
            slack: SLACK,
            window: ms(WINDOW_MS),
        });
        budget.set_entries(ms(0), ENTRIES as u32);
        Self {
            life,
            started,
            budget,
        }
    }
}

/// Entries, with times at which requests were sent and retries were read.
struct Play {
    entries: Vec<Entry>,
    requests: Vec<Request>,
    due: BTreeMap<(u64, usize), Event>,
    /// Number of events so far, which orders those of one moment.
    pushed: usize,
    /// Largest delay of a send, in milliseconds.
    retry_delay: u64,
    sent: Vec<u64>,
    retries: Vec<u64>,
}

/// Returns a number below a limit that looks random.
pub(crate) fn draw(seed: u64, limit: u64) -> u64 {
    let mixed = (seed + 1).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    let mixed = (mixed ^ (mixed >> 29)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    (mixed >> 33) % limit.max(1)
}

impl Play {
    fn new(bursts: &[Burst], restarts: &[(u64, usize)], delays: (u64, u64)) -> Self {
        let mut play = Self {
            entries: (0..ENTRIES).map(|_| Entry::new(0, 0)).collect(),
            requests: Vec::new(),
            due: BTreeMap::new(),
            pushed: 0,
            retry_delay: delays.1,
            sent: Vec::new(),
            retries: Vec::new(),
        };
        for &(at, entry) in restarts {
            play.push(UP_MS + at, Event::Restart { entry });
        }
        for burst in bursts {
            play.add_burst(burst, delays.0);
        }
        play.sent.sort_unstable();
        play
    }

    /// Has an entry stand still for a time, and then read all that came.
    fn pause(mut self, entry: usize, from: u64, lasts: u64) -> Self {
        let span = UP_MS + from..UP_MS + from + lasts;
        for at in (0..span.start).chain(span.end..span.end + WINDOW_MS) {
            if at.is_multiple_of(ALIVE_EVERY_MS) {
                self.push(at, Event::Alive { entry });
            }
        }
        for (&key, event) in &self.due.clone() {
            if let Event::Arrives { request } = *event
                && self.requests[request].entry == entry
                && span.contains(&key.0)
            {
                self.due.remove(&key);
                self.push(span.end, *event);
            }
        }
        self
    }

    fn push(&mut self, at: u64, event: Event) {
        self.due.insert((at, self.pushed), event);
        self.pushed += 1;
    }

    fn add_burst(&mut self, burst: &Burst, delay: u64) {
        for n in 0..burst.lasts * burst.rate / 1000 {
            let request = self.requests.len();
            let entry = burst.entry_of(request);
            let sent = UP_MS + burst.from + n * 1000 / burst.rate;
            self.sent.push(sent);
            self.requests.push(Request {
                entry,
                life: 0,
                sends: RequestSends::default(),
                made: 0,
                reads: 0,
                fails: draw(request as u64 + 7, 100) < burst.fails_percent,
                is_over: false,
            });
            let arrives = sent + draw(request as u64 + 13, delay + 1);
            self.push(arrives, Event::Arrives { request });
        }
    }

    fn run(mut self) -> Self {
        while let Some(((now, _), event)) = self.due.pop_first() {
            self.handle(now, event);
        }
        self.retries.sort_unstable();
        self
    }

    fn handle(&mut self, now: u64, event: Event) {
        match event {
            Event::Restart { entry } => {
                let life = self.entries[entry].life + 1;
                self.entries[entry] = Entry::new(life, now);
            }
            Event::Alive { entry } => {
                let entry = &mut self.entries[entry];
                entry.budget.record_alive(ms(now - entry.started));
            }
            Event::Arrives { request } => {
                let req = &mut self.requests[request];
                let entry = &mut self.entries[req.entry];
                req.life = entry.life;
                let at = ms(now - entry.started);
                entry.budget.record_activity(at);
                entry.budget.record_request(at, &SERVICE.into());
                self.send(now, request);
            }
            Event::Read { request, send } => {
                let req = &mut self.requests[request];
                req.reads += 1;
                if req.reads > 1 {
                    self.retries.push(now);
                }
                let entry = &mut self.entries[req.entry];
                if entry.life != req.life {
                    return;
                }
                if req.sends.settle() {
                    let at = ms(now - entry.started);
                    entry.budget.settle_retry(at, &SERVICE.into());
                }
                let is_current = send == req.made && !req.is_over;
                req.is_over |= is_current && !req.fails;
                if is_current && req.fails {
                    self.send(now, request);
                }
            }
            Event::GivenUp { request, send } => {
                let req = &self.requests[request];
                let is_alive = self.entries[req.entry].life == req.life;
                if is_alive && send == req.made && !req.is_over {
                    self.send(now, request);
                }
            }
        }
    }

    /// Sends a request, if its number of sends and the budget allow that.
    fn send(&mut self, now: u64, request: usize) {
        let req = &mut self.requests[request];
        if req.made == MAX_SENDS {
            return;
        }
        if !req.sends.is_paid() {
            let entry = &mut self.entries[req.entry];
            let at = ms(now - entry.started);
            if !entry.budget.try_retry(at, &SERVICE.into()) {
                req.is_over = true;
                return;
            }
            req.sends.record_charge();
        }
        req.sends.begin();
        req.made += 1;
        let send = req.made;
        let delay = draw(request as u64 * 4 + u64::from(send), self.retry_delay + 1);
        self.push(now + delay, Event::Read { request, send });
        if delay > GIVEN_UP_MS {
            self.push(now + GIVEN_UP_MS, Event::GivenUp { request, send });
        }
    }

    /// Returns the share of the bound that is used in a window.
    fn share(&self, from: u64) -> f64 {
        share(&self.sent, &self.retries, from)
    }

    /// Returns the largest share of the bound that is used in any window.
    fn worst_share(&self) -> f64 {
        worst_share(&self.sent, &self.retries)
    }
}

/// Returns the share of the bound that is used in a window, by times of requests and retries in
/// order.
fn share(sent: &[u64], retries: &[u64], from: u64) -> f64 {
    let most = [0, WINDOW_MS / 2, WINDOW_MS].map(|back| {
        let window = from.saturating_sub(back)..(from + WINDOW_MS).saturating_sub(back);
        count(sent, window)
    });
    let bound = RATIO * most.into_iter().max().unwrap_or(0) as f64 + SLACK;
    count(retries, from..from + WINDOW_MS) as f64 / bound
}

/// Returns the largest share of the bound that is used in any window.
pub(crate) fn worst_share(sent: &[u64], retries: &[u64]) -> f64 {
    let last = retries.last().copied().unwrap_or(0);
    let steps = (0..last).step_by(50);
    let windows = steps.chain(retries.iter().copied());
    windows
        .map(|from| share(sent, retries, from))
        .fold(0.0, f64::max)
}

/// Returns the number of times in a window, of times in order.
fn count(times: &[u64], window: Range<u64>) -> usize {
    let [start, end] = [window.start, window.end].map(|at| times.partition_point(|&t| t < at));
    end - start
}

fn series(from: u64, every: u64, count: u64) -> Vec<(u64, usize)> {
    let restarts = (0..count).map(|n| (from + n * every, n as usize % ENTRIES));
    restarts.collect()
}

/// Guards against retries in one window that are allowed by requests of another one.
#[parameterized(
    slow = { 50, 7600 },
    medium = { 150, 8000 },
    fast = { 300, 7600 },
)]
fn burst_after_burst(rate: u64, second: u64) {
    let bursts = [
        Burst::even(0, 2000, rate, 0),
        Burst::even(second, 2400, rate, 100),
    ];
    let share = Play::new(&bursts, &[], (0, 5)).run().worst_share();
    assert!(share <= 1.0, "{share:.2} of the bound");
}

/// Guards against slack that each process spends which takes the place of another one.
#[parameterized(
    slow = { 3, 1200, 8 },
    medium = { 10, 1200, 8 },
    in_a_row = { 10, 300, 30 },
)]
fn entries_restart(rate: u64, every: u64, starts: u64) {
    let bursts = [Burst::even(0, 30_000, rate, 100)];
    let restarts = series(12_000, every, starts);
    let share = Play::new(&bursts, &restarts, (0, 5)).run().worst_share();
    assert!(share <= 1.0, "{share:.2} of the bound");
}

/// Guards against retries that are allowed by requests that an entry which stood still reads late.
#[parameterized(
    long = { 4000, 12_500, 12_500, 1200 },
    shorter = { 2000, 9500, 7500, 2400 },
)]
fn paused_entries(lasts: u64, second: u64, paused_for: u64, second_lasts: u64) {
    let bursts = [
        Burst::even(0, lasts, 150, 100),
        Burst::even(second, second_lasts, 150, 100),
    ];
    let mut play = Play::new(&bursts, &[], (0, 5));
    for entry in 0..ENTRIES - 1 {
        play = play.pause(entry, 0, paused_for);
    }
    let share = play.run().worst_share();
    assert!(share <= 1.0, "{share:.2} of the bound");
}

/// Guards against a budget that leaves much of the bound unused.
#[parameterized(
    steady = { &[Burst::even(0, 30_000, 150, 100)], 14_000, 0.85 },
    from_the_start = { &[Burst::even(0, 30_000, 150, 100)], 3800, 0.75 },
    crowd = { &[Burst::even(0, 2400, 150, 100)], 0, 0.5 },
    few = { &[Burst::even(0, 30_000, 4, 100)], 14_000, 0.8 },
    burst_of_failures = { &[Burst::even(0, 14_000, 150, 0), Burst::even(14_000, 16_000, 150, 100)],
                          14_000, 0.85 },
)]
fn bound_is_used(bursts: &[Burst], from: u64, least: f64) {
    let play = Play::new(bursts, &[], (0, 5)).run();
    let share = play.share(UP_MS + from);
    assert!((least..=1.0).contains(&share), "{share:.2} of the bound");
}

pub(crate) fn any_burst() -> impl Strategy<Value = Burst> {
    let weights = [0..4u64, 0..4u64, 0..4u64, 1..4u64];
    let times = (0..30_000u64, 200..8000u64, 3..300u64);
    let burst = (times, weights, 0..=150u64);
    burst.prop_map(|((from, lasts, rate), weights, fails)| Burst {
        from,
        lasts,
        rate,
        weights,
        fails_percent: fails.min(100),
    })
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(48))]

    #[test]
    fn any_arrivals(
        bursts in vec(any_burst(), 1..7),
        restarts in vec((0..40_000u64, 0..ENTRIES), 0..12),
        rolling in (0..30_000u64, 100..3000u64, 0..12u64),
        delays in (0..=REQUEST_DELAY_MS, 0..=RETRY_DELAY_MS),
    ) {
        let (from, every, count) = rolling;
        let restarts = [restarts, series(from, every, count)].concat();
        let share = Play::new(&bursts, &restarts, delays).run().worst_share();
        prop_assert!(share <= 1.0, "{share:.2} of the bound");
    }
}
