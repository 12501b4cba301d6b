//! Guards against sending new work to a backend server that is shutting down. It
//! announces its shutdown to one entry and exits soon after. If another entry of its
//! failure domain missed or ignored the announcement, the work that it sends would be
//! lost at the exit.

use std::time::Duration;

use sesamebeam_core::entry::Faults;
use yare::parameterized;

use crate::world::{
    Fault,
    World,
    history::Spec, //
};

#[parameterized(
    safeguard_on = { false },
    not_heeded = { true },
)]
fn no_new_work(ignore_leaving: bool) {
    let faults = Faults {
        ignore_leaving,
        ..Faults::default()
    };
    let mut world = World::new(11, |cfg| cfg.faults = faults, |_| {});
    world.inject_fault(Fault::Leave(0));
    for n in 0..120 {
        world.call(n % 4, Spec::new("vazna", "question", 7));
        world.run(Duration::from_millis(50));
    }
    assert_eq!(!world.history.violations().is_empty(), ignore_leaving);
}
