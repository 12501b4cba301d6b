//! Leases: nobody serves after another may have won.

#[path = "group/net.rs"]
mod net;

use std::time::Duration;

use net::{
    DRIFT,
    Net,
    Violation, //
};
use sesamebeam_core::replica::{
    Faults,
    Rejection,
    ReplicaEvent,
    lease::leader_lease, //
};

/// Cuts the leader off where the others stand as early as they may, and keeps
/// reading at the old leader while the new one commits.
fn read_at_isolated(faults: Faults) -> Net {
    let mut net = Net::new(3, 4, faults);
    net.commit(1);
    let old = net.settle_leader();
    net.isolate(old);
    for n in 0..400 {
        net.run(Duration::from_millis(10));
        net.read_at(old, 1_000 + n);
        if let Some(&leader) = net.leaders().iter().find(|&&id| id != old) {
            net.propose(leader, 2_000 + n);
        }
    }
    net
}

#[test]
fn stale_reads() {
    // A caller of the cut-off leader waits or is sent elsewhere. Its lease ends
    // before the others can elect; until it notices, reads are not answered.
    let net = read_at_isolated(Faults::default());
    assert!(net.acked.len() > 1);
    net.assert_sound();
}

#[test]
fn stale_reads_unguarded() {
    // The same with a leader that answers whatever its lease says: its state
    // lacks what the new leader has acknowledged.
    let net = read_at_isolated(Faults {
        serve_after_lease: true,
        ..Faults::default()
    });
    assert!(net.saw(|v| matches!(v, Violation::StaleRead(_))));
}

/// Cuts the leader off on the one side, with its clock slow and the others'
/// fast by the bound, over many seeds.
fn drift_apart(faults: Faults) -> Vec<Violation> {
    let mut violations = Vec::new();
    for seed in 0..40 {
        let mut net = Net::with(3, seed, faults, |cfg| {
            // The earliest election that the lease allows.
            cfg.heartbeat = Duration::from_millis(20);
            cfg.snapshot_every = 1_000_000;
        });
        net.weather.delay = Duration::from_micros(10);
        net.weather.sync = Duration::from_micros(10);
        let leader = net.settle_leader();
        for (&id, node) in &mut net.nodes {
            node.rate = if id == leader {
                1.0 - DRIFT
            } else {
                1.0 + DRIFT
            };
        }
        net.run(Duration::from_secs(5));
        let leader = net.settle_leader();
        net.isolate(leader);
        hurry_others(&mut net, leader);
        violations.extend(net.violations);
    }
    violations
}

/// Wakes the others as if their election time-outs were the shortest, so that
/// only the lease stands between them and an election.
fn hurry_others(net: &mut Net, leader: u64) {
    let limit = net.now + Duration::from_secs(3);
    while net.now < limit && net.leaders() == [leader] {
        net.run(Duration::from_micros(500));
    }
    net.run(Duration::from_millis(50));
}

#[test]
fn drifting_clocks() {
    // The leader's clock is slow by the bound and the others' are fast by it.
    // It counts its lease shorter by the margin for both, so the others' promise
    // outlives it however early they stand.
    assert_eq!(drift_apart(Faults::default()), []);
}

#[test]
fn drifting_clocks_unguarded() {
    // The same without the margin: for a moment two replicas hold the lease.
    let violations = drift_apart(Faults {
        no_drift_margin: true,
        ..Faults::default()
    });
    assert!(
        violations
            .iter()
            .any(|v| matches!(v, Violation::TwoLeases(..)))
    );
}

#[test]
fn margin_size() {
    let lease = Duration::from_secs(1);
    let held = leader_lease(lease, 0.01);
    assert!(held < lease.mul_f64(0.981) && held > lease.mul_f64(0.98));
    assert_eq!(leader_lease(lease, 0.0), lease);
}

/// Has a follower cut off from the leader stand while the others hear it, over
/// and over.
fn stand_under_lease(faults: Faults) -> Net {
    let mut net = Net::new(3, 5, faults);
    net.commit(1);
    let leader = net.settle_leader();
    let lonely = net.nodes.keys().copied().find(|&id| id != leader).unwrap();
    net.cut.insert((leader, lonely));
    net.cut.insert((lonely, leader));
    net.run(Duration::from_secs(20));
    net
}

