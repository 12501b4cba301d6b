//! Prefill times of engines.
//!
//! An engine prefills one prompt at a time, and a large model needs ten times as long as
//! a small one: a prompt of 58,000 tokens took it 2.4 s, during which all other requests
//! at this engine waited. Load reports don't show this, as they arrive with the first
//! events. The prefill time of each model is therefore learned from the waits for first
//! events, and a long prompt is counted at its engine from the moment it is sent.

use std::{
    collections::HashMap,
    time::Duration, //
};

use super::config::ServiceId;
use crate::ids::{
    ModelId,
    MonoTime, //
};

/// Minimum prompt length for which the wait for a first event indicates the prefill
/// speed. For shorter prompts, the fixed cost of a request dominates.
const TELLING_TOKENS: u32 = 4_000;

/// Initial prefill time per token, in seconds. The documented speed of engines with small
/// models is 100 to 160 tokens per millisecond.
const FIRST_RATE: f64 = 10e-6;

/// Quantile of the waits that is taken as the prefill time. Waits include queueing, so
/// the shorter ones reflect the prefill alone.
const QUANTILE: f64 = 0.3;

/// Relative step by which one wait adjusts the estimate. Ten consecutive waits on one
/// side change it by half.
const STEP: f64 = 0.1;

/// Prefill time from which other requests are kept away from the engine. It is as long as
/// prefilling the shared parts of a prompt again elsewhere, and a tenth of the target
/// time of first events.
pub(super) const LONG: Duration = Duration::from_millis(150);

/// Prefill time per token in seconds, by service and model.
#[derive(Debug, Default)]
pub(super) struct ReadingTimes {
    rates: HashMap<(ServiceId, Option<ModelId>), f64>,
}

impl ReadingTimes {
    /// Records the wait for the first event after a prompt.
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

    /// Returns the expected prefill time of a prompt.
    pub(super) fn expect(&self, service: &ServiceId, model: Option<&str>, tokens: u32) -> Duration {
        let key = (service.clone(), model.map(ModelId::from));
        let rate = self.rates.get(&key).copied().unwrap_or(FIRST_RATE);
        Duration::from_secs_f64(rate * f64::from(tokens))
    }
}

/// Long prompts that an engine has yet to prefill.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Queue {
    /// Total prefill time of the prompts that this entry has sent.
    own: Duration,
    /// Time at which the engine will have prefilled them.
    own_until: MonoTime,
    /// Time at which it will have prefilled those of other entries.
    told_until: MonoTime,
}

impl Queue {
    /// Records that a prompt was sent.
    pub(super) fn send(&mut self, now: MonoTime, reading: Duration) {
        self.own += reading;
        self.own_until = self.own_until.max(now) + reading;
    }

    /// Records that a prompt was prefilled, or that its request ended before that.
    pub(super) fn done(&mut self, now: MonoTime, reading: Duration) {
        self.own = self.own.saturating_sub(reading);
        self.own_until = now + self.own;
    }

    /// Records the remaining prefill time that other entries have reported.
    pub(super) fn told(&mut self, now: MonoTime, left: Duration) {
        self.told_until = self.told_until.max(now + left);
    }

    /// Returns the remaining prefill time of the prompts that this entry has sent.
    pub(super) fn own_left(&self, now: MonoTime) -> Duration {
        self.own_until.saturating_sub(now)
    }

    /// Returns the remaining prefill time of the prompts of all entries.
    pub(super) fn left(&self, now: MonoTime) -> Duration {
        self.own_until.max(self.told_until).saturating_sub(now)
    }
}
