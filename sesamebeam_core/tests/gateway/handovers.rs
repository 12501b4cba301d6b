//! Retries of requests that several entries send: entries that hand them over, decline, lose
//! answers and restart, against the formula of the rule.

use std::collections::BTreeMap;

use proptest::{
    collection::vec,
    prelude::*, //
};
use sesamebeam_core::gateway::request_sends::{
    Declined,
    Handover,
    RequestSends, //
};

use crate::{
    fixtures::ms,
    retry_windows::{
        Burst,
        ENTRIES,
        Entry,
        RETRY_DELAY_MS,
        SERVICE,
        UP_MS,
        any_burst,
        draw,
        worst_share, //
    },
};

/// Largest delays of requests from callers and between entries, in milliseconds.
const REQUEST_DELAY_MS: u64 = 300;
const PEER_DELAY_MS: u64 = 60;

/// Sends of a request, and entries that it is handed to.
const MAX_SENDS: u32 = 3;
const MAX_PEERS: usize = 3;

/// Sends of one entry that reach nobody.
const MAX_UNSENT: u32 = 4;

/// Time after which a send without an answer is given up, in milliseconds.
const GIVEN_UP_MS: u64 = 400;

/// How often what happens, in percent.
#[derive(Clone, Copy, Debug)]
struct Odds {
    handed_over: u64,
    unreached: u64,
    /// A request that is handed over gets no answer, whether it is read or not.
    lost: u64,
    /// Nothing is sent to a backend server.
    unsent: u64,
    /// A backend server says that it did not run the request.
    refused: u64,
    /// A stream from another entry breaks off.
    broken: u64,
}

/// What is due, of the part that an entry has in a request.
#[derive(Clone, Copy, Debug)]
enum Event {
    Restart(usize),
    /// The entry may send the request, or hand it over.
    Turn(usize, usize),
    /// A send is read, or closed by its backend server.
    Read(usize, usize, u32),
    /// A send is given up if it was not read.
    GivenUp(usize, usize, u32),
    /// The first entry hears that the one of this part has declined.
    Declined(usize, usize, Declined),
    /// A stream from the entry of this part breaks off after a number of sends.
    Broken(usize, u32),
}

/// Part of an entry in a request.
struct Part {
    entry: usize,
    life: u32,
    read_at: u64,
    sends: RequestSends,
    handover: Option<Handover>,
    /// Sends of the request that the entry knows of.
    made: u32,
    unsent: u32,
    /// Send whose answer it waits for.
    awaited: Option<u32>,
    may_have_run: bool,
    is_over: bool,
}

struct Request {
    parts: Vec<Part>,
    fails: bool,
    sends: u32,
    reads: u32,
    /// Entries at which it counts.
    counted: u32,
}

struct Play {
    odds: Odds,
    retry_delay: u64,
    entries: Vec<Entry>,
    requests: Vec<Request>,
    due: BTreeMap<(u64, usize), Event>,
    /// Number of events so far, which orders those of one moment, and of numbers drawn.
    pushed: usize,
    drawn: u64,
    sent: Vec<u64>,
    retries: Vec<u64>,
}

impl Play {
    fn new(bursts: &[Burst], restarts: &[(u64, usize)], odds: Odds, retry_delay: u64) -> Self {
        let mut play = Self {
            odds,
            retry_delay,
            entries: (0..ENTRIES).map(|_| Entry::new(0, 0)).collect(),
            requests: Vec::new(),
            due: BTreeMap::new(),
            pushed: 0,
            drawn: 0,
            sent: Vec::new(),
            retries: Vec::new(),
        };
        for &(at, entry) in restarts {
            play.push(UP_MS + at, Event::Restart(entry));
        }
        for burst in bursts {
            for n in 0..burst.lasts * burst.rate / 1000 {
                let request = play.requests.len();
                let sent = UP_MS + burst.from + n * 1000 / burst.rate;
                let read_at = sent + play.draw(REQUEST_DELAY_MS);
                play.sent.push(sent);
                let fails = play.happens(burst.fails_percent);
                play.requests.push(Request {
                    parts: vec![Part::new(burst.entry_of(request), read_at, None)],
                    fails,
                    sends: 0,
                    reads: 0,
                    counted: 0,
                });
                play.push(read_at, Event::Turn(request, 0));
            }
        }
        play.sent.sort_unstable();
        play
    }

    fn push(&mut self, at: u64, event: Event) {
        self.due.insert((at, self.pushed), event);
        self.pushed += 1;
    }

    fn draw(&mut self, most: u64) -> u64 {
        self.drawn += 1;
        draw(self.drawn, most + 1)
    }

    fn happens(&mut self, percent: u64) -> bool {
        self.draw(99) < percent
    }

    /// Returns the largest share of the bound that is used in any window.
    fn run(mut self) -> f64 {
        while let Some(((now, _), event)) = self.due.pop_first() {
            self.handle(now, event);
        }
        self.retries.sort_unstable();
        worst_share(&self.sent, &self.retries)
    }

