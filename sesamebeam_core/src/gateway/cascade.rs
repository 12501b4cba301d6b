//! Model cascade: selection among the models of a route, smallest first.
//!
//! A small model answers many requests as well as a large one, in a fraction of the time
//! and at a fraction of the cost, and states its confidence in the response. A response
//! below the confidence threshold is discarded before the caller has received any of it,
//! and the request is escalated to a larger model. As the larger model needs ten times as
//! much engine time, the threshold is lowered under pressure: a response that is in time
//! but possibly poor is worth more than a good one that is late and delays others.

use std::{
    collections::HashMap,
    time::Duration, //
};

use super::{
    config::ServiceId,
    waits::{
        self,
        DecayingMean,
        MeanWait,
        ServiceKey,
        WaitTotal, //
    },
};
use crate::ids::{
    ModelId,
    MonoTime, //
};

/// Confidence threshold, from 0 to 100, without pressure. Measured: on a calm day in two
/// deployments, thresholds of 25 and 75 each gave 0.03 to 0.05 less credit net of prices
/// than 50.
const BASE_THRESHOLD: f64 = 57.0;

/// Decrease of the threshold for each factor of e in the relative cost of a request. A
/// poor short answer to a long prompt loses less than the large model costs.
const THRESHOLD_DECREASE_PER_COST: f64 = 5.0;

/// Price of a prompt token relative to a generated token.
const PROMPT_PRICE: f64 = 0.25;

/// Relative cost of a request that does not state the length of its response. It assumes
/// a response of a quarter of the prompt's length.
const DEFAULT_RELATIVE_COST: f64 = 2.0;

/// Confidence threshold under full pressure.
const FULL_PRESSURE_THRESHOLD: f64 = 0.0;

/// Wait for a first event, relative to the target time, up to which there is no pressure.
const NO_PRESSURE_WAIT: f64 = 0.15;

/// Wait from which there is full pressure: a request that is escalated would be late.
const FULL_PRESSURE_WAIT: f64 = 0.4;

/// Half-life of the waits that this entry has measured itself.
const HALF_LIFE: Duration = Duration::from_millis(1500);

/// How long the reported mean of all entries is used. It arrives five times a second.
const FLEET_MEAN_LIFETIME: Duration = Duration::from_millis(1500);

/// Time after startup in which full pressure is assumed until a mean of all entries is
/// known. After a power loss all entries start and all callers return at the same time.
/// Without this, the 2,700 requests of the first 0.65 s were judged as without pressure,
/// and for three seconds nine in ten first events took up to 1.1 s.
const STARTUP_PRESSURE_TIME: Duration = Duration::from_millis(600);

/// What to do with a response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Decision {
    /// Forward it to the caller.
    Keep,
    /// Discard it and ask this model.
    Ask(ModelId),
}

/// Decides whether to keep a response or to ask a larger model.
#[derive(Clone, Debug, Default)]
pub struct Cascade {
    own_waits: HashMap<ServiceId, DecayingMean>,
    /// Waits that have not been reported to the other entries, as number and sum.
    unreported: HashMap<ServiceKey, (u32, f64)>,
    /// Mean waits over all entries, with the time of their receipt.
    fleet_means: HashMap<ServiceKey, (f64, MonoTime)>,
    /// End of the startup phase, in which full pressure is assumed if no mean is known.
    startup_until: MonoTime,
}

impl Cascade {
    /// Records how long a first event took, and its target time.
    pub fn record_wait(
        &mut self,
        now: MonoTime,
        service: &ServiceId,
        wait: Duration,
        target: Duration,
    ) {
        let ratio = wait.as_secs_f64() / target.as_secs_f64().max(0.001);
        let waits = self.own_waits.entry(service.clone()).or_default();
        waits.add(now, HALF_LIFE, 1.0, ratio);
        let (count, sum) = self.unreported.entry(waits::key(service)).or_default();
        *count += 1;
        *sum += ratio;
    }

