//! Choice among the models of a route, smallest first.
//!
//! A small model answers many requests as well as a large one, in a fraction of
//! the time and cost, and tells in its answer how sure it is. An answer below
//! the threshold is dropped before the caller has seen any of it, and a larger
//! model is asked. The larger model takes ten times the time of an engine, so
//! that under pressure the threshold falls: an answer in time that may be poor
//! is worth more than a good one that comes late and makes others late.

use std::{
    collections::HashMap,
    time::Duration, //
};

use super::config::ServiceId;
use crate::ids::{
    ModelId,
    MonoTime, //
};

/// Confidence from 0 to 100 from which an answer is kept while there is no
/// pressure. Measured: 25 and 75 each gave 0.03 to 0.05 less of the credit less
/// prices on a calm day than 50 on two deployments.
const KEEP_CALM: f64 = 57.0;

/// How much lower that confidence is for a request that is e times as expensive
/// for each token of its answer: a poor answer of few words to a long prompt
/// loses less than the large model costs.
const KEEP_PER_EXPENSE: f64 = 5.0;

/// Share of the price of a generated token that one of the prompt costs.
const PROMPT_PRICE: f64 = 0.25;

/// Expense of a request that does not say how long its answer may be: one whose
/// answer is a quarter of its prompt.
const USUAL_EXPENSE: f64 = 2.0;

/// Confidence from which an answer is kept under full pressure.
const KEEP_PRESSED: f64 = 0.0;

/// Wait for a first event, as a share of the time in which it is on time, up to
/// which there is no pressure.
const CALM_WAIT: f64 = 0.15;

/// Wait from which the pressure is full: the next one would be late.
const PRESSED_WAIT: f64 = 0.4;

/// Time in which a wait that was measured counts half.
const HALF_LIFE: Duration = Duration::from_millis(1500);

/// Which model to ask next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// The answer goes to the caller.
    Keep,
    /// The answer is dropped and this model is asked.
    Ask(ModelId),
}

/// Waits for first events at a service, newer ones counting more.
#[derive(Clone, Copy, Debug, Default)]
struct Waits {
    /// Sum of the shares of the time in which they were on time.
    sum: f64,
    /// Number, faded like the sum.
    count: f64,
    /// When they were faded last.
    at: MonoTime,
}

/// Decides between keeping an answer and asking a larger model.
#[derive(Clone, Debug, Default)]
pub struct Cascade {
    waits: HashMap<ServiceId, Waits>,
}

impl Cascade {
    /// Notes how long a first event took, and within which time it is on time.
    pub fn waited(&mut self, now: MonoTime, service: &ServiceId, took: Duration, target: Duration) {
        let waits = self.waits.entry(service.clone()).or_default();
        waits.fade(now);
        waits.sum += took.as_secs_f64() / target.as_secs_f64().max(0.001);
        waits.count += 1.0;
    }

    /// Judges the answer of a model by the confidence that it states.
    pub fn judge(
        &self,
        now: MonoTime,
        service: &ServiceId,
        sizes: &[ModelId],
        asked: &str,
        confidence: Option<u8>,
        expense: f64,
    ) -> Step {
        let (Some(confidence), Some(largest)) = (confidence, sizes.last()) else {
            return Step::Keep;
        };
        let is_largest = asked == largest.as_str();
        if is_largest || f64::from(confidence) >= self.keep_from(now, service, expense) {
            return Step::Keep;
        }
        Step::Ask(largest.clone())
    }

    /// Returns the confidence from which an answer of a service is kept now.
    pub fn keep_from(&self, now: MonoTime, service: &ServiceId, expense: f64) -> f64 {
        let wait = self.waits.get(service).map_or(0.0, |w| w.mean(now));
        let pressure = (wait - CALM_WAIT) / (PRESSED_WAIT - CALM_WAIT);
        let calm = (KEEP_CALM - KEEP_PER_EXPENSE * expense.max(1.0).ln()).max(KEEP_PRESSED);
        calm + (KEEP_PRESSED - calm) * pressure.clamp(0.0, 1.0)
    }
}

impl Waits {
    fn fade(&mut self, now: MonoTime) {
        let factor = self.factor(now);
        self.sum *= factor;
        self.count *= factor;
        self.at = now;
    }

    /// Returns the mean wait. With few waits of late it leans to none: an entry
    /// that has seen nothing for long knows of no pressure.
    fn mean(&self, now: MonoTime) -> f64 {
        let factor = self.factor(now);
        self.sum * factor / (self.count * factor + 1.0)
    }

    fn factor(&self, now: MonoTime) -> f64 {
        let age = now.saturating_sub(self.at).as_secs_f64();
        0.5f64.powf(age / HALF_LIFE.as_secs_f64())
    }
}

/// Returns the tokens that a model is paid for, for each token of the answer.
pub fn expense(prompt_tokens: u32, answer_tokens: Option<u32>) -> f64 {
    let Some(answer) = answer_tokens.filter(|&tokens| tokens > 0) else {
        return USUAL_EXPENSE;
    };
    1.0 + PROMPT_PRICE * f64::from(prompt_tokens) / f64::from(answer)
}
