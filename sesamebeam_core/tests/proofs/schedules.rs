//! Whole schedules of calls and faults, drawn at random with a fixed seed.
//!
//! `SESAMEBEAM_SCHEDULES=n` runs more of them, `SESAMEBEAM_SEED=n` others.

use std::{
    env, //
    sync::atomic::{
        AtomicU64,
        Ordering, //
    },
    time::Duration, //
};

use proptest::{
    prelude::*,
    test_runner::{
        RngSeed,
        TestError,
        TestRunner, //
    },
};
use sesamebeam_core::entry::event::{
    SessionRef,
    Wanted, //
};

use crate::world::{
    Event,
    Fault,
    Net,
    World, //
    books::{
        Spec,
        Told, //
    },
    files, //
};

/// Schedules of a usual run.
const SCHEDULES: u32 = 200;

/// Seed of the schedules of a usual run.
const SEED: u64 = 20_261_202;

/// Something that is done at a time of a schedule.
#[derive(Clone, Debug)]
enum Op {
    /// A caller asks an entry.
    Ask {
        entry: usize,
        org: bool,
        class: usize,
        key: u8,
        session: u8,
        streamed: bool,
    },
    /// The call before the last so many is sent again, elsewhere.
    Resend { back: usize, entry: usize },
    /// The caller of the call before the last so many hangs up.
    HangUp { back: usize },
    /// A killer request is sent.
    Killer { entry: usize, key: u8 },
    /// Two operators send files from the same base.
    Race { withdraw: bool },
    /// A fault begins and ends after a time in milliseconds.
    Fault(Fault, Fault, u64),
}

fn op() -> impl Strategy<Value = Op> {
    let ask = (
        0..4usize,
        any::<bool>(),
        0..5usize,
        0..6u8,
        0..4u8,
        any::<bool>(),
    )
        .prop_map(|(entry, org, class, key, session, streamed)| Op::Ask {
            entry,
            org,
            class,
            key,
            session,
            streamed,
        });
    let again = (0..4usize, 0..4usize).prop_map(|(back, entry)| Op::Resend { back, entry });
    prop_oneof![
        12 => ask,
        6 => again,
        1 => (0..4usize).prop_map(|back| Op::HangUp { back }),
        1 => (0..4usize, 0..6u8).prop_map(|(entry, key)| Op::Killer { entry, key }),
        1 => any::<bool>().prop_map(|withdraw| Op::Race { withdraw }),
        8 => fault(),
    ]
}

fn fault() -> impl Strategy<Value = Op> {
    let kind = prop_oneof![
        (0..4usize).prop_map(|at| (Fault::Kill(at), Fault::Start(at))),
        (0..4usize).prop_map(|at| (Fault::Freeze(at), Fault::Thaw(at))),
        (1..=3u64).prop_map(|id| (Fault::KillNode(id), Fault::StartNode(id))),
        (1..=3u64).prop_map(|id| (Fault::FreezeNode(id), Fault::ThawNode(id))),
        (0..3usize).prop_map(|at| (Fault::Cut(at), Fault::Join(at))),
        (0..6usize).prop_map(|at| (Fault::Crash(at), Fault::Boot(at))),
        (0..6usize).prop_map(|at| (Fault::Leave(at), Fault::Leave(at))),
        (0..6usize).prop_map(|at| (Fault::Silence(at), Fault::Break(at))),
        (0..6usize).prop_map(|at| (Fault::Break(at), Fault::Break(at))),
        (0..4usize).prop_map(|at| (Fault::Stop(at), Fault::Stop(at))),
    ];
    (kind, 50..9000u64).prop_map(|((begin, end), millis)| Op::Fault(begin, end, millis))
}

fn schedule() -> impl Strategy<Value = (u64, Vec<(u64, Op)>)> {
    let ops = prop::collection::vec((0..700u64, op()), 10..50);
    (any::<u64>(), ops)
}

fn run(seed: u64, ops: &[(u64, Op)]) -> World {
    let mut world = World::plain(seed);
    world.net = Net {
        loss: 0.03,
        doubled: 0.05,
        delay: if seed.is_multiple_of(3) { 200 } else { 5 },
    };
    for (wait, op) in ops {
        world.run(Duration::from_millis(*wait));
        act(&mut world, op);
    }
    world.settle();
    world
}

