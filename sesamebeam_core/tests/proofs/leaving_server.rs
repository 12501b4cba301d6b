//! A backend server tells one entry that it is leaving, and exits soon after. An
//! entry of its failure domain that did not hear of it, or did not heed it, goes
//! on sending: the callers of that work lose their answers when it exits.

use std::time::Duration;

use sesamebeam_core::entry::Faults;
use yare::parameterized;

use crate::world::{
    Fault,
    World, //
    books::Spec,
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
    world.fault(Fault::Leave(0));
    for n in 0..120 {
        world.call(n % 4, Spec::new("vazna", "question", 7));
        world.run(Duration::from_millis(50));
    }
    assert_eq!(!world.books.broken().is_empty(), ignore_leaving);
}