    /// Records that this entry has received its first configuration.
    pub fn started(&mut self, now: MonoTime) {
        self.startup_until = now + STARTUP_PRESSURE_TIME;
    }

    /// Takes the waits to report to the other entries.
    pub fn take_unreported(&mut self) -> Vec<WaitTotal> {
        let waits = |(service, (count, sum))| WaitTotal {
            service,
            count,
            sum: sum as f32,
        };
        self.unreported.drain().map(waits).collect()
    }

    /// Sets the mean waits over all entries.
    pub fn set_fleet_means(&mut self, now: MonoTime, means: impl IntoIterator<Item = MeanWait>) {
        let fleet_mean = |mean: MeanWait| (mean.service, (f64::from(mean.ratio), now));
        self.fleet_means.extend(means.into_iter().map(fleet_mean));
    }

    /// Judges a response of a model by its stated confidence.
    pub fn judge(
        &self,
        now: MonoTime,
        service: &ServiceId,
        models: &[ModelId],
        model: &str,
        confidence: Option<u8>,
        relative_cost: f64,
    ) -> Decision {
        let (Some(confidence), Some(largest)) = (confidence, models.last()) else {
            return Decision::Keep;
        };
        let is_largest = model == largest.as_str();
        if is_largest || f64::from(confidence) >= self.threshold(now, service, relative_cost) {
            return Decision::Keep;
        }
        Decision::Ask(largest.clone())
    }

    /// Returns the current confidence threshold of a service.
    pub fn threshold(&self, now: MonoTime, service: &ServiceId, relative_cost: f64) -> f64 {
        let pressure = self.pressure(now, service);
        let base = base_threshold(relative_cost);
        base + (FULL_PRESSURE_THRESHOLD - base) * pressure
    }

    /// Returns the pressure by the waits of requests that have started.
    pub fn pressure(&self, now: MonoTime, service: &ServiceId) -> f64 {
        pressure(self.wait(now, service))
    }

    /// Returns whether this entry received its first configuration so recently that the
    /// load may not be known yet.
    pub fn is_starting(&self, now: MonoTime) -> bool {
        now < self.startup_until
    }

    /// Returns the mean wait for a service, over all entries if it is known.
    fn wait(&self, now: MonoTime, service: &ServiceId) -> f64 {
        let fleet_mean = self.fleet_means.get(&waits::key(service));
        match fleet_mean {
            Some((wait, at)) if now.saturating_sub(*at) < FLEET_MEAN_LIFETIME => *wait,
            _ if self.is_starting(now) => FULL_PRESSURE_WAIT,
            _ => {
                let own = self.own_waits.get(service);
                own.map_or(0.0, |w| w.mean(now, HALF_LIFE))
            }
        }
    }
}

/// Returns the confidence threshold without pressure of a request with a relative cost.
pub(super) fn base_threshold(relative_cost: f64) -> f64 {
    let base = BASE_THRESHOLD - THRESHOLD_DECREASE_PER_COST * relative_cost.max(1.0).ln();
    base.max(FULL_PRESSURE_THRESHOLD)
}

/// Returns the pressure, from 0 to 1, at a wait for a first event relative to the target
/// time.
pub(super) fn pressure(wait: f64) -> f64 {
    let pressure = (wait - NO_PRESSURE_WAIT) / (FULL_PRESSURE_WAIT - NO_PRESSURE_WAIT);
    pressure.clamp(0.0, 1.0)
}

/// Returns the relative cost of a request: the number of tokens charged for each token of
/// the response, counted in prices of generated tokens.
pub fn relative_cost(prompt_tokens: u32, response_tokens: Option<u32>) -> f64 {
    let Some(response) = response_tokens.filter(|&tokens| tokens > 0) else {
        return DEFAULT_RELATIVE_COST;
    };
    1.0 + PROMPT_PRICE * f64::from(prompt_tokens) / f64::from(response)
}
