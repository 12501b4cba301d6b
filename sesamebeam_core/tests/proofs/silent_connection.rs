//! Guards against waiting forever on a silently dropped connection. A middlebox loses
//! the state of an open connection without notifying either end, while new connections
//! work. The entry must detect the stall and resume the stream on a new connection.

use std::time::Duration;

use yare::parameterized;

use crate::world::{
    Fault,
    World, //
    history::{
        CallResult,
        Spec, //
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
    world.wait(|world| (world.history.runs_of("slot-7") == 1).then_some(()));
    world.run(Duration::from_millis(30));
    for at in 0..4 {
        world.inject_fault(Fault::SilenceConnections(at));
    }
    world.run(Duration::from_secs(30));
    let whole = world.history.calls[call].result == Some(CallResult::Complete);
    assert_eq!(whole, answered);
    assert_eq!(world.history.runs_of("slot-7"), 1);
    assert!(world.history.violations().is_empty());
}
