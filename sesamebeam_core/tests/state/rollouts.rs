//! Tests of rollouts: gates, holds and outdated decisions.

use std::time::Duration;

use sesamebeam_core::{
    fleet::VersionState,
    message::command::{
        Command,
        Evidence,
        RolloutState,
        RolloutStep, //
    },
};
use yare::parameterized;

use crate::fixtures::{
    Group,
    fleet,
    fleet_with_state, //
};

const VERSION: &str = "partes@v3";

fn evidence(good: u32, bad: u32, hold: bool) -> Command {
    Command::Evidence(Evidence {
        from: "entry-1".into(),
        version: VERSION.into(),
        good,
        bad,
        errors: 0,
        hold,
    })
}

fn step(from: RolloutState, to: RolloutState) -> Command {
    Command::Rollout(RolloutStep {
        version: VERSION.into(),
        from,
        to,
    })
}

fn started() -> Group {
    let mut group = Group::with_fleet();
    group.apply(&step(RolloutState::Loading, RolloutState::At(0)));
    assert_eq!(group.state.rollout(VERSION), Some(RolloutState::At(0)));
    group
}

#[test]
fn all_steps() {
    let mut group = started();
    let mut shares = Vec::new();
    for n in 1..=3 {
        shares.push(group.state.live().rollouts[0].share);
        group.apply(&evidence(10, 0, false));
        assert!(group.state.due_steps().is_empty(), "before the dwell");
        group.clock(Duration::from_secs(60 * n));
        group.restart();
        let due = group.state.due_steps();
        assert_eq!(due.len(), 1);
        group.apply(&Command::Rollout(due[0].clone()));
        group.apply(&Command::Rollout(due[0].clone()));
    }
    assert_eq!(shares, [0.1, 0.5, 1.0]);
    assert_eq!(group.state.rollout(VERSION), Some(RolloutState::Done));
}

/// A replaced leader decides based on evidence that an earlier step has already
/// used. Its decision arrives late and must have no effect.
#[parameterized(
    safeguard_on = { false },
    safeguard_off = { true },
)]
fn outdated_decision(fault: bool) {
    let mut group = started();
    group.state.faults.step_without_gate = fault;
    group.clock(Duration::from_secs(60));
    group.apply(&step(RolloutState::At(0), RolloutState::At(1)));
    let moved = group.state.rollout(VERSION) == Some(RolloutState::At(1));
    assert_eq!(moved, fault);
}

#[parameterized(
    by_entry_test = { 0, 0, true, true },
    by_fleet_test = { 4, 16, false, true },
    few_answers = { 0, 5, false, false },
    as_expected = { 90, 10, false, false },
)]
fn hold(good: u32, bad: u32, by_entry: bool, held: bool) {
    let mut group = started();
    let before = group.state.live().at;
    group.apply(&evidence(good, bad, by_entry));
    let live = group.state.live();
    assert_eq!(live.held == [VERSION], held);
    assert_eq!(live.at != before, held, "entries hear of holds alone");
    assert_eq!(live.rollouts[0].share == 0.0, held);
    group.apply(&step(RolloutState::Held, RolloutState::At(1)));
    let state = group.state.rollout(VERSION);
    assert_eq!(state == Some(RolloutState::Held), held);
}

#[test]
fn hold_ends_by_operator() {
    let mut group = started();
    group.apply(&evidence(0, 0, true));
    group.accept(fleet());
    assert_eq!(group.state.live().held, [VERSION]);
    let mut again = fleet();
    again.rollouts[0].gate = 20;
    group.accept(again);
    assert!(group.state.live().held.is_empty());
    assert_eq!(group.state.rollout(VERSION), Some(RolloutState::Loading));
}

#[test]
fn withdrawn() {
    let mut group = started();
    group.accept(fleet_with_state("v3", VersionState::Withdrawn));
    assert_eq!(group.state.rollout(VERSION), None);
    assert!(group.state.live().rollouts.is_empty());
}

/// A version that was good for a long time turns bad. If all past evidence had
/// full weight, the version would be held only after thousands of further
/// answers.
#[test]
fn good_version_turns_bad() {
    let mut group = started();
    for _ in 0..500 {
        group.apply(&evidence(100, 5, false));
    }
    assert!(group.state.live().held.is_empty());
    let mut answers = 0;
    while group.state.live().held.is_empty() {
        group.apply(&evidence(2, 8, false));
        answers += 10;
        assert!(answers < 200, "held within few answers");
    }
}
