//! Merging of backend server announcements.

use proptest::{
    prelude::*,
    sample::Index, //
};
use sesamebeam_core::gateway::directory::{
    Announcement,
    Directory,
    ServerState, //
};

use crate::fixtures::{
    announcement,
    ms, //
};

fn ready(directory: &Directory) -> Vec<String> {
    let ready = directory.ready("pool");
    ready.map(|k| k.announcement.id.to_string()).collect()
}

#[test]
fn old_draining_word() {
    // A draining announcement overtakes an older ready one, which was delayed on another
    // path. The server must not become ready again.
    let mut directory = Directory::default();
    let mut draining = announcement(1);
    draining.state = ServerState::Draining;
    draining.sequence = 5;
    assert!(directory.merge(ms(0), draining, true));
    let mut late = announcement(1);
    late.sequence = 4;
    assert!(!directory.merge(ms(10), late, true));
    assert!(ready(&directory).is_empty());
}

#[test]
fn gone_stays_gone() {
    // A backend server leaves. A heartbeat delayed by a network partition arrives later,
    // with a higher sequence number than any before. The server stays gone.
    let mut directory = Directory::default();
    directory.merge(ms(0), announcement(1), true);
    assert!(directory.mark_gone(ms(5), "server-1", None).is_some());
    let mut late = announcement(1);
    late.sequence = 99;
    assert!(!directory.merge(ms(10), late, true));
    assert!(ready(&directory).is_empty());
}

#[test]
fn new_life_at_an_address() {
    // A backend server crashes and another one starts at its address. The old one is never
    // heard from again, and must not receive requests.
    let mut directory = Directory::default();
    directory.merge(ms(0), announcement(1), true);
    let mut next = announcement(2);
    next.addr = announcement(1).addr;
    assert!(directory.merge(ms(5), next, true));
    assert_eq!(ready(&directory), ["server-2"]);
    let mut late = announcement(1);
    late.sequence = 7;
    directory.merge(ms(9), late, true);
    assert_eq!(ready(&directory), ["server-2"]);
}

#[test]
fn refreshes_are_no_news() {
    let mut directory = Directory::default();
    assert!(directory.merge(ms(0), announcement(1), true));
    let mut again = announcement(1);
    again.sequence = 2;
    assert!(!directory.merge(ms(9), again, true));
    assert_eq!(directory.get("server-1").map(|k| k.last_heard_at), Some(ms(9)));
}

/// Returns an announcement of one of many backend servers, each at its own address.
fn one_of_many(number: u32) -> Announcement {
    let mut said = announcement(1);
    said.id = format!("server-{number}").into();
    said.addr = (std::net::Ipv4Addr::from(0x0a00_0000 + number), 80).into();
    said
}

#[test]
fn same_cost_in_a_fleet() {
    // An announcement must not be compared with all known backend servers.
    let examined = |count: u32| {
        let mut directory = Directory::default();
        for number in 0..count {
            directory.merge(ms(0), one_of_many(number), true);
        }
        directory.examined() / u64::from(count)
    };
    assert!(examined(20_000) <= examined(300));
}

#[test]
fn same_cost_of_forgetting() {
    // Forgetting an ended incarnation beyond the limit must not search all of them.
    let mut directory = Directory::default();
    for number in 0..20_000 {
        directory.merge(ms(u64::from(number)), one_of_many(number), true);
        directory.mark_gone(ms(u64::from(number)), &format!("server-{number}"), None);
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
        directory.merge(ms(u64::from(number)), said, true);
    }
    assert!(directory.all().count() <= 8200);
}

/// Returns an announcement of an incarnation with the given start time.
fn said_by(born: u64, sequence: u64) -> Announcement {
    Announcement {
        started_at: born,
        sequence,
        ..announcement(1)
    }
}

#[test]
fn starts_again() {
    // A backend server crashes and restarts under the same id, and its sequence numbers
    // start again. It must accept requests again although the id was marked as gone.
    let mut directory = Directory::default();
    directory.merge(ms(0), said_by(100, 40), true);
    directory.mark_gone(ms(1), "server-1", Some(100));
    assert!(ready(&directory).is_empty());
    assert!(directory.merge(ms(2), said_by(200, 1), true));
    assert_eq!(ready(&directory), ["server-1"]);
}

