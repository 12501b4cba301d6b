//! Memory for the bodies of requests.

use std::time::Duration;

use proptest::{
    collection::vec,
    prelude::*, //
};
use sesamebeam_core::policy::body_room::{
    BodyId,
    BodyRoom,
    Room, //
};

const KIB: usize = 1 << 10;

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// Adds a body that has this many bytes.
fn held(room: &mut BodyRoom, at: u64, bytes: usize) -> BodyId {
    let id = room.begin(ms(at));
    assert!(matches!(room.grow(ms(at), id, bytes), Room::Granted { .. }));
    id
}

fn evicted(ids: &[BodyId]) -> Room {
    Room::Granted {
        evicted: ids.to_vec(),
    }
}

#[test]
fn small_passes_large() {
    // Guards against ordinary requests that are refused because large bodies take all memory.
    let mut room = BodyRoom::new(100 * KIB);
    held(&mut room, 0, 40 * KIB);
    let largest = held(&mut room, 0, 60 * KIB);
    let small = room.begin(ms(1));
    assert_eq!(room.grow(ms(1), small, 4 * KIB), evicted(&[largest]));
    assert_eq!(room.taken(), 44 * KIB);
}

#[test]
fn largest_is_refused() {
    // Guards against a large body that takes the memory of all others.
    let mut room = BodyRoom::new(100 * KIB);
    let others = [0, 0].map(|at| held(&mut room, at, 50 * KIB));
    let large = room.begin(ms(1));
    assert_eq!(room.grow(ms(1), large, 90 * KIB), Room::Refused);
    assert_eq!(room.taken(), 100 * KIB);
    assert!(
        others
            .iter()
            .all(|id| room.grow(ms(2), *id, 50 * KIB) == evicted(&[]))
    );
}

#[test]
fn stalled_goes_first() {
    // Guards against clients that send being refused for those that stopped short of the end.
    let mut room = BodyRoom::new(100 * KIB);
    let stalled = held(&mut room, 0, 20 * KIB);
    let sending = held(&mut room, 0, 60 * KIB);
    room.record_bytes(ms(1900), sending);
    let next = room.begin(ms(2000));
    assert_eq!(room.grow(ms(2000), next, 30 * KIB), evicted(&[stalled]));
}

#[test]
fn whole_is_kept() {
    // Guards against memory of a request that runs being given to another.
    let mut room = BodyRoom::new(100 * KIB);
    let whole = held(&mut room, 0, 60 * KIB);
    let other = held(&mut room, 0, 40 * KIB);
    [whole, other].iter().for_each(|id| room.complete(*id));
    let next = room.begin(ms(5000));
    assert_eq!(room.grow(ms(5000), next, KIB), Room::Refused);
    room.end(whole);
    let next = room.begin(ms(5000));
    assert_eq!(room.grow(ms(5000), next, KIB), evicted(&[]));
}

#[test]
fn small_beside_whole() {
    // Guards against ordinary requests that are refused while large bodies that were read whole
    // have all memory.
    let mut room = BodyRoom::new(1000 * KIB);
    let mut whole = 0;
    loop {
        let id = room.begin(ms(0));
        if room.grow(ms(0), id, 100 * KIB) == Room::Refused {
            break;
        }
        room.complete(id);
        whole += 1;
    }
    assert_eq!(whole, 7);
    let small = room.begin(ms(1));
    assert_eq!(room.grow(ms(1), small, 16 * KIB), evicted(&[]));
}

proptest! {
    #[test]
    fn never_over(steps in vec((0_u8..4, 0_usize..12, 1_usize..80), 1..300)) {
        // Guards against more memory in all than there is, and against memory that is lost.
        let mut room = BodyRoom::new(100 * KIB);
        let mut bodies: Vec<BodyId> = Vec::new();
        for (n, (step, at, kib)) in steps.into_iter().enumerate() {
            let now = ms(n as u64 * 300);
            let chosen = bodies.get(at % bodies.len().max(1)).copied();
            match (step, chosen) {
                (1, Some(id)) => {
                    if let Room::Granted { evicted } = room.grow(now, id, kib * KIB) {
                        bodies.retain(|b| !evicted.contains(b));
                    } else {
                        bodies.retain(|b| *b != id);
                    }
                }
                (2, Some(id)) => room.complete(id),
                (3, Some(id)) => {
                    room.end(id);
                    bodies.retain(|b| *b != id);
                }
                _ => bodies.push(room.begin(now)),
            }
            prop_assert!(room.taken() <= 100 * KIB);
        }
        bodies.into_iter().for_each(|id| room.end(id));
        prop_assert_eq!(room.taken(), 0);
    }
}
