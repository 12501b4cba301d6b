//! Decisions of the model cascade.

use sesamebeam_core::{
    gateway::{
        cascade::{
            Cascade,
            Decision,
            relative_cost, //
        },
        waits::{
            self,
            FleetWaits,
            MeanWait, //
        },
    },
    ids::ModelId, //
};
use yare::parameterized;

use crate::fixtures::ms;

fn models() -> Vec<ModelId> {
    vec!["small".into(), "middle".into(), "large".into()]
}

#[parameterized(
    sure = { "small", Some(80), Decision::Keep },
    unsure = { "small", Some(10), Decision::Ask("large".into()) },
    largest = { "large", Some(10), Decision::Keep },
    no_confidence = { "small", None, Decision::Keep },
)]
fn no_pressure(model: &str, confidence: Option<u8>, step: Decision) {
    let cascade = Cascade::default();
    let judged = cascade.judge(ms(0), &"pool".into(), &models(), model, confidence, 2.0);
    assert_eq!(judged, step);
}

#[test]
fn short_response_to_long_prompt() {
    let cascade = Cascade::default();
    let judge = |confidence, relative_cost| {
        let service = "pool".into();
        cascade.judge(
            ms(0),
            &service,
            &models(),
            "small",
            Some(confidence),
            relative_cost,
        )
    };
    let long_response = relative_cost(600, Some(300));
    let short_response = relative_cost(1800, Some(20));
    assert_eq!(judge(45, long_response), Decision::Ask("large".into()));
    assert_eq!(judge(45, short_response), Decision::Keep);
    assert_eq!(judge(5, short_response), Decision::Ask("large".into()));
}

#[test]
fn under_pressure() {
    // Waits for first events reach the target time. Escalating every second request to
    // the large model would make all of them late, so responses are kept.
    let mut cascade = Cascade::default();
    for n in 0..50 {
        cascade.record_wait(ms(n * 20), &"pool".into(), ms(1000), ms(1000));
    }
    let judge = |now| cascade.judge(now, &"pool".into(), &models(), "small", Some(10), 2.0);
    assert_eq!(judge(ms(1000)), Decision::Keep);
    assert_eq!(judge(ms(20_000)), Decision::Ask("large".into()));
    let other = cascade.judge(ms(1000), &"other".into(), &models(), "small", Some(10), 2.0);
    assert_eq!(other, Decision::Ask("large".into()));
}

/// Returns the confidence threshold of the service `pool`.
fn threshold(cascade: &Cascade, now: u64) -> f64 {
    cascade.threshold(ms(now), &"pool".into(), 1.0)
}

/// Returns a mean wait of the service `pool`.
fn mean(ratio: f32) -> MeanWait {
    let service = waits::key("pool");
    MeanWait { service, ratio }
}

#[test]
fn entries_share_threshold() {
    // One entry has just waited for a prompt of 50,000 tokens, another one has not. When
    // each decided by its own waits, callers of the first got poor responses and those of
    // the second late ones, while the fleet as a whole was neither idle nor full.
    let (mut one, mut other) = (Cascade::default(), Cascade::default());
    one.record_wait(ms(0), &"pool".into(), ms(2400), ms(1000));
    assert!(threshold(&one, 10) < threshold(&other, 10) / 2.0);
    for cascade in [&mut one, &mut other] {
        cascade.set_fleet_means(ms(10), [mean(0.2)]);
    }
    assert_eq!(threshold(&one, 20), threshold(&other, 20));
    // When no more means arrive, the last one expires and each entry uses its own waits
    // again.
    assert!(threshold(&one, 1600) < threshold(&other, 1600));
}

#[test]
fn restart_of_all() {
    // All entries have restarted without any known waits, and all callers return.
    // Responses are kept until the fleet is known to be without pressure.
    let mut cascade = Cascade::default();
    cascade.started(ms(1000));
    assert_eq!(threshold(&cascade, 1100), 0.0);
    cascade.set_fleet_means(ms(1200), [mean(0.1)]);
    assert!(threshold(&cascade, 1300) > 50.0);
    let mut alone = Cascade::default();
    alone.started(ms(1000));
    assert!(threshold(&alone, 1700) > 50.0);
}

#[test]
fn fleet_mean() {
    let mut entries = Vec::new();
    for n in 0..100 {
        let mut cascade = Cascade::default();
        let took = if n % 10 == 0 { 1000 } else { 100 };
        cascade.record_wait(ms(0), &"pool".into(), ms(took), ms(1000));
        entries.extend(cascade.take_unreported());
    }
    let mut fleet = FleetWaits::default();
    fleet.add(ms(0), entries);
    let mean = fleet.means(ms(0))[0].ratio;
    assert!((mean - 0.19).abs() < 0.01, "{mean}");
}
