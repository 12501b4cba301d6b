//! Merging what backend servers say of themselves.

use proptest::{
    prelude::*,
    sample::Index, //
};
use sesamebeam_core::gateway::directory::{
    Announcement,
    Directory,
    ServerState, //
};

use crate::make::{
    announcement,
    ms, //
};

fn ready(directory: &Directory) -> Vec<String> {
    let ready = directory.ready("pool");
    ready.map(|k| k.said.id.to_string()).collect()
}

#[test]
fn old_draining_word() {
    // A backend server says that it drains; its word from before is held up on
    // another path and comes later. It must not count as ready again.
    let mut directory = Directory::default();
    let mut draining = announcement(1);
    draining.state = ServerState::Draining;
    draining.sequence = 5;
    assert!(directory.take(ms(0), draining, true));
    let mut late = announcement(1);
    late.sequence = 4;
    assert!(!directory.take(ms(10), late, true));
    assert!(ready(&directory).is_empty());
}

#[test]
fn gone_stays_gone() {
    // A backend server leaves; a beat that a cut held up arrives afterwards with
    // a higher number than anything heard before. It has left all the same.
    let mut directory = Directory::default();
    directory.take(ms(0), announcement(1), true);
    assert!(directory.leave(ms(5), "server-1", None).is_some());
    let mut late = announcement(1);
    late.sequence = 99;
    assert!(!directory.take(ms(10), late, true));
    assert!(ready(&directory).is_empty());
}

#[test]
fn new_life_at_an_address() {
    // A backend server crashes and another life starts at its address. The old
    // life is never heard again, and must not get work meant for it.
    let mut directory = Directory::default();
    directory.take(ms(0), announcement(1), true);
    let mut next = announcement(2);
    next.addr = announcement(1).addr;
    assert!(directory.take(ms(5), next, true));
    assert_eq!(ready(&directory), ["server-2"]);
    let mut late = announcement(1);
    late.sequence = 7;
    directory.take(ms(9), late, true);
    assert_eq!(ready(&directory), ["server-2"]);
}

#[test]
fn refreshes_are_no_news() {
    let mut directory = Directory::default();
    assert!(directory.take(ms(0), announcement(1), true));
    let mut again = announcement(1);
    again.sequence = 2;
    assert!(!directory.take(ms(9), again, true));
    assert_eq!(directory.get("server-1").map(|k| k.heard_at), Some(ms(9)));
}

/// Returns one of many backend servers, each at an address of its own.
fn one_of_many(number: u32) -> Announcement {
    let mut said = announcement(1);
    said.id = format!("server-{number}").into();
    said.addr = (std::net::Ipv4Addr::from(0x0a00_0000 + number), 80).into();
    said
}

#[test]
fn same_cost_in_a_fleet() {
    // Each announcement was compared with all backend servers that are known.
    let examined = |count: u32| {
        let mut directory = Directory::default();
        for number in 0..count {
            directory.take(ms(0), one_of_many(number), true);
        }
        directory.examined() / u64::from(count)
    };
    assert!(examined(20_000) <= examined(300));
}

#[test]
fn same_cost_of_forgetting() {
    // Each life that ended beyond the bound was searched for among all.
    let mut directory = Directory::default();
    for number in 0..20_000 {
        directory.take(ms(u64::from(number)), one_of_many(number), true);
        directory.leave(ms(u64::from(number)), &format!("server-{number}"), None);
    }
    assert!(directory.count() <= 8200);
    assert!(directory.get("server-19999").is_some());
    assert!(directory.get("server-0").is_none());
    assert!(directory.examined() <= 2 * 20_000);
}

#[test]
fn bounded() {
    let mut directory = Directory::default();
    for number in 0..20_000u32 {
        let mut said = announcement(1);
        said.id = format!("life-{number}").into();
        directory.take(ms(u64::from(number)), said, true);
    }
    assert!(directory.all().count() <= 8200);
}

/// Returns what a life says that started at a time.
fn said_by(born: u64, sequence: u64) -> Announcement {
    Announcement {
        born,
        sequence,
        ..announcement(1)
    }
}

#[test]
fn starts_again() {
    // A backend server crashes and starts again under its name; its numbers
    // start anew. It takes work again, although it had left.
    let mut directory = Directory::default();
    directory.take(ms(0), said_by(100, 40), true);
    directory.leave(ms(1), "server-1", Some(100));
    assert!(ready(&directory).is_empty());
    assert!(directory.take(ms(2), said_by(200, 1), true));
    assert_eq!(ready(&directory), ["server-1"]);
}

