//! Connections to an instance whose link is narrow.

use std::{
    collections::VecDeque,
    time::Duration, //
};

use sesamebeam_core::{
    ids::MonoTime,
    policy::{
        link_load::LinkLoad,
        reads::ReadId, //
    },
};
use yare::parameterized;

const MS: Duration = Duration::from_millis(1);

/// Time that callers wait for their requests to be read.
const MAX_WAIT: Duration = Duration::from_secs(1);

/// Requests that the link bears a second, each way.
const CAPACITY: f64 = 200.0;

/// Time that backend servers need for a request.
const ANSWER_TIME: Duration = Duration::from_millis(20);

/// An instance behind a link that passes one request after the other.
struct Instance {
    link: LinkLoad,
    now: MonoTime,
    /// When the last request that is on its way to or from the instance will have passed.
    inbound_until: MonoTime,
    outbound_until: MonoTime,
    /// Probes that are on their way: when they are answered, and when they began.
    probes: VecDeque<(MonoTime, MonoTime)>,
    /// Requests that are being read: when they are whole, the first ones of their connections,
    /// and when they were taken.
    reading: VecDeque<(MonoTime, Option<ReadId>, MonoTime)>,
    /// Requests at backend servers: when they are answered, and when they were sent.
    answers: VecDeque<(MonoTime, MonoTime)>,
    /// Time that control replicas need for a probe.
    replica_time: Duration,
    /// Times of the links that each request takes on its way out.
    outbound_share: f64,
    is_full: bool,
    accepted: u32,
    refused: u32,
    /// Further requests on open connections: how many come a second, and how many were refused
    /// and taken on.
    further_per_s: f64,
    further_refused: u32,
    further_taken: u32,
    longest_read: Duration,
    longest_queue: Duration,
}

impl Instance {
    fn new(outbound_share: f64) -> Self {
        let mut link = LinkLoad::default();
        link.set_max_wait(MAX_WAIT);
        Self {
            link,
            now: 10 * MAX_WAIT,
            inbound_until: MonoTime::ZERO,
            outbound_until: MonoTime::ZERO,
            probes: VecDeque::new(),
            reading: VecDeque::new(),
            answers: VecDeque::new(),
            replica_time: MS,
            outbound_share,
            is_full: false,
            accepted: 0,
            refused: 0,
            further_per_s: 0.0,
            further_refused: 0,
            further_taken: 0,
            longest_read: Duration::ZERO,
            longest_queue: Duration::ZERO,
        }
    }

    /// Has connections come at a rate, whose callers send their requests late by a time.
    fn run(&mut self, time: Duration, rate: f64, late: impl Fn(u32) -> Duration) {
        let until = self.now + time;
        let (mut due, mut further_due) = (0.0, 0.0);
        let mut came = 0;
        while self.now < until {
            self.now += MS;
            due += rate / 1000.0;
            further_due += self.further_per_s / 1000.0;
            self.read();
            self.answer();
            self.probe();
            while due >= 1.0 {
                due -= 1.0;
                came += 1;
                self.come(late(came));
            }
            while further_due >= 1.0 {
                further_due -= 1.0;
                self.come_further();
            }
            self.longest_queue = self.longest_queue.max(self.queue(self.outbound_until));
        }
    }

    fn probe(&mut self) {
        if self.link.take_probe(self.now) {
            let delay = self.queue(self.inbound_until) + self.queue(self.outbound_until);
            self.probes
                .push_back((self.now + delay + self.replica_time, self.now));
        }
        while let Some((answered_at, began)) = self.probes.front().copied()
            && answered_at <= self.now
        {
            self.probes.pop_front();
            self.link.record_round_trip(self.now, began);
        }
    }

    fn answer(&mut self) {
        while let Some((answered_at, sent_at)) = self.answers.front().copied()
            && answered_at <= self.now
        {
            self.answers.pop_front();
            self.link.record_answered(self.now, sent_at);
        }
    }

    fn queue(&self, until: MonoTime) -> Duration {
        until.saturating_sub(self.now)
    }

    fn come(&mut self, late: Duration) {
        let filled = self.link.filled(self.now, 0);
        self.is_full = filled >= 1.0 || self.is_full && filled > 0.5;
        if self.is_full {
            self.refused += 1;
            return;
        }
        self.accepted += 1;
        self.link.record_accepted(self.now);
        let takes = Duration::from_secs_f64(1.0 / CAPACITY);
        self.inbound_until = self.inbound_until.max(self.now) + takes;
        let id = self.link.reads.begin(self.now);
        let whole_at = self.inbound_until + late;
        let place = self.reading.partition_point(|r| r.0 <= whole_at);
        self.reading.insert(place, (whole_at, Some(id), self.now));
    }

