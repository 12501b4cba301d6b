//! Claims across leader failures, and the conditions that depend on the
//! leader's clock.

use sesamebeam_core::{
    message::{
        control::{
            ControlReply,
            ControlRequest, //
        },
        record::{
            BillState,
            ClaimReply,
            ClaimState,
            CompleteReply, //
        },
    },
    state::Faults,
};
use yare::parameterized;

use crate::group::{
    ENTRY_LEASE,
    Group,
    NETWORK_BOUND,
    WINDOW,
    claim,
    complete,
    renew, //
};

fn bills(group: &mut Group) -> Vec<BillState> {
    match group.request_leader(ControlRequest::Bills { from: 1, limit: 9 }) {
        ControlReply::Bills(bills) => bills.iter().map(|bill| bill.state).collect(),
        other => panic!("expected bills, got {other:?}"),
    }
}

/// Retries a request until a leader serves it, as an entry does.
fn request_until_served(group: &mut Group, req: &ControlRequest) -> ControlReply {
    for _ in 0..20 {
        match group.request_leader(req.clone()) {
            ControlReply::Unavailable(_) | ControlReply::NotLeader(_) => {}
            reply => return reply,
        }
    }
    panic!("no leader served the request");
}

/// The leader is killed at different points between receiving an entry's request
/// and replying to it, and the entry retries at the next leader. The entry must
/// be granted its own claim, complete it, and be billed once.
#[parameterized(
    claim_at_once = { 0, false },
    claim_synced = { 1, false },
    claim_sent = { 2, false },
    claim_committed = { 3, false },
    claim_answered = { 6, false },
    complete_at_once = { 0, true },
    complete_synced = { 1, true },
    complete_sent = { 2, true },
    complete_committed = { 3, true },
    complete_answered = { 6, true },
)]
fn leader_killed(millis: u64, while_completing: bool) {
    let mut group = Group::new(Faults::default());
    let req = ControlRequest::Claim(claim(1, 0));
    let old = group.wait_leader();
    if while_completing {
        request_until_served(&mut group, &req);
        group.send(old, complete(1, 1));
    } else {
        group.send(old, req.clone());
    }
    group.run(std::time::Duration::from_millis(millis));
    group.kill(old);
    group.wait_other_leader(old);
    if !while_completing {
        let reply = request_until_served(&mut group, &req);
        assert_eq!(reply, ControlReply::Claim(ClaimReply::Granted(1)));
    }
    let recorded = ControlReply::Complete(CompleteReply::Recorded);
    assert_eq!(request_until_served(&mut group, &complete(1, 1)), recorded);
    group.start(old);
    assert_eq!(request_until_served(&mut group, &complete(1, 1)), recorded);
    assert_eq!(bills(&mut group), [BillState::Charged]);
    let view = group.claim_view();
    assert!(matches!(view.state, ClaimState::Completed(done) if done.body.is_some()));
}

/// An entry claims a key and falls silent. Another entry may take the claim over
/// only when the first can no longer send its request and its lease has expired.
#[test]
fn retaken_in_time() {
    let mut group = Group::new(Faults::default());
    group.run(ENTRY_LEASE * 2);
    group.renew(renew(1, 0, 0));
    let renewed = group.now;
    group.claim(claim(1, 0));
    loop {
        let reply = group.claim(claim(2, 1));
        if reply == ClaimReply::Granted(2) {
            break;
        }
        let view = group.claim_view();
        assert!(!(view.window_over && view.claimant_gone));
        group.run(std::time::Duration::from_millis(200));
    }
    assert!(group.now >= renewed + ENTRY_LEASE);
    assert!(group.now >= renewed + WINDOW + NETWORK_BOUND);
    assert!(
        group.now < renewed + ENTRY_LEASE * 2,
        "the claim is never released"
    );
}

/// An entry claims a key and the leader fails. The new leader knows no lease of
/// the entry. If it assumed that the entry is gone, the entry would lose its claim
/// while it sends the request.
#[parameterized(
    safeguard_on = { Faults::default(), false },
    leases_trusted = { Faults { trust_empty_leases: true, ignore_windows: true, ..Faults::default() }, true },
)]
fn new_leader_waits(faults: Faults, retaken: bool) {
    let mut group = Group::new(faults);
    group.run(ENTRY_LEASE * 2);
    group.renew(renew(1, 0, 0));
    group.claim(claim(1, 0));
    let old = group.wait_leader();
    group.kill(old);
    group.wait_other_leader(old);
    let reply = group.claim(claim(2, 1));
    assert_eq!(reply == ClaimReply::Granted(2), retaken);
}

/// The dispatch window of a claim ends while its request may still be in transit.
/// Without the network bound after the window, the request could run twice.
#[parameterized(
    safeguard_on = { false },
    safeguard_off = { true },
)]
fn window_with_bound(fault: bool) {
    let faults = Faults {
        ignore_windows: fault,
        ..Faults::default()
    };
    let mut group = Group::new(faults);
    group.claim(claim(1, 0));
    group.run(WINDOW + NETWORK_BOUND - std::time::Duration::from_millis(100));
    assert_eq!(group.claim_view().window_over, fault);
    group.run(std::time::Duration::from_millis(300));
    assert!(group.claim_view().window_over);
}
