//! Retries that backend servers read long after they were sent.

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

const SERVICE: &str = "pool";
const RATIO: f64 = 0.9;
const SLACK: f64 = 58.0;
const WINDOW_MS: u64 = 10_000;

/// Entries, and time between two requests at each, in milliseconds.
const ENTRIES: usize = 3;
const REQUEST_EVERY_MS: u64 = 40;

/// Sends of a request, time after which one without an answer is given up, and length of a
/// play, in milliseconds.
const MAX_SENDS: u32 = 3;
const GIVEN_UP_MS: u64 = 400;
const LENGTH_MS: u64 = 60_000;

/// What is due at an entry.
#[derive(Clone, Copy, Debug)]
enum Event {
    /// A request arrives.
    Arrives,
    /// A send is read, or closed by its backend server.
    Read { request: usize, send: u32 },
    /// A send is given up if it was not read.
    GivenUp { request: usize, send: u32 },
}

/// A request at an entry.
#[derive(Default)]
struct Request {
    sends: RequestSends,
    made: u32,
    reads: u32,
    /// Whether a send was answered with success.
    is_over: bool,
}

/// Entries, with times at which requests were sent and retries were read.
struct Play {
    silences: Vec<Range<u64>>,
    fails_percent: usize,
    budgets: Vec<RetryBudget>,
    requests: Vec<(usize, Request)>,
    due: BTreeMap<(u64, usize), (usize, Event)>,
    sent: Vec<u64>,
    retries: Vec<u64>,
}

impl Play {
    fn new(silences: Vec<Range<u64>>, fails_percent: usize) -> Self {
        let cfg = RetryBudgetConfig {
            ratio: RATIO,
            slack: SLACK,
            window: ms(WINDOW_MS),
        };
        let mut budget = RetryBudget::new(cfg);
        budget.set_entries(ms(0), ENTRIES as u32);
        Self {
            silences,
            fails_percent,
            budgets: vec![budget; ENTRIES],
            requests: Vec::new(),
            due: BTreeMap::new(),
            sent: Vec::new(),
            retries: Vec::new(),
        }
    }

    /// Returns when what is sent at a time is read: once no silence holds it up.
    fn read_at(&self, at: u64) -> u64 {
        let held_up = |at, silence: &Range<u64>| match silence.contains(&at) {
            true => silence.end,
            false => at,
        };
        self.silences.iter().fold(at, held_up)
    }

    fn run(mut self) -> Self {
        let mut count = 0;
        for at in (0..LENGTH_MS).step_by(REQUEST_EVERY_MS as usize) {
            for entry in 0..ENTRIES {
                self.due.insert((at, count), (entry, Event::Arrives));
                count += 1;
            }
        }
        let mut order = count;
        while let Some(((now, _), (entry, event))) = self.due.pop_first() {
            for (at, event) in self.handle(now, entry, event) {
                self.due.insert((at, order), (entry, event));
                order += 1;
            }
        }
        self
    }

    fn handle(&mut self, now: u64, entry: usize, event: Event) -> Vec<(u64, Event)> {
        match event {
            Event::Arrives => {
                self.sent.push(now);
                self.budgets[entry].record_request(ms(now), &SERVICE.into());
                self.requests.push((entry, Request::default()));
                self.send(now, self.requests.len() - 1)
            }
            Event::Read { request, send } => {
                let (_, req) = &mut self.requests[request];
                req.reads += 1;
                if req.reads > 1 {
                    self.retries.push(now);
                }
                if req.sends.settle() {
                    self.budgets[entry].settle_retry(ms(now), &SERVICE.into());
                }
                let is_current = send == req.made && !req.is_over;
                let is_failed = (request * 61 + send as usize * 37) % 100 < self.fails_percent;
                req.is_over |= is_current && !is_failed;
                match is_current && is_failed {
                    true => self.send(now, request),
                    false => Vec::new(),
                }
            }
            Event::GivenUp { request, send } => {
                let (_, req) = &self.requests[request];
                match send == req.made && !req.is_over {
                    true => self.send(now, request),
                    false => Vec::new(),
                }
            }
        }
    }

    /// Sends a request again, if its number of sends and the budget allow that.
    fn send(&mut self, now: u64, request: usize) -> Vec<(u64, Event)> {
        let read_at = self.read_at(now);
        let (entry, req) = &mut self.requests[request];
        if req.made == MAX_SENDS {
            return Vec::new();
        }
        if !req.sends.is_paid() {
            if !self.budgets[*entry].try_retry(ms(now), &SERVICE.into()) {
                req.is_over = true;
                return Vec::new();
            }
            req.sends.record_charge();
        }
        req.sends.begin();
        req.made += 1;
        let send = req.made;
        let mut events = vec![(read_at, Event::Read { request, send })];
        if read_at > now + GIVEN_UP_MS {
            events.push((now + GIVEN_UP_MS, Event::GivenUp { request, send }));
        }
        events
    }

    /// Returns the retries that may be read in a window.
    fn bound(&self, from: u64) -> f64 {
        let most = [0, WINDOW_MS / 2, WINDOW_MS].map(|back| {
            let window = from.saturating_sub(back)..(from + WINDOW_MS).saturating_sub(back);
            count(&self.sent, window)
        });
        RATIO * most.into_iter().max().unwrap_or(0) as f64 + SLACK
    }

    /// Returns the largest share of the bound that is used in any window.
    fn worst_share(&self) -> f64 {
        let windows = (0..LENGTH_MS).step_by(100);
        let share = |from| count(&self.retries, from..from + WINDOW_MS) as f64 / self.bound(from);
        windows.map(share).fold(0.0, f64::max)
    }
}

fn count(times: &[u64], window: Range<u64>) -> usize {
    times.iter().filter(|at| window.contains(at)).count()
}

/// Guards against retries that are forgotten a window after they were sent, and spent anew while
/// the first ones are still read.
#[parameterized(
    one_silence = { &[(30_000, 2_500)], 100 },
    longer_than_the_window = { &[(30_000, 14_000)], 100 },
    two_silences = { &[(25_000, 4_000), (34_900, 4_000)], 20 },
)]
fn read_late(silences: &[(u64, u64)], fails_percent: usize) {
    let silences = silences.iter().map(|&(at, lasts)| at..at + lasts).collect();
    let share = Play::new(silences, fails_percent).run().worst_share();
    assert!(share <= 1.0, "{share:.2} of the bound");
}

#[test]
fn all_used() {
    // Guards against a budget that allows much less than the bound where nothing is read late.
    let play = Play::new(Vec::new(), 100).run();
    let share = play.worst_share();
    assert!((0.8..=1.0).contains(&share), "{share:.2} of the bound");
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(48))]

    #[test]
    fn any_silences(
        silences in vec((0..LENGTH_MS, 50..12_000u64), 0..6),
        fails_percent in 0..=100usize,
    ) {
        let silences = silences.into_iter().map(|(at, lasts)| at..at + lasts).collect();
        let share = Play::new(silences, fails_percent).run().worst_share();
        prop_assert!(share <= 1.0, "{share:.2} of the bound");
    }
}
