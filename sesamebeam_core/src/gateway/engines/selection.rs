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

/// Share of the slots up to which an engine is expected to have a free one. Others send to
/// it before their loads are heard of.
const FREE_SHARE: f64 = 0.7;

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
/// cannot complete the request within `time_left` are chosen only if none can, and those
/// without a free slot only if few engines have one. A full engine may still be predicted to
/// complete first, but the request would wait there for its first event, and its streams
/// slow down all others.
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
    let is_in_time = |f: &Forecast| f.completion <= time_left;
    let is_any_in_time = predicted.iter().any(|(_, f)| is_in_time(f));
    let is_usable = |f: &Forecast| is_in_time(f) || !is_any_in_time;
    // If fewer have a free slot, all entries that hear the same loads would choose these.
    let min_free = (predicted.len() as f64 * ELIGIBLE_SHARE).ceil() as usize;
    let free = predicted
        .iter()
        .filter(|(c, f)| has_slot(c, f) && is_usable(f));
    if free.count() >= min_free.max(1) {
        predicted.retain(|(c, f)| has_slot(c, f));
    }
    // Taken before the deadline is considered: if few engines are in time, all of them are
    // eligible, and entries don't all choose the same one.
    let limit = eligible_limit(&predicted)?;
    predicted.retain(|(_, f)| is_usable(f));
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

/// Returns whether the request is expected to get a slot immediately.
fn has_slot(candidate: &Candidate<'_>, forecast: &Forecast) -> bool {
    let slots = candidate.server.announcement.slots.max(1);
    forecast.requests + 1.0 <= f64::from(slots) * FREE_SHARE
}

/// Returns the predicted completion up to which an engine is eligible.
fn eligible_limit(predicted: &[(Candidate<'_>, Forecast)]) -> Option<Duration> {
    let mut completions: Vec<Duration> = predicted.iter().map(|(_, f)| f.completion).collect();
    let index = (completions.len().checked_sub(1)? as f64 * ELIGIBLE_SHARE) as usize;
    let (_, quantile, _) = completions.select_nth_unstable(index);
    Some(quantile.mul_f64(1.0 + MARGIN))
}
