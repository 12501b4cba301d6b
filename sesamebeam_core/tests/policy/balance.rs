//! Tests of load balancing.

use std::time::Duration;

use sesamebeam_core::{
    fleet::Priority,
    message::{
        record::ServerIncarnation,
        server::{
            CacheEvent,
            Load, //
        }, //
    },
    policy::{
        backoff::RequestedPause,
        balance::{
            Balance,
            BalanceConfig,
            PickInput,
            Route, //
        },
    },
};
use yare::parameterized;

use crate::fixtures::{
    addr,
    announcement,
    fleet,
    secs, //
};

const INPUT: PickInput<'static> = PickInput {
    route: Route::Version("beam@mid"),
    prefix: None,
    prompt_tokens: 4000,
    max_tokens: 100,
    priority: Priority::Normal,
    exclude: &[],
    isolated: false,
};

fn balance(near: u16, far: u16) -> Balance {
    let mut balance = Balance::new(BalanceConfig::default(), "hall-1".into(), 1);
    balance.configure(&fleet());
    for number in 0..near + far {
        let mut server = announcement(number, 1);
        if number >= near {
            server.domain = "hall-2".into();
        }
        balance.upsert(secs(0), &server);
    }
    balance
}

fn pick(balance: &mut Balance, input: &PickInput<'_>) -> Option<std::net::SocketAddr> {
    Some(balance.pick(secs(60), input)?.server.addr)
}

/// Returns the incarnation under which the tests announce a backend server.
fn server_incarnation(number: u16) -> ServerIncarnation {
    ServerIncarnation {
        addr: addr(number),
        incarnation: announcement(number, 1).incarnation,
    }
}

#[test]
fn spreads_out() {
    let mut balance = balance(8, 0);
    for _ in 0..32 {
        let addr = pick(&mut balance, &INPUT).expect("there is room");
        balance.started(addr, None, false);
    }
    for number in 0..8 {
        assert!((2..=6).contains(&balance.in_flight(addr(number))));
    }
}

#[test]
fn own_domain_first() {
    let mut balance = balance(2, 2);
    for _ in 0..4 {
        let addr = pick(&mut balance, &INPUT).expect("there is room");
        assert!(addr < crate::fixtures::addr(2), "{addr}");
        balance.started(addr, None, false);
    }
    let spilled = (0..12).any(|_| {
        let addr = pick(&mut balance, &INPUT).expect("there is room");
        balance.started(addr, None, false);
        addr >= crate::fixtures::addr(2)
    });
    assert!(spilled);
}

#[test]
fn pool_runs_out() {
    let mut balance = balance(1, 0);
    for _ in 0..8 {
        balance.started(addr(0), None, false);
    }
    assert_eq!(pick(&mut balance, &INPUT), None);
    balance.finished(addr(0), false, None);
    assert_eq!(pick(&mut balance, &INPUT), Some(addr(0)));
}

#[test]
fn prefix_holder() {
    let mut balance = balance(2, 0);
    let mut server = announcement(1, 2);
    server.cache = vec![CacheEvent {
        prefix: 9,
        held: true,
    }];
    balance.upsert(secs(1), &server);
    let input = PickInput {
        prefix: Some(9),
        ..INPUT
    };
    assert_eq!(pick(&mut balance, &input), Some(addr(1)));
    server.cache = vec![CacheEvent {
        prefix: 9,
        held: false,
    }];
    balance.upsert(secs(2), &server);
    let considered = balance
        .pick(secs(60), &input)
        .expect("there is room")
        .considered;
    assert!(considered.iter().all(|considered| !considered.cached));
}

#[test]
fn late_report() {
    // Four requests were running when the load was measured and have ended
    // since. If they were counted as load from other entries, the backend
    // server would look full.
    let mut balance = balance(1, 0);
    balance.apply_load(secs(10), addr(0), Load::default());
    (0..4).for_each(|_| balance.started(addr(0), None, false));
    balance.apply_load(secs(12), addr(0), Load::default());
    (0..4).for_each(|_| balance.finished(addr(0), false, None));
    let load = Load {
        running: 4,
        age_ms: 1000,
        ..Load::default()
    };
    balance.apply_load(secs(12), addr(0), load);
    assert_eq!(balance.capacity(secs(12), "pool"), 4);
}

