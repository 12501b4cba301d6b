//! Verdicts on new versions.

use sesamebeam_core::gateway::{
    feed::Evidence,
    rollout::{
        Phase,
        Rollout,
        Watch, //
    },
};
use yare::parameterized;

use crate::make::ms;

fn rollout(phase: Phase) -> Rollout {
    Rollout {
        target: "v2".into(),
        duration: ms(20_000),
        phase,
    }
}

fn evidence(version: &str, good: u32, bad: u32, slowness: f64) -> Evidence {
    Evidence {
        service: "pool".into(),
        version: version.into(),
        route: "notes".into(),
        good,
        bad,
        slowness: slowness * f64::from(good),
    }
}

#[parameterized(
    early = { 5000, Phase::Canary, Phase::Canary },
    half_way = { 10_500, Phase::Canary, Phase::Promoted },
    taken_over = { 12_000, Phase::Promoted, Phase::Promoted },
    nearly_over = { 17_700, Phase::Promoted, Phase::Completed },
    ended = { 1, Phase::RolledBack, Phase::RolledBack },
)]
fn good_version(at: u64, phase: Phase, next: Phase) {
    let mut watch = Watch::new(ms(0));
    watch.take("v2", &evidence("v1", 300, 6, 1.0));
    watch.take("v2", &evidence("v2", 30, 1, 1.1));
    assert_eq!(watch.phase(ms(at), &rollout(phase)), next);
}

#[parameterized(
    errors = { 12, 6, 1.0 },
    slow = { 20, 0, 8.0 },
)]
fn bad_version(good: u32, bad: u32, slowness: f64) {
    let mut watch = Watch::new(ms(0));
    watch.take("v2", &evidence("v1", 300, 6, 1.0));
    watch.take("v2", &evidence("v2", good, bad, slowness));
    for phase in [Phase::Canary, Phase::Promoted] {
        assert_eq!(watch.phase(ms(1000), &rollout(phase)), Phase::RolledBack);
    }
}

#[test]
fn failing_service() {
    // The service fails a quarter of its requests on every version. That says
    // nothing against the new one.
    let mut watch = Watch::new(ms(0));
    watch.take("v2", &evidence("v1", 300, 100, 1.0));
    watch.take("v2", &evidence("v2", 30, 11, 1.0));
    assert_eq!(
        watch.phase(ms(1000), &rollout(Phase::Canary)),
        Phase::Canary
    );
}

#[test]
fn unseen_version() {
    // Nothing ever reached the new version; it does not take over on trust.
    let mut watch = Watch::new(ms(0));
    watch.take("v2", &evidence("v1", 300, 6, 1.0));
    let phase = watch.phase(ms(15_000), &rollout(Phase::Canary));
    assert_eq!(phase, Phase::Canary);
}
