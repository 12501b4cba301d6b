//! Guards against a session that changes version between entries. Requests of one
//! session name arrive at different entries, each of which would choose by its own
//! state. All must use the version of the pin that was committed first, and agree on
//! the next version after a withdrawal ends the pin.

use std::collections::BTreeSet;

use sesamebeam_core::entry::event::{
    SessionRef,
    Wanted, //
};

use crate::world::{
    World, files,
    history::{
        CallResult,
        Spec, //
    },
};

fn ask(world: &mut World, entry: usize) -> Option<smol_str::SmolStr> {
    let mut spec = Spec::new("vazna", "question", 7);
    spec.session = Some(SessionRef::Name("visit-7".into()));
    spec.wanted = Wanted::Auto;
    let call = world.call(entry, spec);
    assert_eq!(world.wait_result(call), CallResult::Complete);
    world.history.calls[call].version.clone()
}

#[test]
fn one_version() {
    let mut world = World::plain(9);
    let versions: BTreeSet<_> = (0..8).map(|n| ask(&mut world, n % 4)).collect();
    assert_eq!(versions.len(), 1);
    let pinned = versions.first().unwrap().clone().unwrap();
    world.apply(1, files::withdraw(files::fleet(), &pinned["beam@".len()..]));
    world.wait(|world| world.history.in_force.get(&2).copied());
    let next: BTreeSet<_> = (0..8).map(|n| ask(&mut world, n % 4)).collect();
    assert_eq!(next.len(), 1);
    assert!(!next.contains(&Some(pinned)));
}
