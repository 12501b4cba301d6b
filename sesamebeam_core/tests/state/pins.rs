//! Tests that a session keeps its version until the version is withdrawn.

use std::time::Duration;

use sesamebeam_core::{
    fleet::VersionState,
    message::{
        command::{
            Command,
            Denial,
            Outcome, //
        },
        record::{
            PinKey,
            PinRequest,
            PinView, //
        },
    },
};
use yare::parameterized;

use crate::fixtures::{
    Group,
    fleet_with_state, //
};

fn pin(version: &str, replaces: u32) -> Command {
    Command::Pin(PinRequest {
        key: PinKey {
            org: "huallaga".into(),
            session: "turno-1".into(),
            model: "partes".into(),
        },
        version: version.into(),
        replaces,
    })
}

fn pinned(generation: u32, version: &str) -> Outcome {
    Outcome::Pin(PinView {
        generation,
        version: version.into(),
    })
}

#[test]
fn first_wins() {
    let mut group = Group::with_fleet();
    assert_eq!(group.apply(&pin("partes@v1", 0)), pinned(1, "partes@v1"));
    assert_eq!(group.apply(&pin("partes@v2", 0)), pinned(1, "partes@v1"));
    group.restart();
    assert_eq!(group.apply(&pin("partes@v2", 1)), pinned(1, "partes@v1"));
}

/// The pinned version is withdrawn during a session. Two entries concurrently
/// propose different new versions and must get the same pin.
#[test]
fn renewed_once() {
    let mut group = Group::with_fleet();
    group.apply(&pin("partes@v1", 0));
    group.accept(fleet_with_state("v1", VersionState::Withdrawn));
    assert_eq!(group.apply(&pin("partes@v2", 1)), pinned(2, "partes@v2"));
    assert_eq!(group.apply(&pin("partes@v3", 1)), pinned(2, "partes@v2"));
}

/// An entry that has not received the withdrawal of a version yet proposes that
/// version. If the pin were granted, all requests of the session would run on
/// it.
#[parameterized(
    safeguard_on = { false },
    safeguard_off = { true },
)]
fn outdated_proposal(fault: bool) {
    let mut group = Group::with_fleet();
    group.state.faults.pin_any_version = fault;
    group.accept(fleet_with_state("v1", VersionState::Withdrawn));
    let outcome = group.apply(&pin("partes@v1", 0));
    assert_eq!(outcome == Outcome::Denied(Denial::Withdrawn), !fault);
}

#[parameterized(
    unknown_version = { "partes@v9", Denial::NotAllowed },
    no_version = { "partes", Denial::NotAllowed },
    other_model = { "other@v1", Denial::OtherModel },
)]
fn denied(version: &str, denial: Denial) {
    let mut group = Group::with_fleet();
    assert_eq!(group.apply(&pin(version, 0)), Outcome::Denied(denial));
}

#[test]
fn use_extends_retention() {
    let mut group = Group::with_fleet();
    let hours = |n| Duration::from_hours(n);
    group.apply(&pin("partes@v1", 0));
    group.clock(hours(20));
    group.apply(&pin("partes@v2", 0));
    group.clock(hours(40));
    assert_eq!(group.state.pin_count(), 1);
    group.clock(hours(44));
    assert_eq!(group.state.pin_count(), 0);
}