    fn handle(&mut self, now: u64, event: Event) {
        match event {
            Event::Restart(entry) => {
                let life = self.entries[entry].life + 1;
                self.entries[entry] = Entry::new(life, now);
            }
            Event::Turn(request, part) => self.turn(now, request, part),
            Event::Read(request, part, send) => {
                let req = &mut self.requests[request];
                req.reads += 1;
                if req.reads > 1 {
                    self.retries.push(now);
                }
                let p = &mut req.parts[part];
                let entry = &mut self.entries[p.entry];
                if entry.life != p.life {
                    return;
                }
                if p.sends.settle() {
                    let at = ms(now - entry.started);
                    entry.budget.settle_retry(at, &SERVICE.into());
                }
                if p.awaited == Some(send) {
                    p.awaited = None;
                    self.answered(now, request, part);
                }
            }
            Event::GivenUp(request, part, send) => {
                let p = &mut self.requests[request].parts[part];
                if p.awaited == Some(send) {
                    p.awaited = None;
                    p.may_have_run = true;
                    self.turn(now, request, part);
                }
            }
            Event::Declined(request, part, declined) => {
                let req = &mut self.requests[request];
                let handover = req.parts[part].handover.expect("it was handed over");
                let first = &mut req.parts[0];
                let entry = &mut self.entries[first.entry];
                if entry.life == first.life {
                    first.made = first.made.max(declined.sends);
                    if first.sends.take_back(&handover, &declined) {
                        let at = ms(first.read_at - entry.started);
                        entry.budget.record_request(at, &SERVICE.into());
                        req.counted += 1;
                    }
                    self.turn(now, request, 0);
                }
            }
            Event::Broken(request, sends) => {
                let first = &mut self.requests[request].parts[0];
                first.made = first.made.max(sends);
                self.turn(now, request, 0);
            }
        }
    }

    /// Goes on after the answer to the current send.
    fn answered(&mut self, now: u64, request: usize, part: usize) {
        let (is_refused, is_broken) = (
            self.happens(self.odds.refused),
            self.happens(self.odds.broken),
        );
        let req = &mut self.requests[request];
        let p = &mut req.parts[part];
        p.may_have_run |= !is_refused;
        p.is_over = !is_refused && !req.fails;
        let sends = p.made;
        if !p.is_over {
            self.turn(now, request, part);
        } else if part > 0 && is_broken {
            self.push(now, Event::Broken(request, sends));
        }
    }

    /// Has an entry hand the request over, send it, or end its part.
    fn turn(&mut self, now: u64, request: usize, part: usize) {
        let p = &mut self.requests[request].parts[part];
        let entry = &mut self.entries[p.entry];
        if p.is_over {
            return;
        }
        if part == 0 && p.life == u32::MAX {
            p.life = entry.life;
            // A process that starts meanwhile reads the request once it runs.
            p.read_at = p.read_at.max(entry.started);
            let at = ms(p.read_at - entry.started);
            entry.budget.record_request(at, &SERVICE.into());
            self.count(request);
        }
        let p = &self.requests[request].parts[part];
        if self.entries[p.entry].life != p.life {
            return;
        }
        if p.made < MAX_SENDS && p.unsent < MAX_UNSENT {
            let may_hand_over = part == 0 && self.requests[request].parts.len() <= MAX_PEERS;
            if may_hand_over && self.happens(self.odds.handed_over) && self.hand_over(now, request)
            {
                return;
            }
            if self.is_paid(now, request, part) {
                self.send(now, request, part);
                return;
            }
        }
        self.end(now, request, part);
    }

    fn count(&mut self, request: usize) {
        let req = &mut self.requests[request];
        req.counted += 1;
        assert!(req.counted <= 1, "a request counts at one entry");
    }

    fn is_paid(&mut self, now: u64, request: usize, part: usize) -> bool {
        self.begin_counting(request, part);
        let p = &mut self.requests[request].parts[part];
        let entry = &mut self.entries[p.entry];
        let at = ms(now - entry.started);
        if !p.sends.is_paid() && entry.budget.try_retry(at, &SERVICE.into()) {
            p.sends.record_charge();
        }
        p.sends.is_paid()
    }

    fn begin_counting(&mut self, request: usize, part: usize) {
        let p = &mut self.requests[request].parts[part];
        if p.sends.begin_counting() {
            let entry = &mut self.entries[p.entry];
            let at = ms(p.read_at - entry.started);
            entry.budget.record_request(at, &SERVICE.into());
            self.count(request);
        }
    }

