//! Guards against pinning a session to two versions during a network partition. A
//! failure domain is isolated, the cost of versions changes, and a caller uses one
//! session name on both sides. If each side pinned it by its own configuration, the
//! version would depend on the entry.

use sesamebeam_core::entry::{
    Faults,
    event::{
        SessionRef,
        Wanted, //
    },
    refusal::{
        Reason,
        RunOutcome, //
    }, //
};
use yare::parameterized;

use crate::world::{
    Fault,
    World,
    files, //
    history::{
        CallResult,
        Spec, //
    },
};

/// Sends a request of the session to an entry. Returns the index of the call.
fn ask(world: &mut World, entry: usize) -> usize {
    let mut spec = Spec::new("vazna", "question", 7);
    spec.session = Some(SessionRef::Name("visit-7".into()));
    spec.wanted = Wanted::Auto;
    world.call(entry, spec)
}

#[parameterized(
    safeguard_on = { false },
    pinned_when_cut = { true },
)]
fn both_sides(pin_when_cut: bool) {
    let faults = Faults {
        pin_when_cut,
        ..Faults::default()
    };
    let mut world = World::new(9, |cfg| cfg.faults = faults, |_| {});
    world.inject_fault(Fault::IsolateDomain(1));
    let mut fleet = files::fleet();
    fleet.models[0].versions[0].cost = 3.0;
    fleet.models[0].versions[1].cost = 1.0;
    world.apply(1, fleet);
    world.wait(|world| world.history.in_force.get(&2).copied());
    assert!(!world.entries[1].core().view().lease_held(world.now));

    let outside = ask(&mut world, 0);
    assert_eq!(world.wait_result(outside), CallResult::Complete);
    let inside = ask(&mut world, 1);
    match world.wait_result(inside) {
        CallResult::Refused(refusal) => {
            assert!(!pin_when_cut, "{refusal:?}");
            assert_eq!(refusal.reason, Reason::SessionUnreachable);
            assert_eq!(refusal.outcome, RunOutcome::NotRun);
            assert!(refusal.retry_after.is_some());
        }
        told => assert_eq!((told, pin_when_cut), (CallResult::Complete, true)),
    }

    world.settle_and_check();
    let again = ask(&mut world, 1);
    assert_eq!(world.wait_result(again), CallResult::Complete);
    let version = |call: usize| world.history.calls[call].version.clone();
    assert_eq!(version(again) != version(outside), pin_when_cut);
    assert_eq!(!world.history.violations().is_empty(), pin_when_cut);
}
