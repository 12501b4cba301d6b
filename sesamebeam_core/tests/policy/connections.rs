//! Connections that wait to be served by a process of some speed.

use std::time::Duration;

use sesamebeam_core::{
    ids::MonoTime,
    policy::{
        connections::{
            ConnectionQueue,
            Patience, //
        },
        link_load::LinkLoad,
    },
};
use yare::parameterized;

const MS: Duration = Duration::from_millis(1);

/// Time that callers wait for their requests to be read.
const MAX_WAIT: Duration = Duration::from_millis(200);

/// A process that serves one connection after the other.
struct Process {
    queue: ConnectionQueue<MonoTime>,
    link: LinkLoad,
    now: MonoTime,
    /// Connections that came, and those that were refused.
    came: u32,
    refused: u32,
    served: u32,
    /// Longest time that one that was served had waited.
    longest_wait: Duration,
}

impl Process {
    fn new() -> Self {
        let mut queue = ConnectionQueue::default();
        queue.set_max_wait(MAX_WAIT);
        Self {
            queue,
            link: LinkLoad::default(),
            now: 10 * MAX_WAIT,
            came: 0,
            refused: 0,
            served: 0,
            longest_wait: Duration::ZERO,
        }
    }

    /// Has connections come at a rate, each of which takes a time to serve. Returns the
    /// share of the time in which connections were served.
    fn run(&mut self, time: Duration, rate: f64, cost: Duration) -> f64 {
        let pause = Duration::from_secs_f64(1.0 / rate);
        let (began, served) = (self.now, self.served);
        let mut next = self.now;
        while self.now < began + time {
            while next <= self.now {
                self.come(next);
                next += pause;
            }
            match self.queue.pop(self.now) {
                Some((_, came)) => {
                    self.longest_wait = self.longest_wait.max(self.now - came);
                    self.served += 1;
                    self.now += cost;
                }
                None => {
                    self.queue.record_idle();
                    self.now = next;
                }
            }
        }
        f64::from(self.served - served) * cost.as_secs_f64() / time.as_secs_f64()
    }

    fn come(&mut self, at: MonoTime) {
        self.came += 1;
        match self.queue.is_full(self.now, &mut self.link) {
            true => self.refused += 1,
            false => self.queue.push(self.now, at, at),
        }
    }
}

// An overloaded entry served a fraction of what it could.
#[parameterized(
    twice = { 2.0, MS },
    tenfold = { 10.0, MS },
    slow = { 10.0, 20 * MS },
    fast = { 10.0, MS / 10 },
    slightly = { 1.1, MS },
)]
fn uses_capacity(load: f64, cost: Duration) {
    let mut process = Process::new();
    process.run(5 * MAX_WAIT, load / cost.as_secs_f64(), cost);
    process.longest_wait = Duration::ZERO;
    let used = process.run(Duration::from_secs(5), load / cost.as_secs_f64(), cost);
    assert!(used > 0.98, "{used}");
    // A queue that always stands is short.
    let longest = MAX_WAIT / 4 + 3 * cost;
    assert!(
        process.longest_wait <= longest,
        "{:?}",
        process.longest_wait
    );
}

// Connections were refused although there was room.
#[parameterized(half = { 0.5 }, most = { 0.9 })]
fn nobody_refused(load: f64) {
    let mut process = Process::new();
    process.run(Duration::from_secs(20), load * 1000.0, MS);
    assert_eq!((process.refused, process.queue.expired()), (0, 0));
}

// A burst was refused at a process that had just been idle, or overloaded.
#[test]
fn burst_after_overload() {
    let mut process = Process::new();
    process.run(Duration::from_secs(5), 10_000.0, MS);
    process.run(Duration::from_secs(2), 100.0, MS);
    let refused = process.refused;
    for _ in 0..150 {
        process.come(process.now);
    }
    process.run(Duration::from_secs(1), 10.0, MS);
    assert_eq!(process.refused, refused);
}

// Turns of an idle process that took long for another reason counted as its pace.
#[test]
fn burst_after_stalls() {
    let mut process = Process::new();
    for _ in 0..20 {
        process.come(process.now);
        assert!(process.queue.pop(process.now).is_some());
        process.now += MAX_WAIT / 4;
        process.come(process.now);
        assert!(process.queue.pop(process.now).is_some());
        process.now += MS;
        process.queue.record_idle();
    }
    for _ in 0..30 {
        process.come(process.now);
    }
    assert_eq!(process.refused, 0);
}

// A process that became slow served callers who had left.
#[test]
fn becomes_slow() {
    let mut process = Process::new();
    process.run(Duration::from_secs(5), 5000.0, MS);
    process.run(Duration::from_secs(1), 5000.0, 5 * MS);
    process.longest_wait = Duration::ZERO;
    let used = process.run(Duration::from_secs(5), 5000.0, 5 * MS);
    assert!(used > 0.98, "{used}");
    assert!(
        process.longest_wait <= MAX_WAIT / 3,
        "{:?}",
        process.longest_wait
    );
}

// Callers who had waited for too long were served before those who could be helped.
#[test]
fn waited_too_long() {
    let mut process = Process::new();
    process.come(process.now);
    process.now += MAX_WAIT / 2;
    process.come(process.now);
    process.now += MAX_WAIT * 2 / 3;
    assert!(process.queue.pop(process.now).is_some());
    assert_eq!(process.queue.expired(), 1);
    assert!(process.queue.is_empty());
}

#[test]
fn shortest_deadlines() {
    let mut patience = Patience::default();
    assert_eq!(patience.max_wait(), Duration::from_secs(1));
    for n in 0..1000 {
        let deadline = if n % 10 < 7 { 20_000 } else { 600 };
        patience.record_deadline(deadline * MS);
    }
    let max_wait = patience.max_wait();
    assert!(max_wait > 150 * MS && max_wait < 250 * MS, "{max_wait:?}");
}

// One caller with hardly any time had all others refused.
#[test]
fn rare_deadline() {
    let mut patience = Patience::default();
    for n in 0..1000 {
        let deadline = if n % 50 > 0 { 600 } else { 1 };
        patience.record_deadline(deadline * MS);
    }
    assert!(patience.max_wait() > 150 * MS, "{:?}", patience.max_wait());
}
