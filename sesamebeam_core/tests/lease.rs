//! Leases: no replica serves reads once another may have been elected.

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

/// Isolates the leader and keeps reading from it while the others elect a new
/// leader that commits entries.
fn read_at_isolated_leader(faults: Faults) -> Net {
    let mut net = Net::new(3, 4, faults);
    net.commit(1);
    let old = net.wait_for_leader();
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
    // An isolated leader must not serve stale reads. Its lease expires before the
    // others can elect a new leader; reads after that are not completed.
    let net = read_at_isolated_leader(Faults::default());
    assert!(net.acked.len() > 1);
    net.assert_no_violations();
}

#[test]
fn stale_reads_without_lease_check() {
    // Without the lease check, the isolated leader serves reads from a state that
    // lacks entries acknowledged by the new leader.
    let net = read_at_isolated_leader(Faults {
        serve_after_lease: true,
        ..Faults::default()
    });
    assert!(net.has_violation(|v| matches!(v, Violation::StaleRead(_))));
}

/// Isolates the leader with its clock slow and the others' clocks fast, both by the
/// drift bound, for many seeds.
fn run_with_drift(faults: Faults) -> Vec<Violation> {
    let mut violations = Vec::new();
    for seed in 0..40 {
        let mut net = Net::with(3, seed, faults, |cfg| {
            // Allows the earliest election that the lease permits.
            cfg.heartbeat_interval = Duration::from_millis(20);
            cfg.snapshot_every = 1_000_000;
        });
        net.conditions.delay = Duration::from_micros(10);
        net.conditions.sync = Duration::from_micros(10);
        let leader = net.wait_for_leader();
        for (&id, node) in &mut net.nodes {
            node.rate = if id == leader {
                1.0 - DRIFT
            } else {
                1.0 + DRIFT
            };
        }
        net.run(Duration::from_secs(5));
        let leader = net.wait_for_leader();
        net.isolate(leader);
        run_until_election(&mut net, leader);
        violations.extend(net.violations);
    }
    violations
}

/// Runs in small steps until another replica is elected, and checks the leases at
/// each step.
fn run_until_election(net: &mut Net, leader: u64) {
    let limit = net.now + Duration::from_secs(3);
    while net.now < limit && net.leaders() == [leader] {
        net.run(Duration::from_micros(500));
    }
    net.run(Duration::from_millis(50));
}

#[test]
fn drifting_clocks() {
    // The leader's clock is slow and the others' are fast, both by the drift bound.
    // The lease is shortened by the margin for both, so it expires before the
    // others' promises, however early they start an election.
    assert_eq!(run_with_drift(Faults::default()), []);
}

#[test]
fn drifting_clocks_without_margin() {
    // Without the margin, two replicas briefly hold a lease at once.
    let violations = run_with_drift(Faults {
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

/// Disconnects the link between the leader and one follower, which then starts
/// elections repeatedly while the other follower still has a leader.
fn cut_link_to_follower(faults: Faults) -> Net {
    let mut net = Net::new(3, 5, faults);
    net.commit(1);
    let leader = net.wait_for_leader();
    let cut_off = net.nodes.keys().copied().find(|&id| id != leader).unwrap();
    net.cut_links.insert((leader, cut_off));
    net.cut_links.insert((cut_off, leader));
    net.run(Duration::from_secs(20));
    net
}

#[test]
fn one_link_cut() {
    // One follower loses contact with the leader and starts elections. The other is
    // in contact with the leader and ignores them, so there is no leader change.
    let net = cut_link_to_follower(Faults::default());
    assert_eq!(net.leader_changes, 1);
    net.assert_no_violations();
}

#[test]
fn one_link_cut_without_vote_block() {
    // If followers vote during a lease, the partitioned follower wins while the leader
    // still holds its lease.
    let net = cut_link_to_follower(Faults {
        vote_during_lease: true,
        ..Faults::default()
    });
    assert!(net.has_violation(|v| matches!(v, Violation::TwoLeases(..))));
}

/// Restarts a follower repeatedly while it is bound by its promise to the leader.
/// The third replica is partitioned from the leader and starts elections.
fn restart_voter(faults: Faults) -> Vec<Violation> {
    let mut violations = Vec::new();
    for seed in 0..40 {
        let mut net = Net::with(3, seed, faults, |cfg| {
            cfg.heartbeat_interval = Duration::from_millis(100);
        });
        net.commit(1);
        let leader = net.wait_for_leader();
        let others: Vec<u64> = net
            .nodes
            .keys()
            .copied()
            .filter(|&id| id != leader)
            .collect();
        let (voter, cut_off) = (others[0], others[1]);
        net.cut_links.insert((leader, cut_off));
        net.cut_links.insert((cut_off, leader));
        for _ in 0..30 {
            net.run(Duration::from_millis(97));
            net.crash(voter);
            net.start(voter);
        }
        violations.extend(net.violations);
    }
    violations
}

#[test]
fn vote_block_after_restart() {
    // A restart loses the promise not to vote. The follower waits for a full lease
    // before it votes, so that no other replica wins during the leader's lease.
    assert_eq!(restart_voter(Faults::default()), []);
}

#[test]
fn vote_during_lease_after_restart() {
    // A follower that votes right after its restart elects a second leader during
    // the lease.
    let violations = restart_voter(Faults {
        no_vote_block: true,
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
    // A read right after an election, before any heartbeat response, waits for the
    // round that confirms the leader and completes then.
    let mut net = Net::new(3, 6, Faults::default());
    net.run_until("a leader", Duration::from_secs(10), |net| {
        !net.leaders().is_empty()
    });
    let leader = net.leaders()[0];
    assert_eq!(net.lease_holder(), None);
    net.read_at(leader, 9);
    assert!(!net.completed_reads.contains(&9));
    net.run_until("the completed read", Duration::from_secs(1), |net| {
        net.completed_reads.contains(&9)
    });
    net.assert_no_violations();
}

#[test]
fn full_disk() {
    // A leader with a full disk transfers leadership, and the next leader accepts
    // writes. If all disks are full, writes are rejected and reads are still
    // served.
    let mut net = Net::new(3, 7, Faults::default());
    net.commit(1);
    let old = net.wait_for_leader();
    net.event(old, ReplicaEvent::DiskFull(true));
    net.run(Duration::from_millis(50));
    net.commit(2);
    assert_ne!(net.wait_for_leader(), old);
    // With every disk full, no replica can take over.
    let new = net.wait_for_leader();
    for id in [1, 2, 3].into_iter().filter(|&id| id != new) {
        net.event(id, ReplicaEvent::DiskFull(true));
    }
    net.run(Duration::from_secs(1));
    net.event(new, ReplicaEvent::DiskFull(true));
    net.propose(new, 3);
    assert_eq!(net.rejected.get(&3), Some(&Rejection::Full));
    net.read_at(new, 4);
    assert!(net.completed_reads.contains(&4));
    for id in 1..=3 {
        net.event(id, ReplicaEvent::DiskFull(false));
    }
    net.commit(3);
    net.run(Duration::from_secs(2));
    assert!(net.all_applied_equal());
    net.assert_no_violations();
}
