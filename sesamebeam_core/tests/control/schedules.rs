//! Randomised schedules: replicas are killed, isolated and frozen, messages are
//! lost, duplicated and reordered, and entries repeat their requests.

use std::{
    collections::BTreeMap,
    time::Duration, //
};

use proptest::{
    prelude::*,
    test_runner::{
        Config,
        RngSeed,
        TestRunner, //
    },
};
use sesamebeam_core::{
    control::ClientTicket,
    ids::{
        Generation,
        LogIndex,
        MonoTime,
        NodeId,
        Revision, //
    },
    message::{
        command::Verdict,
        control::{
            ControlReply,
            ControlRequest, //
        },
        record::{
            ClaimReply,
            CompleteReply, //
        },
    },
    state::Faults,
};
use yare::parameterized;

use crate::group::{
    Group,
    WINDOW,
    change,
    claim,
    complete,
    fleet, //
};

/// One step of a schedule.
#[derive(Clone, Debug)]
enum Step {
    Kill(NodeId),
    Start(NodeId),
    Isolate(NodeId),
    Reconnect(NodeId),
    Freeze(NodeId),
    Thaw(NodeId),
    Claim {
        at: NodeId,
        entry: u64,
        replaces: u32,
    },
    Complete {
        at: NodeId,
        entry: u64,
        generation: u32,
    },
    Apply {
        at: NodeId,
        base: Revision,
        digest: u128,
    },
    Run(u64),
}

fn any_step() -> impl Strategy<Value = Step> {
    let node = || 1..=3_u64;
    prop_oneof![
        1 => node().prop_map(Step::Kill),
        1 => node().prop_map(Step::Start),
        1 => node().prop_map(Step::Isolate),
        1 => node().prop_map(Step::Reconnect),
        1 => node().prop_map(Step::Freeze),
        1 => node().prop_map(Step::Thaw),
        4 => (node(), 1..=3_u64, 0..=2_u32).prop_map(|(at, entry, replaces)| Step::Claim { at, entry, replaces }),
        2 => (node(), 1..=3_u64, 1..=2_u32).prop_map(|(at, entry, generation)| Step::Complete { at, entry, generation }),
        3 => (node(), 0..=1_u64, 0..=1_u128).prop_map(|(at, base, digest)| Step::Apply { at, base, digest }),
        6 => (1..=1500_u64).prop_map(Step::Run),
    ]
}

/// Checks of the invariants that hold after each step.
#[derive(Default)]
struct Invariants {
    /// Snapshots of the state by log position.
    states: BTreeMap<LogIndex, Vec<u8>>,
    revisions: BTreeMap<NodeId, Revision>,
    /// Entry and time of each claim request.
    claims: BTreeMap<ClientTicket, (u64, MonoTime)>,
    applies: BTreeMap<ClientTicket, (Revision, u128)>,
}

impl Invariants {
    fn check(&mut self, group: &Group) {
        let leaders = group.running().filter(|(_, core)| core.leads(group.now));
        assert!(leaders.count() <= 1, "two leaders hold a lease");
        for (id, core) in group.running() {
            let state = core.state();
            let known = self.states.entry(state.applied());
            let known = known.or_insert_with(|| state.snapshot());
            assert_eq!(*known, state.snapshot(), "two states at one log position");
            let bills = state.bills(1, 100);
            assert!(bills.len() <= 1, "one key is billed twice");
            let revision = self.revisions.entry(id).or_default();
            assert!(state.revision() >= *revision, "a revision was reverted");
            *revision = state.revision();
        }
        self.check_replies(group);
    }

    fn check_replies(&self, group: &Group) {
        let mut verdicts = BTreeMap::new();
        let mut accepted = BTreeMap::new();
        for (ticket, _, reply) in group.replies() {
            if let ControlReply::Verdict(verdict) = reply {
                let id = self.applies[&ticket];
                let first = verdicts.entry(id).or_insert(verdict);
                assert_eq!(*first, verdict, "two verdicts on one change");
                if let Verdict::Accepted(revision) = verdict {
                    let winner = accepted.entry(*revision).or_insert(id);
                    assert_eq!(*winner, id, "two changes as one revision");
                }
            }
        }
        self.check_grants(group);
    }

    /// Checks that at most one entry at a time holds a claim. No claim is abandoned
    /// in these schedules, so each further generation replaced the one before,
    /// whose holder may send until its dispatch window, counted from its request,
    /// is over.
    fn check_grants(&self, group: &Group) {
        let mut holders = BTreeMap::new();
        let mut sends_until: BTreeMap<Generation, MonoTime> = BTreeMap::new();
        let mut granted_at: BTreeMap<Generation, MonoTime> = BTreeMap::new();
        for (ticket, at, reply) in group.replies() {
            let ControlReply::Claim(ClaimReply::Granted(generation)) = reply else {
                continue;
            };
            let (entry, requested_at) = self.claims[&ticket];
            let holder = holders.entry(*generation).or_insert(entry);
            assert_eq!(*holder, entry, "one claim was granted to two entries");
            let until = sends_until.entry(*generation).or_default();
            *until = (*until).max(requested_at + WINDOW);
            let first = granted_at.entry(*generation).or_insert(at);
            *first = (*first).min(at);
        }
        for (generation, at) in granted_at {
            let before = sends_until.get(&(generation - 1));
            let is_over = before.is_none_or(|until| *until <= at);
            assert!(is_over, "two entries may send at the same time");
        }
    }
}