fn act(world: &mut World, op: &Op) {
    match op {
        Op::Ask {
            entry,
            org,
            class,
            key,
            session,
            streamed,
        } => {
            let class = ["question", "confirmation", "roster", "booking", "status"][*class];
            let org = if *org { "vazna" } else { "huallaga" };
            let mut spec = Spec::new(org, class, u128::from(*key) + 1);
            if matches!(class, "confirmation" | "booking") {
                spec = spec.key(&format!("{class}-{key}"));
            }
            if class != "booking" {
                spec.streamed = *streamed;
                spec.session = session_of(world, org, *session);
                if *session == 3 {
                    spec.wanted = Wanted::Auto;
                }
            }
            world.call(*entry, spec);
        }
        Op::Resend { back, entry } => {
            if let Some(call) = world.books.calls.iter().rev().nth(*back) {
                let spec = call.spec.clone();
                world.call(*entry, spec);
            }
        }
        Op::HangUp { back } => {
            if let Some(call) = world.books.calls.len().checked_sub(back + 1) {
                world.hang_up(call);
            }
        }
        Op::Killer { entry, key } => {
            let digest = 1000 + u128::from(*key);
            world.books.killers.insert(digest);
            let spec = Spec::new("vazna", "confirmation", digest).key(&format!("killer-{key}"));
            world.call(*entry, spec);
        }
        Op::Race { withdraw } => {
            let Some((base, (_, fleet))) = world.books.accepted.last_key_value() else {
                return;
            };
            let (base, fleet) = (*base, fleet.clone());
            let mut other = fleet.clone();
            other.name = "vazna-2".into();
            let first = match withdraw {
                true => files::withdraw(fleet, "v1"),
                false => fleet,
            };
            world.apply(base, other);
            world.apply(base, first);
        }
        Op::Fault(begin, end, millis) => {
            world.fault(*begin);
            world.later(Duration::from_millis(*millis), Event::Fault(*end));
        }
    }
}

/// A session by name, or by the token that its last answer returned.
fn session_of(world: &World, org: &str, session: u8) -> Option<SessionRef> {
    let name = match session {
        0 => return None,
        n => smol_str::format_smolstr!("session-{n}"),
    };
    let token = world.books.calls.iter().rev().find_map(|call| {
        let token = call
            .token
            .clone()
            .filter(|t| t.session == name && t.org == org)?;
        (call.told == Some(Told::Whole)).then_some(token)
    });
    match token {
        Some(token) if session != 1 => Some(SessionRef::Token(token)),
        _ => Some(SessionRef::Name(name)),
    }
}

fn number(name: &str, usual: u32) -> u32 {
    let given = env::var(name).ok().and_then(|n| n.parse().ok());
    given.unwrap_or(usual)
}

/// Whatever fails in whatever order, every promise holds and every call ends.
#[test]
fn promises_hold() {
    let cfg = ProptestConfig {
        cases: number("SESAMEBEAM_SCHEDULES", SCHEDULES),
        rng_seed: RngSeed::Fixed(SEED + u64::from(number("SESAMEBEAM_SEED", 0))),
        failure_persistence: None,
        // A failing schedule is given by its seed and steps; shrunk on request.
        max_shrink_iters: number("SESAMEBEAM_SHRINK", 0),
        ..ProptestConfig::default()
    };
    let (faults, calls) = (AtomicU64::new(0), AtomicU64::new(0));
    let whole = AtomicU64::new(0);
    let result = TestRunner::new(cfg.clone()).run(&schedule(), |(seed, ops)| {
        let world = run(seed, &ops);
        faults.fetch_add(world.faults, Ordering::Relaxed);
        let answered = world
            .books
            .calls
            .iter()
            .filter(|c| c.told == Some(Told::Whole));
        whole.fetch_add(answered.count() as u64, Ordering::Relaxed);
        calls.fetch_add(world.books.calls.len() as u64, Ordering::Relaxed);
        prop_assert!(
            world.books.broken().is_empty(),
            "{:#?}",
            world.books.broken()
        );
        Ok(())
    });
    println!(
        "{} schedules, {faults:?} faults, {calls:?} calls",
        cfg.cases
    );
    match result {
        Err(TestError::Fail(why, (seed, ops))) => panic!("{why}seed {seed}, {ops:?}"),
        other => other.unwrap(),
    }
}
