//! Escalation to larger models by predicted completion.

use std::time::Duration;

use proptest::prelude::*;
use sesamebeam_core::{
    gateway::{
        cascade::Decision,
        config::EngineConfig,
        engines::{
            Forecast,
            escalation::{
                Answer,
                Judgement,
                Step, //
            },
        },
        loads::ServerLoad,
        request::{
            Load,
            ResponseHead, //
        },
        router::Router,
    },
    ids::ModelId,
};
use yare::parameterized;

use crate::fixtures::{
    announcement,
    choice,
    config,
    head,
    ms,
    plan,
    router_config, //
};

const SERVERS: u8 = 4;
const FULL: u32 = 10;

/// An answer with time left for 5 s, after 100 ms of a target of 1 s.
const ANSWER: Answer = Answer {
    confidence: 10,
    base_threshold: 50.0,
    pressure: 0.0,
    waited: Duration::from_millis(100),
    target: Duration::from_secs(1),
    time_left: Duration::from_secs(5),
};

fn forecast(first_event: u64, completion: u64) -> Forecast {
    Forecast {
        first_event: ms(first_event),
        completion: ms(completion),
        prefill: ms(0),
        shared_prefill: ms(0),
        slowdown: 1.0,
        requests: 0.0,
        has_queue: false,
    }
}

/// Returns an entry that has just received its first configuration.
fn entry(contention: bool, engine: bool) -> Router {
    let mut settings = router_config();
    settings.contention = contention;
    // Short, so that the slack is there soon after the start.
    settings.budget.window = ms(50);
    let mut router = Router::new(settings);
    let mut config = config(1);
    config.routes[0].models.insert(1, "middle".into());
    config.services[0].engine = engine.then(|| EngineConfig {
        slots: FULL,
        kv_capacity_tokens: 430_643,
        tokens_per_event: 1,
        models: Vec::new(),
    });
    router.set_config(ms(0), config);
    router.set_entries(ms(0), 1);
    for number in 0..SERVERS {
        router.apply_announcement(ms(0), announcement(number));
    }
    router
}

/// Passes on the loads of all engines.
fn apply_loads(router: &mut Router, now: u64, running: u32, waiting: u32) {
    let load = Load {
        running,
        waiting,
        slots: FULL,
        slowdown: None,
    };
    let loads = (0..SERVERS).map(|n| ServerLoad::new(&announcement(n).id, load));
    router.apply_loads(ms(now), loads.collect(), Vec::new());
}

/// Judges an answer of the small model without confidence, after the caller's send.
fn judge(router: &mut Router, now: u64, confidence: u8, tried: &[u8]) -> Judgement {
    let plan = plan(router, ms(now), &format!("r{now}"));
    let answer = ResponseHead {
        confidence: Some(confidence),
        ..ResponseHead::default()
    };
    let tried: Vec<_> = tried.iter().map(|&n| announcement(n).id).collect();
    router.judge_answer(ms(now), &plan, "small", &answer, &tried, true)
}

// Guards against answers that are dropped for a model that is late, and against poor
// answers that are kept although a larger model has time. The largest model's first event
// and completion and the middle one's are given.
#[parameterized(
    unsure = { 10, 0.0, (200, 3000), Some("large"), 50.0, Step::Largest },
    sure = { 50, 0.0, (200, 3000), None, 50.0, Step::Kept },
    half_late = { 24, 0.0, (900, 3000), Some("large"), 25.0, Step::Largest },
    half_late_and_sure = { 26, 0.0, (900, 3000), None, 25.0, Step::Kept },
    late_for_target = { 0, 0.0, (1200, 3000), None, 0.0, Step::Kept },
    half_pressure = { 26, 0.5, (200, 3000), None, 25.0, Step::Kept },
    no_margin = { 10, 0.0, (200, 4100), Some("middle"), 50.0, Step::Middle },
    sure_and_no_margin = { 60, 0.0, (200, 4100), None, 50.0, Step::Kept },
)]
fn table(
    confidence: u8,
    pressure: f64,
    largest: (u64, u64),
    asked: Option<&str>,
    keep_from: f64,
    step: Step,
) {
    let answer = Answer {
        confidence,
        pressure,
        ..ANSWER
    };
    let judged = answer.judge([
        ("large".into(), Some(forecast(largest.0, largest.1))),
        ("middle".into(), Some(forecast(100, 2000))),
    ]);
    assert!((judged.keep_from - keep_from).abs() < 0.01, "{judged:?}");
    let decision = asked.map_or(Decision::Keep, |model| Decision::Ask(model.into()));
    assert_eq!((judged.decision, judged.step), (decision, Some(step)));
}

