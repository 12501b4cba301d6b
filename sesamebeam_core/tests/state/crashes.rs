//! Crashes: the request that takes down backend servers, and bystanders.

use sesamebeam_core::{
    ids::Digest,
    message::{
        command::{
            Command,
            Outcome, //
        },
        record::CrashReport,
    },
};
use yare::parameterized;

use crate::make::{
    Group,
    server, //
};

const POISON: Digest = 666;

fn crash(group: &mut Group, life: u16, suspects: &[Digest]) -> Vec<Digest> {
    let report = CrashReport {
        server: server(life),
        suspects: suspects.to_vec(),
    };
    match group.apply(&Command::Crash(report)) {
        Outcome::Quarantined(fingerprints) => fingerprints,
        other => panic!("expected the quarantine, got {other:?}"),
    }
}

/// A request crashes its backend server, its caller sends it again, and the next
/// one goes down too. From the second crash on nobody may run it.
#[test]
fn second_crash() {
    let mut group = Group::new();
    assert!(crash(&mut group, 1, &[POISON, 1, 2]).is_empty());
    assert!(crash(&mut group, 1, &[POISON, 3]).is_empty());
    group.restart();
    assert_eq!(crash(&mut group, 2, &[POISON, 4]), [POISON]);
    assert_eq!(group.state.live().quarantine, [POISON]);
}

/// Both requests of a crashed backend server are sent again, and land together
/// on the next one. Quarantining both refuses a caller whose request is sound.
#[parameterized(
    safeguard_on = { false },
    safeguard_off = { true },
)]
fn bystander(fault: bool) {
    let mut group = Group::new();
    group.state.faults.quarantine_bystanders = fault;
    crash(&mut group, 1, &[POISON, 1]);
    crash(&mut group, 2, &[POISON, 1]);
    let found = crash(&mut group, 3, &[POISON]);
    assert!(found.contains(&POISON));
    assert_eq!(found.contains(&1), fault);
}

#[test]
fn cleared_elsewhere() {
    let mut group = Group::new();
    crash(&mut group, 1, &[POISON, 1]);
    group.apply(&Command::Cleared(vec![1]));
    assert_eq!(crash(&mut group, 2, &[POISON, 1]), [POISON]);
}

/// Two entries report one crash apart, the one with the guilty request later.
/// The early report alone points at a bystander; the late one lifts that.
#[test]
fn late_report() {
    let mut group = Group::new();
    crash(&mut group, 1, &[POISON, 1]);
    assert_eq!(crash(&mut group, 2, &[1]), [1]);
    assert!(crash(&mut group, 2, &[POISON]).is_empty());
    assert_eq!(crash(&mut group, 3, &[POISON]), [POISON]);
}

/// A bystander of two crashes that are explained is in a third one, by chance.
#[test]
fn explained_crashes() {
    let mut group = Group::new();
    crash(&mut group, 1, &[POISON, 1]);
    crash(&mut group, 2, &[POISON, 2]);
    assert_eq!(crash(&mut group, 3, &[1, 2]), [POISON]);
}

#[test]
fn third_crash_together() {
    let mut group = Group::new();
    for life in 1..=2 {
        assert!(crash(&mut group, life, &[POISON, 1]).is_empty());
    }
    assert_eq!(crash(&mut group, 3, &[POISON, 1]), [1, POISON]);
}
