//! Escalation of a request to a larger model, by predicted completion.
//!
//! An answer that its model is unsure of is dropped only if a larger model can be complete
//! in time. Requests that were escalated without a prediction reached their deadlines at
//! slow engines, and their callers received nothing.

use std::time::Duration;

use super::{
    Forecast,
    Forecaster,
    selection::Candidate, //
};
use crate::{gateway::cascade::Decision, ids::ModelId};

/// Margin of a predicted completion, relative to its time.
const COMPLETION_MARGIN: f64 = 0.25;

/// Predicted first event, counted from the caller's send and relative to the target time,
/// up to which it counts as on time, and from which it counts as late.
const ON_TIME: f64 = 0.75;
const LATE: f64 = 1.25;

/// Share of the engines with a queue up to which there is no pressure, as selection still
/// finds one without, and from which there is full pressure.
const NO_PRESSURE_SHARE: f64 = 0.25;
const FULL_PRESSURE_SHARE: f64 = 0.5;

/// Shortest target time that first events are compared with, in seconds.
const MIN_TARGET: f64 = 0.001;

/// Answer of a model that is not the largest.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Answer {
    /// Stated confidence, from 0 to 100.
    pub confidence: u8,
    /// Confidence threshold without pressure.
    pub base_threshold: f64,
    /// Pressure on the service, from 0 to 1.
    pub pressure: f64,
    /// Time since the caller's send.
    pub waited: Duration,
    /// Target time to the first event.
    pub target: Duration,
    /// Time left until the deadline.
    pub time_left: Duration,
}

/// Result of judging an answer, as counted in the metrics.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// The answer is kept.
    Kept,
    /// A larger model is asked, but not the largest.
    Middle,
    /// The largest model is asked.
    Largest,
    /// The answer is kept only because no larger model can be complete in time.
    Late,
}

impl Step {
    /// Returns the name used in metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Kept => "kept",
            Self::Middle => "middle",
            Self::Largest => "largest",
            Self::Late => "late",
        }
    }
}

/// Decision about an answer.
#[derive(Clone, Debug, PartialEq)]
pub struct Judgement {
    /// What to do with the answer.
    pub decision: Decision,
    /// Threshold that was applied; an answer of at least this confidence is kept.
    pub keep_from: f64,
    /// What is counted; none if the answer was not judged by engine time.
    pub step: Option<Step>,
    /// Whether a larger model would have been asked, but for the retry budget.
    pub is_over_budget: bool,
}

impl Judgement {
    /// Returns the judgement by which an answer is kept.
    pub fn kept(keep_from: f64, step: Option<Step>) -> Self {
        Self {
            decision: Decision::Keep,
            keep_from,
            step,
            is_over_budget: false,
        }
    }
}

impl Answer {
    /// Judges the answer. `larger` are the models larger than the one that answered, the
    /// largest first, with the prediction for each where an engine is available. Only the
    /// first one that can be complete in time is considered.
    pub fn judge(
        &self,
        larger: impl IntoIterator<Item = (ModelId, Option<Forecast>)>,
    ) -> Judgement {
        let mut larger = larger.into_iter().enumerate();
        let in_time = larger.find_map(|(position, (model, forecast))| {
            let forecast = forecast.filter(|f| self.can_complete(f))?;
            Some((position, model, forecast))
        });
        let confidence = f64::from(self.confidence);
        let Some((position, model, forecast)) = in_time else {
            let is_wanted = confidence < self.pressure_factor() * self.base_threshold;
            let step = if is_wanted { Step::Late } else { Step::Kept };
            return Judgement::kept(0.0, Some(step));
        };
        let keep_from = self.threshold(&forecast);
        if confidence >= keep_from {
            return Judgement::kept(keep_from, Some(Step::Kept));
        }
        let step = match position {
            0 => Step::Largest,
            _ => Step::Middle,
        };
        Judgement {
            decision: Decision::Ask(model),
            keep_from,
            step: Some(step),
            is_over_budget: false,
        }
    }

    /// Returns the confidence threshold if a larger model takes as long as predicted.
    fn threshold(&self, forecast: &Forecast) -> f64 {
        let first_event = self.waited.saturating_add(forecast.first_event);
        let lateness = (relative_to(self.target, first_event) - ON_TIME) / (LATE - ON_TIME);
        let on_time = 1.0 - lateness.clamp(0.0, 1.0);
        self.base_threshold * on_time * self.pressure_factor()
    }

    fn can_complete(&self, forecast: &Forecast) -> bool {
        forecast.completion.mul_f64(1.0 + COMPLETION_MARGIN) <= self.time_left
    }

    /// Returns the factor by which the pressure lowers the threshold.
    fn pressure_factor(&self) -> f64 {
        1.0 - self.pressure
    }
}

/// Returns the pressure, from 0 to 1, by the current load of the candidates: the share of
/// them at which a request would wait. Without candidates there is full pressure.
pub fn pressure(forecaster: &Forecaster<'_>, candidates: &[Candidate<'_>]) -> f64 {
    let has_queue = |c: &&Candidate<'_>| {
        let announcement = &c.server.announcement;
        let forecast = forecaster.forecast(&announcement.id, announcement.slots);
        forecast.has_queue
    };
    if candidates.is_empty() {
        return 1.0;
    }
    let queues = candidates.iter().filter(has_queue).count() as f64;
    let share = queues / candidates.len() as f64;
    ((share - NO_PRESSURE_SHARE) / (FULL_PRESSURE_SHARE - NO_PRESSURE_SHARE)).clamp(0.0, 1.0)
}

/// Returns a time as a multiple of the target time.
fn relative_to(target: Duration, time: Duration) -> f64 {
    time.as_secs_f64() / target.as_secs_f64().max(MIN_TARGET)
}
