//! Guards against running a request twice under the same idempotency key. A caller
//! resends a non-idempotent request through another entry while the first is running
//! or about to be sent. It would run twice if it were sent before its claim is
//! committed, or rerun after its backend server is lost.

use std::time::Duration;

use sesamebeam_core::entry::Faults;
use yare::parameterized;

use crate::world::{
    Fault,
    World,
    history::Spec, //
};

fn confirmation() -> Spec {
    Spec::new("vazna", "confirmation", 7).key("slot-7")
}

#[parameterized(
    safeguard_on = { Faults::default(), 1 },
    sent_unclaimed = { Faults { send_unclaimed: true, ..Faults::default() }, 2 },
)]
fn sent_twice(faults: Faults, runs: usize) {
    let mut world = World::new(5, |cfg| cfg.faults = faults, |_| {});
    world.call(0, confirmation());
    world.call(1, confirmation());
    world.run(Duration::from_secs(5));
    assert_eq!(world.history.runs_of("slot-7"), runs);
}

#[parameterized(
    safeguard_on = { Faults::default(), 1 },
    run_again = { Faults { rerun_once: true, ..Faults::default() }, 2 },
)]
fn server_lost(faults: Faults, runs: usize) {
    let mut world = World::new(6, |cfg| cfg.faults = faults, |_| {});
    world.call(0, confirmation());
    world.wait(|world| (world.history.runs_of("slot-7") == 1).then_some(()));
    for at in 0..3 {
        world.inject_fault(Fault::Crash(at));
    }
    world.run(Duration::from_secs(5));
    assert_eq!(world.history.runs_of("slot-7"), runs);
}

/// The resend arrives at the same entry and finds the claim of the first request
/// before the delayed grant of that claim arrives.
#[parameterized(
    safeguard_on = { Faults::default(), 0 },
    taken_back = { Faults { retake_early: true, ..Faults::default() }, 1 },
)]
fn same_entry(faults: Faults, least: usize) {
    let again = (0..40).filter(|seed| {
        let mut world = World::new(*seed, |cfg| cfg.faults = faults, |_| {});
        world.net.delay = 200;
        world.call(0, confirmation());
        world.run(Duration::from_millis(10));
        world.call(0, confirmation());
        world.run(Duration::from_secs(5));
        world.history.runs_of("slot-7") > 1
    });
    let again = again.count();
    assert!(again >= least && (least > 0 || again == 0), "{again} of 40");
}
