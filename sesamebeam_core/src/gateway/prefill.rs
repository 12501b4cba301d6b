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
const MIN_SAMPLE_TOKENS: u32 = 4_000;

/// Initial prefill time per token, in seconds. The documented speed of engines with small
/// models is 100 to 160 tokens per millisecond.
const INITIAL_RATE: f64 = 10e-6;

/// Quantile of the waits that is taken as the prefill time. Waits include queueing, so
/// the shorter ones reflect the prefill alone.
const QUANTILE: f64 = 0.3;

/// Relative step by which one wait adjusts the estimate. Ten consecutive waits on one
/// side change it by half.
const ADJUSTMENT_STEP: f64 = 0.1;

/// Prefill time from which other requests are kept away from the engine. It is as long as
/// prefilling the shared parts of a prompt again elsewhere, and a tenth of the target
/// time of first events.
pub(super) const LONG_PREFILL: Duration = Duration::from_millis(150);

/// Prefill time per token in seconds, by service and model.
#[derive(Debug, Default)]
pub(super) struct PrefillTimes {
    rates: HashMap<(ServiceId, Option<ModelId>), f64>,
}

impl PrefillTimes {
    /// Records the wait for the first event after a prompt.
    pub(super) fn record(
        &mut self,
        service: &ServiceId,
        model: Option<&str>,
        tokens: u32,
        wait: Duration,
    ) {
        if tokens < MIN_SAMPLE_TOKENS {
            return;
        }
        let sample = wait.as_secs_f64() / f64::from(tokens);
        let key = (service.clone(), model.map(ModelId::from));
        let rate = self.rates.entry(key).or_insert(sample);
        let is_shorter = if sample < *rate { 1.0 } else { 0.0 };
        *rate *= 1.0 + ADJUSTMENT_STEP * (QUANTILE - is_shorter);
    }

    /// Returns the expected prefill time of a prompt.
    pub(super) fn estimate(
        &self,
        service: &ServiceId,
        model: Option<&str>,
        tokens: u32,
    ) -> Duration {
        let key = (service.clone(), model.map(ModelId::from));
        let rate = self.rates.get(&key).copied().unwrap_or(INITIAL_RATE);
        Duration::from_secs_f64(rate * f64::from(tokens))
    }
}

/// Long prompts that an engine has yet to prefill.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct PrefillQueue {
    /// Total prefill time of the prompts that this entry has sent.
    own_time: Duration,
    /// Time at which the engine will have prefilled them.
    own_until: MonoTime,
    /// Time at which it will have prefilled those of other entries.
    others_until: MonoTime,
}

impl PrefillQueue {
    /// Records that a prompt was sent.
    pub(super) fn sent(&mut self, now: MonoTime, time: Duration) {
        self.own_time += time;
        self.own_until = self.own_until.max(now) + time;
    }

    /// Records that a prompt was prefilled, or that its request ended before that.
    pub(super) fn finished(&mut self, now: MonoTime, time: Duration) {
        self.own_time = self.own_time.saturating_sub(time);
        self.own_until = now + self.own_time;
    }

    /// Records the remaining prefill time that other entries have reported.
    pub(super) fn reported(&mut self, now: MonoTime, remaining: Duration) {
        self.others_until = self.others_until.max(now + remaining);
    }

    /// Returns the remaining prefill time of the prompts that this entry has sent.
    pub(super) fn own_remaining(&self, now: MonoTime) -> Duration {
        self.own_until.saturating_sub(now)
    }

    /// Returns the remaining prefill time of the prompts of all entries.
    pub(super) fn remaining(&self, now: MonoTime) -> Duration {
        self.own_until.max(self.others_until).saturating_sub(now)
    }
}
