//! Selection of engines by predicted completion.

use std::time::Duration;

use sesamebeam_core::gateway::{
    engines::Slowdown,
    loads::ServerLoad,
    request::Load,
    router::{
        Choice,
        Router, //
    },
};
use yare::parameterized;

use crate::{
    engine_play::{
        PlayConfig,
        Sent,
        engine_announcement,
        engine_router,
        play,
        request, //
    },
    fixtures::{
        addr,
        ms, //
    },
};

/// Slots of each engine in the tests without a play.
const SLOTS: usize = 16;

/// Time of the sends in these tests.
const NOW: u64 = 20_000;

/// Requests per second at which the engines of the play are at six and at eight tenths of
/// their capacity.
const CALM: f64 = 30.0;
const BUSY: f64 = 40.0;

/// Plays engines of three speeds with several seeds.
fn play_uneven(rate: f64) -> Vec<Sent> {
    let cfg = |seed| PlayConfig {
        seed,
        entries: 6,
        speeds: [70, 100, 170].repeat(4),
        slots: SLOTS,
        rate,
        length: Duration::from_secs(60),
    };
    (0..3).flat_map(|seed| play(&cfg(seed))).collect()
}

fn share(sends: &[Sent], is_counted: impl Fn(&Sent) -> bool) -> f64 {
    sends.iter().filter(|s| is_counted(s)).count() as f64 / sends.len() as f64
}

#[parameterized(
    calm = { CALM },
    busy = { BUSY },
)]
fn forecast_error(rate: f64) {
    // A forecast that ignores the speed of the engine or what is queued there is wrong by
    // several times, and decisions on escalations and refusals follow it.
    let mut sends = play_uneven(rate);
    sends.retain(|s| s.first_event.is_some());
    let is_close = |s: &Sent| {
        let wait = s.first_event.unwrap_or_default();
        s.forecast.first_event.abs_diff(wait) <= wait / 2
    };
    let close = share(&sends, is_close);
    assert!(close >= 0.8, "{close:.3} of the forecasts are close");
}

#[test]
fn busiest_engine() {
    // Balanced by count, slow engines accumulate work and their streams take several times
    // as long. At eight tenths of the capacity all engines are needed; with less load the
    // slow ones get little, because each request is complete sooner elsewhere.
    let sends = play_uneven(BUSY);
    let mut times = [0.0; 12];
    for sent in &sends {
        times[sent.engine] += sent.engine_seconds;
    }
    let mean = times.iter().sum::<f64>() / times.len() as f64;
    let busiest = times.iter().copied().fold(0.0, f64::max) / mean;
    assert!(busiest < 1.25, "{busiest:.3} of the mean: {times:.0?}");
}

#[parameterized(
    calm = { CALM },
    busy = { BUSY },
)]
fn full_engines(rate: f64) {
    // Half of the first events came from engines where requests waited while others were at
    // 3 of 16: a full fast engine can be predicted to complete before an idle slow one.
    let misplaced = share(&play_uneven(rate), |s| s.is_misplaced);
    assert!(misplaced < 0.05, "{misplaced:.3} of the sends");
}

fn loads(count: usize, load: impl Fn(usize) -> Load) -> Vec<ServerLoad> {
    let of = |n| ServerLoad::new(&engine_announcement(n, SLOTS).id, load(n));
    (0..count).map(of).collect()
}

fn load(running: u32, percent: u64) -> Load {
    Load {
        running,
        waiting: 0,
        slots: SLOTS as u32,
        slowdown: Slowdown::from_percent(percent),
    }
}

/// Applies loads for so long that the typical slowdown is known, until [`NOW`].
fn hear(router: &mut Router, said: &[ServerLoad]) {
    for at in (0..=NOW).step_by(500) {
        router.apply_loads(ms(at), said.to_vec(), Vec::new());
    }
}

/// Sends a request that shares no prompt and waits at most `deadline` milliseconds.
fn send(router: &mut Router, number: usize, deadline: u64) -> Choice {
    let mut head = request(number, 0, 100, 400);
    head.prompt.clear();
    head.deadline = Some(ms(deadline));
    let plan = router.admit(ms(NOW), &head).expect("it is admitted");
    let choice = router.choose(ms(NOW), &plan, Some("small"), &[]);
    choice.expect("there are engines")
}

