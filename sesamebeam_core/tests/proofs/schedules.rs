//! Randomised schedules of calls and faults with a fixed seed.
//!
//! `SESAMEBEAM_SCHEDULES=n` sets their number, `SESAMEBEAM_SEED=n` selects others.

use std::{
    env,
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
    World,
    files, //
    history::{
        CallResult,
        Spec, //
    },
};

/// Default number of schedules.
const SCHEDULES: u32 = 200;

/// Default seed of the schedules.
const SEED: u64 = 20_261_202;

/// One step of a schedule.
#[derive(Clone, Debug)]
enum Op {
    /// A caller sends a call to an entry.
    Call {
        entry: usize,
        org: bool,
        class: usize,
        key: u8,
        session: u8,
        streamed: bool,
    },
    /// The call `back` calls before the last one is sent again, to another entry.
    Resend { back: usize, entry: usize },
    /// The caller of the call `back` calls before the last one hangs up.
    HangUp { back: usize },
    /// A call that crashes backend servers is sent.
    CrashingCall { entry: usize, key: u8 },
    /// Two operators send fleet files based on the same revision.
    Race { withdraw: bool },
    /// A fault begins, and ends after a time in milliseconds.
    Fault(Fault, Fault, u64),
}

fn any_op() -> impl Strategy<Value = Op> {
    let call_op = (
        0..4usize,
        any::<bool>(),
        0..5usize,
        0..6u8,
        0..4u8,
        any::<bool>(),
    )
        .prop_map(|(entry, org, class, key, session, streamed)| Op::Call {
            entry,
            org,
            class,
            key,
            session,
            streamed,
        });
    let resend = (0..4usize, 0..4usize).prop_map(|(back, entry)| Op::Resend { back, entry });
    prop_oneof![
        12 => call_op,
        6 => resend,
        1 => (0..4usize).prop_map(|back| Op::HangUp { back }),
        1 => (0..4usize, 0..6u8).prop_map(|(entry, key)| Op::CrashingCall { entry, key }),
        1 => any::<bool>().prop_map(|withdraw| Op::Race { withdraw }),
        8 => any_fault(),
    ]
}

fn any_fault() -> impl Strategy<Value = Op> {
    let kind = prop_oneof![
        (0..4usize).prop_map(|at| (Fault::Kill(at), Fault::Start(at))),
        (0..4usize).prop_map(|at| (Fault::Freeze(at), Fault::Thaw(at))),
        (1..=3u64).prop_map(|id| (Fault::KillNode(id), Fault::StartNode(id))),
        (1..=3u64).prop_map(|id| (Fault::FreezeNode(id), Fault::ThawNode(id))),
        (0..3usize).prop_map(|at| (Fault::IsolateDomain(at), Fault::ReconnectDomain(at))),
        (0..6usize).prop_map(|at| (Fault::Crash(at), Fault::Restart(at))),
        (0..6usize).prop_map(|at| (Fault::Leave(at), Fault::Leave(at))),
        (0..6usize).prop_map(|at| (Fault::SilenceConnections(at), Fault::BreakConnections(at))),
        (0..6usize).prop_map(|at| (Fault::BreakConnections(at), Fault::BreakConnections(at))),
        (0..4usize).prop_map(|at| (Fault::Stop(at), Fault::Stop(at))),
    ];
    (kind, 50..9000u64).prop_map(|((begin, end), millis)| Op::Fault(begin, end, millis))
}

fn any_schedule() -> impl Strategy<Value = (u64, Vec<(u64, Op)>)> {
    let ops = prop::collection::vec((0..700u64, any_op()), 10..50);
    (any::<u64>(), ops)
}

fn run(seed: u64, ops: &[(u64, Op)]) -> World {
    let mut world = World::plain(seed);
    world.net = Net {
        loss: 0.03,
        duplicated: 0.05,
        delay: if seed.is_multiple_of(3) { 200 } else { 5 },
    };
    for (wait, op) in ops {
        world.run(Duration::from_millis(*wait));
        execute_op(&mut world, op);
    }
    world.settle_and_check();
    world
}

fn execute_op(world: &mut World, op: &Op) {
    match op {
        Op::Call {
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
            if let Some(call) = world.history.calls.iter().rev().nth(*back) {
                let spec = call.spec.clone();
                world.call(*entry, spec);
            }
        }
        Op::HangUp { back } => {
            if let Some(call) = world.history.calls.len().checked_sub(back + 1) {
                world.hang_up(call);
            }
        }
        Op::CrashingCall { entry, key } => {
            let digest = 1000 + u128::from(*key);
            world.history.crashing_bodies.insert(digest);
            let spec = Spec::new("vazna", "confirmation", digest).key(&format!("killer-{key}"));
            world.call(*entry, spec);
        }
        Op::Race { withdraw } => {
            let Some((base, (_, fleet))) = world.history.accepted.last_key_value() else {
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
            world.inject_fault(*begin);
            world.schedule(Duration::from_millis(*millis), Event::Fault(*end));
        }
    }
}

/// Returns a session by name, or by the token of its last response.
fn session_of(world: &World, org: &str, session: u8) -> Option<SessionRef> {
    let name = match session {
        0 => return None,
        n => smol_str::format_smolstr!("session-{n}"),
    };
    let token = world.history.calls.iter().rev().find_map(|call| {
        let token = call
            .token
            .clone()
            .filter(|t| t.session == name && t.org == org)?;
        (call.result == Some(CallResult::Complete)).then_some(token)
    });
    match token {
        Some(token) if session != 1 => Some(SessionRef::Token(token)),
        _ => Some(SessionRef::Name(name)),
    }
}

fn env_number(name: &str, default: u32) -> u32 {
    let configured = env::var(name).ok().and_then(|n| n.parse().ok());
    configured.unwrap_or(default)
}

/// Under any schedule of faults, all guarantees hold and every call ends.
#[test]
fn promises_hold() {
    let cfg = ProptestConfig {
        cases: env_number("SESAMEBEAM_SCHEDULES", SCHEDULES),
        rng_seed: RngSeed::Fixed(SEED + u64::from(env_number("SESAMEBEAM_SEED", 0))),
        failure_persistence: None,
        // A failure is reported with its seed and steps, and shrunk on request.
        max_shrink_iters: env_number("SESAMEBEAM_SHRINK", 0),
        ..ProptestConfig::default()
    };
    let (faults, calls) = (AtomicU64::new(0), AtomicU64::new(0));
    let completed = AtomicU64::new(0);
    let result = TestRunner::new(cfg.clone()).run(&any_schedule(), |(seed, ops)| {
        let world = run(seed, &ops);
        faults.fetch_add(world.injected_faults, Ordering::Relaxed);
        let complete = world
            .history
            .calls
            .iter()
            .filter(|c| c.result == Some(CallResult::Complete));
        completed.fetch_add(complete.count() as u64, Ordering::Relaxed);
        calls.fetch_add(world.history.calls.len() as u64, Ordering::Relaxed);
        prop_assert!(
            world.history.violations().is_empty(),
            "{:#?}",
            world.history.violations()
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
