//! Moving of delayed requests to another engine.

use std::time::Duration;

use proptest::prelude::*;
use sesamebeam_core::gateway::{
    config::{
        EngineConfig,
        GatewayConfig,
        RetrySafety, //
    },
    engines::{
        Forecast,
        progress::{
            CHECK_INTERVAL,
            MoveReason,
            Progress, //
        },
    },
    retry_budget::RetryBudgetConfig,
    router::{
        Choice,
        CurrentSend,
        Plan,
        Router,
        RouterConfig, //
    },
};
use yare::parameterized;

use crate::fixtures::{
    announcement,
    config,
    head,
    ms,
    router_config, //
};

fn forecast(first_event: u64, completion: u64, shared_prefill: u64) -> Forecast {
    Forecast {
        first_event: ms(first_event),
        completion: ms(completion),
        prefill: ms(0),
        shared_prefill: ms(shared_prefill),
        slowdown: 1.0,
        requests: 0.0,
        has_queue: false,
    }
}

/// Returns the progress of a stream that was checked for this long, with an event every
/// `interval` milliseconds.
fn streaming(interval: u64, period: Duration) -> Progress {
    let mut progress = Progress::default();
    progress.record_start(ms(0), 0);
    let mut now = CHECK_INTERVAL;
    while now <= period {
        progress.record_events(now, now.as_millis() as u64 / interval);
        now += CHECK_INTERVAL;
    }
    progress
}

#[parameterized(
    overdue = { 100, 600, 100, 5_000, true },
    within_twice = { 400, 790, 10, 5_000, false },
    within_minimum = { 20, 240, 1, 5_000, false },
    no_better = { 100, 600, 250, 5_000, false },
    past_deadline = { 100, 2_000, 300, 300, false },
)]
fn waits(predicted: u64, waited: u64, elsewhere: u64, left: u64, moves: bool) {
    // Guards against a request that waits at a stopped engine until its deadline, and
    // against moves that cost more than they gain.
    let elsewhere = forecast(elsewhere, elsewhere + 1_000, 0);
    let decision =
        Progress::default().judge_waiting(ms(predicted), ms(waited), &elsewhere, ms(left));
    assert_eq!(decision.is_some(), moves, "{decision:?}");
}

#[parameterized(
    too_slow = { 200, 2_000, 3_000, 0, 5_000, true },
    in_time = { 20, 2_000, 300, 0, 5_000, false },
    margin_missed = { 200, 2_000, 4_100, 0, 5_000, false },
    shared_part_missed = { 200, 2_000, 3_500, 600, 5_000, false },
    too_young = { 200, 750, 3_000, 0, 5_000, false },
    short_stall = { 100_000, 1_750, 3_000, 0, 5_000, false },
    stalled = { 100_000, 2_000, 3_000, 0, 5_000, true },
)]
fn streams(interval: u64, period: u64, elsewhere: u64, shared: u64, left: u64, moves: bool) {
    // Guards against a stream that runs into its deadline at a slow engine, and against
    // moves of streams that would not be complete elsewhere either.
    let progress = streaming(interval, ms(period));
    let elsewhere = forecast(100, elsewhere, shared);
    let decision = progress.judge_running(50.0, &elsewhere, ms(left));
    assert_eq!(decision.is_some(), moves, "{decision:?}");
}

#[test]
fn rate_is_recent() {
    // Guards against a rate that averages over a fast start, and against one measured while
    // the entry did not run.
    let mut progress = streaming(10, ms(3_000));
    let mut now = ms(3_000);
    for n in 1..=6 {
        now += CHECK_INTERVAL;
        progress.record_events(now, 300 + n);
    }
    assert_eq!(progress.event_time(), Some(CHECK_INTERVAL));
    progress.record_events(now + ms(2_000), 307);
    assert_eq!(progress.event_time(), None);
}

