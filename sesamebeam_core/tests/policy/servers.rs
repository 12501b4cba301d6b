//! Tests of backend server membership.

use sesamebeam_core::policy::servers::{
    Announced,
    Fault,
    ServerEvent,
    Servers,
    ServersConfig, //
};
use yare::parameterized;

use crate::fixtures::{
    addr,
    announcement,
    fleet,
    secs, //
};

fn servers(count: u16) -> Servers {
    let mut servers = Servers::new(ServersConfig::default());
    servers.configure(&fleet());
    for number in 0..count {
        assert_eq!(
            servers.announce(secs(0), &announcement(number, 1)),
            Announced::New
        );
    }
    servers
}

#[test]
fn ordered_by_seq() {
    let mut servers = servers(1);
    assert_eq!(
        servers.announce(secs(1), &announcement(0, 3)),
        Announced::Refreshed
    );
    assert_eq!(
        servers.announce(secs(2), &announcement(0, 2)),
        Announced::Stale
    );
    assert_eq!(
        servers.announce(secs(2), &announcement(0, 3)),
        Announced::Stale
    );
}

#[test]
fn restarted() {
    // A backend server restarts on the same address. Late announcements of its
    // old incarnation must not replace the new one, whatever their sequence
    // numbers.
    let mut servers = servers(1);
    let mut next = announcement(0, 1);
    next.incarnation = 3;
    assert_eq!(
        servers.announce(secs(1), &next),
        Announced::Restarted { old: 7 }
    );
    assert_eq!(
        servers.announce(secs(2), &announcement(0, 99)),
        Announced::Stale
    );
    assert_eq!(
        servers.get(addr(0)).map(|server| server.incarnation),
        Some(3)
    );
}

#[test]
fn leaving_stays() {
    let mut servers = servers(1);
    let mut leaving = announcement(0, 2);
    leaving.leaving = true;
    assert_eq!(servers.announce(secs(1), &leaving), Announced::Leaving);
    servers.announce(secs(2), &announcement(0, 3));
    assert!(servers.get(addr(0)).is_some_and(|server| server.leaving));
    assert_eq!(servers.take_deltas().len(), 1);
    assert!(servers.take_deltas().is_empty());
}

#[test]
fn silent_alone() {
    let mut servers = servers(10);
    for number in 1..10 {
        servers.announce(secs(5), &announcement(number, 2));
    }
    assert_eq!(servers.tick(secs(7)), [ServerEvent::Expired(addr(0))]);
    assert_eq!(
        servers.announce(secs(8), &announcement(0, 1)),
        Announced::Stale
    );
    assert_eq!(
        servers.announce(secs(8), &announcement(0, 2)),
        Announced::New
    );
}

#[test]
fn partition_expires_none() {
    // A network partition separates this entry from a failure domain. Its
    // backend servers fall silent, each after its own last announcement. They
    // must be kept as unreachable and rejoin with their first announcement.
    let mut servers = servers(0);
    for number in 0..6u16 {
        let mut far = announcement(number, 1);
        far.domain = "hall-2".into();
        servers.announce(secs(u64::from(number % 3)), &far);
    }
    let mut events = servers.tick(secs(7));
    events.extend(servers.tick(secs(8)));
    events.extend(servers.tick(secs(9)));
    let unreachable = |e: &ServerEvent| matches!(e, ServerEvent::Unreachable(_));
    assert_eq!(
        events.iter().filter(|event| unreachable(event)).count(),
        6,
        "{events:?}"
    );
    assert!(
        !events
            .iter()
            .any(|event| matches!(event, ServerEvent::Expired(_)))
    );
    assert_eq!(servers.reachable().count(), 0);
    let mut back = announcement(0, 2);
    back.domain = "hall-2".into();
    assert_eq!(servers.announce(secs(3600), &back), Announced::Reconnected);
}

#[test]
fn answers_renew_lease() {
    let mut servers = servers(1);
    servers.renew_lease(secs(5), addr(0));
    assert!(servers.tick(secs(10)).is_empty());
}

#[parameterized(
    domain = { "hall-9", "pool", 7, Fault::Domain },
    pool = { "hall-1", "other", 7, Fault::Pool },
    incarnation = { "hall-1", "pool", 0, Fault::Incarnation },
)]
fn ignored(domain: &str, pool: &str, incarnation: u64, fault: Fault) {
    let mut servers = servers(0);
    let mut bad = announcement(0, 1);
    bad.domain = domain.into();
    bad.pool = pool.into();
    bad.incarnation = incarnation;
    assert_eq!(servers.announce(secs(1), &bad), Announced::Ignored(fault));
    assert_eq!(servers.reachable().count(), 0);
}

#[test]
fn unknown_version() {
    let mut servers = servers(0);
    let mut server = announcement(0, 1);
    server.versions.push("beam@ghost".into());
    assert_eq!(servers.announce(secs(1), &server), Announced::New);
    assert_eq!(servers.counts().versions, 1);
    assert!(
        servers
            .get(addr(0))
            .is_some_and(|s| !s.versions.contains(&"beam@ghost".into()))
    );
}

#[test]
fn subsets_spread() {
    let cfg = ServersConfig {
        subset: 70,
        ..ServersConfig::default()
    };
    let mut servers = Servers::new(cfg);
    servers.configure(&fleet());
    (0..700).for_each(|number| {
        servers.announce(secs(0), &announcement(number, 1));
    });
    let mut used = vec![0; 700];
    for entry in 0..50 {
        let name = format!("entry-{entry}").into();
        let subset = servers.subset(&name, "pool");
        assert_eq!(subset, servers.subset(&name, "pool"));
        assert_eq!(subset.len(), 70);
        for server in subset {
            let number = (0..700)
                .find(|n| addr(*n) == server)
                .expect("a known server");
            used[usize::from(number)] += 1;
        }
    }
    assert!(used.iter().all(|uses| (0..=18).contains(uses)));
    assert!(used.iter().filter(|uses| **uses == 0).count() <= 14);
}
