//! Tests of plan selection.

use sesamebeam_core::{
    fleet::{
        Class,
        Priority, //
    },
    policy::{
        plan::{
            Candidate,
            Plan,
            PlanChoice,
            PlanConfig,
            PlanInput,
            Planner,
            Reason, //
        },
        quality::{
            Quality,
            QualityConfig, //
        },
    },
};

use crate::fixtures::{
    class,
    fleet,
    secs,
    target, //
};

/// Creates quality estimates from the number of good answers in 100 of the
/// cheap, mid and best versions.
fn quality(good: [u32; 3]) -> Quality {
    let mut quality = Quality::new(QualityConfig {
        detect_rater_fault: false,
        ..QualityConfig::default()
    });
    quality.configure(&fleet());
    for (version, good) in ["beam@cheap", "beam@mid", "beam@best"]
        .into_iter()
        .zip(good)
    {
        for nth in 0..200 {
            let score = if nth % 100 < good { 0.9 } else { 0.1 };
            quality.rate_now(secs(1), &"ask".into(), &version.into(), score);
        }
    }
    quality
}

fn plan(
    quality: &Quality,
    class: &Class,
    wanted: f64,
    draw: f64,
    rater_answers: bool,
) -> PlanChoice {
    let target = target("ask", wanted);
    let candidate = |(version, cost): (&str, f64)| Candidate {
        version: version.into(),
        cost,
        expected_duration: secs(5),
    };
    let candidates: Vec<Candidate> = [("beam@cheap", 1.0), ("beam@mid", 3.0), ("beam@best", 10.0)]
        .map(candidate)
        .into();
    let input = PlanInput {
        class,
        target: Some(&target),
        candidates: &candidates,
        time_left: secs(30),
        rater_available: rater_answers,
        draw,
    };
    Planner::new(PlanConfig::default())
        .plan(quality, &input)
        .expect("there are candidates")
}

#[test]
fn cheapest_meets() {
    let ask = class("ask", Priority::Normal, true);
    let planned = plan(&quality([95, 97, 99]), &ask, 0.85, 0.9, true);
    assert_eq!(planned.plan, Plan::Single("beam@cheap".into()));
    assert_eq!(planned.reason, Reason::Cheapest);
}

#[test]
fn cascade_cheaper() {
    let ask = class("ask", Priority::Normal, true);
    let planned = plan(&quality([80, 82, 99]), &ask, 0.88, 0.9, true);
    assert_eq!(
        planned.plan,
        Plan::Cascade {
            first: "beam@cheap".into(),
            then: "beam@mid".into(),
        }
    );
    assert!(planned.scored.len() > 3);
}

#[test]
fn never_twice() {
    // A cascade could run a job sheet twice and bill its materials twice.
    let sheet = class("ask", Priority::Normal, false);
    let planned = plan(&quality([80, 82, 99]), &sheet, 0.88, 0.9, true);
    assert_eq!(planned.plan, Plan::Single("beam@best".into()));
}

#[test]
fn silent_rater() {
    let ask = class("ask", Priority::Normal, true);
    let planned = plan(&quality([80, 82, 99]), &ask, 0.88, 0.9, false);
    assert_eq!(planned.plan, Plan::Single("beam@best".into()));
}

#[test]
fn none_meets() {
    let ask = class("ask", Priority::Normal, true);
    let planned = plan(&quality([50, 60, 70]), &ask, 0.99, 0.9, false);
    assert_eq!(planned.reason, Reason::BestAvailable);
    assert_eq!(planned.plan, Plan::Single("beam@best".into()));
}

#[test]
fn trials_by_chance() {
    let ask = class("ask", Priority::Normal, true);
    let mut quality = Quality::new(QualityConfig::default());
    quality.configure(&fleet());
    let tried = (0..1000)
        .map(|nth| plan(&quality, &ask, 0.85, f64::from(nth) / 1000.0, true))
        .filter(|planned| planned.reason == Reason::Trial)
        .count();
    assert!((100..500).contains(&tried), "{tried}");
}

#[test]
fn no_time() {
    // With four seconds left no version fits. The best available one must still
    // be tried and reported as such.
    let ask = class("ask", Priority::Normal, true);
    let quality = quality([95, 97, 99]);
    let target = target("ask", 0.85);
    let candidates = [Candidate {
        version: "beam@cheap".into(),
        cost: 1.0,
        expected_duration: secs(5),
    }];
    let input = PlanInput {
        class: &ask,
        target: Some(&target),
        candidates: &candidates,
        time_left: secs(4),
        rater_available: true,
        draw: 0.9,
    };
    let planned = Planner::new(PlanConfig::default()).plan(&quality, &input);
    assert_eq!(
        planned.map(|planned| planned.reason),
        Some(Reason::BestAvailable)
    );
}
