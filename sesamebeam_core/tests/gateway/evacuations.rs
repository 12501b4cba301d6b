//! Failure domains to whose backend servers nothing is sent, by an operator's order.

use std::collections::BTreeSet;

use sesamebeam_core::{
    gateway::{
        balance::Outcome,
        coordinator::{
            ApiRequest,
            ApiResponse,
            Event, //
        },
        directory::ServerId,
        messages::{
            SyncState,
            ToEntry, //
        },
        rollout::{
            Phase,
            Rollout, //
        },
        router::{
            Router,
            Unserved, //
        },
        store::{
            Command,
            Document,
            Orders,
            Store, //
        },
    },
    ids::{
        DomainId,
        NodeId, //
    },
};
use yare::parameterized;

use crate::{
    fixtures::{
        announcement,
        head,
        ms,
        router, //
    },
    group::Group,
};

/// Longest time in which an order is acknowledged while a majority of the replicas
/// stands, in milliseconds: a leader is elected within half a second, and what is
/// later than a second is missed by the operator.
const ACKNOWLEDGED_IN: u64 = 1000;

fn evacuate(domain: &str) -> ApiRequest {
    ApiRequest::Evacuate(domain.into())
}

fn readmit(domain: &str) -> ApiRequest {
    ApiRequest::Readmit(domain.into())
}

/// Returns the failure domains that the state of a replica has evacuated.
fn evacuated(group: &Group, node: NodeId) -> Vec<DomainId> {
    let store = group.processes[&node].core.store();
    store.orders().evacuated.iter().cloned().collect()
}

/// Gives an order to one replica after another, as an operator does, and returns how
/// long it took until one acknowledged it.
fn order(group: &mut Group, call: &ApiRequest) -> u64 {
    let since = group.now;
    while group.now < since + ms(30_000) {
        let nodes: Vec<NodeId> = group.processes.keys().copied().collect();
        for node in nodes {
            let ticket = group.send_request(node, call.clone());
            let until = group.now + ms(900);
            while group.now < until && !group.responses.contains_key(&ticket) {
                group.run(1);
            }
            if group.responses.get(&ticket) == Some(&ApiResponse::Done) {
                return (group.now - since).as_millis() as u64;
            }
        }
        group.run(20);
    }
    panic!("{call:?} is not acknowledged within 30 s");
}

/// Lets all replicas lose power and come back with what is on their disks.
fn lose_power(group: &mut Group) {
    let nodes: Vec<NodeId> = group.processes.keys().copied().collect();
    let disks: Vec<_> = nodes.iter().map(|&n| (n, group.kill(n))).collect();
    group.run(1000);
    for (node, disk) in disks {
        group.restart(node, disk);
    }
}

#[test]
fn entries_are_told() {
    // An entry that follows another replica than the one that took the order hears of
    // it, and one that starts afterwards hears of it with the configuration.
    let mut group = Group::start(3, 1);
    let leader = group.new_leader(None);
    let other = (1..=3).find(|&n| n != leader).expect("there are three");
    let config = ApiRequest::Apply(Document {
        version: 5,
        bytes: "five".into(),
    });
    assert_eq!(group.request(leader, config), ApiResponse::Done);
    group.event(other, Event::EntryConnected(9));
    group.event(other, Event::EntryFollows(9, SyncState::default()));
    group.run(100);
    group.pushed.clear();
    assert_eq!(group.request(leader, evacuate("hall-1")), ApiResponse::Done);
    group.run(200);
    let hears = |group: &Group, node: NodeId, with_config: bool| {
        group.pushed.iter().any(|(from, push)| match push {
            ToEntry::State { config, orders, .. } if *from == node => {
                orders.evacuated.contains("hall-1") && (config.is_some() || !with_config)
            }
            _ => false,
        })
    };
    assert!(hears(&group, other, false), "{:?}", group.pushed);
    group.pushed.clear();
    group.event(leader, Event::EntryConnected(10));
    group.event(leader, Event::EntryFollows(10, SyncState::default()));
    group.run(100);
    assert!(hears(&group, leader, true), "{:?}", group.pushed);
}

#[test]
fn outlives_power_and_disks() {
    // All power is lost right after an acknowledgement, and one disk with it. Then
    // enough is ordered that the state comes from a snapshot, and power is lost again.
    let mut group = Group::start(3, 1);
    let leader = group.new_leader(None);
    assert_eq!(group.request(leader, evacuate("hall-1")), ApiResponse::Done);
    assert_eq!(group.request(leader, evacuate("hall-2")), ApiResponse::Done);
    lose_power(&mut group);
    for version in 1..=50 {
        let config = ApiRequest::Apply(Document {
            version,
            bytes: "text".into(),
        });
        order(&mut group, &config);
    }
    order(&mut group, &readmit("hall-2"));
    lose_power(&mut group);
    order(&mut group, &evacuate("hall-3"));
    group.run(1000);
    for node in 1..=3 {
        assert_eq!(evacuated(&group, node), ["hall-1", "hall-3"]);
    }
}

