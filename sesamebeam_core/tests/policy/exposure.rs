//! Trust in versions and the sequential test.

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
            Live,
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

use crate::make::{
    class,
    fleet,
    secs, //
};

fn make() -> (Exposure, Quality) {
    let mut quality = Quality::new(QualityConfig::default());
    quality.configure(&fleet());
    let mut exposure = Exposure::new(ExposureConfig::default());
    exposure.configure(&fleet());
    exposure.live(&live(1.0));
    (exposure, quality)
}

fn live(share: f64) -> Live {
    Live {
        rollouts: vec![RolloutView {
            version: "beam@next".into(),
            state: RolloutState::At(0),
            share,
            rated: (0, 0),
        }],
        ..Live::default()
    }
}

/// Observes ratings of a version until it is held, at most `most`.
fn until_held(
    (exposure, quality): &mut (Exposure, Quality),
    rng: &mut StdRng,
    version: &str,
    good: f64,
    most: u32,
) -> Option<u32> {
    for nth in 1..=most {
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
    // A version that rolls out may write a job sheet only after 40 rated
    // answers to routine requests; a bad one is held by then.
    let (mut exposure, quality) = make();
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
    let (mut exposure, _) = make();
    exposure.live(&live(0.25));
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
    exposure.live(&live(0.5));
    let second = allowed(&exposure);
    assert!(first.iter().all(|n| second.contains(n)));
}

#[test]
fn bad_rollout() {
    let mut rng = StdRng::seed_from_u64(1);
    let mut times: Vec<u32> = (0..200)
        .map(|_| until_held(&mut make(), &mut rng, "beam@next", 0.45, 400).unwrap_or(u32::MAX))
        .collect();
    times.sort_unstable();
    assert!(times[100] <= 40, "{}", times[100]);
}

#[test]
fn false_holds() {
    let mut rng = StdRng::seed_from_u64(2);
    let held = (0..1000)
        .filter(|_| until_held(&mut make(), &mut rng, "beam@next", 0.9, 500).is_some())
        .count();
    assert!(held <= 10, "{held} of 1000");
}

#[test]
fn bad_long_after() {
    // A version is good for thousands of answers, which a plain running sum
    // would count in its favour for as many bad ones. Then it turns bad.
    let mut rng = StdRng::seed_from_u64(3);
    let mut times = Vec::new();
    for _ in 0..50 {
        let mut made = make();
        if until_held(&mut made, &mut rng, "beam@mid", 0.92, 1000).is_some() {
            continue;
        }
        times.extend(until_held(&mut made, &mut rng, "beam@mid", 0.45, 400));
    }
    times.sort_unstable();
    assert!(
        times.len() >= 49 && times[times.len() / 2] <= 40,
        "{times:?}"
    );
}

#[test]
fn session_stays() {
    // The rule: a hold keeps new sessions and requests away, a session that is
    // pinned goes on, and only a withdrawal ends the pin.
    let (mut exposure, _) = make();
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
    // Every request fails, whatever the version. The first version to cross
    // the limit is held; the second shows that the cause lies outside, and the
    // first is let go, so that there is a version left when the outage ends.
    let (mut exposure, quality) = make();
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
    assert!(exposure.held_here().is_empty());
}

#[test]
fn failing_version() {
    let (mut exposure, quality) = make();
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
    let (mut exposure, quality) = make();
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
    let (mut exposure, quality) = make();
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
    // One settled version after the other is found bad, minutes apart, as a
    // wrong rating service makes them look. The last one is not held: callers
    // would see every request refused.
    let (mut exposure, quality) = make();
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
    assert_eq!(exposure.held_here(), ["beam@cheap", "beam@mid"]);
}
