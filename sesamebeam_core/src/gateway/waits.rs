//! How long callers wait for first events, as all entries together see it.
//!
//! Each of 295 entries sees five first events of a service in a second, one of which
//! may stand behind a long prompt: taken from these alone, some asked the large model
//! for nearly every unsure answer while others, at the same moment, asked for none.

use std::{
    collections::BTreeMap,
    time::Duration, //
};

use serde::{
    Deserialize,
    Serialize, //
};

use crate::{
    ids::MonoTime,
    policy::hash, //
};

/// Time in which a wait that all entries have seen counts half: the load of a burst
/// or a comeback changes within a second, and 1,000 waits come in one.
const HALF_LIFE: Duration = Duration::from_millis(700);

/// Hash of a service's name.
pub type ServiceKey = u32;

/// Returns the key of a service.
pub fn key(service: &str) -> ServiceKey {
    // The low half of a good hash is as good.
    hash::name(service.as_bytes()) as ServiceKey
}

/// Waits that one or more entries have seen since the last report.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct WaitsOf {
    /// Of which service.
    pub service: ServiceKey,
    /// Number of first events.
    pub count: u32,
    /// Sum of the waits for them, each as a share of the time in which it is on time.
    pub sum: f32,
}

impl WaitsOf {
    /// Adds what others have seen.
    pub fn add(&mut self, other: &Self) {
        self.count += other.count;
        self.sum += other.sum;
    }
}

/// Mean wait at a service, as a share of the time in which a first event is on time.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct MeanWait {
    /// Which service.
    pub service: ServiceKey,
    /// The mean.
    pub share: f32,
}

/// Waits that fade.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Waits {
    /// Sum of the shares of the time in which first events were on time.
    sum: f64,
    /// Number, faded like the sum.
    count: f64,
    /// When they were faded last.
    at: MonoTime,
}

impl Waits {
    /// Adds waits, of which older ones count half after `half_life`.
    pub(super) fn add(&mut self, now: MonoTime, half_life: Duration, count: f64, sum: f64) {
        let factor = self.factor(now, half_life);
        self.sum = self.sum * factor + sum;
        self.count = self.count * factor + count;
        self.at = now;
    }

    /// Returns the mean wait. With few waits of late it leans to none: who has seen
    /// nothing for long knows of no pressure.
    pub(super) fn mean(&self, now: MonoTime, half_life: Duration) -> f64 {
        let factor = self.factor(now, half_life);
        self.sum * factor / (self.count * factor + 1.0)
    }

    fn factor(&self, now: MonoTime, half_life: Duration) -> f64 {
        let age = now.saturating_sub(self.at).as_secs_f64();
        0.5f64.powf(age / half_life.as_secs_f64())
    }
}

/// Waits that all entries have seen, by service.
#[derive(Clone, Debug, Default)]
pub struct PooledWaits {
    services: BTreeMap<ServiceKey, Waits>,
}

impl PooledWaits {
    /// Takes what entries have seen.
    pub fn take(&mut self, now: MonoTime, waits: impl IntoIterator<Item = WaitsOf>) {
        for WaitsOf {
            service,
            count,
            sum,
        } in waits
        {
            let waits = self.services.entry(service).or_default();
            waits.add(now, HALF_LIFE, f64::from(count), f64::from(sum));
        }
    }

    /// Returns the mean of each service.
    pub fn means(&self, now: MonoTime) -> Vec<MeanWait> {
        let mean = |(&service, waits): (&ServiceKey, &Waits)| MeanWait {
            service,
            share: waits.mean(now, HALF_LIFE) as f32,
        };
        self.services.iter().map(mean).collect()
    }
}