#[test]
fn ordered_again() {
    // The acknowledgement of an order is lost with the leader; the operator repeats it
    // elsewhere, twice, and is told the same. Nothing else comes of it.
    let mut group = Group::start(3, 1);
    let leader = group.new_leader(None);
    assert_eq!(group.request(leader, evacuate("hall-1")), ApiResponse::Done);
    group.kill(leader);
    let next = group.new_leader(None);
    assert_eq!(group.request(next, evacuate("hall-1")), ApiResponse::Done);
    assert_eq!(group.request(next, evacuate("hall-1")), ApiResponse::Done);
    assert_eq!(evacuated(&group, next), ["hall-1"]);
    assert_eq!(group.request(next, readmit("hall-1")), ApiResponse::Done);
    assert_eq!(group.request(next, readmit("hall-1")), ApiResponse::Done);
    assert!(evacuated(&group, next).is_empty());
}

#[test]
fn never_ordered() {
    // What is not evacuated is taken back in vain, and a failure domain in which no
    // backend server was heard of is evacuated like any: some may come there.
    let mut group = Group::start(3, 1);
    let leader = group.new_leader(None);
    assert_eq!(group.request(leader, readmit("hall-1")), ApiResponse::Done);
    assert_eq!(
        group.request(leader, evacuate("nowhere")),
        ApiResponse::Done
    );
    assert_eq!(evacuated(&group, leader), ["nowhere"]);
}

#[test]
fn lagging_replica_says_nothing() {
    // A domain is evacuated, taken back and evacuated again. A replica that knows the
    // first order alone must not answer the third from that: all others have it as
    // taken back.
    let mut group = Group::start(3, 1);
    let leader = group.new_leader(None);
    assert_eq!(group.request(leader, evacuate("hall-1")), ApiResponse::Done);
    group.run(300);
    let away = (1..=3).find(|&n| n != leader).expect("there are three");
    group.isolate(away);
    assert_eq!(group.request(leader, readmit("hall-1")), ApiResponse::Done);
    assert_eq!(evacuated(&group, away), ["hall-1"]);
    assert_ne!(group.request(away, evacuate("hall-1")), ApiResponse::Done);
}

/// What happens to the replica that leads while an order is given.
#[derive(Clone, Copy, Debug)]
enum Trouble {
    Calm,
    Killed,
    CutOff,
    Stalled,
    Suspended,
    Storm,
}

#[parameterized(
    calm = { Trouble::Calm },
    killed = { Trouble::Killed },
    cut_off = { Trouble::CutOff },
    stalled_disk = { Trouble::Stalled },
    suspended = { Trouble::Suspended },
    storm = { Trouble::Storm },
)]
fn acknowledged_in_time(trouble: Trouble) {
    // An operator orders while the leader is in trouble, and asks one replica after the
    // other. A majority stands all the while, so that one of them leads soon and
    // acknowledges both orders within a second of being able to. At a leader that says
    // nothing the operator itself waits for nearly a second.
    let mut group = Group::start(5, 2);
    let leader = group.new_leader(None);
    group.run(500);
    match trouble {
        Trouble::Calm => {}
        Trouble::Killed => {
            group.kill(leader);
        }
        Trouble::CutOff => group.isolate(leader),
        Trouble::Stalled => group.processes.get_mut(&leader).expect("it runs").stalled = true,
        Trouble::Suspended => group.processes.get_mut(&leader).expect("it runs").suspended = true,
        Trouble::Storm => {
            for version in 1..=60 {
                let bytes = vec![7; 20_000].into();
                group.send_request(leader, ApiRequest::Apply(Document { version, bytes }));
            }
        }
    }
    let silent = matches!(
        trouble,
        Trouble::Stalled | Trouble::Suspended | Trouble::CutOff
    );
    let patience = if silent { 900 } else { 0 };
    let took = order(&mut group, &evacuate("hall-1"));
    assert!(took <= ACKNOWLEDGED_IN + patience, "{took} ms");
    let took = order(&mut group, &readmit("hall-1"));
    assert!(took <= ACKNOWLEDGED_IN + patience, "{took} ms");
}