fn execute_step(group: &mut Group, invariants: &mut Invariants, step: Step) {
    let runs = |group: &Group, id| group.running().any(|(running, _)| running == id);
    match step {
        Step::Kill(id) => {
            group.thaw(id);
            group.kill(id);
            // After a restart it applies its snapshot and log from the beginning.
            invariants.revisions.remove(&id);
        }
        Step::Start(id) if !runs(group, id) => group.start(id),
        Step::Start(_) => {}
        Step::Isolate(id) => group.isolate(id),
        Step::Reconnect(id) => group.reconnect(id),
        Step::Freeze(id) if runs(group, id) => group.freeze(id),
        Step::Freeze(_) => {}
        Step::Thaw(id) => group.thaw(id),
        Step::Claim {
            at,
            entry,
            replaces,
        } => {
            let ticket = group.send(at, ControlRequest::Claim(claim(entry, replaces)));
            invariants.claims.insert(ticket, (entry, group.now));
        }
        Step::Complete {
            at,
            entry,
            generation,
        } => {
            group.send(at, complete(entry, generation));
        }
        Step::Apply { at, base, digest } => {
            let change = change(base, digest, fleet());
            let ticket = group.send(at, ControlRequest::Apply(change));
            invariants.applies.insert(ticket, (base, digest));
        }
        Step::Run(millis) => group.run(Duration::from_millis(millis)),
    }
}

/// Runs a schedule and checks the replies to callers and operators.
fn run_schedule(faults: Faults, seed: u64, steps: Vec<Step>) {
    let mut group = Group::with(faults, |cfg| cfg.replica.snapshot_every = 5);
    let mut invariants = Invariants::default();
    group.disturb_messages(seed);
    for step in steps {
        execute_step(&mut group, &mut invariants, step);
        invariants.check(&group);
    }
    group.heal();
    group.run(Duration::from_secs(10));
    invariants.check(&group);
    let leader = group.wait_leader();
    let ticket = group.send(leader, ControlRequest::Claim(claim(1, 0)));
    invariants.claims.insert(ticket, (1, group.now));
    group.run(Duration::from_secs(1));
    let view = group.claim_view();
    let holder = view.claimant.incarnation;
    let ended = group.request_leader(complete(holder, view.generation));
    assert_eq!(ended, ControlReply::Complete(CompleteReply::Recorded));
    group.run(Duration::from_secs(2));
    invariants.check(&group);
    for (_, core) in group.running() {
        assert_eq!(core.state().bill_count(), 1);
    }
}

/// Under any schedule, callers and operators receive consistent replies, and after
/// all faults have ended, a claim can be completed and is billed once. The same
/// schedules detect that two of the safeguards are disabled.
#[parameterized(
    safeguards_on = { Faults::default(), 128, false },
    bills_doubled = { Faults { bill_resends: true, ..Faults::default() }, 200, true },
    claims_doubled = {
        Faults {
            ignore_windows: true,
            trust_empty_leases: true,
            retake_any_grant: true,
            ..Faults::default()
        },
        200,
        true
    },
)]
fn consistent_replies(faults: Faults, cases: u32, violated: bool) {
    let config = Config {
        cases,
        rng_seed: RngSeed::Fixed(6),
        failure_persistence: None,
        max_shrink_iters: if violated { 0 } else { 100 },
        ..Config::default()
    };
    let steps = prop::collection::vec(any_step(), 1..60);
    let result = TestRunner::new(config).run(&(any::<u64>(), steps), |(seed, steps)| {
        run_schedule(faults, seed, steps);
        Ok(())
    });
    match result {
        Err(e) if !violated => panic!("{e}"),
        other => assert_eq!(other.is_err(), violated),
    }
}

/// An isolated leader has an uncommitted entry at the position at which the logs of
/// the others begin after a snapshot. After reconnecting, it must not reject the
/// new leader's entries with the same hint forever, in a busy loop of messages.
#[test]
fn conflict_at_base() {
    let steps = vec![
        Step::Apply {
            at: 2,
            base: 0,
            digest: 1,
        },
        Step::Run(2777),
        Step::Isolate(3),
        Step::Run(1331),
        Step::Apply {
            at: 1,
            base: 1,
            digest: 0,
        },
        Step::Run(766),
        Step::Isolate(2),
        Step::Run(1374),
        Step::Claim {
            at: 3,
            entry: 2,
            replaces: 2,
        },
        Step::Run(109),
        Step::Reconnect(3),
        Step::Claim {
            at: 2,
            entry: 2,
            replaces: 2,
        },
        Step::Claim {
            at: 3,
            entry: 3,
            replaces: 2,
        },
        Step::Run(1044),
    ];
    run_schedule(Faults::default(), 99_754_586_674_268_405, steps);
}
