//! A caller sends a confirmation again through another entry while the first is
//! still on its way to the backend server. The other entry finds the claim and
//! asks the backend server, which never had the request. A cancel there can help
//! nobody yet, since the claim may not be taken over; it would meet the request
//! as it arrives, and the caller of the first would lose its answer.

use std::time::Duration;

use crate::world::{
    World, //
    books::{
        Spec,
        Told, //
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
        world.answer(first);
        world.answer(again);
        // Either may win the claim; whose request ran has the answer.
        assert_eq!(world.books.runs_of("slot-7"), 1);
        let ran = world.books.runs[0].call;
        assert_eq!(world.answer(ran), Told::Whole, "seed {seed}");
    }
}
