//! Evacuation of failure domains by operators.

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
            ChooseError,
            Router, //
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

/// Maximum time to the acknowledgement of an order while a majority of the replicas is
/// available, in milliseconds. A leader is elected within half a second, and an operator
/// misses an acknowledgement that comes after a second.
const MAX_ACKNOWLEDGEMENT_MS: u64 = 1000;

fn evacuate(domain: &str) -> ApiRequest {
    ApiRequest::Evacuate(domain.into())
}

fn readmit(domain: &str) -> ApiRequest {
    ApiRequest::Readmit(domain.into())
}

/// Returns the failure domains that are evacuated in the state of a replica.
fn evacuated(group: &Group, node: NodeId) -> Vec<DomainId> {
    let store = group.processes[&node].core.store();
    store.orders().evacuated.iter().cloned().collect()
}

/// Sends an order to one replica after another, as an operator does, and returns
/// the time until one acknowledged it, in milliseconds.
fn send_order(group: &mut Group, call: &ApiRequest) -> u64 {
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

/// Simulates a power loss of all replicas, which restart from their disks.
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
    // An entry that follows another replica than the one that received the order is
    // notified. An entry that starts later learns of it together with the configuration.
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
    let is_notified = |group: &Group, node: NodeId, with_config: bool| {
        group.pushed.iter().any(|(from, push)| match push {
            ToEntry::State { config, orders, .. } if *from == node => {
                orders.evacuated.contains("hall-1") && (config.is_some() || !with_config)
            }
            _ => false,
        })
    };
    assert!(is_notified(&group, other, false), "{:?}", group.pushed);
    group.pushed.clear();
    group.event(leader, Event::EntryConnected(10));
    group.event(leader, Event::EntryFollows(10, SyncState::default()));
    group.run(100);
    assert!(is_notified(&group, leader, true), "{:?}", group.pushed);
}

#[test]
fn outlives_power_and_disks() {
    // All replicas lose power right after an acknowledgement. Later the state is restored
    // from a snapshot after further orders, and after a second power loss.
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
        send_order(&mut group, &config);
    }
    send_order(&mut group, &readmit("hall-2"));
    lose_power(&mut group);
    send_order(&mut group, &evacuate("hall-3"));
    group.run(1000);
    for node in 1..=3 {
        assert_eq!(evacuated(&group, node), ["hall-1", "hall-3"]);
    }
}

#[test]
fn repeated_order() {
    // The acknowledgement of an order is lost with the leader. The operator repeats the
    // order twice at another replica, gets the same answer, and nothing else changes.
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
fn never_evacuated() {
    // Ending an evacuation that was never ordered has no effect. A failure domain without
    // known backend servers can be evacuated, as some may be started there.
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
    // A failure domain is evacuated, readmitted and evacuated again. A replica that knows
    // only the first order must not acknowledge the third one based on it, as the others
    // have the domain as readmitted.
    let mut group = Group::start(3, 1);
    let leader = group.new_leader(None);
    assert_eq!(group.request(leader, evacuate("hall-1")), ApiResponse::Done);
    group.run(300);
    let isolated = (1..=3).find(|&n| n != leader).expect("there are three");
    group.isolate(isolated);
    assert_eq!(group.request(leader, readmit("hall-1")), ApiResponse::Done);
    assert_eq!(evacuated(&group, isolated), ["hall-1"]);
    assert_ne!(
        group.request(isolated, evacuate("hall-1")),
        ApiResponse::Done
    );
}

/// Condition of the leader when an order is given.
#[derive(Clone, Copy, Debug)]
enum LeaderFault {
    Healthy,
    Killed,
    CutOff,
    Stalled,
    Suspended,
    CommandBurst,
}

#[parameterized(
    healthy = { LeaderFault::Healthy },
    killed = { LeaderFault::Killed },
    cut_off = { LeaderFault::CutOff },
    stalled_disk = { LeaderFault::Stalled },
    suspended = { LeaderFault::Suspended },
    command_burst = { LeaderFault::CommandBurst },
)]
fn acknowledged_in_time(fault: LeaderFault) {
    // An operator gives an order while the leader is in trouble, asking one replica after
    // the other. A majority is available throughout, so that one of its members becomes
    // leader and acknowledges both orders within a second. A leader that does not respond
    // costs the operator nearly a second more.
    let mut group = Group::start(5, 2);
    let leader = group.new_leader(None);
    group.run(500);
    match fault {
        LeaderFault::Healthy => {}
        LeaderFault::Killed => {
            group.kill(leader);
        }
        LeaderFault::CutOff => group.isolate(leader),
        LeaderFault::Stalled => group.processes.get_mut(&leader).expect("it runs").stalled = true,
        LeaderFault::Suspended => {
            group.processes.get_mut(&leader).expect("it runs").suspended = true
        }
        LeaderFault::CommandBurst => {
            for version in 1..=60 {
                let bytes = vec![7; 20_000].into();
                group.send_request(leader, ApiRequest::Apply(Document { version, bytes }));
            }
        }
    }
    let silent = matches!(
        fault,
        LeaderFault::Stalled | LeaderFault::Suspended | LeaderFault::CutOff
    );
    let client_timeout = if silent { 900 } else { 0 };
    let took = send_order(&mut group, &evacuate("hall-1"));
    assert!(took <= MAX_ACKNOWLEDGEMENT_MS + client_timeout, "{took} ms");
    let took = send_order(&mut group, &readmit("hall-1"));
    assert!(took <= MAX_ACKNOWLEDGEMENT_MS + client_timeout, "{took} ms");
}

