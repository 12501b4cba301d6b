//! Retries of a service as its backend servers read them, against the bound on them.

use std::{
    collections::BTreeMap,
    ops::Range, //
};

/// Bound on retries for each request, and in which time.
const RATIO: f64 = 0.9;
const WINDOW_MS: u64 = 10_000;

/// Retries of all entries of a run together beyond a share of the requests.
pub const RETRY_SLACK: f64 = 60.0;

/// Step at which windows are tried, in milliseconds.
const STEP_MS: usize = 50;

/// Requests that callers sent and backend servers read, by times in milliseconds.
#[derive(Debug)]
pub struct RetryCounts {
    /// Retries of all entries together beyond a share of the requests.
    slack: f64,
    /// In order, as the retries below.
    sent: Vec<u64>,
    /// Times that each request was read.
    reads: BTreeMap<String, u32>,
    /// When any was read again.
    retries: Vec<u64>,
}

/// Retries in one window.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WindowCount {
    /// Where the window begins.
    pub from_ms: u64,
    /// Retries that were read in it.
    pub retries: usize,
    /// Retries that are allowed in it.
    pub allowed: f64,
}

impl WindowCount {
    /// Returns the share of the bound that is used.
    pub fn share(&self) -> f64 {
        self.retries as f64 / self.allowed
    }
}

impl RetryCounts {
    /// Creates counts of nothing.
    pub fn new(slack: f64) -> Self {
        Self {
            slack,
            sent: Vec::new(),
            reads: BTreeMap::new(),
            retries: Vec::new(),
        }
    }

    /// Records that a caller sends a request.
    pub fn record_sent(&mut self, now_ms: u64) {
        insert_in_order(&mut self.sent, now_ms);
    }

    /// Records that a backend server has read a request. Returns how many were read so far.
    pub fn record_read(&mut self, now_ms: u64, id: &str) -> u64 {
        let reads = self.reads.entry(id.to_owned()).or_default();
        *reads += 1;
        if *reads > 1 {
            insert_in_order(&mut self.retries, now_ms);
        }
        (self.reads.len() + self.retries.len()) as u64
    }

    /// Returns how often the request that was read most often was read.
    pub fn most_reads(&self) -> u32 {
        self.reads.values().copied().max().unwrap_or(0)
    }

    /// Returns the counts of a window.
    pub fn window(&self, from_ms: u64) -> WindowCount {
        // The requests in it count, those in the one before it, or those in the one half a
        // window before it, whichever are most.
        let requests = [0, WINDOW_MS / 2, WINDOW_MS].map(|back| {
            let end = (from_ms + WINDOW_MS).saturating_sub(back);
            count_in(&self.sent, &(from_ms.saturating_sub(back)..end))
        });
        let most = requests.into_iter().max().unwrap_or(0);
        WindowCount {
            from_ms,
            retries: count_in(&self.retries, &(from_ms..from_ms + WINDOW_MS)),
            allowed: RATIO * most as f64 + self.slack,
        }
    }

    /// Returns a line if more retries were read in a window than the requests to a service allow.
    pub fn broken(&self, service: &str) -> Option<String> {
        let worst = self.worst()?;
        (worst.share() > 1.0).then(|| {
            format!(
                "{} retries at {service} were read in 10 s from {} ms on, {:.0} are allowed",
                worst.retries, worst.from_ms, worst.allowed
            )
        })
    }

    /// Returns the window in which most of the bound is used.
    pub fn worst(&self) -> Option<WindowCount> {
        let end = self.retries.last()?;
        let windows = (0..=*end).step_by(STEP_MS).map(|from| self.window(from));
        windows.max_by(|a, b| a.share().total_cmp(&b.share()))
    }
}

fn insert_in_order(times: &mut Vec<u64>, at: u64) {
    let place = times.partition_point(|time| *time <= at);
    times.insert(place, at);
}

fn count_in(times: &[u64], window: &Range<u64>) -> usize {
    let [start, end] = [window.start, window.end].map(|at| times.partition_point(|t| *t < at));
    end.saturating_sub(start)
}
