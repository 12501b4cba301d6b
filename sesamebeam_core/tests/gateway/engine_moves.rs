//! Moving of delayed requests to another engine.

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
            Progress,
            Wait, //
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

fn wait(predicted: u64, waited: u64, objective: u64) -> Wait {
    Wait {
        predicted: ms(predicted),
        waited: ms(waited),
        objective: ms(objective),
    }
}

#[parameterized(
    overdue = { 100, 600, 0, 100, 5_000, true },
    within_twice = { 400, 790, 0, 10, 5_000, false },
    within_minimum = { 20, 240, 0, 1, 5_000, false },
    within_half_of_objective = { 20, 990, 2_000, 1, 5_000, false },
    objective_at_risk = { 20, 1_000, 2_000, 1, 5_000, true },
    no_better = { 100, 600, 0, 250, 5_000, false },
    past_deadline = { 100, 2_000, 0, 300, 300, false },
)]
fn waits(predicted: u64, waited: u64, objective: u64, elsewhere: u64, left: u64, moves: bool) {
    // Guards against a request that waits at a stopped engine until its deadline, and
    // against moves that cost more than they gain.
    let elsewhere = forecast(elsewhere, elsewhere + 1_000, 0);
    let decision =
        Progress::default().judge_waiting(wait(predicted, waited, objective), &elsewhere, ms(left));
    assert_eq!(decision.is_some(), moves, "{decision:?}");
}

proptest! {
    /// Guards against moves that gain nothing, against moves to an engine that cannot meet
    /// the deadline either, and against a request that is sent round all engines.
    #[test]
    fn moves_gain(
        predicted in 0u64..5_000, waited in 0u64..20_000, objective in 0u64..6_000,
        first in 0u64..5_000, left in 0u64..25_000,
    ) {
        let mut progress = Progress::default();
        let elsewhere = forecast(first, first + 1_000, 0);
        let wait = wait(predicted, waited, objective);
        if progress.judge_waiting(wait, &elsewhere, ms(left)).is_some() {
            prop_assert!(waited >= 250 && waited >= 2 * predicted && 2 * waited >= objective);
            prop_assert!(2 * first < waited - predicted && first < left);
        }
        progress.record_move();
        prop_assert_eq!(progress.judge_waiting(wait, &elsewhere, ms(left)), None);
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
            window: ms(1000),
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
    if wait.is_some() {
        let next = router.choose(ms(2_001), &plan, Some("small"), &send.excluded());
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
