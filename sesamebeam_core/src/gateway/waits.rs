//! Waits for first events of streams, averaged over all entries.
//!
//! In a fleet of 295 entries, each one sees only about five first events of a service per
//! second, one of which may have waited for a long prompt. When entries decided by their
//! own waits alone, some escalated nearly every low-confidence response to the large
//! model while others escalated none at the same time.

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

/// Half-life of the waits that all entries have reported. The load of a burst or of
/// returning callers changes within a second, in which about 1,000 waits are reported.
const HALF_LIFE: Duration = Duration::from_millis(700);

/// Hash of a service's name.
pub type ServiceKey = u32;

/// Returns the key of a service.
pub fn key(service: &str) -> ServiceKey {
    // The lower half of a 64-bit hash is sufficiently uniform.
    hash::name(service.as_bytes()) as ServiceKey
}

/// Total of the waits that one or more entries have seen since the last report.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct WaitTotal {
    /// Key of the service.
    pub service: ServiceKey,
    /// Number of first events.
    pub count: u32,
    /// Sum of the waits, each relative to the target time of its route.
    pub sum: f32,
}

impl WaitTotal {
    /// Adds the total of other entries.
    pub fn add(&mut self, other: &Self) {
        self.count += other.count;
        self.sum += other.sum;
    }
}

/// Mean wait for first events of a service, relative to the target time.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct MeanWait {
    /// Key of the service.
    pub service: ServiceKey,
    /// Mean of the relative waits.
    pub ratio: f32,
}

/// Exponentially decaying mean of relative waits.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct DecayingMean {
    /// Decayed sum of the relative waits.
    sum: f64,
    /// Decayed number of waits.
    count: f64,
    /// Time of the last update.
    at: MonoTime,
}

impl DecayingMean {
    /// Adds waits and decays the previous ones by `half_life`.
    pub(super) fn add(&mut self, now: MonoTime, half_life: Duration, count: f64, sum: f64) {
        let decay = self.decay(now, half_life);
        self.sum = self.sum * decay + sum;
        self.count = self.count * decay + count;
        self.at = now;
    }

    /// Returns the mean wait. It tends to zero if there are few recent waits: without
    /// observations no pressure is assumed.
    pub(super) fn mean(&self, now: MonoTime, half_life: Duration) -> f64 {
        let decay = self.decay(now, half_life);
        self.sum * decay / (self.count * decay + 1.0)
    }

    fn decay(&self, now: MonoTime, half_life: Duration) -> f64 {
        let age = now.saturating_sub(self.at).as_secs_f64();
        0.5f64.powf(age / half_life.as_secs_f64())
    }
}

/// Waits of all entries, by service.
#[derive(Clone, Debug, Default)]
pub struct FleetWaits {
    services: BTreeMap<ServiceKey, DecayingMean>,
}

impl FleetWaits {
    /// Adds the totals that entries have reported.
    pub fn add(&mut self, now: MonoTime, waits: impl IntoIterator<Item = WaitTotal>) {
        for WaitTotal {
            service,
            count,
            sum,
        } in waits
        {
            let waits = self.services.entry(service).or_default();
            waits.add(now, HALF_LIFE, f64::from(count), f64::from(sum));
        }
    }

    /// Returns the mean wait of each service.
    pub fn means(&self, now: MonoTime) -> Vec<MeanWait> {
        let mean = |(&service, waits): (&ServiceKey, &DecayingMean)| MeanWait {
            service,
            ratio: waits.mean(now, HALF_LIFE) as f32,
        };
        self.services.iter().map(mean).collect()
    }
}
