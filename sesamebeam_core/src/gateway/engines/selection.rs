//! Choice of an engine by predicted completion.
//!
//! Requests that share a prompt go to the same few engines, so that the prompt is prefilled
//! once, as long as these complete a request about as soon as others. The predictions only
//! limit which engines are eligible, and a hash chooses among these: all entries receive
//! the same loads at the same time and would otherwise all choose the same engine.

use std::time::Duration;

use super::{
    Forecast,
    Forecaster, //
};
use crate::{
    gateway::directory::ServerRecord,
    policy::hash, //
};

/// Quantile of the predicted completions up to which engines are always eligible.
const ELIGIBLE_SHARE: f64 = 0.25;

/// Margin above that quantile. Predictions err by more than this.
const MARGIN: f64 = 0.1;

/// A backend server that may get a send.
#[derive(Clone, Copy, Debug)]
pub struct Candidate<'a> {
    /// The backend server.
    pub server: &'a ServerRecord,
    /// Whether it fails no more often than others.
    pub is_reliable: bool,
    /// Whether it is preferred for its failure domain.
    pub is_local: bool,
}

/// Chooses the engine for a send, with the prediction for it.
///
/// `key` identifies the shared prompt and the model, or else the request. Engines that
/// cannot complete the request within `time_left` are chosen only if none can.
pub fn choose<'a>(
    forecaster: &Forecaster<'_>,
    candidates: &[Candidate<'a>],
    key: u64,
    time_left: Duration,
) -> Option<(&'a ServerRecord, Forecast)> {
    let predict = |c: &Candidate<'a>| {
        let announcement = &c.server.announcement;
        (
            *c,
            forecaster.forecast(&announcement.id, announcement.slots),
        )
    };
    let mut predicted: Vec<(Candidate<'a>, Forecast)> = candidates.iter().map(predict).collect();
    if predicted.iter().any(|(_, f)| f.completion <= time_left) {
        predicted.retain(|(_, f)| f.completion <= time_left);
    }
    let limit = eligible_limit(&predicted)?;
    let key = key.to_le_bytes();
    let eligible = predicted
        .iter()
        .filter(|(_, f)| f.completion <= limit + f.shared_prefill);
    let best = eligible.max_by_key(|(c, _)| {
        let weight = hash::rendezvous(&c.server.announcement.id, &key);
        (c.is_reliable, c.is_local, weight)
    });
    best.map(|(c, f)| (c.server, *f))
}

/// Returns the predicted completion up to which an engine is eligible.
fn eligible_limit(predicted: &[(Candidate<'_>, Forecast)]) -> Option<Duration> {
    let mut completions: Vec<Duration> = predicted.iter().map(|(_, f)| f.completion).collect();
    let index = (completions.len().checked_sub(1)? as f64 * ELIGIBLE_SHARE) as usize;
    let (_, quantile, _) = completions.select_nth_unstable(index);
    Some(quantile.mul_f64(1.0 + MARGIN))
}
