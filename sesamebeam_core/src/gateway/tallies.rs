//! Counts of answers by version, for the verdict on a roll-out.

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

/// Weight of the newest time in the mean of its route.
const TIME_WEIGHT: f64 = 0.05;

/// What answers are counted by.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct Sender {
    /// Service that answered.
    pub(super) service: ServiceId,
    /// Version that answered.
    pub(super) version: SmolStr,
    /// Route of the request.
    pub(super) route: RouteId,
}

/// Means by route and model, in milliseconds.
type Means = HashMap<(RouteId, Option<ModelId>), f64>;

/// Answers counted since they were last taken.
#[derive(Debug, Default)]
pub(super) struct Tallies {
    counts: HashMap<Sender, Evidence>,
    /// Mean times to the first byte.
    times: Means,
    /// Mean times between events.
    paces: Means,
}

impl Tallies {
    /// Counts the end of a send.
    pub(super) fn ended(&mut self, sender: &Sender, outcome: Outcome) {
        match outcome {
            Outcome::Good => self.of(sender).good += 1,
            Outcome::Failed => self.of(sender).bad += 1,
            Outcome::Refused
            | Outcome::Unreachable
            | Outcome::Down
            | Outcome::Silent
            | Outcome::Dropped => {}
        }
    }

    /// Counts the time to a first byte.
    pub(super) fn timed(
        &mut self,
        sender: &Sender,
        model: Option<&str>,
        took: Duration,
        on_trial: bool,
    ) {
        let slowness = compare(&mut self.times, sender, model, took, on_trial);
        let counts = self.of(sender);
        counts.timed_responses += 1;
        counts.latency_ratio_sum += slowness;
    }

    /// Counts the mean time between the events of a stream.
    pub(super) fn paced(
        &mut self,
        sender: &Sender,
        model: Option<&str>,
        pace: Duration,
        on_trial: bool,
    ) {
        let slowness = compare(&mut self.paces, sender, model, pace, on_trial);
        let counts = self.of(sender);
        counts.timed_streams += 1;
        counts.interval_ratio_sum += slowness;
    }

    /// Takes what was counted since the last call.
    pub(super) fn take(&mut self) -> Vec<Evidence> {
        self.counts.drain().map(|(_, counts)| counts).collect()
    }

    fn of(&mut self, sender: &Sender) -> &mut Evidence {
        self.counts
            .entry(sender.clone())
            .or_insert_with(|| Evidence {
                service: sender.service.clone(),
                version: sender.version.clone(),
                route: sender.route.clone(),
                ..Evidence::default()
            })
    }
}

/// Returns a time as a share of the mean of its route and model, which follows
/// the times of versions that are not on trial.
fn compare(
    means: &mut Means,
    sender: &Sender,
    model: Option<&str>,
    took: Duration,
    on_trial: bool,
) -> f64 {
    let key = (sender.route.clone(), model.map(SmolStr::new));
    let millis = took.as_secs_f64() * 1e3;
    let mean = means.entry(key).or_insert(millis);
    let share = millis / mean.max(0.1);
    if !on_trial {
        *mean += TIME_WEIGHT * (millis - *mean);
    }
    share
}
