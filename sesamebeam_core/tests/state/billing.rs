//! Billing: one entry for each claim, over all its generations and ends.

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

use crate::make::{
    Group,
    claim,
    end,
    key,
    whole, //
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

/// The answer to a completion is lost and the entry reports it again. Billed for
/// each report, the customer pays the materials twice.
#[parameterized(
    safeguard_on = { false },
    safeguard_off = { true },
)]
fn completion_resent(fault: bool) {
    let mut group = Group::with_fleet();
    group.state.faults.bill_resends = fault;
    group.apply(&Command::Claim(claim(1, 0)));
    for _ in 0..2 {
        let outcome = group.apply(&Command::Complete(end(1, 1, whole("sheet"))));
        assert_eq!(outcome, Outcome::Complete(CompleteReply::Recorded));
        group.restart();
    }
    assert_eq!(states(&group.state).len() == 2, fault);
}

#[parameterized(
    found_whole = { Some(whole("sheet")), None, BillState::Charged },
    found_not_run = { Some(ClaimEnd::Abandoned), None, BillState::Void },
    settled_ran = { None, Some(true), BillState::Charged },
    settled_not_run = { None, Some(false), BillState::Void },
    proof_after_word = { Some(whole("sheet")), Some(false), BillState::Charged },
    nothing_more = { None, None, BillState::Open },
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
    let moved = group.state.bills(first + 1, 1).len() == 1;
    assert_eq!(moved, state != BillState::Open);
}

/// A claim is found not to have run, is taken again and completes. The key has
/// one entry, not a void one and a charged one.
#[test]
fn one_over_generations() {
    let mut group = Group::with_fleet();
    group.apply(&Command::Claim(claim(1, 0)));
    group.apply(&Command::Complete(end(1, 1, ClaimEnd::Unknown)));
    group.apply(&Command::Complete(end(1, 1, ClaimEnd::Abandoned)));
    group.apply(&Command::Claim(claim(2, 1)));
    group.apply(&Command::Complete(end(2, 2, whole("sheet"))));
    assert_eq!(states(&group.state), [BillState::Charged]);
    assert_eq!(group.state.bills(1, 1)[0].request, 2);
}

#[test]
fn settle_without_bill() {
    let mut group = Group::with_fleet();
    assert_eq!(group.apply(&settle(true)), Outcome::Settled(false));
    group.apply(&Command::Claim(claim(1, 0)));
    assert_eq!(group.apply(&settle(true)), Outcome::Settled(false));
    group.apply(&Command::Complete(end(1, 1, whole("sheet"))));
    assert_eq!(group.apply(&settle(false)), Outcome::Settled(false));
}
