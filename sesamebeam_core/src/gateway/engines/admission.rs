//! Immediate refusal of requests that no engine can complete in time.
//!
//! A request that is refused only when its deadline is reached has taken the time of its
//! caller and perhaps that of an engine. One that is refused on arrival can be repeated
//! when it can be served.

use std::time::Duration;

use super::Forecaster;
use crate::gateway::directory::ServerId;

/// Share of the time left within which requests other than the most urgent must be
/// predicted to be complete, so that the most urgent are refused last.
const LESS_URGENT_SHARE: f64 = 0.9;

/// The same for organisations that use more than their share of engine time.
const AHEAD_SHARE: f64 = 0.8;

/// Shortest and longest delay after which completion is predicted again.
const MIN_DELAY: Duration = Duration::from_millis(100);
const MAX_DELAY: Duration = Duration::from_secs(300);

/// Number of halvings by which the delay is narrowed down: to a thirty-second part.
const HALVINGS: u32 = 4;

/// Number of candidates for which later completions are predicted: those that would
/// complete the request first now. It bounds the cost of a refusal.
const MAX_SEARCHED: usize = 8;

/// Largest share of the delay that is added at random.
const MAX_JITTER: f64 = 0.2;

/// An engine that would be considered for a send.
#[derive(Clone, Copy, Debug)]
pub struct EngineSlots<'a> {
    /// The engine.
    pub id: &'a ServerId,
    /// Number of requests that it runs at a time.
    pub slots: u32,
}

/// Returns the share of the time left within which a request must be predicted to be
/// complete.
pub fn time_share(is_most_urgent: bool, is_ahead: bool) -> f64 {
    match (is_ahead, is_most_urgent) {
        (true, _) => AHEAD_SHARE,
        (false, false) => LESS_URGENT_SHARE,
        (false, true) => 1.0,
    }
}

/// Returns after which delay an equal request is predicted to be complete within a share
/// of its time left; none if the request is not refused.
///
/// A request is refused only if every candidate has stated its load and none is predicted
/// to complete it. One that would not be complete on idle engines either is not refused:
/// there is no time at which it can be served, and the prediction rests on its stated
/// length and on learned costs alone. If these were wrong, the service would refuse all
/// requests and never learn better. One that only idle engines would complete within its
/// time left, but not within the share, is held to what these need.
pub fn refusal_delay(
    forecaster: &Forecaster<'_>,
    candidates: &[EngineSlots<'_>],
    time_left: Duration,
    share: f64,
) -> Option<Duration> {
    let limit = time_left.mul_f64(share);
    let mut predicted = Vec::with_capacity(candidates.len());
    for candidate in candidates {
        let forecast = forecaster.forecast(candidate.id, candidate.slots);
        if forecast.completion <= limit || !forecaster.is_informed(candidate.id) {
            return None;
        }
        predicted.push((forecast.completion, candidate));
    }
    predicted.sort_unstable_by_key(|(completion, _)| *completion);
    predicted.truncate(MAX_SEARCHED);
    let earliest = |delay: Duration| {
        let forecaster = forecaster.delayed(delay);
        let forecasts = predicted
            .iter()
            .map(|(_, c)| forecaster.forecast(c.id, c.slots));
        forecasts.map(|f| f.completion).min()
    };
    let idle = earliest(MAX_DELAY).filter(|idle| *idle <= time_left)?;
    let limit = limit.max(idle);
    let completes = |delay| earliest(delay).is_some_and(|completion| completion <= limit);
    if completes(Duration::ZERO) {
        return None;
    }
    let mut too_short = Duration::ZERO;
    let mut delay = MIN_DELAY;
    while delay < MAX_DELAY && !completes(delay) {
        too_short = delay;
        delay = (delay * 2).min(MAX_DELAY);
    }
    for _ in 0..HALVINGS {
        let middle = (too_short + delay) / 2;
        match completes(middle) {
            true => delay = middle,
            false => too_short = middle,
        }
    }
    Some(delay)
}

/// Adds jitter to a delay, so that callers who are refused together return at different
/// times. `at` is a point in [0, 1) that differs by request.
pub fn with_jitter(delay: Duration, at: f64) -> Duration {
    delay + delay.mul_f64(MAX_JITTER * at.clamp(0.0, 1.0))
}
