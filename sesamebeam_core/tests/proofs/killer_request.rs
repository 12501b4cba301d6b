//! A request crashes each backend server that runs it, and its caller sends it
//! again and again with new keys through other entries. Untraced, it takes the
//! pool down one by one; traced, the second crash quarantines it everywhere and
//! its caller gets the final answer at once.

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