    /// Has a further request come on an open connection.
    fn come_further(&mut self) {
        let takes = Duration::from_secs_f64(1.0 / CAPACITY);
        self.inbound_until = self.inbound_until.max(self.now) + takes;
        let place = self.reading.partition_point(|r| r.0 <= self.inbound_until);
        let read = (self.inbound_until, None, self.now);
        self.reading.insert(place, read);
    }

    fn read(&mut self) {
        while let Some((whole_at, id, taken_at)) = self.reading.front().copied()
            && whole_at <= self.now
        {
            self.reading.pop_front();
            let took = self.now - taken_at;
            if let Some(id) = id {
                self.longest_read = self.longest_read.max(took);
                self.link.reads.record_whole(self.now, id, took);
            } else if self.link.take_further(self.now) {
                self.further_taken += 1;
            } else {
                self.further_refused += 1;
                continue;
            }
            let takes = Duration::from_secs_f64(self.outbound_share / CAPACITY);
            self.outbound_until = self.outbound_until.max(self.now) + takes;
            let back = self.queue(self.inbound_until);
            self.answers
                .push_back((self.outbound_until + back + ANSWER_TIME, self.now));
        }
    }
}

fn at_once(_: u32) -> Duration {
    Duration::ZERO
}

// A full link took all connections, so that all requests were late together.
#[parameterized(
    inbound_twice = { 2.0, 0.5 },
    inbound_tenfold = { 10.0, 0.5 },
    outbound_twice = { 2.0, 1.5 },
    outbound_tenfold = { 10.0, 1.5 },
)]
fn full_link(load: f64, outbound_share: f64) {
    let mut instance = Instance::new(outbound_share);
    instance.run(Duration::from_secs(4), load * CAPACITY, at_once);
    (instance.longest_read, instance.longest_queue) = (Duration::ZERO, Duration::ZERO);
    let accepted = instance.accepted;
    instance.run(Duration::from_secs(10), load * CAPACITY, at_once);
    let used = f64::from(instance.accepted - accepted) / 10.0 / CAPACITY;
    let longest = instance.longest_read;
    assert!(longest < MAX_WAIT / 2, "{longest:?}");
    let longest = instance.longest_queue;
    assert!(longest < MAX_WAIT, "{longest:?}");
    assert!(used * outbound_share.max(1.0) > 0.6, "{used}");
}

// Connections were refused although the link had room.
#[parameterized(
    half = { 0.5, at_once },
    most = { 0.9, at_once },
    one_slow_caller = { 0.5, |n| if n % 100 == 0 { 5000 * MS } else { Duration::ZERO } },
    slow_callers = { 0.5, |n| 300 * MS + (n * 37 % 400) * MS },
    few_slow_callers = { 0.01, |n| 2000 * MS + (n * 37 % 400) * MS },
)]
fn nobody_refused(load: f64, late: fn(u32) -> Duration) {
    let mut instance = Instance::new(0.5);
    instance.run(Duration::from_secs(60), load * CAPACITY, late);
    assert_eq!(instance.refused, 0);
}

// Callers were turned away as control replicas were slow, which looked like a full link.
#[parameterized(half = { 0.5 }, most = { 0.9 })]
fn slow_replicas(load: f64) {
    let mut instance = Instance::new(0.5);
    instance.run(Duration::from_secs(5), load * CAPACITY, at_once);
    instance.replica_time = 300 * MS;
    instance.run(Duration::from_secs(20), load * CAPACITY, at_once);
    assert_eq!(instance.refused, 0);
}

// Requests on open connections filled the link by themselves, and all of them were late.
#[parameterized(some_more = { 1.4 }, twice = { 2.0 })]
fn further_requests(load: f64) {
    let outbound_share = 3.0;
    let mut instance = Instance::new(outbound_share);
    instance.run(Duration::from_secs(3), 0.1 * CAPACITY, at_once);
    instance.further_per_s = load * CAPACITY / outbound_share;
    instance.run(Duration::from_secs(5), 0.1 * CAPACITY, at_once);
    instance.longest_queue = Duration::ZERO;
    let taken = instance.further_taken;
    instance.run(Duration::from_secs(20), 0.1 * CAPACITY, at_once);
    let used = f64::from(instance.further_taken - taken) * outbound_share / 20.0 / CAPACITY;
    let longest = instance.longest_queue;
    assert!(longest < MAX_WAIT, "{longest:?}");
    assert!(used > 0.5, "{used}");
}

