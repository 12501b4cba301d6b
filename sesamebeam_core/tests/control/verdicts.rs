//! Verdicts on fleet files: lost replies, conflicts and files with faults.

use sesamebeam_core::{
    message::{
        command::Verdict,
        control::{
            ControlReply,
            ControlRequest, //
        },
    },
    state::Faults,
};
use yare::parameterized;

use crate::group::{
    Group,
    change,
    claim,
    fleet, //
};

/// A fleet file is accepted, the reply is lost with the leader, and the operator
/// sends the file again to another replica, in one case after the log was replaced
/// by a snapshot. The reply must be the first verdict.
#[parameterized(
    from_log = { 0 },
    from_snapshot = { 700 },
)]
fn resent_to_other_replica(claims: u64) {
    let mut group = Group::new(Faults::default());
    group.accept_fleet(0, fleet());
    let file = ControlRequest::Apply(change(1, 5, fleet()));
    let old = group.wait_leader();
    group.send(old, file.clone());
    group.run(std::time::Duration::from_millis(20));
    for n in 0..claims {
        let mut claim = claim(n, 0);
        claim.key.key = smol_str::format_smolstr!("{n}");
        group.claim(claim);
    }
    for id in 1..=3 {
        group.kill(id);
    }
    for id in (1..=3).filter(|id| *id != old) {
        group.start(id);
    }
    group.wait_leader();
    let again = group.request_leader(file);
    assert_eq!(again, ControlReply::Verdict(Verdict::Accepted(2)));
}

#[test]
fn operators_race() {
    let mut group = Group::new(Faults::default());
    group.accept_fleet(0, fleet());
    let leader = group.wait_leader();
    let mut other = fleet();
    other.name = "other".into();
    let first = group.send(leader, ControlRequest::Apply(change(1, 5, fleet())));
    let second = group.send(leader, ControlRequest::Apply(change(1, 6, other)));
    let reply = group.run_until(|group| group.reply(second).cloned());
    let accepted = ControlReply::Verdict(Verdict::Accepted(2));
    assert_eq!(group.reply(first), Some(&accepted));
    let ControlReply::Verdict(Verdict::Conflict(conflict)) = reply else {
        panic!("expected a conflict, got {reply:?}");
    };
    assert_eq!(conflict.differences, ["name"]);
}

#[test]
fn faulty_file() {
    let mut group = Group::new(Faults::default());
    let mut faulty = fleet();
    faulty.organisations[0].allow.push("beam@v9".into());
    let reply = group.request_leader(ControlRequest::Apply(change(0, 1, faulty)));
    let faulty = matches!(&reply, ControlReply::Verdict(Verdict::Faulty(f)) if !f.is_empty());
    assert!(faulty, "{reply:?}");
    group.accept_fleet(0, fleet());
}
