//! Tests of the verdicts on concurrent and resent changes.

use std::time::Duration;

use sesamebeam_core::{
    fleet::VersionState,
    message::command::{
        Change,
        Command,
        Outcome,
        Verdict, //
    },
};
use yare::parameterized;

use crate::fixtures::{
    Group,
    change,
    fleet,
    fleet_with_state, //
};

fn judge(group: &mut Group, change: &Change) -> Verdict {
    match group.apply(&Command::Apply(change.clone())) {
        Outcome::Verdict(verdict) => verdict,
        other => panic!("expected a verdict, got {other:?}"),
    }
}

/// Two operators change the same revision concurrently. One file is accepted;
/// the other operator is told who won and where the files differ.
#[test]
fn concurrent_changes() {
    let mut group = Group::with_fleet();
    let mut first = change(1, 10, fleet_with_state("v1", VersionState::Withdrawn));
    first.operator = "ana".into();
    let mut second = change(1, 11, fleet_with_state("v2", VersionState::Withdrawn));
    second.operator = "zuzana".into();
    assert_eq!(judge(&mut group, &first), Verdict::Accepted(2));
    let Verdict::Conflict(conflict) = judge(&mut group, &second) else {
        panic!("the second file must lose");
    };
    assert_eq!(conflict.current, 2);
    assert_eq!(conflict.winner, "ana");
    assert_eq!(conflict.differences, ["model `partes`"]);
    assert_eq!(*group.state.fleet(), *first.fleet);
}

/// The reply to `apply` is lost and the file is sent again after the replica
/// restarted from a snapshot. A second decision would report a conflict of the
/// file with itself.
#[parameterized(
    safeguard_on = { false },
    safeguard_off = { true },
)]
fn resent_after_snapshot(fault: bool) {
    let mut group = Group::with_fleet();
    group.state.faults.snapshot_without_verdicts = fault;
    let file = change(1, 10, fleet_with_state("v1", VersionState::Withdrawn));
    let first = judge(&mut group, &file);
    group.accept(fleet());
    let state = sesamebeam_core::state::State::restore(&group.state.snapshot()).unwrap();
    group.state = state;
    let again = judge(&mut group, &file);
    assert_eq!(again != first, fault);
}

#[test]
fn conflict_resent() {
    let mut group = Group::with_fleet();
    group.accept(fleet_with_state("v1", VersionState::Withdrawn));
    let late = change(1, 99, fleet());
    let first = judge(&mut group, &late);
    group.accept(fleet());
    group.restart();
    assert_eq!(judge(&mut group, &late), first);
}

#[test]
fn bounded() {
    let mut group = Group::with_fleet();
    let mut retention = group.state.retention().clone();
    retention.max_verdicts = 3;
    group.apply(&Command::Retention(retention));
    let files: Vec<_> = (1..=5).map(|base| change(base, 7, fleet())).collect();
    for file in &files {
        judge(&mut group, file);
    }
    assert!(group.state.verdict(&files[1]).is_none());
    assert!(group.state.verdict(&files[2]).is_some());
    group.apply(&Command::Clock {
        at: Duration::from_hours(25),
    });
    assert!(group.state.verdict(&files[4]).is_none());
}
