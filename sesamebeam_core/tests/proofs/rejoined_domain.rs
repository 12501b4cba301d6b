//! Guards against backend servers that stay unknown after a network partition. A
//! failure domain is isolated until other entries have forgotten its backend servers,
//! then rejoins. Their heartbeats must be followed up with the sender, since no entry
//! of the own failure domain knows them; otherwise callers would be refused although
//! those backend servers are idle.

use std::time::Duration;

use crate::world::{
    Fault,
    World, //
};

#[test]
fn servers_known() {
    let mut world = World::plain(23);
    world.inject_fault(Fault::IsolateDomain(0));
    world.run(Duration::from_secs(12));
    world.inject_fault(Fault::ReconnectDomain(0));
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