#[parameterized(
    wanted = { 10, 0.0, Step::Late },
    sure = { 60, 0.0, Step::Kept },
    pressed = { 10, 1.0, Step::Kept },
)]
fn none_in_time(confidence: u8, pressure: f64, step: Step) {
    let answer = Answer {
        confidence,
        pressure,
        ..ANSWER
    };
    let judged = answer.judge([
        ("large".into(), None),
        ("middle".into(), Some(forecast(100, 4100))),
    ]);
    assert_eq!(judged, Judgement::kept(0.0, Some(step)));
}

proptest! {
    // Guards against requests that are escalated and then reach their deadlines.
    #[test]
    fn never_beyond_the_deadline(
        answer in (0u8..=100, 0f64..100.0, 0f64..=1.0, 0u64..5000, 0u64..3000, 0u64..9000),
        times in proptest::collection::vec((0u64..5000, 0u64..9000), 0..4),
    ) {
        let (confidence, base_threshold, pressure, waited, target, left) = answer;
        let answer = Answer {
            confidence,
            base_threshold,
            pressure,
            waited: ms(waited),
            target: ms(target),
            time_left: ms(left),
        };
        let larger = times.iter().enumerate().map(|(n, &(first_event, streaming))| {
            (ModelId::from(n.to_string()), Some(forecast(first_event, first_event + streaming)))
        });
        let judged = answer.judge(larger);
        prop_assert!((0.0..=base_threshold).contains(&judged.keep_from));
        if let Decision::Ask(model) = judged.decision {
            let (first_event, streaming) = times[model.parse::<usize>().expect("a position")];
            prop_assert!(5 * (first_event + streaming) <= 4 * left);
            prop_assert!(f64::from(confidence) < judged.keep_from);
        }
    }
}

#[parameterized(
    middle = { "middle", Some(Step::Largest) },
    largest = { "large", None },
)]
fn larger_models_answer(asked: &str, step: Option<Step>) {
    // Guards against an unsure answer of the middle model that is never escalated, and
    // against one of the largest that is.
    let mut router = entry(true, true);
    let plan = plan(&mut router, ms(1000), "a");
    let unsure = ResponseHead {
        confidence: Some(0),
        ..ResponseHead::default()
    };
    let judged = router.judge_answer(ms(1000), &plan, asked, &unsure, &[], true);
    assert_eq!(judged.step, step);
    let is_asked = judged.decision == Decision::Ask("large".into());
    assert_eq!(is_asked, step.is_some());
}

#[test]
fn pressure_ends_with_the_load() {
    // Guards against a threshold that stays at 0 because of past waits of 5 s after
    // engines have room again.
    let mut router = entry(true, true);
    apply_loads(&mut router, 1000, FULL, 3 * FULL);
    let pressed = judge(&mut router, 1000, 10, &[]);
    assert_eq!(pressed, Judgement::kept(0.0, Some(Step::Kept)));
    let past = plan(&mut router, ms(1000), "past");
    for _ in 0..20 {
        router.record_first_event(ms(1900), &past, &choice(0), Some("small"), ms(5000));
    }
    assert!(router.confidence_threshold(ms(2000), &past) < 1.0);
    apply_loads(&mut router, 2000, 1, 0);
    let judged = judge(&mut router, 2000, 10, &[]);
    assert_eq!(judged.decision, Decision::Ask("large".into()));
}

