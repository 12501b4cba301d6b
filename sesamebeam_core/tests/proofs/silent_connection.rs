//! Guards against waiting forever on a silently dropped connection. A middlebox loses
//! the state of an open connection without notifying either end, while new connections
//! work. The entry must detect the stall and resume the stream on a new connection.

use std::time::Duration;

use yare::parameterized;

use crate::world::{
    Fault,
    World, //
    books::{
        Spec,
        Told, //
    },
};

#[parameterized(
    safeguard_on = { Duration::from_secs(5), true },
    never_noticed = { Duration::from_secs(3600), false },
)]
fn resumed(progress: Duration, answered: bool) {
    let mut world = World::new(12, |cfg| cfg.progress_timeout = progress, |_| {});
    let spec = Spec::new("vazna", "confirmation", 7).key("slot-7");
    let call = world.call(0, spec);
    world.wait(|world| (world.books.runs_of("slot-7") == 1).then_some(()));
    world.run(Duration::from_millis(30));
    for at in 0..4 {
        world.fault(Fault::Silence(at));
    }
    world.run(Duration::from_secs(30));
    let whole = world.books.calls[call].told == Some(Told::Whole);
    assert_eq!(whole, answered);
    assert_eq!(world.books.runs_of("slot-7"), 1);
    assert!(world.books.broken().is_empty());
}