#[test]
fn older_snapshot() {
    // An upgraded replica starts with a snapshot from before the introduction of
    // evacuations, which lacks the last field.
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
fn bounded_state() {
    // A caller orders evacuations of an unbounded number of made-up names. The state
    // stays bounded, and domains that are already evacuated can be ordered again.
    let mut store = Store::default();
    for n in 0..1000 {
        store.apply(n, Command::Evacuate(format!("hall-{n}").into()));
    }
    assert_eq!(store.orders().evacuated.len(), 256);
    assert!(store.can_evacuate(&"hall-7".into()));
    assert!(!store.can_evacuate(&"hall-999".into()));
}

/// Returns an entry that knows backend servers 0 to 5, distributed over three failure
/// domains.
fn three_domains() -> Router {
    let mut router = router(0);
    for number in 0..6 {
        let mut announced = announcement(number);
        announced.domain = format!("hall-{}", 1 + number % 3).into();
        router.apply_announcement(ms(0), announced);
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

/// Sends requests, each of which is retried until no backend server is left, and returns
/// the backend servers that got any.
fn reached(router: &mut Router, now: u64) -> BTreeSet<ServerId> {
    let mut reached = BTreeSet::new();
    for n in 0..50 {
        let plan = router.admit(ms(now), &head(&format!("r{n}")));
        let plan = plan.expect("it is admitted");
        let mut tried = Vec::new();
        while let Ok(choice) = router.choose(ms(now), &plan, None, &tried) {
            router.record_outcome(ms(now), &plan, &choice, Outcome::Good);
            reached.insert(choice.id.clone());
            tried.push(choice.id);
        }
    }
    reached
}

#[test]
fn nothing_goes_there() {
    // Neither a first attempt nor a retry goes to an evacuated failure domain, even if it
    // is the entry's own and no other backend server is left.
    let mut router = three_domains();
    assert_eq!(reached(&mut router, 1).len(), 6);
    set_evacuated(&mut router, 5, &["hall-1"]);
    let left = ["server-1", "server-2", "server-4", "server-5"];
    assert!(reached(&mut router, 10).iter().eq(left));
    set_evacuated(&mut router, 20, &[]);
    assert_eq!(reached(&mut router, 30).len(), 6);
}

#[test]
fn stale_state_ignored() {
    // A replica that lags behind reports the state before the order, which must be
    // ignored.
    let mut router = three_domains();
    set_evacuated(&mut router, 20, &["hall-1"]);
    set_evacuated(&mut router, 15, &[]);
    assert_eq!(reached(&mut router, 30).len(), 4);
}

#[test]
fn all_domains_evacuated() {
    // All failure domains with backend servers are evacuated. Requests are rejected at
    // once, while an entry that does not know of any backend server waits for one.
    let mut empty = router(0);
    let mut router = three_domains();
    set_evacuated(&mut router, 5, &["hall-1", "hall-2", "hall-3"]);
    let plan = router.admit(ms(9), &head("a")).expect("it is admitted");
    let chosen = router.choose(ms(9), &plan, None, &[]);
    assert_eq!(chosen, Err(ChooseError::Evacuated));
    let plan = empty.admit(ms(9), &head("a")).expect("it is admitted");
    let chosen = empty.choose(ms(9), &plan, None, &[]);
    assert_eq!(chosen, Err(ChooseError::Unknown));
}

#[test]
fn promoted_version_only_in_evacuated_domain() {
    // All backend servers of a promoted version are in the evacuated failure domain. The
    // previous versions serve the requests instead.
    let mut router = three_domains();
    let mut announced = announcement(9);
    announced.version = "v2".into();
    router.apply_announcement(ms(0), announced);
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