#[test]
fn old_life_late() {
    // Announcements of an older incarnation, that it drains and that it leaves, are delayed
    // by a network partition and arrive after the new one has announced itself. The new one
    // stays ready.
    let mut directory = Directory::default();
    directory.merge(ms(0), said_by(200, 1), true);
    let mut draining = said_by(100, 41);
    draining.state = ServerState::Draining;
    assert!(!directory.merge(ms(1), draining, true));
    assert!(directory.mark_gone(ms(2), "server-1", Some(100)).is_none());
    assert_eq!(ready(&directory), ["server-1"]);
}

#[test]
fn outlived_at_an_address() {
    // Of two ids at one address, the announcement of the older incarnation arrives last. It
    // must not replace the newer one.
    let mut directory = Directory::default();
    directory.merge(ms(0), said_by(200, 1), true);
    let mut older = said_by(100, 7);
    older.id = "server-0".into();
    directory.merge(ms(1), older, true);
    assert_eq!(ready(&directory), ["server-1"]);
}

#[test]
fn unknown_service() {
    // A third party announces an unknown service at the address of a working backend
    // server. The server stays ready.
    let mut directory = Directory::default();
    directory.merge(ms(0), announcement(1), true);
    let mut forged = announcement(2);
    forged.addr = announcement(1).addr;
    forged.service = "nowhere".into();
    directory.merge(ms(1), forged, false);
    assert_eq!(ready(&directory), ["server-1"]);
}

#[test]
fn stays_what_it_is() {
    // A third party copies an announcement but changes the service. If the change were
    // accepted, callers would be rejected although the server works.
    let mut directory = Directory::default();
    directory.merge(ms(0), announcement(1), true);
    let mut forged = announcement(1);
    forged.sequence = 9;
    forged.service = "nowhere".into();
    assert!(!directory.merge(ms(1), forged, false));
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
    /// Regardless of the order in which announcements arrive, draining is final for an
    /// incarnation, so no replica treats a leaving backend server as ready once it has
    /// received the announcement.
    #[test]
    fn draining_is_final(said in lives(), at in any::<Index>()) {
        let mut directory = Directory::default();
        let leaving = said[at.index(said.len())].clone();
        for (n, said) in said.into_iter().enumerate() {
            directory.merge(ms(n as u64), said, true);
        }
        let mut draining = leaving.clone();
        draining.state = ServerState::Draining;
        directory.merge(ms(100), draining, true);
        let ready = ready(&directory);
        prop_assert!(!ready.contains(&leaving.id.to_string()));
    }
}

proptest! {
    /// Regardless of the announcements and their order, the index and digests equal those
    /// of a directory built from the final state alone.
    #[test]
    fn indexes_follow(said in proptest::collection::vec((0u8..6, 0u64..3, 0u8..4, 0u8..3, 0u64..9), 0..60)) {
        let mut directory = Directory::default();
        for (at, (number, born, place, state, sequence)) in said.into_iter().enumerate() {
            let mut said = announcement(number);
            said.addr = announcement(place).addr;
            said.started_at = born;
            said.sequence = sequence;
            said.state = [ServerState::Ready, ServerState::Draining, ServerState::Gone][usize::from(state)];
            directory.merge(ms(at as u64), said, true);
        }
        let mut ids = ready(&directory);
        ids.sort();
        let working = directory.all().filter(|k| k.announcement.state == ServerState::Ready);
        let expected: Vec<String> = working.map(|k| k.announcement.id.to_string()).collect();
        prop_assert_eq!(ids, expected);
        let mut anew = Directory::default();
        for known in directory.all().filter(|k| k.announcement.state != ServerState::Gone) {
            anew.merge(ms(99), known.announcement.clone(), true);
        }
        prop_assert_eq!(directory.digests(), anew.digests());
    }
}
