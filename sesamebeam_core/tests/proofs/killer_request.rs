//! Guards against a request that crashes every backend server that runs it, resent
//! with new keys through other entries. Without tracing it crashes the whole pool.
//! With tracing, the second crash quarantines it fleet-wide, and further copies are
//! refused immediately.

use std::time::Duration;

use yare::parameterized;

use crate::world::{
    World,
    history::Spec, //
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
    world.history.crashing_bodies.insert(99);
    for n in 0..6 {
        let spec = Spec::new("vazna", "confirmation", 99).key(&format!("slot-{n}"));
        let call = world.call(n % 4, spec);
        world.wait_result(call);
        world.run(Duration::from_secs(12));
    }
    assert_eq!(world.history.runs.len(), crashes);
}
