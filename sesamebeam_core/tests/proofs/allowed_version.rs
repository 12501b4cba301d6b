//! Guards against running a request on a version that its organisation does not
//! allow. Two organisations allow different versions of a model, and a request or
//! session token names one that is not on its organisation's list. The list must be
//! checked on arrival and again before each start.

use std::time::Duration;

use sesamebeam_core::{
    entry::{
        Faults,
        event::{
            SessionRef,
            SessionToken,
            Wanted, //
        },
        refusal::{
            Reason,
            RunOutcome, //
        }, //
    },
    ids::VersionId, //
};
use yare::parameterized;

use crate::world::{
    World,
    files, //
    history::{
        CallResult,
        MAX_TRANSIT,
        Spec, //
    },
};

const FOREIGN: VersionId = VersionId::new_static("beam@v2");

fn world(any_version: bool) -> World {
    let faults = Faults {
        any_version,
        ..Faults::default()
    };
    World::new(15, |cfg| cfg.faults = faults, |_| {})
}

#[parameterized(
    safeguard_on = { false },
    no_list = { true },
)]
fn named(any_version: bool) {
    let mut world = world(any_version);
    let mut spec = Spec::new("huallaga", "question", 7);
    spec.wanted = Wanted::Version(FOREIGN);
    let call = world.call(0, spec);
    match world.wait_result(call) {
        CallResult::Refused(refusal) => {
            assert!(!any_version, "{refusal:?}");
            assert_eq!(refusal.reason, Reason::NotAllowed);
            assert_eq!(refusal.outcome, RunOutcome::NotRun);
        }
        told => assert_eq!((told, any_version), (CallResult::Complete, true)),
    }
    assert_eq!(!world.history.violations().is_empty(), any_version);
}

/// The token was issued to the same organisation while its list had the version.
#[parameterized(
    safeguard_on = { false },
    no_list = { true },
)]
fn by_token(any_version: bool) {
    let mut world = world(any_version);
    let mut spec = Spec::new("huallaga", "question", 7);
    spec.session = Some(SessionRef::Token(SessionToken {
        org: "huallaga".into(),
        session: "visit-7".into(),
        version: FOREIGN,
        generation: 0,
    }));
    let call = world.call(0, spec);
    assert_eq!(world.wait_result(call), CallResult::Complete);
    let version = world.history.calls[call].version.clone();
    assert_eq!(version == Some(FOREIGN), any_version);
    assert_eq!(!world.history.violations().is_empty(), any_version);
}

/// The version is removed from the list while requests for it wait for a slot.
#[parameterized(
    safeguard_on = { Faults::default() },
    no_list = { Faults { any_version: true, ..Faults::default() } },
    checked_once = { Faults { no_last_check: true, ..Faults::default() } },
)]
fn in_the_queue(faults: Faults) {
    let mut world = World::new(13, |cfg| cfg.faults = faults, |_| {});
    for n in 0..40 {
        let mut spec = Spec::new("vazna", "question", 50 + n);
        spec.wanted = Wanted::Version(FOREIGN);
        world.call(0, spec);
    }
    world.run(Duration::from_millis(20));
    let mut fleet = files::fleet();
    fleet.organisations[0].allow.retain(|v| *v != FOREIGN);
    world.apply(1, fleet);
    let told = world.wait(|world| world.history.in_force.get(&2).copied());
    world.run(Duration::from_secs(12));
    let late = world
        .history
        .runs
        .iter()
        .filter(|run| run.at > told + MAX_TRANSIT);
    assert_eq!(late.count() > 0, faults != Faults::default());
}