#[parameterized(
    starting = { 100, false, Step::Kept },
    loads_known = { 100, true, Step::Largest },
    started = { 700, false, Step::Largest },
)]
fn after_a_start(now: u64, are_loads_known: bool, step: Step) {
    // Guards against an entry to which busy engines appear idle because it has no loads.
    let mut router = entry(true, true);
    if are_loads_known {
        apply_loads(&mut router, now, 1, 0);
    }
    assert_eq!(judge(&mut router, now, 10, &[]).step, Some(step));
}

#[test]
fn budget_is_charged() {
    // Guards against escalations that exceed the retry budget, or are counted without
    // being made.
    let mut router = entry(true, true);
    let steps: Vec<_> = (1000..1200)
        .map(|now| {
            let step = judge(&mut router, now, 0, &[]).step;
            if step == Some(Step::Largest) {
                let plan = router.admit_forwarded(ms(now), &head("b"));
                router.settle_retry(ms(now), &plan.expect("it is planned"));
            }
            step
        })
        .collect();
    // One window: half of its requests and the slack, of which eight elevenths are used.
    let window = &steps[150..];
    let asked = window.iter().filter(|&&s| s == Some(Step::Largest)).count();
    let kept = window.iter().filter(|&&s| s == Some(Step::Kept)).count();
    assert!((26..=35).contains(&asked), "{asked} of 50");
    assert_eq!(asked + kept, 50);
}

#[parameterized(
    untried = { &[], Step::Largest },
    only_slow_left = { &[0, 1, 2], Step::Late },
)]
fn same_candidates_as_choice(tried: &[u8], step: Step) {
    // Guards against a prediction for an engine that the next send cannot go to.
    let mut router = entry(false, true);
    for (number, percent) in [100, 100, 100, 1000].into_iter().enumerate() {
        let mut load = ServerLoad::new(&announcement(number as u8).id, Load::default());
        load.slowdown_percent = percent;
        router.apply_loads(ms(1000), vec![load], Vec::new());
    }
    let mut long = head("a");
    long.response_tokens = Some(300);
    let plan = router.admit(ms(1000), &long).expect("it is admitted");
    let unsure = ResponseHead {
        confidence: Some(0),
        ..ResponseHead::default()
    };
    let tried: Vec<_> = tried.iter().map(|&n| announcement(n).id).collect();
    let judged = router.judge_answer(ms(1000), &plan, "small", &unsure, &tried, true);
    let choice = router.choose(ms(1000), &plan, Some("large"), &tried);
    let forecast = choice.expect("one is left").forecast.expect("it is timed");
    assert_eq!(judged.step, Some(step));
    let is_in_time = forecast.completion.mul_f64(1.25) <= ms(20_000);
    assert_eq!(is_in_time, step == Step::Largest);
}

#[test]
fn unchanged_without_engine_time() {
    // Guards against a change for services that are not scheduled by engine time.
    let (mut engines, mut plain) = (entry(false, true), entry(false, false));
    for now in (0..4000).step_by(50) {
        for router in [&mut engines, &mut plain] {
            apply_loads(router, now, FULL, FULL);
            let plan = plan(router, ms(now), "past");
            let took = ms(if now < 2000 { 300 } else { 10 });
            router.record_first_event(ms(now), &plan, &choice(0), Some("small"), took);
        }
        let confidence = (now / 50 % 60) as u8;
        let judged = judge(&mut engines, now, confidence, &[]);
        assert_eq!(judged, judge(&mut plain, now, confidence, &[]));
        assert_eq!(judged.step, None);
        assert_ne!(judged.decision, Decision::Ask("middle".into()));
    }
}
