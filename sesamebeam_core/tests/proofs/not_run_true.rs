//! A caller's sheet ran, and its answer was lost on the way. Its only version is
//! withdrawn, and the caller sends the sheet again through another entry, which
//! cannot run it. Answered "not run" without a look at the claim, the caller
//! writes the sheet anew, and the customer is billed twice.

use sesamebeam_core::entry::Faults;
use yare::parameterized;

use crate::world::{
    World,
    books::{
        Spec,
        Told, //
    },
    files,
};

#[parameterized(
    safeguard_on = { Faults::default(), true },
    said_at_once = { Faults { claim_not_run: true, ..Faults::default() }, false },
)]
fn ran_before(faults: Faults, kept: bool) {
    let mut world = World::new(7, |cfg| cfg.faults = faults, |_| {});
    let sheet = || Spec::new("huallaga", "confirmation", 7).key("sheet-7");
    let first = world.call(0, sheet());
    assert_eq!(world.answer(first), Told::Whole);
    world.apply(1, files::withdraw(files::fleet(), "v1"));
    world.wait(|world| world.books.in_force.get(&2).copied());
    let again = world.call(1, sheet());
    let told = world.answer(again);
    assert_eq!(told == Told::Whole, kept, "{told:?}");
    assert_eq!(world.books.broken().is_empty(), kept);
}
