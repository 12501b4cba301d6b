//! Tests of the quality estimates.

use std::time::Duration;

use sesamebeam_core::{
    ids::MonoTime,
    policy::quality::{
        Ignored,
        Quality,
        QualityConfig,
        RatingOutcome, //
    },
};
use yare::parameterized;

use crate::fixtures::{
    fleet,
    rating,
    secs, //
};

fn quality() -> Quality {
    let mut quality = Quality::new(QualityConfig::default());
    quality.configure(&fleet());
    quality
}

/// Rates `n` answers of a version, the first `bad` of them as bad, with request
/// identifiers starting at `first`.
fn rate(quality: &mut Quality, now: MonoTime, first: u128, version: &str, n: u128, bad: u128) {
    for number in first..first + n {
        quality.await_rating(now, number, &"ask".into(), &version.into());
        let score = if number - first < bad { 0.1 } else { 0.9 };
        quality.rate(now, &rating(number, version, score));
    }
}

#[test]
fn prior_first() {
    let quality = quality();
    assert!((quality.expected("ask", "beam@cheap") - 0.8).abs() < 1e-9);
    assert!(quality.confidence("ask", "beam@best", 0.85) < 0.95);
}

#[test]
fn evidence_convinces() {
    let mut quality = quality();
    rate(&mut quality, secs(1), 0, "beam@mid", 100, 4);
    assert!(quality.confidence("ask", "beam@mid", 0.85) > 0.99);
    assert!(quality.confidence("ask", "beam@mid", 0.99) < 0.05);
}

#[test]
fn silence_fades() {
    // The rating service stops responding for hours. Evidence decays gradually,
    // so plans become cautious without being blocked.
    let mut quality = quality();
    rate(&mut quality, secs(1), 0, "beam@mid", 100, 2);
    let before = quality.confidence("ask", "beam@mid", 0.9);
    quality.tick(secs(8 * 3600));
    let after = quality.confidence("ask", "beam@mid", 0.9);
    assert!(
        before > 0.99 && after < before && after > 0.3,
        "{before} {after}"
    );
}

#[test]
fn turns_bad() {
    let mut quality = quality();
    rate(&mut quality, secs(1), 0, "beam@mid", 1000, 50);
    rate(&mut quality, secs(2), 5000, "beam@mid", 200, 100);
    assert!(quality.confidence("ask", "beam@mid", 0.85) < 0.1);
}

#[parameterized(
    nan = { f64::NAN, 0, 1, Ignored::OutOfRange },
    above = { 1.5, 0, 1, Ignored::OutOfRange },
    below = { -0.1, 0, 1, Ignored::OutOfRange },
    unknown = { 0.9, 0, 2, Ignored::Unknown },
    future = { 0.9, 60, 1, Ignored::Future },
)]
fn bad_rating(score: f64, age: u64, request: u128, why: Ignored) {
    let mut quality = quality();
    quality.await_rating(secs(10), 1, &"ask".into(), &"beam@mid".into());
    let mut rating = rating(request, "beam@mid", score);
    rating.age = Duration::from_secs(age);
    assert_eq!(quality.rate(secs(11), &rating), RatingOutcome::Ignored(why));
    assert_eq!(quality.evidence("ask", "beam@mid"), 0.0);
}

#[test]
fn rated_twice() {
    let mut quality = quality();
    quality.await_rating(secs(1), 1, &"ask".into(), &"beam@mid".into());
    assert!(matches!(
        quality.rate(secs(2), &rating(1, "beam@mid", 0.9)),
        RatingOutcome::Counted { .. }
    ));
    let again = quality.rate(secs(3), &rating(1, "beam@mid", 0.9));
    assert_eq!(again, RatingOutcome::Ignored(Ignored::Unknown));
}

#[test]
fn wrong_rater() {
    // A faulty rating service rates every answer as bad. Versions known to be
    // good look bad all at once, which must be attributed to the rating
    // service: its ratings are ignored for a while and then accepted again.
    let mut quality = quality();
    rate(&mut quality, secs(1), 0, "beam@mid", 100, 5);
    rate(&mut quality, secs(1), 200, "beam@best", 100, 2);
    let before = quality.expected("ask", "beam@best");
    for number in (1000..1040).step_by(2) {
        rate(&mut quality, secs(2), number, "beam@mid", 1, 1);
        rate(&mut quality, secs(2), number + 1, "beam@best", 1, 1);
    }
    assert!(quality.rater_distrusted());
    assert!(quality.expected("ask", "beam@best") > before - 0.1);
    quality.tick(secs(200));
    assert!(!quality.rater_distrusted());
}

#[test]
fn one_bad_version() {
    let mut quality = quality();
    rate(&mut quality, secs(1), 0, "beam@mid", 100, 5);
    rate(&mut quality, secs(1), 200, "beam@best", 100, 2);
    for number in (1000..1040).step_by(2) {
        rate(&mut quality, secs(2), number, "beam@mid", 1, 1);
        rate(&mut quality, secs(2), number + 1, "beam@best", 1, 0);
    }
    assert!(!quality.rater_distrusted());
}

#[test]
fn escalated_apart() {
    let mut quality = quality();
    rate(&mut quality, secs(1), 0, "beam@best", 50, 0);
    let usual = quality.expected("ask", "beam@best");
    for number in 100..150 {
        quality.await_escalated_rating(secs(1), number, &"ask".into(), &"beam@best".into());
        quality.rate(secs(2), &rating(number, "beam@best", 0.1));
    }
    assert_eq!(quality.expected("ask", "beam@best"), usual);
    assert!(quality.escalated_moments("ask", "beam@best", 0.97).mean < 0.2);
}
