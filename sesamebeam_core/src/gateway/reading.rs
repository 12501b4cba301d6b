//! Times that engines take to read prompts.
//!
//! An engine reads one prompt after the other, and a large model reads ten times
//! as slowly as a small one: 58,000 tokens took it 2.4 s, in which whatever was
//! sent to that engine waited. Its reports say nothing of it, as they come with
//! the first events. How long each model takes is learned from the waits for
//! these, and who has been sent a long prompt is known from the moment it is sent.

use std::{
    collections::HashMap,
    time::Duration, //
};

use super::config::ServiceId;
use crate::ids::{
    ModelId,
    MonoTime, //
};

/// Tokens from which the wait for a first event tells how fast a prompt was read:
/// below, what an engine does for any request outweighs it.
const TELLING_TOKENS: u32 = 4_000;

/// Time for a token until any was measured: what engines state for small models,
/// 100 to 160 tokens in a millisecond.
const FIRST_RATE: f64 = 10e-6;

/// Share of waits that are shorter than the expected one. Waits hold the time in
/// the queue as well, so that the shorter ones tell of reading alone.
const QUANTILE: f64 = 0.3;

/// How far one wait moves the expectation: ten in a row of one kind by half.
const STEP: f64 = 0.1;

/// Time of reading from which a prompt is one that others wait for: it takes as
/// long as reading the shared parts of a prompt anew elsewhere, and a tenth of the
/// time in which first events are on time.
pub(super) const LONG: Duration = Duration::from_millis(150);

/// Times for a token, in seconds, by service and model.
#[derive(Debug, Default)]
pub(super) struct ReadingTimes {
    rates: HashMap<(ServiceId, Option<ModelId>), f64>,
}

impl ReadingTimes {
    /// Notes how long the first event after a prompt took.
    pub(super) fn note(
        &mut self,
        service: &ServiceId,
        model: Option<&str>,
        tokens: u32,
        took: Duration,
    ) {
        if tokens < TELLING_TOKENS {
            return;
        }
        let sample = took.as_secs_f64() / f64::from(tokens);
        let key = (service.clone(), model.map(ModelId::from));
        let rate = self.rates.entry(key).or_insert(sample);
        let is_shorter = if sample < *rate { 1.0 } else { 0.0 };
        *rate *= 1.0 + STEP * (QUANTILE - is_shorter);
    }

    /// Returns how long a model is expected to read a prompt.
    pub(super) fn expect(&self, service: &ServiceId, model: Option<&str>, tokens: u32) -> Duration {
        let key = (service.clone(), model.map(ModelId::from));
        let rate = self.rates.get(&key).copied().unwrap_or(FIRST_RATE);
        Duration::from_secs_f64(rate * f64::from(tokens))
    }
}

/// Long prompts that one engine has yet to read.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Queue {
    /// Time for those that this entry has sent.
    own: Duration,
    /// When it will have read them.
    own_until: MonoTime,
    /// When it will have read those of other entries.
    told_until: MonoTime,
}

impl Queue {
    /// Notes that a prompt is sent there.
    pub(super) fn send(&mut self, now: MonoTime, reading: Duration) {
        self.own += reading;
        self.own_until = self.own_until.max(now) + reading;
    }

    /// Notes that one was read, or that its request ended before.
    pub(super) fn done(&mut self, now: MonoTime, reading: Duration) {
        self.own = self.own.saturating_sub(reading);
        self.own_until = now + self.own;
    }

    /// Notes what other entries have sent there.
    pub(super) fn told(&mut self, now: MonoTime, left: Duration) {
        self.told_until = self.told_until.max(now + left);
    }

    /// Returns how long the engine reads what this entry has sent.
    pub(super) fn own_left(&self, now: MonoTime) -> Duration {
        self.own_until.saturating_sub(now)
    }

    /// Returns how long it reads what any entry has sent.
    pub(super) fn left(&self, now: MonoTime) -> Duration {
        self.own_until.max(self.told_until).saturating_sub(now)
    }
}
