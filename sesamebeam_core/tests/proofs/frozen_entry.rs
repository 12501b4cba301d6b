//! Guards against a second run after a resume that missed its dispatch window. An
//! entry's process is suspended just before it resumes a broken stream, for longer
//! than the window. The request itself was sent before; if it were considered
//! unsent, its claim would be abandoned and the request run again.

use std::time::Duration;

use crate::world::{
    Fault,
    World,
    history::Spec, //
};

#[test]
fn late_resume() {
    for seed in 0..20 {
        let mut world = World::plain(seed);
        let spec = Spec::new("vazna", "confirmation", 7).key("slot-7");
        let call = world.call(0, spec);
        world.wait(|world| (world.history.runs_of("slot-7") == 1).then_some(()));
        for at in 0..4 {
            world.inject_fault(Fault::BreakConnections(at));
        }
        world.run(Duration::from_millis(5 + seed % 3));
        world.inject_fault(Fault::Freeze(0));
        world.run(Duration::from_secs(5));
        world.inject_fault(Fault::Thaw(0));
        world.wait_result(call);
        world.run(Duration::from_secs(5));
        assert_eq!(world.history.runs_of("slot-7"), 1);
        assert!(
            world.history.violations().is_empty(),
            "{:?}",
            world.history.violations()
        );
    }
}
