//! Engine time that requests of a service need, learned from this entry's own streams.
//!
//! All times are normalised to an engine with the usual speed. The wait for a first event
//! is a fixed time plus a time for each prompt token that is not cached, both by model. The
//! time between events depends on how many requests run, not on the model, because all
//! requests at an engine advance together.

use std::{
    collections::HashMap,
    time::Duration, //
};

use crate::ids::ModelId;

/// Longest prompt or response considered, in tokens. Lengths are stated by callers.
const MAX_TOKENS: u32 = 10_000_000;

/// Initial time to the first event of a request with an empty prompt, in seconds.
const INITIAL_FIXED: f64 = 0.02;

/// Initial prefill time per token, in seconds.
const INITIAL_RATE: f64 = 10e-6;

/// Initial time between events, in seconds.
const INITIAL_EVENT_TIME: f64 = 0.04;

/// Initial duration of a stream, in seconds.
const INITIAL_DURATION: f64 = 2.0;

/// Prompt length up to which the wait for the first event indicates the fixed time, and
/// from which it indicates the prefill rate.
const MAX_FIXED_TOKENS: u32 = 500;
const MIN_RATE_TOKENS: u32 = 2_000;

/// Quantile of the waits that is taken as the time without queueing.
const QUANTILE: f64 = 0.3;

/// Relative step by which one wait adjusts an estimate. Ten consecutive waits on one side
/// change it by half.
const ADJUSTMENT_STEP: f64 = 0.1;

/// Bounds of the learned times, in seconds. An estimate of a quantile moves in proportion to
/// itself and would never leave 0; the upper bounds are beyond any real engine and keep
/// sums within the range of [`Duration`].
const FIXED_BOUNDS: (f64, f64) = (1e-3, 60.0);
const RATE_BOUNDS: (f64, f64) = (1e-6, 0.01);
const MAX_STREAM: f64 = 3600.0;
const MAX_PREFILL: f64 = 3600.0;

/// Weight of the newest value in a moving average.
const MEAN_WEIGHT: f64 = 0.05;

/// Largest number of running requests in each class but the last, which is unbounded.
const CLASS_LIMITS: [f64; 4] = [3.0, 7.0, 15.0, 31.0];

/// Bounds of the learned ratio of events to the stated length of a response.
const EVENT_RATIO_BOUNDS: (f64, f64) = (0.05, 4.0);

/// Work that a request brings to an engine.
#[derive(Clone, Debug, PartialEq)]
pub struct Demand {
    /// Model that is asked.
    pub model: Option<ModelId>,
    /// Prompt tokens that no engine has cached.
    pub uncached_tokens: u32,
    /// Prompt tokens that are shared with other requests.
    pub shared_tokens: u32,
    /// Stated length of the response in tokens.
    pub response_tokens: u32,
}

/// Time to the first event of one model.
#[derive(Clone, Copy, Debug)]
struct FirstEventCost {
    /// Seconds for an empty prompt.
    fixed: f64,
    /// Seconds per token; none until a long prompt was measured.
    rate: Option<f64>,
}

impl Default for FirstEventCost {
    fn default() -> Self {
        Self {
            fixed: INITIAL_FIXED,
            rate: None,
        }
    }
}

/// Mean seconds between events, by class of the number of running requests.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct EventTimes([Option<f64>; CLASS_LIMITS.len() + 1]);

impl EventTimes {
    /// Returns the seconds between events beside a number of running requests. A class
    /// without samples is taken for the nearest one that has any.
    pub(super) fn beside(&self, running: f64) -> f64 {
        let wanted = class(running);
        let known = |distance: usize| {
            let below = wanted.checked_sub(distance).and_then(|i| self.0[i]);
            let above = self.0.get(wanted + distance).copied().flatten();
            below.or(above)
        };
        let nearest = (0..self.0.len()).find_map(known);
        nearest.unwrap_or(INITIAL_EVENT_TIME)
    }

    /// Returns whether any stream was measured.
    pub(super) fn is_measured(&self) -> bool {
        self.0.iter().any(Option::is_some)
    }

    fn record(&mut self, running: f64, sample: f64) {
        let mean = self.0[class(running)].get_or_insert(sample);
        *mean += MEAN_WEIGHT * (sample - *mean);
    }
}

/// Learned costs of one service.
#[derive(Debug)]
pub(super) struct ServiceCosts {
    models: HashMap<ModelId, FirstEventCost>,
    event_times: EventTimes,
    /// Events per event that the stated length of the response predicts.
    event_ratio: f64,
    /// Mean seconds from the first event of a stream to its last.
    duration: f64,
    /// Mean prefill seconds of a request, without the fixed time.
    prefill: f64,
    /// Mean length of the uncached part of a prompt, and of a response, in tokens.
    lengths: Option<(f64, f64)>,
}

impl Default for ServiceCosts {
    fn default() -> Self {
        Self {
            models: HashMap::new(),
            event_times: EventTimes::default(),
            event_ratio: 1.0,
            duration: INITIAL_DURATION,
            prefill: INITIAL_FIXED,
            lengths: None,
        }
    }
}

