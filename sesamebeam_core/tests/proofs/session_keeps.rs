//! A caller's session is asked for through one entry after another, by its name.
//! Each entry would choose by what it knows at the moment; the pin that was
//! written first makes all of them keep one version. A withdrawal ends the pin,
//! and then all agree on the next.

use std::collections::BTreeSet;

use sesamebeam_core::entry::event::{
    SessionRef,
    Wanted, //
};

use crate::world::{
    World,
    books::{
        Spec,
        Told, //
    },
    files,
};

fn ask(world: &mut World, entry: usize) -> Option<smol_str::SmolStr> {
    let mut spec = Spec::new("vazna", "question", 7);
    spec.session = Some(SessionRef::Name("visit-7".into()));
    spec.wanted = Wanted::Auto;
    let call = world.call(entry, spec);
    assert_eq!(world.answer(call), Told::Whole);
    world.books.calls[call].version.clone()
}

#[test]
fn one_version() {
    let mut world = World::plain(9);
    let versions: BTreeSet<_> = (0..8).map(|n| ask(&mut world, n % 4)).collect();
    assert_eq!(versions.len(), 1);
    let pinned = versions.first().unwrap().clone().unwrap();
    world.apply(1, files::withdraw(files::fleet(), &pinned["beam@".len()..]));
    world.wait(|world| world.books.in_force.get(&2).copied());
    let next: BTreeSet<_> = (0..8).map(|n| ask(&mut world, n % 4)).collect();
    assert_eq!(next.len(), 1);
    assert!(!next.contains(&Some(pinned)));
}
