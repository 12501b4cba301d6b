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

use super::{
    config::ServiceId,
    waits::{
        self,
        MeanWait,
        ServiceKey,
        Waits,
        WaitsOf, //
    },
};
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

/// Time in which a wait that this entry has measured counts half.
const HALF_LIFE: Duration = Duration::from_millis(1500);

/// Time for which the mean over all entries is believed; it comes five times a
/// second.
const TOLD_FOR: Duration = Duration::from_millis(1500);

/// Time after a start for which the pressure is taken to be full until something else
/// is told. All entries start together after a loss of power, and all callers come
/// back then. With no wait known, the 2,700 requests of the first 0.65 s were judged as
/// on a calm day, and for three seconds nine in ten first events took up to 1.1 s.
const START_PRESSED: Duration = Duration::from_millis(600);

/// Which model to ask next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// The answer goes to the caller.
    Keep,
    /// The answer is dropped and this model is asked.
    Ask(ModelId),
}

/// Decides between keeping an answer and asking a larger model.
#[derive(Clone, Debug, Default)]
pub struct Cascade {
    waits: HashMap<ServiceId, Waits>,
    /// Waits that the others should know of, with their number.
    fresh: HashMap<ServiceKey, (u32, f64)>,
    /// Mean waits that all entries see, and when they were told.
    told: HashMap<ServiceKey, (f64, MonoTime)>,
    /// Until when the pressure is full where nothing is told.
    pressed_until: MonoTime,
}

impl Cascade {
    /// Notes how long a first event took, and within which time it is on time.
    pub fn waited(&mut self, now: MonoTime, service: &ServiceId, took: Duration, target: Duration) {
        let share = took.as_secs_f64() / target.as_secs_f64().max(0.001);
        let waits = self.waits.entry(service.clone()).or_default();
        waits.add(now, HALF_LIFE, 1.0, share);
        let (count, sum) = self.fresh.entry(waits::key(service)).or_default();
        *count += 1;
        *sum += share;
    }

    /// Notes that this entry has its first configuration.
    pub fn started(&mut self, now: MonoTime) {
        self.pressed_until = now + START_PRESSED;
    }

    /// Takes the waits that the others should know of.
    pub fn take_fresh(&mut self) -> Vec<WaitsOf> {
        let waits = |(service, (count, sum))| WaitsOf {
            service,
            count,
            sum: sum as f32,
        };
        self.fresh.drain().map(waits).collect()
    }

    /// Takes the mean waits that all entries see.
    pub fn told(&mut self, now: MonoTime, means: impl IntoIterator<Item = MeanWait>) {
        let told = |mean: MeanWait| (mean.service, (f64::from(mean.share), now));
        self.told.extend(means.into_iter().map(told));
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
        let wait = self.wait(now, service);
        let pressure = (wait - CALM_WAIT) / (PRESSED_WAIT - CALM_WAIT);
        let calm = (KEEP_CALM - KEEP_PER_EXPENSE * expense.max(1.0).ln()).max(KEEP_PRESSED);
        calm + (KEEP_PRESSED - calm) * pressure.clamp(0.0, 1.0)
    }

    /// Returns the mean wait at a service, over all entries if that is known.
    fn wait(&self, now: MonoTime, service: &ServiceId) -> f64 {
        let told = self.told.get(&waits::key(service));
        match told {
            Some((wait, at)) if now.saturating_sub(*at) < TOLD_FOR => *wait,
            _ if now < self.pressed_until => PRESSED_WAIT,
            _ => {
                let own = self.waits.get(service);
                own.map_or(0.0, |w| w.mean(now, HALF_LIFE))
            }
        }
    }
}

/// Returns the tokens that a model is paid for, for each token of the answer.
pub fn expense(prompt_tokens: u32, answer_tokens: Option<u32>) -> f64 {
    let Some(answer) = answer_tokens.filter(|&tokens| tokens > 0) else {
        return USUAL_EXPENSE;
    };
    1.0 + PROMPT_PRICE * f64::from(prompt_tokens) / f64::from(answer)
}