#[test]
fn old_life_late() {
    // What an older life said is held up by a cut and arrives after the new one
    // has announced itself: that it drains, that it left. The new one works on.
    let mut directory = Directory::default();
    directory.take(ms(0), said_by(200, 1), true);
    let mut draining = said_by(100, 41);
    draining.state = ServerState::Draining;
    assert!(!directory.take(ms(1), draining, true));
    assert!(directory.leave(ms(2), "server-1", Some(100)).is_none());
    assert_eq!(ready(&directory), ["server-1"]);
}

#[test]
fn outlived_at_an_address() {
    // Two names at one address, and the older one is heard last. It is over.
    let mut directory = Directory::default();
    directory.take(ms(0), said_by(200, 1), true);
    let mut older = said_by(100, 7);
    older.id = "server-0".into();
    directory.take(ms(1), older, true);
    assert_eq!(ready(&directory), ["server-1"]);
}

#[test]
fn unknown_service() {
    // Another writer announces a service that nobody has at the address of a
    // backend server that works. It goes on.
    let mut directory = Directory::default();
    directory.take(ms(0), announcement(1), true);
    let mut forged = announcement(2);
    forged.addr = announcement(1).addr;
    forged.service = "nowhere".into();
    directory.take(ms(1), forged, false);
    assert_eq!(ready(&directory), ["server-1"]);
}

#[test]
fn stays_what_it_is() {
    // A life is said to be of another service, by a writer that copied the rest.
    // Its callers would be refused while it works.
    let mut directory = Directory::default();
    directory.take(ms(0), announcement(1), true);
    let mut forged = announcement(1);
    forged.sequence = 9;
    forged.service = "nowhere".into();
    assert!(!directory.take(ms(1), forged, false));
    assert_eq!(ready(&directory), ["server-1"]);
}

fn lives() -> impl Strategy<Value = Vec<Announcement>> {
    let state = prop_oneof![Just(ServerState::Ready), Just(ServerState::Draining)];
    let one = (0u8..4, 1u64..20, state).prop_map(|(number, sequence, state)| {
        let mut said = announcement(number);
        said.sequence = sequence;
        said.state = state;
        said
    });
    prop::collection::vec(one, 1..30)
}

proptest! {
    /// Whatever the order in which announcements arrive, draining is final for a
    /// life, so that no replica takes a leaving backend server for a ready one
    /// longer than it takes to hear of it.
    #[test]
    fn draining_is_final(said in lives(), at in any::<Index>()) {
        let mut directory = Directory::default();
        let leaving = said[at.index(said.len())].clone();
        for (n, said) in said.into_iter().enumerate() {
            directory.take(ms(n as u64), said, true);
        }
        let mut draining = leaving.clone();
        draining.state = ServerState::Draining;
        directory.take(ms(100), draining, true);
        let ready = ready(&directory);
        prop_assert!(!ready.contains(&leaving.id.to_string()));
    }
}

proptest! {
    /// Whatever was said in whatever order, indexes and digests are those of a
    /// directory that was told of the outcome alone.
    #[test]
    fn indexes_follow(said in proptest::collection::vec((0u8..6, 0u64..3, 0u8..4, 0u8..3, 0u64..9), 0..60)) {
        let mut directory = Directory::default();
        for (at, (number, born, place, state, sequence)) in said.into_iter().enumerate() {
            let mut said = announcement(number);
            said.addr = announcement(place).addr;
            said.born = born;
            said.sequence = sequence;
            said.state = [ServerState::Ready, ServerState::Draining, ServerState::Gone][usize::from(state)];
            directory.take(ms(at as u64), said, true);
        }
        let mut ids = ready(&directory);
        ids.sort();
        let working = directory.all().filter(|k| k.said.state == ServerState::Ready);
        let expected: Vec<String> = working.map(|k| k.said.id.to_string()).collect();
        prop_assert_eq!(ids, expected);
        let mut anew = Directory::default();
        for known in directory.all().filter(|k| k.said.state != ServerState::Gone) {
            anew.take(ms(99), known.said.clone(), true);
        }
        prop_assert_eq!(directory.digests(), anew.digests());
    }
}
