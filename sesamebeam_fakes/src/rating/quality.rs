//! True quality of answers, and the scores that follow from it.

use std::collections::BTreeMap;

use sesamebeam_core::ids::{
    ClassId,
    VersionId, //
};

use crate::answer::{
    BAD_MARK,
    share, //
};

/// Seed offset of the draw whether a score comes out the wrong way. The offsets
/// of a service differ, so that its draws for one answer do not depend on each
/// other.
const NOISE_SEED: u64 = 3;

/// True quality of answers: the share of them that is good.
#[derive(Clone, Debug)]
pub struct Quality {
    /// Seed of the draw of each answer.
    pub seed: u64,
    /// Share of good answers by class and version.
    pub by_class: BTreeMap<(ClassId, VersionId), f64>,
    /// Share of good answers by version, for the classes not listed.
    pub by_version: BTreeMap<VersionId, f64>,
    /// Share of good answers of all other versions.
    pub default: f64,
    /// Share of good answers among those that a version made bad has marked.
    pub bad: f64,
    /// Share of scores that come out the wrong way.
    pub noise: f64,
}

impl Default for Quality {
    fn default() -> Self {
        Self {
            seed: 0,
            by_class: BTreeMap::new(),
            by_version: BTreeMap::new(),
            default: 0.9,
            bad: 0.05,
            noise: 0.0,
        }
    }
}

impl Quality {
    /// Share of the answers that is good.
    pub fn share(&self, class: &str, version: &str) -> f64 {
        let key = (ClassId::new(class), VersionId::new(version));
        let listed = self.by_class.get(&key);
        let listed = listed.or_else(|| self.by_version.get(version));
        listed.copied().unwrap_or(self.default)
    }

    /// Whether one answer is good, the same each time.
    pub fn is_good(&self, class: &str, version: &str, answer: &str) -> bool {
        let good = if answer.starts_with(BAD_MARK) {
            self.bad
        } else {
            self.share(class, version)
        };
        share(self.seed, &[class, version, answer]) < good
    }

    /// Score of one answer as the service gives it: 1 if it is good, 0 if not,
    /// the other way round for the share that `noise` says.
    pub fn score(&self, class: &str, version: &str, answer: &str) -> f64 {
        let noise = share(self.seed ^ NOISE_SEED, &[class, version, answer]);
        let good = self.is_good(class, version, answer);
        f64::from(u8::from(good != (noise < self.noise)))
    }
}
