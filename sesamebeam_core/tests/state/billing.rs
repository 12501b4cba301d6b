//! Tests that each key has at most one billing entry, across the generations
//! and ends of its claims.

use sesamebeam_core::{
    message::{
        command::{
            Command,
            Outcome, //
        },
        record::{
            BillState,
            ClaimEnd,
            CompleteReply,
            SettleRequest,
            Usage, //
        },
    },
    state::State,
};
use yare::parameterized;

use crate::fixtures::{
    Group,
    claim,
    completed_end,
    end,
    key, //
};

fn states(state: &State) -> Vec<BillState> {
    let bills = state.bills(1, 100);
    bills.iter().map(|bill| bill.state).collect()
}

fn settle(ran: bool) -> Command {
    Command::Settle(SettleRequest {
        key: key("sheet"),
        ran,
        usage: Usage::default(),
    })
}

/// The reply to a completion is lost and the entry reports the completion
/// again. Without deduplication, the customer is billed twice.
#[parameterized(
    safeguard_on = { false },
    safeguard_off = { true },
)]
fn completion_resent(fault: bool) {
    let mut group = Group::with_fleet();
    group.state.faults.bill_resends = fault;
    group.apply(&Command::Claim(claim(1, 0)));
    for _ in 0..2 {
        let outcome = group.apply(&Command::Complete(end(1, 1, completed_end("sheet"))));
        assert_eq!(outcome, Outcome::Complete(CompleteReply::Recorded));
        group.restart();
    }
    assert_eq!(states(&group.state).len() == 2, fault);
}

#[parameterized(
    found_completed = { Some(completed_end("sheet")), None, BillState::Charged },
    found_not_run = { Some(ClaimEnd::Abandoned), None, BillState::Void },
    settled_ran = { None, Some(true), BillState::Charged },
    settled_not_run = { None, Some(false), BillState::Void },
    completed_after_settled = { Some(completed_end("sheet")), Some(false), BillState::Charged },
    still_open = { None, None, BillState::Open },
)]
fn open_bill(later: Option<ClaimEnd>, settled: Option<bool>, state: BillState) {
    let mut group = Group::with_fleet();
    group.apply(&Command::Claim(claim(1, 0)));
    group.apply(&Command::Complete(end(1, 1, ClaimEnd::Unknown)));
    let first = group.state.bills(1, 1)[0].seq;
    if let Some(ran) = settled {
        assert_eq!(group.apply(&settle(ran)), Outcome::Settled(true));
        assert_eq!(group.apply(&settle(ran)), Outcome::Settled(true));
        assert_eq!(group.apply(&settle(!ran)), Outcome::Settled(false));
    }
    if let Some(later) = later {
        group.apply(&Command::Complete(end(1, 1, later)));
    }
    group.restart();
    assert_eq!(states(&group.state), [state]);
    let renumbered = group.state.bills(first + 1, 1).len() == 1;
    assert_eq!(renumbered, state != BillState::Open);
}

/// A claim whose request did not run is claimed again and completes. The key
/// must have one billing entry, not a void and a charged one.
#[test]
fn one_bill_across_generations() {
    let mut group = Group::with_fleet();
    group.apply(&Command::Claim(claim(1, 0)));
    group.apply(&Command::Complete(end(1, 1, ClaimEnd::Unknown)));
    group.apply(&Command::Complete(end(1, 1, ClaimEnd::Abandoned)));
    group.apply(&Command::Claim(claim(2, 1)));
    group.apply(&Command::Complete(end(2, 2, completed_end("sheet"))));
    assert_eq!(states(&group.state), [BillState::Charged]);
    assert_eq!(group.state.bills(1, 1)[0].request, 2);
}

#[test]
fn settle_without_bill() {
    let mut group = Group::with_fleet();
    assert_eq!(group.apply(&settle(true)), Outcome::Settled(false));
    group.apply(&Command::Claim(claim(1, 0)));
    assert_eq!(group.apply(&settle(true)), Outcome::Settled(false));
    group.apply(&Command::Complete(end(1, 1, completed_end("sheet"))));
    assert_eq!(group.apply(&settle(false)), Outcome::Settled(false));
}