proptest! {
    /// Guards against moves that gain nothing, against moves to an engine that cannot meet
    /// the deadline either, and against a request that is sent round all engines.
    #[test]
    fn moves_gain(
        predicted in 0u64..5_000, waited in 0u64..20_000, interval in 1u64..2_000,
        first in 0u64..5_000, completion in 0u64..20_000, shared in 0u64..2_000,
        remaining in 0.0f64..1_000.0, left in 0u64..25_000,
    ) {
        let mut progress = streaming(interval, ms(2_000));
        let elsewhere = forecast(first, completion, shared);
        let judge = |progress: &Progress| {
            let wait = progress.judge_waiting(ms(predicted), ms(waited), &elsewhere, ms(left));
            (wait, progress.judge_running(remaining, &elsewhere, ms(left)))
        };
        let (wait, run) = judge(&progress);
        if let Some(wait) = wait {
            prop_assert_eq!(wait.reason, MoveReason::Waiting);
            prop_assert!(waited >= 250 && waited >= 2 * predicted);
            prop_assert!(2 * first < waited - predicted && first < left);
        }
        if let Some(run) = run {
            prop_assert_eq!(run.reason, MoveReason::Running);
            prop_assert!(run.expected > ms(left));
            prop_assert!(ms(completion + shared) * 5 <= ms(left) * 4);
        }
        progress.record_move();
        prop_assert_eq!(judge(&progress), (None, None));
        prop_assert_eq!(progress.next_check(), None);
    }
}

/// Creates a router with engines that take a request of the default fixtures within 100 ms,
/// and sends one.
fn send(
    change: impl Fn(&mut GatewayConfig),
    budget: f64,
    contention: bool,
) -> (Router, Plan, Choice) {
    let mut config = config(1);
    config.services[0].engine = Some(EngineConfig {
        slots: 10,
        kv_capacity_tokens: 100_000,
        tokens_per_event: 2,
        models: Vec::new(),
    });
    change(&mut config);
    let mut router = Router::new(RouterConfig {
        contention,
        budget: RetryBudgetConfig {
            ratio: 0.0,
            slack: budget,
            window: ms(60_000),
        },
        ..router_config()
    });
    router.set_config(ms(0), config);
    router.set_entries(ms(0), 1);
    for number in 0..3 {
        router.apply_announcement(ms(0), announcement(number));
    }
    let mut head = head("r");
    head.response_tokens = Some(200);
    let plan = router.admit(ms(1), &head).expect("it is admitted");
    let choice = router.choose(ms(1), &plan, Some("small"), &[]);
    (router, plan, choice.expect("an engine"))
}

#[parameterized(
    moves = { |_| {}, 10.0, true, true },
    budget_exhausted = { |_| {}, 0.0, true, false },
    not_resumable = { |c| c.routes[0].resumable = false, 10.0, true, false },
    not_a_stream = { |c| c.routes[0].streaming = false, 10.0, true, false },
    repeatable_but_not_resumable = { |c| {
        c.routes[0].retry_safety = RetrySafety::Idempotent;
        c.routes[0].resumable = false;
    }, 10.0, true, false },
    no_engine = { |c| c.services[0].engine = None, 10.0, true, false },
    not_activated = { |_| {}, 10.0, false, false },
)]
fn permitted(change: fn(&mut GatewayConfig), budget: f64, contention: bool, moves: bool) {
    // Guards against a second run of a request that may run only once, and against moves
    // beyond the retry budget or where engine time is off.
    let (mut router, plan, choice) = send(change, budget, contention);
    let send = CurrentSend {
        plan: &plan,
        model: Some("small"),
        choice: &choice,
        tried: &[],
    };
    let idle = Progress::default();
    let wait = router.judge_waiting(ms(2_001), &send, ms(2_000), &idle);
    assert_eq!(wait.is_some(), moves, "{wait:?}");
    // Four events in two seconds, of 100 before a deadline in 18 s.
    let slow = streaming(500, ms(2_000));
    let run = router.judge_running(ms(2_001), &send, 4, &slow);
    assert_eq!(run.is_some(), moves, "{run:?}");
    if let Some((_, rest)) = run {
        let demand = rest.demand(Some("small"));
        // What was generated is prefilled again, and the rest remains to be generated.
        assert_eq!(
            (demand.uncached_tokens, demand.response_tokens),
            (50 + 8, 192)
        );
        let next = router.choose(ms(2_001), &rest, Some("small"), &send.excluded());
        assert_ne!(next.expect("an engine").id, choice.id);
    }
}

#[test]
fn stays_without_alternative() {
    // Guards against a request that gives up its run and finds no other engine.
    let (mut router, plan, choice) = send(|_| {}, 10.0, true);
    let tried: Vec<_> = (0..3).map(|n| announcement(n).id).collect();
    let send = CurrentSend {
        plan: &plan,
        model: None,
        choice: &choice,
        tried: &tried,
    };
    let decision = router.judge_waiting(ms(2_001), &send, ms(2_000), &Progress::default());
    assert_eq!(decision, None);
}
