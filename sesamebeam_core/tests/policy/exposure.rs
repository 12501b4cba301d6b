//! Tests of staged exposure and the sequential tests.

use rand::{
    RngExt,
    SeedableRng,
    rngs::StdRng, //
};
use sesamebeam_core::{
    fleet::{
        Priority,
        VersionState, //
    },
    message::{
        command::RolloutState,
        control::{
            LiveState,
            RolloutView, //
        },
    },
    policy::{
        exposure::{
            Exposure,
            ExposureConfig,
            HoldReason,
            Observation,
            Permit, //
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
    secs, //
};

fn new_exposure() -> (Exposure, Quality) {
    let mut quality = Quality::new(QualityConfig::default());
    quality.configure(&fleet());
    let mut exposure = Exposure::new(ExposureConfig::default());
    exposure.configure(&fleet());
    exposure.apply_live(&live(1.0));
    (exposure, quality)
}

fn live(share: f64) -> LiveState {
    LiveState {
        rollouts: vec![RolloutView {
            version: "beam@next".into(),
            state: RolloutState::At(0),
            share,
            rated: (0, 0),
        }],
        ..LiveState::default()
    }
}

/// Records ratings of a version until it is held, at most `limit`. Returns the
/// number of ratings needed.
fn ratings_until_held(
    (exposure, quality): &mut (Exposure, Quality),
    rng: &mut StdRng,
    version: &str,
    good: f64,
    limit: u32,
) -> Option<u32> {
    for nth in 1..=limit {
        let seen = Observation::Rated {
            good: rng.random::<f64>() < good,
        };
        if exposure
            .observe(secs(1), &version.into(), "ask", seen, quality)
            .is_some()
        {
            return Some(nth);
        }
    }
    None
}

#[test]
fn trust_in_order() {
    // A version that is rolling out must not receive non-idempotent requests
    // (here a job sheet) before 40 rated answers to routine requests; a bad
    // version is held by then.
    let (mut exposure, quality) = new_exposure();
    let routine = class("ask", Priority::Normal, true);
    let urgent = class("status", Priority::Urgent, true);
    let sheet = class("sheet", Priority::Urgent, false);
    let permits = |exposure: &Exposure| {
        [&routine, &urgent, &sheet].map(|class| exposure.permit("beam@next", class, b"1", false))
    };
    assert_eq!(
        permits(&exposure),
        [Permit::Allowed, Permit::Untrusted, Permit::Untrusted]
    );
    let seen = Observation::Rated { good: true };
    for rated in 1..=40 {
        exposure.observe(secs(1), &"beam@next".into(), "ask", seen, &quality);
        if rated == 20 {
            assert_eq!(
                permits(&exposure),
                [Permit::Allowed, Permit::Allowed, Permit::Untrusted]
            );
        }
    }
    assert_eq!(permits(&exposure), [Permit::Allowed; 3]);
}

#[test]
fn same_share() {
    let (mut exposure, _) = new_exposure();
    exposure.apply_live(&live(0.25));
    let routine = class("ask", Priority::Normal, true);
    let allowed = |exposure: &Exposure| -> Vec<u32> {
        (0..4000u32)
            .filter(|n| {
                exposure
                    .permit("beam@next", &routine, &n.to_le_bytes(), false)
                    .allows()
            })
            .collect()
    };
    let first = allowed(&exposure);
    assert!((900..1100).contains(&first.len()), "{}", first.len());
    exposure.apply_live(&live(0.5));
    let second = allowed(&exposure);
    assert!(first.iter().all(|n| second.contains(n)));
}

#[test]
fn bad_rollout() {
    let mut rng = StdRng::seed_from_u64(1);
    let mut times: Vec<u32> = (0..200)
        .map(|_| {
            ratings_until_held(&mut new_exposure(), &mut rng, "beam@next", 0.45, 400)
                .unwrap_or(u32::MAX)
        })
        .collect();
    times.sort_unstable();
    assert!(times[100] <= 40, "{}", times[100]);
}

#[test]
fn false_holds() {
    let mut rng = StdRng::seed_from_u64(2);
    let held = (0..1000)
        .filter(|_| {
            ratings_until_held(&mut new_exposure(), &mut rng, "beam@next", 0.9, 500).is_some()
        })
        .count();
    assert!(held <= 10, "{held} of 1000");
}

#[test]
fn bad_long_after() {
    // A version degrades after thousands of good answers. A plain running sum
    // would let the good answers offset as many bad ones and delay the hold.
    let mut rng = StdRng::seed_from_u64(3);
    let mut times = Vec::new();
    for _ in 0..50 {
        let mut made = new_exposure();
        if ratings_until_held(&mut made, &mut rng, "beam@mid", 0.92, 1000).is_some() {
            continue;
        }
        times.extend(ratings_until_held(
            &mut made, &mut rng, "beam@mid", 0.45, 400,
        ));
    }
    times.sort_unstable();
    assert!(
        times.len() >= 49 && times[times.len() / 2] <= 40,
        "{times:?}"
    );
}

#[test]
fn session_stays() {
    // A hold excludes new sessions and requests without a session. A pinned
    // session continues, and only withdrawal of the version ends the pin.
    let (mut exposure, _) = new_exposure();
    let routine = class("ask", Priority::Normal, true);
    exposure.hold(secs(1), "beam@mid");
    assert_eq!(
        exposure.permit("beam@mid", &routine, b"1", false),
        Permit::Held
    );
    assert_eq!(
        exposure.permit("beam@mid", &routine, b"1", true),
        Permit::Pinned
    );
    let mut fleet = fleet();
    fleet.models[0].versions[1].state = VersionState::Withdrawn;
    exposure.configure(&fleet);
    assert_eq!(
        exposure.permit("beam@mid", &routine, b"1", true),
        Permit::Withdrawn
    );
}

#[test]
fn outage_holds_none() {
    // Every request fails regardless of the version. The first version to cross
    // the limit is held; the second indicates an external cause, so the first
    // must be released. Otherwise no version would be available after the
    // outage.
    let (mut exposure, quality) = new_exposure();
    for _ in 0..50 {
        for version in ["beam@cheap", "beam@mid", "beam@best"] {
            exposure.observe(
                secs(1),
                &version.into(),
                "ask",
                Observation::Failed,
                &quality,
            );
        }
    }
    assert!(exposure.held_versions().is_empty());
}

#[test]
fn failing_version() {
    let (mut exposure, quality) = new_exposure();
    let held = (0..10).find_map(|_| {
        exposure.observe(
            secs(1),
            &"beam@next".into(),
            "ask",
            Observation::Failed,
            &quality,
        )
    });
    assert_eq!(held, Some(HoldReason::Failures));
}

#[test]
fn slow_version() {
    let (mut exposure, quality) = new_exposure();
    let whole = |seconds| Observation::Whole {
        took: secs(seconds),
        tokens: 100,
    };
    for _ in 0..50 {
        exposure.observe(secs(1), &"beam@mid".into(), "ask", whole(2), &quality);
    }
    let held = (0..60)
        .find_map(|_| exposure.observe(secs(1), &"beam@next".into(), "ask", whole(9), &quality));
    assert_eq!(held, Some(HoldReason::Slowness));
}

#[test]
fn evidence_once() {
    let (mut exposure, quality) = new_exposure();
    for good in [true, true, false] {
        let seen = Observation::Rated { good };
        exposure.observe(secs(1), &"beam@next".into(), "ask", seen, &quality);
    }
    let reports = exposure.take_evidence(&"entry-1".into());
    assert_eq!(reports.len(), 1);
    assert_eq!(
        (reports[0].good, reports[0].bad, reports[0].hold),
        (2, 1, false)
    );
    assert!(exposure.take_evidence(&"entry-1".into()).is_empty());
}

#[test]
fn last_one_stays() {
    // The settled versions are found bad one after another, minutes apart, as
    // happens with a faulty rating service. The last one must not be held,
    // because every request would be refused.
    let (mut exposure, quality) = new_exposure();
    for (nth, version) in ["beam@cheap", "beam@mid", "beam@best"]
        .into_iter()
        .enumerate()
    {
        let now = secs(1000 * (nth as u64 + 1));
        for _ in 0..60 {
            let seen = Observation::Rated { good: false };
            exposure.observe(now, &version.into(), "ask", seen, &quality);
        }
    }
    assert_eq!(exposure.held_versions(), ["beam@cheap", "beam@mid"]);
}
