//! Orders to engines: they are paced, keep one engine of a pool available, and
//! come from one leader at a time.

use std::{
    collections::BTreeSet,
    time::Duration, //
};

use sesamebeam_core::{
    control::ControlEvent,
    fleet::VersionState,
    ids::{
        MonoTime,
        NodeId, //
    },
    message::{
        command::{
            Desired,
            RolloutState, //
        },
        control::ControlRequest,
    },
    state::Faults,
};
use yare::parameterized;

use crate::group::{
    Group,
    NETWORK_BOUND,
    announcement,
    fleet, //
};

/// Announces a pool of `servers` with `beam@v1` loaded every second for `time`.
fn announce(group: &mut Group, leader: NodeId, servers: u8, time: Duration) {
    let end = group.now + time;
    while group.now < end {
        let seq = group.now.as_millis() as u64;
        let announced = (1..=servers).map(|n| announcement(n, seq, &["beam@v1"]));
        group.send(leader, ControlRequest::Servers(announced.collect()));
        group.run(Duration::from_secs(1));
    }
}

fn orders_of(group: &Group, node: NodeId, after: MonoTime) -> usize {
    let orders = group.orders.iter();
    orders
        .filter(|(by, at, _)| *by == node && *at > after)
        .count()
}

/// Two copies of a version are needed, whose weights take ten seconds to transfer
/// from the weight store. If both orders were issued at once, both loads would take
/// twice as long, with both engines unavailable.
#[parameterized(
    safeguard_on = { false, 10 },
    safeguard_off = { true, 0 },
)]
fn paced(fault: bool, apart: u64) {
    let faults = Faults {
        ignore_load_pacing: fault,
        ..Faults::default()
    };
    let mut group = Group::new(faults);
    group.accept_fleet(0, fleet());
    let leader = group.wait_leader();
    announce(&mut group, leader, 3, Duration::from_secs(25));
    assert_eq!(group.orders.len(), 2);
    let gap = group.orders[1].1 - group.orders[0].1;
    assert!(gap >= Duration::from_secs(apart) && gap < Duration::from_secs(apart + 2));
    assert_ne!(group.orders[0].2.server, group.orders[1].2.server);
    assert!(group.orders[0].2.fencing < group.orders[1].2.fencing);
}

/// If all engines of a small pool loaded at once, no engine would be available.
#[parameterized(
    of_two = { 2, false, 1 },
    of_one = { 1, false, 0 },
    safeguard_off = { 2, true, 2 },
)]
fn pool_stays_available(servers: u8, fault: bool, most: usize) {
    let faults = Faults {
        ignore_load_pacing: fault,
        ..Faults::default()
    };
    let mut group = Group::new(faults);
    group.accept_fleet(0, fleet());
    let leader = group.wait_leader();
    announce(&mut group, leader, servers, Duration::from_secs(20));
    let loading: BTreeSet<_> = group.orders.iter().map(|(_, _, o)| o.server).collect();
    assert_eq!(loading.len(), most);
}

#[test]
fn loaded_starts_rollout() {
    let mut group = Group::new(Faults::default());
    group.accept_fleet(0, fleet());
    let leader = group.wait_leader();
    let both = ["beam@v1", "beam@v2"];
    for n in 1..=2 {
        let state = group.core(leader).state().rollout("beam@v2");
        assert_eq!(state, Some(RolloutState::Loading));
        let announced = vec![announcement(n, 1, &both)];
        group.request_leader(ControlRequest::Servers(announced));
        group.run(Duration::from_millis(100));
    }
    let state = group.core(leader).state().rollout("beam@v2");
    assert_eq!(state, Some(RolloutState::At(0)));
}

#[test]
fn refused_order_goes_elsewhere() {
    let mut group = Group::new(Faults::default());
    group.accept_fleet(0, fleet());
    let leader = group.wait_leader();
    announce(&mut group, leader, 4, Duration::from_secs(6));
    let (_, _, order) = group.orders[0].clone();
    let refused = ControlEvent::OrderResult {
        server: order.server,
        fencing: order.fencing,
        ok: false,
    };
    group.handle(leader, refused);
    announce(&mut group, leader, 4, Duration::from_secs(20));
    let servers: BTreeSet<_> = group.orders.iter().map(|(_, _, o)| o.server).collect();
    assert_eq!((servers.len(), group.orders.len()), (3, 3));
}

#[test]
fn withdrawn_is_unloaded() {
    let mut group = Group::new(Faults::default());
    let mut withdrawn = fleet();
    withdrawn.rollouts.clear();
    withdrawn.models[0].versions[0].state = VersionState::Withdrawn;
    group.accept_fleet(0, withdrawn);
    let leader = group.wait_leader();
    let accepted = group.now;
    announce(&mut group, leader, 2, Duration::from_secs(30));
    let (_, at, order) = &group.orders[0];
    assert_eq!(order.desired, Desired::Unloaded("beam@v1".into()));
    let deadline = Duration::from_secs(5);
    assert!(
        *at >= accepted + deadline,
        "requests in flight must end first"
    );
}

/// The leader is isolated for an hour while it still receives announcements, and a
/// new leader issues orders. Some engines do not check fencing numbers, so the old
/// leader must issue none, and the new one none before the old lease has expired.
#[parameterized(
    safeguard_on = { false },
    safeguard_off = { true },
)]
fn cut_for_an_hour(fault: bool) {
    let faults = Faults {
        order_before_lease_end: fault,
        ..Faults::default()
    };
    let mut group = Group::new(faults);
    group.accept_fleet(0, fleet());
    let old = group.wait_leader();
    group.isolate(old);
    let cut_at = group.now;
    let new = group.wait_other_leader(old);
    let elected = group.now;
    for n in 0..3600 {
        let announced = (1..=4).map(|s| announcement(s, n, &["beam@v1"]));
        let announced: Vec<_> = announced.collect();
        group.send(old, ControlRequest::Servers(announced.clone()));
        group.send(new, ControlRequest::Servers(announced));
        group.run(Duration::from_secs(1));
    }
    assert!(orders_of(&group, new, cut_at) > 0);
    let lease = Duration::from_millis(500);
    let first = group.orders.iter().find(|(by, _, _)| *by == new).unwrap();
    assert_eq!(first.1 < elected + lease + NETWORK_BOUND, fault);
    assert_eq!(orders_of(&group, old, cut_at), 0);
    group.reconnect(old);
    group.run(Duration::from_secs(5));
    assert_eq!(group.core(new).status(group.now).leader, Some(new));
    assert_eq!(group.core(old).status(group.now).leader, Some(new));
}

/// The leader is frozen between proposing an order and sending it. When it resumes,
/// the queued replies of the other replicas commit the order, although its lease
/// has expired and another replica leads. If it sent the order now, the order could
/// reach an engine after one of the new leader.
#[parameterized(
    safeguard_on = { false },
    safeguard_off = { true },
)]
fn frozen_leader(fault: bool) {
    let faults = Faults {
        act_without_lease: fault,
        ..Faults::default()
    };
    let mut group = Group::new(faults);
    group.accept_fleet(0, fleet());
    let old = group.wait_leader();
    group.run(Duration::from_secs(5));
    let announced = (1..=4).map(|n| announcement(n, 1, &["beam@v1"]));
    group.send(old, ControlRequest::Servers(announced.collect()));
    group.freeze(old);
    assert!(group.orders.is_empty());
    group.wait_other_leader(old);
    group.thaw(old);
    assert_eq!(orders_of(&group, old, Duration::ZERO) > 0, fault);
}