#[test]
fn older_snapshot() {
    // A replica starts with a new program and the snapshot of an older one, which knew
    // no evacuations: its state ends before them.
    let mut store = Store::default();
    let document = Document {
        version: 5,
        bytes: "five".into(),
    };
    store.apply(1, Command::Apply(document));
    let mut snapshot = postcard::to_stdvec(&store).expect("it has an encoding");
    assert_eq!(snapshot.pop(), Some(0));
    assert_eq!(Store::decode(&snapshot).ok(), Some(store));
}

#[test]
fn no_end_of_names() {
    // A caller makes names up without end; what a replica keeps stays bounded, and what
    // is evacuated can still be ordered again.
    let mut store = Store::default();
    for n in 0..1000 {
        store.apply(n, Command::Evacuate(format!("hall-{n}").into()));
    }
    assert_eq!(store.orders().evacuated.len(), 256);
    assert!(store.may_evacuate(&"hall-7".into()));
    assert!(!store.may_evacuate(&"hall-999".into()));
}

/// Makes an entry that knows backend servers 0 to 5, by turns in three failure domains.
fn three_domains() -> Router {
    let mut router = router(0);
    for number in 0..6 {
        let mut said = announcement(number);
        said.domain = format!("hall-{}", 1 + number % 3).into();
        router.announced(ms(0), said);
    }
    router
}

fn set_evacuated(router: &mut Router, index: u64, domains: &[&str]) {
    let orders = Orders {
        evacuated: domains.iter().map(|&d| d.into()).collect(),
        ..Orders::default()
    };
    router.set_orders(ms(index), index, orders);
}

/// Sends requests, each of which is repeated until nobody is left, and returns who got
/// any.
fn reached(router: &mut Router, now: u64) -> BTreeSet<ServerId> {
    let mut reached = BTreeSet::new();
    for n in 0..50 {
        let plan = router.admit(ms(now), &head(&format!("r{n}")));
        let plan = plan.expect("it is admitted");
        let mut tried = Vec::new();
        while let Ok(choice) = router.choose(ms(now), &plan, None, &tried) {
            router.finished(ms(now), &plan, &choice, Outcome::Good);
            reached.insert(choice.id.clone());
            tried.push(choice.id);
        }
    }
    reached
}

#[test]
fn nothing_goes_there() {
    // No first send, and no repeat, goes to a failure domain that is evacuated, though
    // it is the entry's own and nobody else is left.
    let mut router = three_domains();
    assert_eq!(reached(&mut router, 1).len(), 6);
    set_evacuated(&mut router, 5, &["hall-1"]);
    let left = ["server-1", "server-2", "server-4", "server-5"];
    assert!(reached(&mut router, 10).iter().eq(left));
    set_evacuated(&mut router, 20, &[]);
    assert_eq!(reached(&mut router, 30).len(), 6);
}

#[test]
fn late_news() {
    // What another replica tells of the time before the order changes nothing.
    let mut router = three_domains();
    set_evacuated(&mut router, 20, &["hall-1"]);
    set_evacuated(&mut router, 15, &[]);
    assert_eq!(reached(&mut router, 30).len(), 4);
}

#[test]
fn nobody_left() {
    // All failure domains with backend servers are evacuated. The caller is told at
    // once; an entry that has yet to hear of any backend server waits for that.
    let mut empty = router(0);
    let mut router = three_domains();
    set_evacuated(&mut router, 5, &["hall-1", "hall-2", "hall-3"]);
    let plan = router.admit(ms(9), &head("a")).expect("it is admitted");
    let chosen = router.choose(ms(9), &plan, None, &[]);
    assert_eq!(chosen, Err(Unserved::Evacuated));
    let plan = empty.admit(ms(9), &head("a")).expect("it is admitted");
    let chosen = empty.choose(ms(9), &plan, None, &[]);
    assert_eq!(chosen, Err(Unserved::Unknown));
}

#[test]
fn new_version_only_there() {
    // A version that has taken over stands in the evacuated failure domain alone. The
    // versions before serve its requests rather than nobody.
    let mut router = three_domains();
    let mut said = announcement(9);
    said.version = "v2".into();
    router.announced(ms(0), said);
    let rollout = Rollout {
        target: "v2".into(),
        duration: ms(20_000),
        phase: Phase::Promoted,
    };
    let rollouts = [("pool".into(), rollout)].into();
    let evacuated = ["hall-1".into()].into();
    let orders = Orders {
        rollouts,
        evacuated,
    };
    router.set_orders(ms(5), 5, orders);
    assert_eq!(reached(&mut router, 10).len(), 4);
}
