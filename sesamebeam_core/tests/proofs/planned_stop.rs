//! A caller's request waits in the queue when its entry is told to stop. It still
//! gets its whole answer: the entry drains first. Meanwhile a version may be
//! withdrawn, and a draining entry must hear of it like any other, or it starts
//! work on a version whose withdrawal is told to be in force.

use std::time::Duration;

use crate::world::{
    Fault, World,
    books::{
        Spec,
        Told,
        UNDER_WAY, //
    },
    files,
};

#[test]
fn nothing_cut() {
    let mut world = World::plain(3);
    let calls: Vec<usize> = (0..12)
        .map(|n| world.call(0, Spec::new("vazna", "question", 50 + n)))
        .collect();
    world.run(Duration::from_millis(20));
    world.fault(Fault::Stop(0));
    for call in calls {
        assert_eq!(world.answer(call), Told::Whole);
    }
    world.settle();
    assert!(
        world.books.broken().is_empty(),
        "{:?}",
        world.books.broken()
    );
}

#[test]
fn withdrawal_heard() {
    let mut world = World::plain(4);
    // Every slot of the pool is taken, so that the last ones wait.
    let waiting: Vec<usize> = (0..40)
        .map(|n| world.call(0, Spec::new("huallaga", "question", 50 + n)))
        .collect();
    world.run(Duration::from_millis(20));
    world.fault(Fault::Stop(0));
    // A renewal that waits for news when the stop begins brings one more.
    let mut other = files::fleet();
    other.name = "vazna-2".into();
    world.apply(1, other.clone());
    world.run(Duration::from_millis(300));
    world.apply(2, files::withdraw(other, "v1"));
    for call in waiting {
        world.answer(call);
    }
    world.settle();
    let told = world.books.in_force[&3];
    let late = world.books.runs.iter().filter(|r| r.at > told + UNDER_WAY);
    let late = late.filter(|r| r.version.as_deref() == Some("beam@v1"));
    assert_eq!(late.count(), 0);
    assert!(
        world.books.broken().is_empty(),
        "{:?}",
        world.books.broken()
    );
}

/// The entry is cut off right after its stop began, with work in its queue. It
/// holds its lease for a while yet, so the withdrawal is not in force before.
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
    world.fault(Fault::Stop(1));
    world.run(Duration::from_millis(20));
    world.fault(Fault::Cut(1));
    world.apply(1, files::withdraw(files::fleet(), "v1"));
    world.run(Duration::from_secs(12));
    assert!(world.books.in_force.contains_key(&2));
    assert!(
        world.books.broken().is_empty(),
        "{:?}",
        world.books.broken()
    );
}