#[test]
fn one_link_cut() {
    // Callers see nothing. One follower no longer hears the leader and stands;
    // the other one hears the leader and takes no notice.
    let net = stand_under_lease(Faults::default());
    assert_eq!(net.leader_changes, 1);
    net.assert_sound();
}

#[test]
fn one_link_cut_unguarded() {
    // The same with followers that vote whenever they are asked: the lonely one
    // wins while the leader still holds its lease.
    let net = stand_under_lease(Faults {
        vote_during_lease: true,
        ..Faults::default()
    });
    assert!(net.saw(|v| matches!(v, Violation::TwoLeases(..))));
}

/// Restarts a follower in the moment after it promised the leader its lease,
/// and lets the third replica, which the leader cannot reach, stand at once.
fn restart_promiser(faults: Faults) -> Vec<Violation> {
    let mut violations = Vec::new();
    for seed in 0..40 {
        let mut net = Net::with(3, seed, faults, |cfg| {
            cfg.heartbeat = Duration::from_millis(100);
        });
        net.commit(1);
        let leader = net.settle_leader();
        let others: Vec<u64> = net
            .nodes
            .keys()
            .copied()
            .filter(|&id| id != leader)
            .collect();
        let (promiser, lonely) = (others[0], others[1]);
        net.cut.insert((leader, lonely));
        net.cut.insert((lonely, leader));
        for _ in 0..30 {
            net.run(Duration::from_millis(97));
            net.crash(promiser);
            net.start(promiser);
        }
        violations.extend(net.violations);
    }
    violations
}

#[test]
fn promise_over_restart() {
    // A follower forgets its promise in a restart. It waits for a whole lease
    // before it votes, so that the leader it promised is not overtaken.
    assert_eq!(restart_promiser(Faults::default()), []);
}

#[test]
fn promise_over_restart_unguarded() {
    // The same with a follower that votes as soon as it is back.
    let violations = restart_promiser(Faults {
        forget_promise: true,
        ..Faults::default()
    });
    assert!(
        violations
            .iter()
            .any(|v| matches!(v, Violation::TwoLeases(..)))
    );
}

#[test]
fn read_without_lease() {
    // A reader right after an election, before any heartbeat is answered, waits
    // for the round that proves the leader and is answered then.
    let mut net = Net::new(3, 6, Faults::default());
    net.run_until("a leader", Duration::from_secs(10), |net| {
        !net.leaders().is_empty()
    });
    let leader = net.leaders()[0];
    assert_eq!(net.leased(), None);
    net.read_at(leader, 9);
    assert!(!net.read.contains(&9));
    net.run_until("the read", Duration::from_secs(1), |net| {
        net.read.contains(&9)
    });
    net.assert_sound();
}

#[test]
fn full_disk() {
    // Callers see writes refused as not run, and reads served. The leader's
    // disk is full; it hands over, and the next leader takes writes.
    let mut net = Net::new(3, 7, Faults::default());
    net.commit(1);
    let old = net.settle_leader();
    net.event(old, ReplicaEvent::DiskFull(true));
    net.run(Duration::from_millis(50));
    net.commit(2);
    assert_ne!(net.settle_leader(), old);
    // With every disk full there is nobody to hand over to.
    let new = net.settle_leader();
    for id in [1, 2, 3].into_iter().filter(|&id| id != new) {
        net.event(id, ReplicaEvent::DiskFull(true));
    }
    net.run(Duration::from_secs(1));
    net.event(new, ReplicaEvent::DiskFull(true));
    net.propose(new, 3);
    assert_eq!(net.rejected.get(&3), Some(&Rejection::Full));
    net.read_at(new, 4);
    assert!(net.read.contains(&4));
    for id in 1..=3 {
        net.event(id, ReplicaEvent::DiskFull(false));
    }
    net.commit(3);
    net.run(Duration::from_secs(2));
    assert!(net.is_level());
    net.assert_sound();
}