fn sends_by_engine(entries: usize, engines: usize, deadline: u64, said: &[ServerLoad]) -> Vec<u32> {
    let mut counts = vec![0; engines];
    for entry in 0..entries {
        let mut router = engine_router(entry, entries, engines, SLOTS);
        hear(&mut router, said);
        let choice = send(&mut router, entry, deadline);
        let engine = (0..engines).find(|&n| choice.addr == addr(n as u8));
        counts[engine.expect("it was announced")] += 1;
    }
    counts
}

#[test]
fn no_herding() {
    // All entries hear at the same moment that one engine is idle. If each chose the best
    // one, it would get the requests of all of them.
    let said = loads(40, |n| load(if n == 7 { 0 } else { 3 }, 100));
    let counts = sends_by_engine(40, 40, 20_000, &said);
    let most = counts.iter().max().copied().unwrap_or_default();
    assert!(most <= 6, "{most} of 40 sends to one engine: {counts:?}");
}

#[test]
fn few_in_time() {
    // Four of 40 engines can complete the request before its deadline. With a limit taken
    // among these alone, all entries chose the fastest one.
    let percent = |n: usize| match n {
        3 => 50,
        4..=6 => 60,
        _ => 150,
    };
    let said = loads(40, |n| load(0, percent(n)));
    let counts = sends_by_engine(40, 40, 2600, &said);
    let in_time: u32 = counts[3..=6].iter().sum();
    assert_eq!(in_time, 40, "{counts:?}");
    assert!(counts[3..=6].iter().all(|&n| n >= 4), "{counts:?}");
}

#[test]
fn deadline() {
    // Callers waited at a slow engine until their deadline while a fast one was free. The
    // fast engines are few, so that the quartile lies at the slow ones.
    let said = loads(8, |n| load(0, if n == 0 { 70 } else { 170 }));
    let mut router = engine_router(0, 1, 8, SLOTS);
    hear(&mut router, &said);
    for number in 0..8 {
        let choice = send(&mut router, number, 3500);
        assert_eq!(choice.addr, addr(0), "request {number}");
    }
}

#[test]
fn no_engine_in_time() {
    // A request that no engine can complete in time must still be sent: the forecast may be
    // wrong.
    let said = loads(8, |_| load(0, 170));
    let counts = sends_by_engine(20, 8, 100, &said);
    assert_eq!(counts.iter().sum::<u32>(), 20);
}

#[test]
fn all_full() {
    let said = loads(8, |_| load(16, 100));
    let counts = sends_by_engine(20, 8, 20_000, &said);
    assert_eq!(counts.iter().sum::<u32>(), 20);
}

#[test]
fn no_loads_for_seconds() {
    // The loads are as old as a partition is long and no longer say anything about the
    // work, only about the speeds.
    let mut router = engine_router(0, 1, 8, SLOTS);
    let said = loads(8, |n| load(16, if n < 4 { 70 } else { 170 }));
    hear(&mut router, &said);
    for number in 0..20 {
        let mut head = request(number, 0, 100, 400);
        head.prompt.clear();
        let plan = router
            .admit(ms(NOW + 15_000), &head)
            .expect("it is admitted");
        let choice = router.choose(ms(NOW + 15_000), &plan, Some("small"), &[]);
        let choice = choice.expect("there are engines");
        let forecast = choice.forecast.expect("engine time is on");
        assert!(forecast.requests < SLOTS as f64, "{forecast:?}");
        assert!((0..4).any(|n| choice.addr == addr(n)), "request {number}");
    }
}

#[test]
fn shared_prompt() {
    // Requests that share a prompt go to one engine, so that it is prefilled once.
    let mut router = engine_router(0, 1, 8, SLOTS);
    hear(&mut router, &loads(8, |_| load(1, 100)));
    let engine = |router: &mut Router, number| {
        let head = request(number, 3, 100, 400);
        let plan = router.admit(ms(NOW), &head).expect("it is admitted");
        let choice = router.choose(ms(NOW), &plan, Some("small"), &[]);
        choice.expect("there are engines").id
    };
    let first = engine(&mut router, 0);
    assert!((1..3).all(|n| engine(&mut router, n) == first));
}

#[test]
fn off() {
    // Where nothing states a slowdown or contention, requests are balanced by count as
    // before.
    let mut router = engine_router(0, 1, 8, SLOTS);
    let said = loads(8, |_| load(1, 0));
    hear(&mut router, &said);
    assert_eq!(send(&mut router, 0, 20_000).forecast, None);
}
