//! Tests of the quarantine of requests that crash backend servers.

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

use crate::fixtures::{
    Group,
    server, //
};

const CULPRIT: Digest = 666;

fn crash(group: &mut Group, incarnation: u16, suspects: &[Digest]) -> Vec<Digest> {
    let report = CrashReport {
        server: server(incarnation),
        suspects: suspects.to_vec(),
    };
    match group.apply(&Command::Crash(report)) {
        Outcome::Quarantined(fingerprints) => fingerprints,
        other => panic!("expected the quarantine, got {other:?}"),
    }
}

/// A request crashes a backend server, is resent and crashes another one. After
/// the second crash no entry may run it.
#[test]
fn second_crash() {
    let mut group = Group::new();
    assert!(crash(&mut group, 1, &[CULPRIT, 1, 2]).is_empty());
    assert!(crash(&mut group, 1, &[CULPRIT, 3]).is_empty());
    group.restart();
    assert_eq!(crash(&mut group, 2, &[CULPRIT, 4]), [CULPRIT]);
    assert_eq!(group.state.live().quarantine, [CULPRIT]);
}

/// Both requests of a crashed backend server are resent and run together on the
/// next one. If both were quarantined, a harmless request would be refused.
#[parameterized(
    safeguard_on = { false },
    safeguard_off = { true },
)]
fn bystander(fault: bool) {
    let mut group = Group::new();
    group.state.faults.quarantine_bystanders = fault;
    crash(&mut group, 1, &[CULPRIT, 1]);
    crash(&mut group, 2, &[CULPRIT, 1]);
    let found = crash(&mut group, 3, &[CULPRIT]);
    assert!(found.contains(&CULPRIT));
    assert_eq!(found.contains(&1), fault);
}

#[test]
fn cleared_elsewhere() {
    let mut group = Group::new();
    crash(&mut group, 1, &[CULPRIT, 1]);
    group.apply(&Command::Cleared(vec![1]));
    assert_eq!(crash(&mut group, 2, &[CULPRIT, 1]), [CULPRIT]);
}

/// Two entries report the same crash, and the report that contains the culprit
/// arrives later. The first report alone incriminates a bystander; the second
/// must lift its quarantine.
#[test]
fn late_report() {
    let mut group = Group::new();
    crash(&mut group, 1, &[CULPRIT, 1]);
    assert_eq!(crash(&mut group, 2, &[1]), [1]);
    assert!(crash(&mut group, 2, &[CULPRIT]).is_empty());
    assert_eq!(crash(&mut group, 3, &[CULPRIT]), [CULPRIT]);
}

/// Bystanders of explained crashes are suspects of a third crash by
/// coincidence.
#[test]
fn explained_crashes() {
    let mut group = Group::new();
    crash(&mut group, 1, &[CULPRIT, 1]);
    crash(&mut group, 2, &[CULPRIT, 2]);
    assert_eq!(crash(&mut group, 3, &[1, 2]), [CULPRIT]);
}

#[test]
fn third_crash_tied() {
    let mut group = Group::new();
    for incarnation in 1..=2 {
        assert!(crash(&mut group, incarnation, &[CULPRIT, 1]).is_empty());
    }
    assert_eq!(crash(&mut group, 3, &[CULPRIT, 1]), [1, CULPRIT]);
}
