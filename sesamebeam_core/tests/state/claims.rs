//! Tests that the first claim wins, an end is final and a retake is a
//! compare-and-set.

use sesamebeam_core::message::{
    command::{
        Command,
        Denial,
        Outcome,
        Retake, //
    },
    record::{
        ClaimEnd,
        ClaimReply,
        ClaimState,
        CompleteReply, //
    },
};
use yare::parameterized;

use crate::fixtures::{
    Group,
    claim,
    completed_end,
    end,
    key, //
};

fn granted(generation: u32) -> Outcome {
    Outcome::Claim(ClaimReply::Granted(generation))
}

fn existing(outcome: &Outcome) -> (u32, ClaimState) {
    match outcome {
        Outcome::Claim(ClaimReply::Existing(view)) => (view.generation, view.state.clone()),
        other => panic!("expected an existing claim, got {other:?}"),
    }
}

#[test]
fn first_wins() {
    let mut group = Group::with_fleet();
    assert_eq!(group.apply(&Command::Claim(claim(1, 0))), granted(1));
    let second = group.apply(&Command::Claim(claim(2, 0)));
    assert_eq!(existing(&second), (1, ClaimState::Open));
    group.restart();
    let third = group.apply(&Command::Claim(claim(3, 0)));
    assert_eq!(existing(&third), (1, ClaimState::Open));
}

#[test]
fn other_body() {
    let mut group = Group::with_fleet();
    group.apply(&Command::Claim(claim(1, 0)));
    let mut other = claim(2, 0);
    other.digest = 8;
    let outcome = group.apply(&Command::Claim(other));
    assert_eq!(outcome, Outcome::Claim(ClaimReply::Conflict));
}

/// The leader crashes after a claim is committed and before it replies. The
/// entry sends the same claim to the next leader, and it must be granted.
#[test]
fn answer_lost() {
    let mut group = Group::with_fleet();
    group.apply(&Command::Claim(claim(1, 0)));
    let first = group.state.grant(&key("sheet"));
    assert_eq!(group.apply(&Command::Claim(claim(1, 0))), granted(1));
    assert_ne!(group.state.grant(&key("sheet")), first);
}

/// An abandoned claim is claimed by another entry. A delayed copy of the first
/// entry's claim must not replace it, because no entry waits for the reply.
#[test]
fn abandoned_then_late_copy() {
    let mut group = Group::with_fleet();
    group.apply(&Command::Claim(claim(1, 0)));
    group.apply(&Command::Complete(end(1, 1, ClaimEnd::Abandoned)));
    let copy = group.apply(&Command::Claim(claim(1, 0)));
    assert_eq!(existing(&copy), (1, ClaimState::Abandoned));
    assert_eq!(group.apply(&Command::Claim(claim(2, 1))), granted(2));
    let copy = group.apply(&Command::Claim(claim(1, 0)));
    assert_eq!(existing(&copy), (2, ClaimState::Open));
    let late = group.apply(&Command::Complete(end(1, 1, completed_end("late"))));
    assert_eq!(late, Outcome::Complete(CompleteReply::Superseded));
}

#[parameterized(
    open = { None },
    completed = { Some(completed_end("done")) },
    unknown = { Some(ClaimEnd::Unknown) },
)]
fn no_retake_by_claim(ended: Option<ClaimEnd>) {
    let mut group = Group::with_fleet();
    group.apply(&Command::Claim(claim(1, 0)));
    if let Some(ended) = ended {
        group.apply(&Command::Complete(end(1, 1, ended)));
    }
    let outcome = group.apply(&Command::Claim(claim(2, 1)));
    assert_eq!(existing(&outcome).0, 1);
}

/// Two entries find the claimant gone and both request a retake. Only one may
/// be granted, otherwise the request runs twice.
#[test]
fn concurrent_retakes() {
    let mut group = Group::with_fleet();
    group.apply(&Command::Claim(claim(1, 0)));
    let granted_at = group.state.grant(&key("sheet")).unwrap().granted_at;
    let retake = |entry| {
        Command::Retake(Retake {
            claim: claim(entry, 1),
            granted_at,
        })
    };
    assert_eq!(group.apply(&retake(2)), granted(2));
    assert_eq!(existing(&group.apply(&retake(3))).0, 2);
}

/// The claimant was paused, not gone: it resends its claim through the next
/// leader, which grants it again with a new window. A retake that was evaluated
/// against the old window follows in the log. If both were granted, the request
/// would run twice.
#[parameterized(
    safeguard_on = { false },
    safeguard_off = { true },
)]
fn retake_of_old_grant(fault: bool) {
    let mut group = Group::with_fleet();
    group.state.faults.retake_any_grant = fault;
    group.apply(&Command::Claim(claim(1, 0)));
    let granted_at = group.state.grant(&key("sheet")).unwrap().granted_at;
    assert_eq!(group.apply(&Command::Claim(claim(1, 0))), granted(1));
    let retake = Retake {
        claim: claim(2, 1),
        granted_at,
    };
    let both_granted = group.apply(&Command::Retake(retake)) == granted(2);
    assert_eq!(both_granted, fault);
}

#[test]
fn expired_claim() {
    let mut group = Group::with_fleet();
    let outcome = group.apply(&Command::Claim(claim(2, 1)));
    assert_eq!(outcome, Outcome::Denied(Denial::ClaimExpired));
}
