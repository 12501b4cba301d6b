//! Guards against a request that crashes every backend server that runs it, resent
//! with new keys through other entries. Without tracing it crashes the whole pool.
//! With tracing, the second crash quarantines it fleet-wide, and further copies are
//! refused immediately.

use std::time::Duration;

use yare::parameterized;

use crate::world::{
    World,
    books::Spec, //
};

#[parameterized(
    safeguard_on = { true, 2 },
    untraced = { false, 6 },
)]
fn quarantined(trace: bool, crashes: usize) {
    let mut world = World::new(
        8,
        |cfg| cfg.policy.suspects.attribute_crashes = trace,
        |_| {},
    );
    world.books.killers.insert(99);
    for n in 0..6 {
        let spec = Spec::new("vazna", "confirmation", 99).key(&format!("slot-{n}"));
        let call = world.call(n % 4, spec);
        world.answer(call);
        world.run(Duration::from_secs(12));
    }
    assert_eq!(world.books.runs.len(), crashes);
}
