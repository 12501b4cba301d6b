//! A failure domain is cut off for longer than backend servers are remembered,
//! and joined again. Entries elsewhere hear that unknown backend servers are
//! alive there. Asked only within their own failure domain, nobody can tell them
//! more: callers are refused when the own pool runs out, beside idle servers.

use std::time::Duration;

use crate::world::{
    Fault,
    World, //
};

#[test]
fn servers_known() {
    let mut world = World::plain(23);
    world.fault(Fault::Cut(0));
    world.run(Duration::from_secs(12));
    world.fault(Fault::Join(0));
    world.run(Duration::from_secs(8));
    for edge in &world.entries {
        assert_eq!(
            edge.core().servers().reachable().count(),
            6,
            "{}",
            edge.cfg.instance
        );
    }
}
