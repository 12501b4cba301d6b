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
fn late_ready_announcement() {
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
fn new_incarnation_at_an_address() {
    // A backend server crashes and another one starts at its address. The old one is never
    // heard from again, and must not receive requests.
    let mut directory = Directory::default();
    directory.merge(ms(0), announcement(1), true);
    let mut newer = announcement(2);
    newer.addr = announcement(1).addr;
    assert!(directory.merge(ms(5), newer, true));
    assert_eq!(ready(&directory), ["server-2"]);
    let mut late = announcement(1);
    late.sequence = 7;
    directory.merge(ms(9), late, true);
    assert_eq!(ready(&directory), ["server-2"]);
}

#[test]
fn heartbeats_are_not_news() {
    let mut directory = Directory::default();
    assert!(directory.merge(ms(0), announcement(1), true));
    let mut again = announcement(1);
    again.sequence = 2;
    assert!(!directory.merge(ms(9), again, true));
    assert_eq!(
        directory.get("server-1").map(|k| k.last_heard_at),
        Some(ms(9))
    );
}

/// Returns an announcement of one of many backend servers, each at its own address.
fn numbered_server(number: u32) -> Announcement {
    let mut server = announcement(1);
    server.id = format!("server-{number}").into();
    server.addr = (std::net::Ipv4Addr::from(0x0a00_0000 + number), 80).into();
    server
}

#[test]
fn merge_cost_independent_of_size() {
    // An announcement must not be compared with all known backend servers.
    let examined = |count: u32| {
        let mut directory = Directory::default();
        for number in 0..count {
            directory.merge(ms(0), numbered_server(number), true);
        }
        directory.examined_records() / u64::from(count)
    };
    assert!(examined(20_000) <= examined(300));
}

#[test]
fn eviction_cost_independent_of_size() {
    // Forgetting an ended incarnation beyond the limit must not search all of them.
    let mut directory = Directory::default();
    for number in 0..20_000 {
        directory.merge(ms(u64::from(number)), numbered_server(number), true);
        directory.mark_gone(ms(u64::from(number)), &format!("server-{number}"), None);
    }
    assert!(directory.count() <= 8200);
    assert!(directory.get("server-19999").is_some());
    assert!(directory.get("server-0").is_none());
    assert!(directory.examined_records() <= 2 * 20_000);
}

#[test]
fn gone_servers_are_bounded() {
    let mut directory = Directory::default();
    for number in 0..20_000u32 {
        let mut server = announcement(1);
        server.id = format!("server-{number}").into();
        directory.merge(ms(u64::from(number)), server, true);
    }
    assert!(directory.all().count() <= 8200);
}

/// Returns an announcement of an incarnation with the given start time.
fn incarnation_started_at(started_at: u64, sequence: u64) -> Announcement {
    Announcement {
        started_at,
        sequence,
        ..announcement(1)
    }
}

#[test]
fn restart_under_the_same_id() {
    // A backend server crashes and restarts under the same id, and its sequence numbers
    // start again. It must accept requests again although the id was marked as gone.
    let mut directory = Directory::default();
    directory.merge(ms(0), incarnation_started_at(100, 40), true);
    directory.mark_gone(ms(1), "server-1", Some(100));
    assert!(ready(&directory).is_empty());
    assert!(directory.merge(ms(2), incarnation_started_at(200, 1), true));
    assert_eq!(ready(&directory), ["server-1"]);
}

#[test]
fn late_announcement_of_old_incarnation() {
    // Announcements of an older incarnation, that it drains and that it leaves, are delayed
    // by a network partition and arrive after the new one has announced itself. The new one
    // stays ready.
    let mut directory = Directory::default();
    directory.merge(ms(0), incarnation_started_at(200, 1), true);
    let mut draining = incarnation_started_at(100, 41);
    draining.state = ServerState::Draining;
    assert!(!directory.merge(ms(1), draining, true));
    assert!(directory.mark_gone(ms(2), "server-1", Some(100)).is_none());
    assert_eq!(ready(&directory), ["server-1"]);
}

#[test]
fn superseded_at_an_address() {
    // Of two ids at one address, the announcement of the older incarnation arrives last. It
    // must not replace the newer one.
    let mut directory = Directory::default();
    directory.merge(ms(0), incarnation_started_at(200, 1), true);
    let mut older = incarnation_started_at(100, 7);
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
fn service_never_changes() {
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

fn announcements() -> impl Strategy<Value = Vec<Announcement>> {
    let state = prop_oneof![Just(ServerState::Ready), Just(ServerState::Draining)];
    let one = (0u8..4, 1u64..20, state).prop_map(|(number, sequence, state)| {
        let mut server = announcement(number);
        server.sequence = sequence;
        server.state = state;
        server
    });
    prop::collection::vec(one, 1..30)
}

proptest! {
    /// Regardless of the order in which announcements arrive, draining is final for an
    /// incarnation, so no replica treats a leaving backend server as ready once it has
    /// received the announcement.
    #[test]
    fn draining_is_final(server in announcements(), at in any::<Index>()) {
        let mut directory = Directory::default();
        let leaving = server[at.index(server.len())].clone();
        for (n, server) in server.into_iter().enumerate() {
            directory.merge(ms(n as u64), server, true);
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
    fn indexes_match_records(server in proptest::collection::vec((0u8..6, 0u64..3, 0u8..4, 0u8..3, 0u64..9), 0..60)) {
        let mut directory = Directory::default();
        for (at, (number, started_at, address, state, sequence)) in server.into_iter().enumerate() {
            let mut server = announcement(number);
            server.addr = announcement(address).addr;
            server.started_at = started_at;
            server.sequence = sequence;
            server.state = [ServerState::Ready, ServerState::Draining, ServerState::Gone][usize::from(state)];
            directory.merge(ms(at as u64), server, true);
        }
        let mut ids = ready(&directory);
        ids.sort();
        let working = directory.all().filter(|k| k.announcement.state == ServerState::Ready);
        let expected: Vec<String> = working.map(|k| k.announcement.id.to_string()).collect();
        prop_assert_eq!(ids, expected);
        let mut rebuilt = Directory::default();
        for record in directory.all().filter(|k| k.announcement.state != ServerState::Gone) {
            rebuilt.merge(ms(99), record.announcement.clone(), true);
        }
        prop_assert_eq!(directory.digests(), rebuilt.digests());
    }
}
