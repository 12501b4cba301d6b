//! True quality, ratings, and what the policy observes of them.

use std::time::Duration;

use rand::RngExt;
use sesamebeam_core::{
    ids::VersionId,
    message::server::Rating,
    policy::{
        exposure::Observation,
        hash,
        quality::RatingOutcome, //
    },
};

use crate::policy::{
    replay::{
        Replay,
        attempt::Step,
        event::Event, //
    },
    router::{
        RATING_COST,
        Strategy, //
    },
    world::Fault,
};

/// Share of ratings that are wrong when the rating service is sound.
const RATER_NOISE: f64 = 0.01;

impl Replay<'_> {
    pub(super) fn rate(&mut self, at: usize) {
        let mut rating = self.ratings[at].clone();
        rating.age = Duration::from_millis(100);
        let distrusted = self.router.quality.rater_distrusted();
        let rated = self.router.quality.rate(self.now, &rating);
        if !distrusted && self.router.quality.rater_distrusted() {
            let since = self.now.saturating_sub(Duration::from_secs(60));
            self.router.exposure.release_ratings_since(since);
        }
        if let RatingOutcome::Counted {
            good,
            escalated: redo,
        } = rated
            && let Some(request) = self.by_id.get(&rating.request).copied()
        {
            let seen = match redo {
                true => Observation::Escalated { good },
                false => Observation::Rated { good },
            };
            self.observe(request, &rating.version, seen);
        }
    }

    /// Rates the first answer of a cascade at once.
    pub(super) fn rejected(&mut self, at: usize, version: &VersionId) -> bool {
        self.requests[at].cost += RATING_COST * self.requests[at].tokens / 1000.0;
        let Some(score) = self.score(at, version) else {
            self.router.rater_answers = false;
            return true;
        };
        self.router.rater_answers = true;
        let class = self.class(at).name.clone();
        if let RatingOutcome::Counted { good, .. } = self
            .router
            .quality
            .rate_now(self.now, &class, version, score)
        {
            self.observe(at, version, Observation::Rated { good });
        }
        score < 0.5
    }

    pub(super) fn sample(&mut self, at: usize, version: &VersionId, step: Step) {
        if self.setting.strategy != Strategy::Sesamebeam {
            return;
        }
        let request = &self.requests[at];
        let usual = self.router.exposure.sample_share(version);
        let class = &self.class(at).name;
        let share = self.router.quality.sample_share(class, version, usual);
        if hash::unit(&request.id.to_le_bytes(), "sample") >= share {
            return;
        }
        let (id, class) = (request.id, self.class(at).name.clone());
        match step {
            Step::Redo => self
                .router
                .quality
                .await_escalated_rating(self.now, id, &class, version),
            Step::Only | Step::First => self
                .router
                .quality
                .await_rating(self.now, id, &class, version),
        }
        let Some(score) = self.score(at, version) else {
            return;
        };
        let rating = Rating {
            request: id,
            class,
            version: version.clone(),
            score,
            age: Duration::ZERO,
        };
        self.ratings.push(rating);
        let lag = 0.5 + self.rng.random::<f64>() * 1.5;
        self.after(
            Duration::from_secs_f64(lag),
            Event::Rate(self.ratings.len() - 1),
        );
    }

    /// What the rating service says; none while it is silent.
    fn score(&mut self, at: usize, version: &str) -> Option<f64> {
        let good = self.good(at, version);
        let wrong = self.rng.random::<f64>() < RATER_NOISE;
        match self.setting.fault {
            Fault::RaterSilent if self.fault_on => None,
            Fault::RaterWrong if self.fault_on => Some(0.1),
            _ => Some(if good != wrong { 0.9 } else { 0.1 }),
        }
    }

    pub(super) fn observe(&mut self, at: usize, version: &VersionId, seen: Observation) {
        if self.setting.strategy != Strategy::Sesamebeam {
            return;
        }
        let class = self.class(at).name.clone();
        let held =
            self.router
                .exposure
                .observe(self.now, version, &class, seen, &self.router.quality);
        if held.is_some() {
            self.run.held(version, self.now, self.is_bad(version));
        }
    }

    /// Whether the answer of a version to a request is truly good. Half of the
    /// requests are as hard for one version as for another.
    pub(super) fn good(&self, at: usize, version: &str) -> bool {
        let request = &self.requests[at];
        let id = request.id.to_le_bytes();
        let alike = hash::unit(&id, "alike") < 0.5;
        let draw = hash::unit(&id, if alike { "difficulty" } else { version });
        let class = &self.class(at).name;
        draw < self.true_quality(class, version)
    }

    fn true_quality(&self, class: &str, version: &str) -> f64 {
        let quality = self.deployment.quality(class, version);
        if self.is_bad(version) {
            quality * 0.5
        } else {
            quality
        }
    }

    pub(super) fn is_bad(&self, version: &str) -> bool {
        self.fault_on
            && match self.setting.fault {
                Fault::TurnsBad => version == self.victim,
                Fault::BadRollout => self.rolling.as_ref().is_some_and(|r| r == version),
                _ => false,
            }
    }
}
