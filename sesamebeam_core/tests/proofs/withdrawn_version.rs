//! Guards against starting queued requests on a withdrawn version. Their version is
//! withdrawn and the withdrawal reported as in force while they wait for a slot. If
//! versions were only checked on admission, they would still start as slots become
//! free.

use std::time::Duration;

use sesamebeam_core::entry::Faults;
use yare::parameterized;

use crate::world::{
    World,
    files,
    history::Spec, //
};

#[parameterized(
    safeguard_on = { false },
    checked_once = { true },
)]
fn in_the_queue(no_last_check: bool) {
    let faults = Faults {
        no_last_check,
        ..Faults::default()
    };
    let mut world = World::new(13, |cfg| cfg.faults = faults, |_| {});
    for n in 0..40 {
        world.call(0, Spec::new("huallaga", "question", 50 + n));
    }
    world.run(Duration::from_millis(20));
    world.apply(1, files::withdraw(files::fleet(), "v1"));
    world.run(Duration::from_secs(12));
    assert!(world.history.in_force.contains_key(&2));
    assert_eq!(!world.history.violations().is_empty(), no_last_check);
}
