//! Leases of entries: delayed renewal replies, and when a revision is in force.

use std::time::Duration;

use sesamebeam_core::{
    message::{
        command::Evidence,
        control::{
            ControlReply,
            ControlRequest,
            FleetChange, //
        },
    },
    state::Faults,
};
use yare::parameterized;

use crate::group::{
    ENTRY_LEASE,
    Group,
    fleet,
    renew, //
};

fn in_force(group: &mut Group) -> u64 {
    match group.request_leader(ControlRequest::Status) {
        ControlReply::Status(status) => status.in_force,
        other => panic!("expected a status, got {other:?}"),
    }
}

#[test]
fn update_sent_immediately() {
    let mut group = Group::new(Faults::default());
    group.accept_fleet(0, fleet());
    let first = group.renew(renew(1, 0, 0));
    let update = first.update.expect("the first fleet file is sent");
    assert_eq!(update.revision, 1);
    let live_at = update.live.expect("the live state is sent").at;
    let leader = group.wait_leader();
    let poll = group.send(leader, ControlRequest::Renew(renew(1, 1, live_at)));
    group.run(Duration::from_millis(500));
    assert_eq!(group.reply(poll), None, "there is no update yet");
    group.accept_fleet(1, fleet());
    let requested_at = group.now;
    let reply = group.run_until(|group| group.reply(poll).cloned());
    assert!(group.now - requested_at <= Duration::from_millis(5));
    let ControlReply::Renewed(renewed) = reply else {
        panic!("expected a renewal, got {reply:?}");
    };
    let change = renewed.update.and_then(|update| update.fleet);
    assert!(matches!(change, Some(FleetChange::Delta(delta)) if delta.base == 1));
}

#[test]
fn answered_without_update() {
    let mut group = Group::new(Faults::default());
    let requested_at = group.now;
    let renewed = group.renew(renew(1, 0, 0));
    assert_eq!((renewed.lease, renewed.update), (ENTRY_LEASE, None));
    let waited = group.now - requested_at;
    assert!(waited <= ENTRY_LEASE / 3 + Duration::from_millis(5));
}

#[test]
fn hold_sent_immediately() {
    let mut group = Group::new(Faults::default());
    group.accept_fleet(0, fleet());
    let update = group.renew(renew(1, 0, 0)).update.unwrap();
    let live_at = update.live.unwrap().at;
    let leader = group.wait_leader();
    let poll = group.send(leader, ControlRequest::Renew(renew(1, 1, live_at)));
    let evidence = Evidence {
        from: "entry-2".into(),
        version: "beam@v2".into(),
        good: 0,
        bad: 3,
        errors: 0,
        hold: true,
    };
    group.request_leader(ControlRequest::Evidence(vec![evidence.clone(), evidence]));
    let ControlReply::Renewed(renewed) = group.run_until(|group| group.reply(poll).cloned()) else {
        panic!("expected a renewal");
    };
    let live = renewed.update.and_then(|update| update.live).unwrap();
    assert_eq!(live.held, ["beam@v2"]);
}

/// One entry has the new fleet file and another one is silent. The revision must
/// not be in force until the silent entry can no longer act on the old file.
#[test]
fn in_force_after_lease() {
    let mut group = Group::new(Faults::default());
    group.accept_fleet(0, fleet());
    group.run(ENTRY_LEASE * 2);
    assert_eq!(in_force(&mut group), 1, "without any entry");
    group.renew(renew(2, 1, 0));
    let silent_from = group.now;
    group.accept_fleet(1, fleet());
    while in_force(&mut group) < 2 {
        assert!(
            group.now < silent_from + ENTRY_LEASE * 2,
            "the lease of the silent entry never expires"
        );
        group.renew(renew(1, 2, u64::MAX));
    }
    assert!(group.now >= silent_from + ENTRY_LEASE);
}

/// The leader that granted the leases fails after a withdrawal was accepted, and
/// the new leader knows no entry. If it relied on its empty table, operators would
/// consider the version unused while an entry still sends requests to it.
#[parameterized(
    safeguard_on = { false },
    safeguard_off = { true },
)]
fn new_leader_waits(fault: bool) {
    let faults = Faults {
        trust_empty_leases: fault,
        ..Faults::default()
    };
    let mut group = Group::new(faults);
    group.accept_fleet(0, fleet());
    group.run(ENTRY_LEASE * 2);
    group.renew(renew(1, 1, 0));
    group.accept_fleet(1, fleet());
    let old = group.wait_leader();
    group.kill(old);
    group.wait_other_leader(old);
    group.run(Duration::from_secs(1));
    assert_eq!(in_force(&mut group) == 2, fault);
    group.run(ENTRY_LEASE * 2);
    assert_eq!(in_force(&mut group), 2);
}

#[test]
fn leaving_releases_lease() {
    let mut group = Group::new(Faults::default());
    group.accept_fleet(0, fleet());
    group.run(ENTRY_LEASE * 2);
    group.renew(renew(1, 1, 0));
    let mut leaving = renew(1, 1, 0);
    leaving.leaving = true;
    assert_eq!(group.renew(leaving).lease, Duration::ZERO);
    group.accept_fleet(1, fleet());
    group.run(Duration::from_millis(100));
    assert_eq!(in_force(&mut group), 2);
}

#[test]
fn in_force_survives() {
    let mut group = Group::new(Faults::default());
    group.accept_fleet(0, fleet());
    group.run(ENTRY_LEASE * 2);
    let old = group.wait_leader();
    group.kill(old);
    group.wait_other_leader(old);
    assert_eq!(in_force(&mut group), 1);
}
