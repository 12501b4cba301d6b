//! Guards against a planned stop that loses queued requests or misses a withdrawal.
//! The entry completes its queued requests before it exits. While draining it must
//! still receive configuration updates; otherwise it would start work on a version
//! whose withdrawal is already reported as in force.

use std::time::Duration;

use crate::world::{
    Fault, World, files,
    history::{
        CallResult,
        MAX_TRANSIT,
        Spec, //
    },
};

#[test]
fn nothing_cut() {
    let mut world = World::plain(3);
    let calls: Vec<usize> = (0..12)
        .map(|n| world.call(0, Spec::new("vazna", "question", 50 + n)))
        .collect();
    world.run(Duration::from_millis(20));
    world.inject_fault(Fault::Stop(0));
    for call in calls {
        assert_eq!(world.wait_result(call), CallResult::Complete);
    }
    world.settle_and_check();
    assert!(
        world.history.violations().is_empty(),
        "{:?}",
        world.history.violations()
    );
}

#[test]
fn withdrawal_heard() {
    let mut world = World::plain(4);
    // More requests than the pool has slots, so that the last ones wait.
    let waiting: Vec<usize> = (0..40)
        .map(|n| world.call(0, Spec::new("huallaga", "question", 50 + n)))
        .collect();
    world.run(Duration::from_millis(20));
    world.inject_fault(Fault::Stop(0));
    // A renewal pending at the start of the stop still returns one update.
    let mut other = files::fleet();
    other.name = "vazna-2".into();
    world.apply(1, other.clone());
    world.run(Duration::from_millis(300));
    world.apply(2, files::withdraw(other, "v1"));
    for call in waiting {
        world.wait_result(call);
    }
    world.settle_and_check();
    let told = world.history.in_force[&3];
    let late = world
        .history
        .runs
        .iter()
        .filter(|r| r.at > told + MAX_TRANSIT);
    let late = late.filter(|r| r.version.as_deref() == Some("beam@v1"));
    assert_eq!(late.count(), 0);
    assert!(
        world.history.violations().is_empty(),
        "{:?}",
        world.history.violations()
    );
}

/// A network partition isolates the entry right after its stop began, with requests
/// in its queue. The withdrawal must not be reported as in force before the entry's
/// lease has expired.
#[test]
fn cut_while_draining() {
    let mut world = World::plain(4);
    assert_ne!(
        world.leader(),
        Some(2),
        "the leader shares the entry's domain"
    );
    for n in 0..40 {
        world.call(1, Spec::new("huallaga", "question", 50 + n));
    }
    world.run(Duration::from_millis(20));
    world.inject_fault(Fault::Stop(1));
    world.run(Duration::from_millis(20));
    world.inject_fault(Fault::IsolateDomain(1));
    world.apply(1, files::withdraw(files::fleet(), "v1"));
    world.run(Duration::from_secs(12));
    assert!(world.history.in_force.contains_key(&2));
    assert!(
        world.history.violations().is_empty(),
        "{:?}",
        world.history.violations()
    );
}
