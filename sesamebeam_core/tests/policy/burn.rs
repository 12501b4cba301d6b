//! Tests of the burn rates of objectives.

use sesamebeam_core::policy::burn::{
    BurnTracker,
    Indicator,
    ObjectiveBurn, //
};

use crate::fixtures::{
    fleet,
    secs, //
};

fn burn() -> BurnTracker {
    let mut burn = BurnTracker::new();
    burn.configure(&fleet());
    burn
}

/// Records one request per second, of which every `bad_each`th is not answered.
fn run(burn: &mut BurnTracker, from: u64, until: u64, bad_each: u64) {
    for second in from..until {
        let whole = (second % bad_each != 0).then(|| secs(1));
        burn.record_request(secs(second), &"large".into(), &"ask".into(), whole);
    }
}

fn whole(burn: &BurnTracker, at: u64) -> ObjectiveBurn {
    let report = burn.report(secs(at), Some("large"));
    let found = report
        .objectives
        .into_iter()
        .find(|o| o.indicator == Indicator::Whole);
    found.expect("the objective is in the fleet file")
}

#[test]
fn steady_rate() {
    // The objective allows one failure in a hundred requests and one in fifty
    // fails, which is a burn rate of two.
    let mut burn = burn();
    run(&mut burn, 0, 7200, 50);
    let whole = whole(&burn, 7200);
    for pair in &whole.pairs {
        assert!((pair.short.rate - 2.0).abs() < 0.2 && (pair.long.rate - 2.0).abs() < 0.2);
    }
    assert!(!whole.alerts());
}

#[test]
fn short_spike() {
    // After a spike has ended, only the long window still burns, so the alert
    // must clear.
    let mut burn = burn();
    run(&mut burn, 0, 1800, 2);
    assert!(whole(&burn, 1800).alerts());
    run(&mut burn, 1800, 10_000, u64::MAX);
    let pairs = whole(&burn, 10_000).pairs;
    assert_eq!(pairs[0].short.rate, 0.0);
    assert!(!pairs[0].alerts && pairs[1].long.rate > 1.0);
}

#[test]
fn latency_and_quality() {
    let mut burn = burn();
    for second in 0..100 {
        let latency = secs(if second % 2 == 0 { 1 } else { 5 });
        burn.record_request(secs(second), &"large".into(), &"ask".into(), Some(latency));
        burn.record_rating(
            secs(second),
            &"large".into(),
            &"ask".into(),
            second % 4 != 0,
        );
    }
    let report = burn.report(secs(100), Some("large"));
    let rate = |indicator| {
        let found = report.objectives.iter().find(|o| o.indicator == indicator);
        found.map_or(0.0, |o| o.pairs[0].short.rate)
    };
    assert!((rate(Indicator::Latency) - 10.0).abs() < 0.01);
    assert!((rate(Indicator::Quality) - 0.25 / 0.15).abs() < 0.01);
    assert_eq!(rate(Indicator::Whole), 0.0);
}

#[test]
fn day_is_bounded() {
    let mut burn = burn();
    run(&mut burn, 0, 3 * 86_400, 100);
    let whole = whole(&burn, 3 * 86_400);
    assert_eq!(whole.history.len(), 96);
    assert!(whole.pairs[2].long.total <= 87_300);
}

#[test]
fn only_one_org() {
    let report = burn().report(secs(1), Some("small"));
    assert!(report.objectives.iter().all(|o| o.org == "small"));
    assert_eq!(report.objectives.len(), 3);
    assert_eq!(burn().report(secs(1), None).objectives.len(), 6);
}
