//! Guards against reporting "not run" for a request that ran. The response to a
//! request is lost, its only version is withdrawn, and the caller resends it through
//! another entry, which cannot run it. If that entry reported "not run" without
//! looking up the claim, the caller would submit new work and be billed twice.

use sesamebeam_core::entry::{
    Faults,
    refusal::RunOutcome, //
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

#[parameterized(
    safeguard_on = { Faults::default(), true },
    said_at_once = { Faults { claim_not_run: true, ..Faults::default() }, false },
)]
fn ran_before(faults: Faults, kept: bool) {
    let mut world = World::new(7, |cfg| cfg.faults = faults, |_| {});
    let sheet = || Spec::new("huallaga", "confirmation", 7).key("sheet-7");
    let first = world.call(0, sheet());
    assert_eq!(world.wait_result(first), CallResult::Complete);
    world.apply(1, files::withdraw(files::fleet(), "v1"));
    world.wait(|world| world.history.in_force.get(&2).copied());
    let again = world.call(1, sheet());
    let told = world.wait_result(again);
    assert_eq!(told == CallResult::Complete, kept, "{told:?}");
    assert_eq!(world.history.violations().is_empty(), kept);
}

/// The first step of a cascade is rejected by its rating and no backend server is
/// left for the second step. The request did run.
#[test]
fn after_cascade() {
    let mut seconds = 0;
    for seed in 0..30 {
        let mut world = World::plain(seed);
        let call = world.call(0, Spec::new("vazna", "roster", 7));
        world.wait(|world| (!world.history.runs.is_empty()).then_some(()));
        for at in 0..4 {
            world.inject_fault(Fault::Leave(at));
        }
        if let CallResult::Refused(refusal) = world.wait_result(call) {
            assert_ne!(refusal.outcome, RunOutcome::NotRun);
            seconds += 1;
        }
        assert!(
            world.history.violations().is_empty(),
            "{:?}",
            world.history.violations()
        );
    }
    assert!(seconds > 0, "no request came to its second step");
}

/// The request ran, and then its class is removed from the fleet file. The entry
/// cannot determine what ran under the key, so it must not report "not run".
#[test]
fn class_gone() {
    let mut world = World::plain(10);
    let sheet = || Spec::new("vazna", "confirmation", 7).key("sheet-7");
    let first = world.call(0, sheet());
    assert_eq!(world.wait_result(first), CallResult::Complete);
    let mut fleet = files::fleet();
    fleet.classes.retain(|class| class.name != "confirmation");
    world.apply(1, fleet);
    world.wait(|world| world.history.in_force.get(&2).copied());
    let again = world.call(1, sheet());
    assert!(matches!(world.wait_result(again), CallResult::Refused(_)));
    assert!(
        world.history.violations().is_empty(),
        "{:?}",
        world.history.violations()
    );
}
