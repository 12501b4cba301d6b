//! Counts of responses by version, reported as evidence about a rollout.

use std::{
    collections::HashMap,
    time::Duration, //
};

use smol_str::SmolStr;

use super::{
    balance::Outcome,
    config::{
        RouteId,
        ServiceId, //
    },
    messages::Evidence,
};
use crate::ids::ModelId;

/// Weight of the latest time in the moving average of its route.
const MEAN_WEIGHT: f64 = 0.05;

/// Multiple of the mean from which a time counts as slow by itself.
const SLOW_DURATION_RATIO: f64 = 2.0;

/// Key under which responses are counted.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct CountKey {
    /// Service that responded.
    pub(super) service: ServiceId,
    /// Version that responded.
    pub(super) version: SmolStr,
    /// Route of the request.
    pub(super) route: RouteId,
}

/// Moving averages by route and model, in milliseconds.
type Means = HashMap<(RouteId, Option<ModelId>), f64>;

/// Responses counted since the last report.
#[derive(Debug, Default)]
pub(super) struct ResponseCounts {
    counts: HashMap<CountKey, Evidence>,
    /// Mean times to first byte.
    first_byte_means: Means,
    /// Mean times between events.
    event_interval_means: Means,
}

impl ResponseCounts {
    /// Counts the outcome of an attempt.
    pub(super) fn record_outcome(&mut self, key: &CountKey, outcome: Outcome) {
        match outcome {
            Outcome::Good => self.counts_mut(key).good += 1,
            Outcome::Failed => self.counts_mut(key).bad += 1,
            Outcome::Refused
            | Outcome::Unreachable
            | Outcome::Down
            | Outcome::Silent
            | Outcome::Dropped => {}
        }
    }

    /// Counts a time to first byte: that of a whole answer, if no model is named.
    pub(super) fn record_first_byte(
        &mut self,
        key: &CountKey,
        model: Option<&str>,
        time: Duration,
        is_canary: bool,
    ) {
        let slowness = relative_to_mean(&mut self.first_byte_means, key, model, time, is_canary);
        let counts = self.counts_mut(key);
        counts.timed_responses += 1;
        counts.latency_ratio_sum += slowness;
        if model.is_none() {
            count_duration(counts, slowness);
        }
    }

    /// Counts the mean time between the events of a stream.
    pub(super) fn record_event_interval(
        &mut self,
        key: &CountKey,
        model: Option<&str>,
        interval: Duration,
        is_canary: bool,
    ) {
        let slowness = relative_to_mean(
            &mut self.event_interval_means,
            key,
            model,
            interval,
            is_canary,
        );
        let counts = self.counts_mut(key);
        counts.timed_streams += 1;
        counts.interval_ratio_sum += slowness;
        count_duration(counts, slowness);
    }

    /// Takes the counts since the last call.
    pub(super) fn take(&mut self) -> Vec<Evidence> {
        self.counts.drain().map(|(_, counts)| counts).collect()
    }

    fn counts_mut(&mut self, key: &CountKey) -> &mut Evidence {
        self.counts.entry(key.clone()).or_insert_with(|| Evidence {
            service: key.service.clone(),
            version: key.version.clone(),
            route: key.route.clone(),
            ..Evidence::default()
        })
    }
}

fn count_duration(counts: &mut Evidence, slowness: f64) {
    counts.durations += 1;
    counts.slow_durations += u32::from(slowness >= SLOW_DURATION_RATIO);
}

/// Returns a time relative to the moving average of its route and model. Canary versions
/// don't contribute to the average.
fn relative_to_mean(
    means: &mut Means,
    key: &CountKey,
    model: Option<&str>,
    time: Duration,
    is_canary: bool,
) -> f64 {
    let key = (key.route.clone(), model.map(SmolStr::new));
    let millis = time.as_secs_f64() * 1e3;
    let mean = means.entry(key).or_insert(millis);
    let ratio = millis / mean.max(0.1);
    if !is_canary {
        *mean += MEAN_WEIGHT * (millis - *mean);
    }
    ratio
}