impl ServiceCosts {
    /// Records the work of a request that is sent.
    pub(super) fn record_send(&mut self, demand: &Demand) {
        let prefill = self
            .prefill_time(demand, demand.uncached_tokens)
            .as_secs_f64()
            .min(MAX_PREFILL);
        self.prefill += MEAN_WEIGHT * (prefill - self.prefill);
        let newest = (
            f64::from(demand.uncached_tokens.min(MAX_TOKENS)),
            f64::from(demand.response_tokens.min(MAX_TOKENS)),
        );
        let (prompt, response) = self.lengths.get_or_insert(newest);
        *prompt += MEAN_WEIGHT * (newest.0 - *prompt);
        *response += MEAN_WEIGHT * (newest.1 - *response);
    }

    /// Records the normalised wait for a first event.
    pub(super) fn record_first_event(&mut self, demand: &Demand, wait: f64) {
        let cost = self.model_mut(demand);
        let tokens = demand.uncached_tokens.min(MAX_TOKENS);
        if tokens <= MAX_FIXED_TOKENS {
            cost.fixed = toward_quantile(cost.fixed, wait, FIXED_BOUNDS);
        }
        if tokens >= MIN_RATE_TOKENS {
            let sample = (wait - cost.fixed).max(0.0) / f64::from(tokens);
            let rate = cost.rate.unwrap_or(sample);
            cost.rate = Some(toward_quantile(rate, sample, RATE_BOUNDS));
        }
    }

    /// Records a complete stream: its events, its duration from the first to the last, and
    /// the number of requests that ran beside it.
    pub(super) fn record_stream(
        &mut self,
        predicted_events: f64,
        events: u64,
        duration: f64,
        running: f64,
    ) {
        let events = events as f64;
        let duration = duration.min(MAX_STREAM);
        self.duration += MEAN_WEIGHT * (duration - self.duration);
        if predicted_events > 0.0 {
            let ratio =
                (events / predicted_events).clamp(EVENT_RATIO_BOUNDS.0, EVENT_RATIO_BOUNDS.1);
            self.event_ratio += MEAN_WEIGHT * (ratio - self.event_ratio);
        }
        if events > 1.0 {
            self.event_times.record(running, duration / (events - 1.0));
        }
    }

    /// Returns the normalised time to the first event without queueing.
    pub(super) fn first_event_time(&self, demand: &Demand) -> Duration {
        let fixed = self.model(demand).fixed;
        Duration::from_secs_f64(fixed) + self.prefill_time(demand, demand.uncached_tokens)
    }

    /// Returns the normalised time to read prompt tokens.
    pub(super) fn prefill_time(&self, demand: &Demand, tokens: u32) -> Duration {
        let rate = self.model(demand).rate.unwrap_or(INITIAL_RATE);
        Duration::from_secs_f64(rate * f64::from(tokens.min(MAX_TOKENS)))
    }

    /// Returns the normalised mean prefill time of a request.
    pub(super) fn mean_prefill(&self) -> Duration {
        Duration::from_secs_f64(self.prefill)
    }

    /// Returns the normalised mean duration of a stream.
    pub(super) fn mean_duration(&self) -> Duration {
        Duration::from_secs_f64(self.duration)
    }

    /// Returns the normalised times between events.
    pub(super) fn event_times(&self) -> EventTimes {
        self.event_times
    }

    /// Returns the expected number of events of a response.
    pub(super) fn events(&self, response_tokens: u32, tokens_per_event: u32) -> f64 {
        let predicted = predicted_events(response_tokens, tokens_per_event);
        (predicted * self.event_ratio).max(1.0)
    }

    /// Returns the work of a mean request to a model.
    pub(super) fn mean_demand(&self, model: Option<ModelId>) -> Demand {
        let (prompt, response) = self.lengths.unwrap_or_default();
        Demand {
            model,
            uncached_tokens: prompt as u32,
            shared_tokens: 0,
            response_tokens: response as u32,
        }
    }

    fn model(&self, demand: &Demand) -> FirstEventCost {
        let known = self.models.get(demand.model.as_deref().unwrap_or_default());
        known.copied().unwrap_or_default()
    }

    fn model_mut(&mut self, demand: &Demand) -> &mut FirstEventCost {
        let model = demand.model.clone().unwrap_or_default();
        self.models.entry(model).or_default()
    }
}

/// Returns the number of events that the stated length of a response predicts.
pub(super) fn predicted_events(response_tokens: u32, tokens_per_event: u32) -> f64 {
    f64::from(response_tokens.min(MAX_TOKENS)) / f64::from(tokens_per_event.max(1))
}

/// Moves an estimate of a quantile by one sample.
fn toward_quantile(estimate: f64, sample: f64, bounds: (f64, f64)) -> f64 {
    let is_shorter = if sample < estimate { 1.0 } else { 0.0 };
    let moved = estimate * (1.0 + ADJUSTMENT_STEP * (QUANTILE - is_shorter));
    moved.clamp(bounds.0, bounds.1)
}

/// Returns the class of a number of running requests.
fn class(running: f64) -> usize {
    let limits = CLASS_LIMITS.iter();
    limits.take_while(|&&limit| running > limit).count()
}
