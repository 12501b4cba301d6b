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
    feed::Evidence,
};
use crate::ids::ModelId;

/// Weight of the latest time in the moving average of its route.
const TIME_WEIGHT: f64 = 0.05;

/// Key under which responses are counted.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct Sender {
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
pub(super) struct Tallies {
    counts: HashMap<Sender, Evidence>,
    /// Mean times to first byte.
    times: Means,
    /// Mean times between events.
    paces: Means,
}

impl Tallies {
    /// Counts the outcome of an attempt.
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

    /// Counts a time to first byte.
    pub(super) fn timed(
        &mut self,
        sender: &Sender,
        model: Option<&str>,
        took: Duration,
        on_trial: bool,
    ) {
        let slowness = compare(&mut self.times, sender, model, took, on_trial);
        let counts = self.of(sender);
        counts.timed += 1;
        counts.slowness += slowness;
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
        counts.paced += 1;
        counts.pace += slowness;
    }

    /// Takes the counts since the last call.
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

/// Returns a time relative to the moving average of its route and model. Canary versions
/// don't contribute to the average.
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
