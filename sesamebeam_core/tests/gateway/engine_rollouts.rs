//! Evidence about a version whose engines are faster or slower than those of others.

use std::time::Duration;

use sesamebeam_core::gateway::{
    engines::Slowdown,
    request::Load,
    rollout::{
        Phase,
        Rollout,
        RolloutMonitor, //
    },
    router::{
        Choice,
        Router, //
    },
    store::Orders,
};
use yare::parameterized;

use crate::{
    engine_play::{
        engine_router,
        request, //
    },
    fixtures::{
        choice,
        ms, //
    },
};

/// Share of the requests that a faulty version may get.
const SHARE: f64 = 0.15;

/// Engines of each version. Those of the new one are the last.
const STABLE: u8 = 8;
const CANARY: u8 = 2;

/// Time to the first byte and between events of a good version at the usual speed.
const FIRST_BYTE: Duration = Duration::from_millis(80);
const INTERVAL: Duration = Duration::from_millis(40);

fn canary() -> Rollout {
    Rollout {
        target: "v2".into(),
        duration: ms(20_000),
        phase: Phase::Canary,
    }
}

/// Records answers of all engines, which state their slowdown if they are `heard`, and
/// returns the phase of the rollout after them. Every fourth answer falls into a period in
/// which the engine is 2.5 times as slow.
fn phase_after(stable: u64, new: u64, slowness: [f64; 2], heard: bool) -> Phase {
    let mut router = engine_router(0, 1, usize::from(STABLE + CANARY), 16);
    let mut orders = Orders::default();
    orders.rollouts.insert("pool".into(), canary());
    router.set_orders(ms(0), 1, orders);
    for round in 0..40 {
        for number in 0..STABLE + CANARY {
            let is_new = number >= STABLE;
            let base = if is_new { new } else { stable };
            let percent = if round % 4 == 3 { base * 5 / 2 } else { base };
            let times = match is_new {
                true => [
                    FIRST_BYTE.mul_f64(slowness[0]),
                    INTERVAL.mul_f64(slowness[1]),
                ],
                false => [FIRST_BYTE, INTERVAL],
            };
            // A stream lasts longer than such a period, which affects only its start.
            let [first, interval] = times;
            let first = first.mul_f64(percent as f64 / 100.0);
            let interval = interval.mul_f64(base as f64 / 100.0);
            let choice = Choice {
                version: if is_new { "v2" } else { "v1" }.into(),
                ..choice(number)
            };
            let now = ms(1000 + round * 1000);
            record(
                &mut router,
                now,
                &choice,
                heard.then_some(percent),
                first,
                interval,
            );
        }
    }
    let mut monitor = RolloutMonitor::new(ms(0));
    for evidence in router.take_report(ms(60_000)).evidence {
        monitor.add(ms(5000), "v2", &evidence);
    }
    monitor.phase(ms(5000), &canary(), SHARE)
}

fn record(
    router: &mut Router,
    now: Duration,
    choice: &Choice,
    percent: Option<u64>,
    first: Duration,
    interval: Duration,
) {
    let plan = router.admit(now, &request(0, 0, 100, 400));
    let plan = plan.expect("it is admitted");
    let load = Load {
        running: 3,
        waiting: 0,
        slots: 16,
        slowdown: percent.and_then(Slowdown::from_percent),
    };
    router.record_response(now, &choice.id, Some(load));
    router.record_first_byte(&plan, choice, Some("small"), first);
    router.record_event_interval(&plan, choice, Some("small"), interval);
}

#[test]
fn good_version_on_slow_engines() {
    // The few engines of the canary are slow ones. Their times are 6.8 times those of the
    // stable version, which is no fault of the new one.
    assert_eq!(phase_after(25, 170, [1.0, 1.0], true), Phase::Canary);
}

#[parameterized(
    on_equal_engines = { 100, 100, [3.2, 1.0] },
    in_events = { 100, 100, [1.0, 3.2] },
    on_fast_engines = { 170, 70, [3.2, 1.0] },
    on_slow_engines = { 70, 170, [3.2, 3.2] },
)]
fn slow_version(stable: u64, new: u64, slowness: [f64; 2]) {
    // The version is a little more than three times as slow. On fast engines its times look
    // like those of the others.
    assert_eq!(phase_after(stable, new, slowness, true), Phase::RolledBack);
}

#[parameterized(
    in_events = { [1.0, 2.4] },
    in_both = { [2.4, 2.4] },
)]
fn version_of_twice_the_time(slowness: [f64; 2]) {
    // Guards against a version that is completed because it is not quite three times as slow.
    let phase = phase_after(100, 100, slowness, true);
    assert_eq!(phase, Phase::RolledBack);
}

#[test]
fn engines_that_state_nothing() {
    // Without engine time the times are compared as before.
    assert_eq!(phase_after(25, 170, [1.0, 1.0], false), Phase::RolledBack);
    assert_eq!(phase_after(100, 100, [1.0, 1.0], false), Phase::Canary);
}
