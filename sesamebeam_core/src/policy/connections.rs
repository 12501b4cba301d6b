//! Connections that were accepted and whose requests have not been read.
//!
//! A process that begins whatever arrives shares its processor time among all requests, so
//! that under overload all of them miss their deadlines. Here a connection waits its turn
//! before anything is read from it, and more are accepted only while they will be served in
//! time. A caller whose connection is refused or closed unread can go elsewhere at once,
//! whatever its request is.
//!
//! How many will be served in time follows from the pace at which connections were taken to
//! be served, while there was always one that waited. Processor time per request, the share
//! of a core and any other limit of the instance are part of that pace.

use std::{
    collections::VecDeque,
    time::Duration, //
};

use super::link_load::LinkLoad;
use crate::ids::MonoTime;

/// Most connections that wait, as long as the pace is not known.
const MAX_WAITING: usize = 1024;

/// Time that a queue may wait for without ever being empty before it counts as standing, in
/// which case it only adds latency: a share of the longest wait.
const STANDING_QUEUE_SHARE: u32 = 4;

/// Fewest connections that may wait: with none, the next one could not be taken at once.
const MIN_WAITING: usize = 2;

/// Longest wait that callers put up with: they abandon a connection whose request has not
/// been read after a third of their time, or a second.
const PATIENCE_SHARE: u32 = 3;
const MAX_PATIENCE: Duration = Duration::from_secs(1);

/// Share of requests whose deadlines may be too short for the wait.
const SHORT_DEADLINE_SHARE: f64 = 0.1;

/// Step of the estimate of these deadlines.
const DEADLINE_STEP: f64 = 0.05;

/// Time that callers leave for their requests to be read, learned from their deadlines.
#[derive(Clone, Copy, Debug)]
pub struct Patience {
    /// Estimate of a low quantile of deadlines, in seconds.
    deadline: f64,
}

impl Default for Patience {
    fn default() -> Self {
        let longest = MAX_PATIENCE * PATIENCE_SHARE;
        Self {
            deadline: longest.as_secs_f64(),
        }
    }
}

impl Patience {
    /// Records the time that a caller leaves for its request.
    pub fn record_deadline(&mut self, deadline: Duration) {
        let step = if deadline.as_secs_f64() < self.deadline {
            -(1.0 - SHORT_DEADLINE_SHARE)
        } else {
            SHORT_DEADLINE_SHARE
        };
        let longest = (MAX_PATIENCE * PATIENCE_SHARE).as_secs_f64();
        self.deadline = (self.deadline * (DEADLINE_STEP * step).exp()).min(longest);
    }

    /// Returns how long a connection may wait until its request is read.
    pub fn max_wait(&self) -> Duration {
        Duration::from_secs_f64(self.deadline) / PATIENCE_SHARE
    }
}

/// Pace at which waiting connections are taken, averaged over a time.
#[derive(Clone, Copy, Debug, Default)]
struct Pace {
    /// Connections taken, decayed.
    taken: f64,
    /// Time in which they were taken, decayed, in seconds.
    time: f64,
}

impl Pace {
    fn decay(&mut self, elapsed: Duration, window: Duration) {
        let factor = (-elapsed.as_secs_f64() / window.as_secs_f64()).exp();
        self.taken *= factor;
        self.time *= factor;
    }

    /// Returns the number that is taken within a time, if the pace was observed long enough.
    fn taken_within(&self, time: Duration, min_observed: Duration) -> Option<usize> {
        let is_known = self.time >= min_observed.as_secs_f64();
        is_known.then(|| (self.taken / self.time * time.as_secs_f64()) as usize)
    }
}

/// Queue of connections that wait to be served, in order.
#[derive(Debug)]
pub struct ConnectionQueue<T> {
    /// When each came at the earliest, and the connection.
    waiting: VecDeque<(MonoTime, T)>,
    /// Longest time that a connection may wait.
    max_wait: Duration,
    /// Since when connections have been waiting without a break.
    busy_since: Option<MonoTime>,
    /// When the last connection was taken.
    taken_at: MonoTime,
    /// Whether another one was waiting then, without which the time until the next one is
    /// taken says nothing about the pace.
    left_waiting: bool,
    pace: Pace,
    /// Whether the queue is full, until half of it has been served.
    is_full: bool,
    /// Connections dropped because they had waited for too long.
    expired: u64,
}

impl<T> Default for ConnectionQueue<T> {
    fn default() -> Self {
        Self {
            waiting: VecDeque::new(),
            max_wait: Patience::default().max_wait(),
            busy_since: None,
            taken_at: MonoTime::ZERO,
            left_waiting: false,
            pace: Pace::default(),
            is_full: false,
            expired: 0,
        }
    }
}

impl<T> ConnectionQueue<T> {
    /// Sets the longest time that a connection may wait.
    pub fn set_max_wait(&mut self, max_wait: Duration) {
        self.max_wait = max_wait;
    }

    /// Adds a connection that came at `came` at the earliest.
    pub fn push(&mut self, now: MonoTime, came: MonoTime, connection: T) {
        self.busy_since.get_or_insert(now);
        self.waiting.push_back((came, connection));
    }

    /// Takes the next connection to be served, and when it came. Drops those that waited for
    /// too long, whose callers have gone or will be answered too late.
    pub fn pop(&mut self, now: MonoTime) -> Option<(MonoTime, T)> {
        let latest = now.checked_sub(self.max_wait);
        while latest.is_some_and(|latest| self.waiting.front().is_some_and(|w| w.0 < latest)) {
            self.waiting.pop_front();
            self.expired += 1;
        }
        let taken = self.waiting.pop_front();
        if taken.is_some() {
            let elapsed = now.saturating_sub(self.taken_at);
            self.taken_at = now;
            self.pace.decay(elapsed, self.window());
            if self.left_waiting {
                self.pace.taken += 1.0;
                self.pace.time += elapsed.as_secs_f64();
            }
            self.left_waiting = !self.waiting.is_empty();
        }
        taken
    }

    /// Records that nobody waits, here or at the listener.
    pub fn record_idle(&mut self) {
        self.busy_since = None;
        self.is_full = false;
    }

    /// Returns whether no further connection would be served in time, or the link bears none.
    /// Once that is so, half of what is bounded is done first.
    pub fn is_full(&mut self, now: MonoTime, link: &mut LinkLoad) -> bool {
        let len = self.waiting.len();
        let filled = len as f64 / self.limit(now) as f64;
        let filled = filled.max(link.filled(now, len));
        self.is_full = filled >= 1.0 || self.is_full && filled > 0.5;
        self.is_full
    }

    /// Returns whether connections have been waiting for so long that callers are better off
    /// elsewhere.
    pub fn is_standing(&self, now: MonoTime) -> bool {
        self.busy_since
            .is_some_and(|since| now.saturating_sub(since) > self.max_wait)
    }

    /// Returns the number of connections that wait.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Returns whether no connection waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Returns the number of connections dropped because they had waited for too long.
    pub fn expired(&self) -> u64 {
        self.expired
    }

    /// Returns how many may wait.
    fn limit(&self, now: MonoTime) -> usize {
        let wait = match self.is_standing(now) {
            true => self.max_wait / STANDING_QUEUE_SHARE,
            false => self.max_wait,
        };
        let most = self.pace.taken_within(wait, self.max_wait / 2);
        most.map_or(MAX_WAITING, |most| most.clamp(MIN_WAITING, MAX_WAITING))
    }

    /// Returns the time over which the pace is averaged.
    fn window(&self) -> Duration {
        self.max_wait * 2
    }
}