    fn send(&mut self, now: u64, request: usize, part: usize) {
        let (is_unsent, delay) = (self.happens(self.odds.unsent), self.draw(self.retry_delay));
        let req = &mut self.requests[request];
        let p = &mut req.parts[part];
        p.sends.begin();
        if is_unsent {
            p.sends.withdraw();
            p.unsent += 1;
            self.push(now + 1, Event::Turn(request, part));
            return;
        }
        p.made += 1;
        req.sends += 1;
        assert!(req.sends <= MAX_SENDS, "the limit of sends holds");
        let send = p.made;
        p.awaited = Some(send);
        self.push(now + delay, Event::Read(request, part, send));
        if delay > GIVEN_UP_MS {
            self.push(now + GIVEN_UP_MS, Event::GivenUp(request, part, send));
        }
    }

    /// Returns whether the request was handed over.
    fn hand_over(&mut self, now: u64, request: usize) -> bool {
        let (service, req) = (&SERVICE.into(), &mut self.requests[request]);
        let p = &mut req.parts[0];
        let entry = &mut self.entries[p.entry];
        let at = ms(now - entry.started);
        for _ in 0..p.sends.take_unsent() {
            entry.budget.refund_retry(service);
        }
        if p.sends.has_unread_free() {
            if !entry.budget.try_retry(at, service) {
                return false;
            }
            p.sends.charge_free();
        }
        let read_at = ms(p.read_at - entry.started);
        let is_withdrawn =
            p.sends.is_counted() && entry.budget.withdraw_request(at, read_at, service);
        req.counted -= u32::from(is_withdrawn);
        let handover = p
            .sends
            .hand_over(p.made, is_withdrawn.then(|| at - read_at));
        let (first, read_at) = (p.entry, p.read_at);
        if self.happens(self.odds.unreached) {
            let part = self.requests[request].parts.len();
            let peer = Part::new(first, read_at, Some(handover));
            self.requests[request].parts.push(peer);
            let declined = Declined::unreached(&handover);
            self.push(now, Event::Declined(request, part, declined));
            return true;
        }
        let delay = self.draw(PEER_DELAY_MS);
        let other = (first + 1 + self.draw(ENTRIES as u64 - 2) as usize) % ENTRIES;
        let mut peer = Part::new(other, read_at + delay, Some(handover));
        peer.life = self.entries[other].life;
        if peer.read_at < self.entries[other].started {
            peer.sends = RequestSends::handed_over(&Handover {
                counted_age: None,
                ..handover
            });
        }
        let part = self.requests[request].parts.len();
        self.requests[request].parts.push(peer);
        self.push(now + delay, Event::Turn(request, part));
        true
    }

    /// Ends the part of an entry, which declines if nothing can have run.
    fn end(&mut self, now: u64, request: usize, part: usize) {
        let is_lost = self.happens(self.odds.lost);
        let p = &mut self.requests[request].parts[part];
        p.is_over = true;
        let entry = &mut self.entries[p.entry];
        for _ in 0..p.sends.take_unsent() {
            entry.budget.refund_retry(&SERVICE.into());
        }
        if part > 0 && !p.may_have_run && !is_lost {
            let declined = Declined {
                sends: p.made,
                is_counted: p.sends.is_counted(),
            };
            self.push(now, Event::Declined(request, part, declined));
        }
    }
}

impl Part {
    fn new(entry: usize, read_at: u64, handover: Option<Handover>) -> Self {
        let sends = handover.as_ref().map(RequestSends::handed_over);
        Self {
            entry,
            // Set as the request is read.
            life: u32::MAX,
            read_at,
            sends: sends.unwrap_or_default(),
            made: handover.map_or(0, |handover| handover.sends),
            handover,
            unsent: 0,
            awaited: None,
            may_have_run: false,
            is_over: false,
        }
    }
}

fn any_odds() -> impl Strategy<Value = Odds> {
    let odds = (
        0..=100u64,
        0..40u64,
        0..40u64,
        0..60u64,
        0..=100u64,
        0..60u64,
    );
    odds.prop_map(
        |(handed_over, unreached, lost, unsent, refused, broken)| Odds {
            handed_over,
            unreached,
            lost,
            unsent,
            refused,
            broken,
        },
    )
}

/// Guards against arrivals that are charged nowhere as entries decline what was read, one after
/// the other.
#[test]
fn declined_after_sends() {
    let odds = Odds {
        handed_over: 50,
        unreached: 0,
        lost: 0,
        unsent: 30,
        refused: 100,
        broken: 0,
    };
    let bursts = [Burst::even(0, 30_000, 40, 100)];
    let share = Play::new(&bursts, &[], odds, 5).run();
    assert!((0.75..=1.0).contains(&share), "{share:.2} of the bound");
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(48))]

    #[test]
    fn any_routes(
        bursts in vec(any_burst(), 1..6),
        restarts in vec((0..40_000u64, 0..ENTRIES), 0..12),
        odds in any_odds(),
        retry_delay in 0..=RETRY_DELAY_MS,
    ) {
        let share = Play::new(&bursts, &restarts, odds, retry_delay).run();
        prop_assert!(share <= 1.0, "{share:.2} of the bound");
    }
}
