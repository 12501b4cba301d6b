//! Tests of the retention limits.

use std::time::Duration;

use sesamebeam_core::{
    message::{
        command::{
            Command,
            Denial,
            Outcome,
            Retention, //
        },
        record::{
            BillState,
            ClaimEnd,
            ClaimRequest,
            ClaimState,
            SettleRequest,
            Usage, //
        },
    },
    state::{
        State,
        StateError, //
    },
};

use crate::fixtures::{
    Group,
    claim,
    completed_end,
    end,
    key, //
};

fn named(name: &str) -> ClaimRequest {
    ClaimRequest {
        key: key(name),
        ..claim(1, 0)
    }
}

fn body(group: &Group, name: &str) -> Option<Vec<u8>> {
    match &group.state.claim(&key(name))?.state {
        ClaimState::Completed(done) => done.body.clone(),
        _ => None,
    }
}

fn update_retention(group: &mut Group, change: impl FnOnce(&mut Retention)) {
    let mut retention = group.state.retention().clone();
    change(&mut retention);
    group.apply(&Command::Retention(retention));
}

/// The entry of an open claim crashed and the key is not claimed again. If the
/// claim were simply removed, a request that ran would never be billed.
#[test]
fn open_claim_becomes_unknown() {
    let mut group = Group::with_fleet();
    group.apply(&Command::Claim(claim(1, 0)));
    group.clock(Duration::from_hours(24));
    let view = group.state.claim(&key("sheet")).unwrap();
    assert_eq!(view.state, ClaimState::Unknown);
    assert_eq!(group.state.bills(1, 9)[0].state, BillState::Open);
    group.clock(Duration::from_hours(24 * 30));
    group.restart();
    assert_eq!(group.state.bill_count(), 1, "open entries stay");
    let settle = Command::Settle(SettleRequest {
        key: key("sheet"),
        ran: false,
        usage: Usage::default(),
    });
    assert_eq!(group.apply(&settle), Outcome::Settled(true));
    group.clock(Duration::from_hours(24 * 60));
    assert_eq!(
        (group.state.claim_count(), group.state.bill_count()),
        (0, 0)
    );
}

#[test]
fn ended_claim_expires() {
    let mut group = Group::with_fleet();
    group.apply(&Command::Claim(claim(1, 0)));
    group.clock(Duration::from_hours(23));
    group.apply(&Command::Complete(end(1, 1, completed_end("sheet"))));
    group.clock(Duration::from_hours(46));
    assert!(body(&group, "sheet").is_some());
    group.clock(Duration::from_hours(47));
    assert_eq!(group.state.claim_count(), 0);
    assert_eq!(group.state.body_bytes(), 0);
    assert_eq!(group.state.bill_count(), 1);
    group.clock(Duration::from_hours(24 * 9));
    assert_eq!(group.state.bill_count(), 0);
}

#[test]
fn bodies() {
    let mut group = Group::with_fleet();
    update_retention(&mut group, |retention| {
        retention.body_cap = 4;
        retention.bodies_cap = 8;
    });
    for (name, text) in [("a", "1234"), ("b", "12345"), ("c", "1234"), ("d", "1")] {
        group.apply(&Command::Claim(named(name)));
        let mut done = end(1, 1, completed_end(text));
        done.key = key(name);
        group.apply(&Command::Complete(done));
    }
    group.restart();
    let kept = ["a", "b", "c", "d"].map(|name| body(&group, name).is_some());
    assert_eq!(kept, [false, false, true, true]);
    assert_eq!(group.state.body_bytes(), 5);
}

#[test]
fn denied_when_full() {
    let mut group = Group::with_fleet();
    update_retention(&mut group, |retention| retention.max_bills = 2);
    group.apply(&Command::Claim(named("a")));
    group.apply(&Command::Claim(named("b")));
    let denied = Outcome::Denied(Denial::ClaimsFull);
    assert_eq!(group.apply(&Command::Claim(named("c"))), denied);
    let mut abandoned = end(1, 1, ClaimEnd::Abandoned);
    abandoned.key = key("a");
    group.apply(&Command::Complete(abandoned));
    assert_ne!(group.apply(&Command::Claim(named("c"))), denied);
}

/// The table of claims is full of ended claims. A further claim is denied while
/// they are recent, because their callers may still resend. After an hour the
/// oldest is evicted, although its retention is a day.
#[test]
fn oldest_ended_claim_evicted() {
    let mut group = Group::with_fleet();
    update_retention(&mut group, |retention| retention.max_claims = 2);
    group.apply(&Command::Claim(named("a")));
    let mut abandoned = end(1, 1, ClaimEnd::Abandoned);
    abandoned.key = key("a");
    group.apply(&Command::Complete(abandoned));
    group.apply(&Command::Claim(named("b")));
    let denied = Outcome::Denied(Denial::ClaimsFull);
    assert_eq!(group.apply(&Command::Claim(named("c"))), denied);
    group.clock(Duration::from_secs(3601));
    assert_ne!(group.apply(&Command::Claim(named("c"))), denied);
    // The open claim and the new one are not evicted, whatever their age.
    assert_eq!(group.state.claim_count(), 2);
    assert_eq!(group.apply(&Command::Claim(named("d"))), denied);
}

#[test]
fn clock_is_monotonic() {
    let mut group = Group::new();
    group.clock(Duration::from_secs(10));
    group.clock(Duration::from_secs(5));
    assert_eq!(group.state.clock(), Duration::from_secs(10));
}

#[test]
fn damaged_snapshot() {
    let group = Group::with_fleet();
    let buf = group.state.snapshot();
    for at in 1..buf.len() {
        let mut damaged = buf.clone();
        damaged[at] ^= 1;
        let restored = State::restore(&damaged);
        assert!(matches!(restored, Err(StateError::Checksum { .. })));
    }
    assert!(matches!(
        State::restore(&buf[..3]),
        Err(StateError::TooShort(3))
    ));
    let mut newer = buf;
    newer[0] += 1;
    assert!(matches!(
        State::restore(&newer),
        Err(StateError::UnsupportedVersion(2))
    ));
}