#[test]
fn slow_start() {
    // A backend server that joins looks idle to every entry at the same time.
    // During slow start it must receive only a small share, so that it is not
    // overloaded.
    let mut balance = balance(3, 0);
    (0..3).for_each(|number| {
        (0..2).for_each(|_| balance.started(addr(number), None, false));
    });
    balance.upsert(secs(60), &announcement(9, 1));
    let picked = pick(&mut balance, &INPUT).expect("there is room");
    balance.started(addr(9), None, false);
    let after = pick(&mut balance, &INPUT).expect("there is room");
    assert!(picked == addr(9) || after != addr(9), "{picked} {after}");
    assert_ne!(after, addr(9));
}

#[test]
fn leaving_at_once() {
    let mut balance = balance(2, 0);
    let mut server = announcement(0, 2);
    server.leaving = true;
    balance.upsert(secs(1), &server);
    assert!(!balance.accepts_requests(secs(1), server_incarnation(0)));
    assert!((0..20).all(|_| pick(&mut balance, &INPUT) == Some(addr(1))));
}

#[test]
fn asked_for_a_pause() {
    // Guards against requests sent during a pause, whatever else is received
    // from the backend server, and against a pause inherited by a new
    // incarnation.
    let mut balance = balance(2, 0);
    let pause = |seconds| Some(Duration::from_secs(seconds));
    balance.pause(secs(60), server_incarnation(0), pause(3));
    balance.pause(secs(61), server_incarnation(0), pause(1));
    balance.pause(secs(61), server_incarnation(0), None);
    balance.answered(addr(0));
    assert!(!balance.accepts_requests(secs(62), server_incarnation(0)));
    assert!((0..20).all(|_| pick(&mut balance, &INPUT) == Some(addr(1))));
    assert_eq!(balance.route_pause(secs(60), INPUT.route), None);
    balance.pause(secs(60), server_incarnation(1), pause(2));
    assert_eq!(pick(&mut balance, &INPUT), None);
    let first = balance.route_pause(secs(60), INPUT.route);
    assert_eq!(first.map(RequestedPause::until), Some(secs(62)));
    assert_eq!(balance.capacity(secs(61), "pool"), 0);
    assert!(balance.accepts_requests(secs(62), server_incarnation(1)));
    assert!(balance.accepts_requests(secs(63), server_incarnation(0)));
    let mut reborn = announcement(0, 2);
    reborn.incarnation += 1;
    balance.upsert(secs(60), &reborn);
    assert_eq!(pick(&mut balance, &INPUT), Some(addr(0)));
}

#[test]
fn avoided_awhile() {
    let mut balance = balance(2, 0);
    balance.avoid(secs(59), addr(0));
    assert!((0..20).all(|_| pick(&mut balance, &INPUT) == Some(addr(1))));
    balance.answered(addr(0));
    assert!((0..20).any(|_| pick(&mut balance, &INPUT) == Some(addr(0))));
}

#[test]
fn isolated_suspect() {
    let mut balance = balance(2, 0);
    balance.started(addr(0), None, true);
    assert!((0..10).all(|_| pick(&mut balance, &INPUT) == Some(addr(1))));
    balance.finished(addr(0), true, Some(Duration::from_secs(1)));
    assert!((0..20).any(|_| pick(&mut balance, &INPUT) == Some(addr(0))));
}

#[parameterized(
    huge = { u32::MAX, 0.5, 0, (1, 0) },
    not_a_number = { 1, f32::NAN, 0, (1, 0) },
    negative = { 1, -0.5, 0, (1, 0) },
    stale = { 1, 0.5, 3_600_000, (0, 1) },
)]
fn bad_load(running: u32, kv_used: f32, age_ms: u32, counted: (u64, u64)) {
    let mut balance = balance(1, 0);
    let load = Load {
        running,
        waiting: 0,
        kv_used,
        age_ms,
    };
    balance.apply_load(secs(5), addr(0), load);
    assert_eq!(
        (balance.counts().out_of_range, balance.counts().stale),
        counted
    );
    assert_eq!(balance.capacity(secs(5), "pool"), 4);
}