// Requests on open connections were refused for a link that new connections had filled.
#[parameterized(
    inbound_twice = { 2.0, 0.5 },
    inbound_tenfold = { 10.0, 0.5 },
    outbound_twice = { 2.0, 1.5 },
    outbound_tenfold = { 10.0, 1.5 },
)]
fn open_connections_spared(load: f64, outbound_share: f64) {
    let mut instance = Instance::new(outbound_share);
    instance.further_per_s = 0.2 * CAPACITY;
    instance.run(Duration::from_secs(20), load * CAPACITY, at_once);
    assert_eq!(instance.further_refused, 0);
    assert!(instance.further_taken > 0);
}

// Callers were turned away after a full link had become free.
#[parameterized(inbound = { 0.5 }, outbound = { 1.5 })]
fn after_overload(outbound_share: f64) {
    let mut instance = Instance::new(outbound_share);
    instance.run(Duration::from_secs(5), 10.0 * CAPACITY, at_once);
    instance.run(Duration::from_secs(2), 0.3 * CAPACITY, at_once);
    let refused = instance.refused;
    instance.run(Duration::from_secs(10), 0.5 * CAPACITY, at_once);
    assert_eq!(instance.refused, refused);
}

// A burst was refused although the link had been free before.
#[test]
fn burst() {
    let mut instance = Instance::new(0.5);
    instance.run(Duration::from_secs(5), 0.3 * CAPACITY, at_once);
    for _ in 0..100 {
        instance.come(Duration::ZERO);
    }
    instance.run(Duration::from_secs(5), 0.3 * CAPACITY, at_once);
    assert_eq!(instance.refused, 0);
}

// An entry declined requests of others for good, as nobody came after its link had been full.
#[test]
fn nobody_comes_any_more() {
    let mut instance = Instance::new(0.5);
    instance.run(Duration::from_secs(3), 5.0 * CAPACITY, at_once);
    assert!(instance.link.is_full(instance.now));
    instance.run(Duration::from_secs(20), 0.0, at_once);
    assert!(!instance.link.is_full(instance.now));
}

// Backend servers were taken for unreachable while a delay rose faster than it was measured.
#[test]
fn unanswered_probe() {
    let mut link = LinkLoad::default();
    let began = 10 * MAX_WAIT;
    for _ in 0..20 {
        link.record_accepted(began);
    }
    assert!(link.take_probe(began));
    link.record_round_trip(began + MS, began);
    let began = began + MAX_WAIT / 8;
    for _ in 0..20 {
        link.record_accepted(began);
    }
    assert!(link.take_probe(began));
    let later = began + MAX_WAIT / 2;
    assert_eq!(link.delay(later), MAX_WAIT / 2);
    link.record_round_trip(later, began);
    assert_eq!(link.delay(later), Duration::ZERO);
}

// Callers were accepted while the way out became full, until the first late round trip had ended.
#[test]
fn full_before_measured() {
    let mut instance = Instance::new(1.5);
    instance.run(Duration::from_secs(3), 0.1 * CAPACITY, at_once);
    instance.run(Duration::from_secs(3), 2.5 * CAPACITY, at_once);
    let longest = instance.longest_queue;
    assert!(longest < MAX_WAIT, "{longest:?}");
}

// Callers were turned away as no control replica answered, although backend servers did.
#[test]
fn nobody_echoes() {
    let mut link = LinkLoad::default();
    let mut now = 10 * MAX_WAIT;
    for n in 0..1000 {
        now += 10 * MS;
        link.record_accepted(now);
        if link.take_probe(now) && n < 100 {
            link.record_round_trip(now, now);
        }
        link.record_answered(now, now - 20 * MS);
        assert!(link.filled(now, 0) < 1.0);
    }
}

// A rate stayed limited for as long as an entry was cut from all control replicas.
#[test]
fn nobody_echoes_any_more() {
    let mut instance = Instance::new(1.5);
    instance.run(Duration::from_secs(3), 5.0 * CAPACITY, at_once);
    let link = &mut instance.link;
    assert!(link.accept_limit().is_some());
    let mut now = instance.now;
    for _ in 0..300 {
        now += 10 * MS;
        link.record_answered(now, now - 20 * MS);
    }
    assert_eq!(link.accept_limit(), None);
}
