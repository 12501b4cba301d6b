//! Guards against cancelling a request that is still in transit. A caller resends a
//! request through another entry, which finds the claim and asks the backend server,
//! which has not received the request yet. While the claim may not be taken over, a
//! cancel would only stop the first request on arrival and lose its response.

use std::time::Duration;

use crate::world::{
    World, //
    history::{
        CallResult,
        Spec, //
    },
};

#[test]
fn answer_kept() {
    for seed in 0..40 {
        let mut world = World::plain(seed);
        world.net.delay = 200;
        let spec = || Spec::new("vazna", "confirmation", 7).key("slot-7");
        let first = world.call(0, spec());
        world.run(Duration::from_millis(5 * seed));
        let again = world.call(1, spec());
        world.wait_result(first);
        world.wait_result(again);
        // Either request may win the claim; the one that ran must be answered.
        assert_eq!(world.history.runs_of("slot-7"), 1);
        let ran = world.history.runs[0].call;
        assert_eq!(world.wait_result(ran), CallResult::Complete, "seed {seed}");
    }
}
