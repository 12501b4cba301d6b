//! Elections: one leader, and none deposed without need.

#[path = "group/net.rs"]
mod net;

use std::time::Duration;

use net::Net;
use sesamebeam_core::replica::Faults;

#[test]
fn first_leader() {
    for voters in [1, 3, 5] {
        let mut net = Net::new(voters, 1, Faults::default());
        let leader = net.settle_leader();
        net.commit(1);
        net.run(Duration::from_secs(1));
        assert!(net.is_level());
        assert_eq!(net.leaders(), [leader]);
        net.assert_sound();
    }
}

#[test]
fn leader_killed() {
    // Callers see a short pause. The leader dies, the others miss its
    // heartbeats, one asks for pre-votes and wins. What was acknowledged stays.
    let mut net = Net::new(3, 2, Faults::default());
    net.commit(1);
    let first = net.settle_leader();
    net.crash(first);
    net.commit(2);
    assert_ne!(net.settle_leader(), first);
    net.start(first);
    net.commit(3);
    net.run(Duration::from_secs(2));
    assert!(net.is_level());
    net.assert_sound();
}

/// Isolates a leader for an hour of virtual time and lets it return. Returns
/// the network, the leader before and the one that leads by then.
fn isolate_hour(faults: Faults) -> (Net, u64, u64) {
    let mut net = Net::new(3, 3, faults);
    net.commit(1);
    let old = net.settle_leader();
    net.isolate(old);
    net.run(Duration::from_secs(20));
    net.commit(2);
    let new = net.settle_leader();
    assert_ne!(new, old);
    net.run(Duration::from_secs(3600));
    let changes = net.leader_changes;
    net.heal();
    net.run(Duration::from_secs(10));
    net.leader_changes -= changes;
    (net, old, new)
}

#[test]
fn isolated_hour() {
    // Operators see one leader throughout. A leader is cut off silently, the
    // others elect a new one; after an hour the old one returns. It asked for
    // pre-votes in vain and so has not raised its term: it follows.
    let (mut net, old, new) = isolate_hour(Faults::default());
    assert_eq!(net.leaders(), [new]);
    assert_eq!(net.leader_changes, 0);
    net.commit(3);
    net.run(Duration::from_secs(2));
    assert_eq!(net.replica(old).leader(), Some(new));
    assert!(net.is_level());
    net.assert_sound();
}

#[test]
fn isolated_hour_unasked() {
    // The same without pre-votes: the cut-off replica raised its term again and
    // again, and the healthy leader falls when it meets that term.
    let faults = Faults {
        no_pre_vote: true,
        ..Faults::default()
    };
    let (net, _, _) = isolate_hour(faults);
    assert!(net.leader_changes > 0);
}

#[test]
fn takeover_time() {
    // Operators see a new leader within a few leases of the old one's death.
    // Run with `--nocapture` for the figures.
    let mut times = Vec::new();
    for seed in 0..200 {
        let mut net = Net::new(3, seed, Faults::default());
        net.commit(1);
        let old = net.settle_leader();
        net.run(Duration::from_millis(seed * 7 % 200));
        net.crash(old);
        let died = net.now;
        net.settle_leader();
        times.push((net.now - died).div_duration_f64(net::LEASE));
        net.assert_sound();
    }
    times.sort_by(f64::total_cmp);
    let (p50, p99, most) = (times[100], times[198], times[199]);
    println!("takeover in leases: p50 {p50:.2}, p99 {p99:.2}, most {most:.2}");
    assert!(p50 < 1.6 && most < 4.0);
}

#[test]
fn restart_time() {
    // Nobody is served after all replicas went down at once until one leads.
    // They start a little apart, so that the first ones ask for pre-votes while
    // the last are still bound by their promises; these asked once and waited.
    let mut times = Vec::new();
    for seed in 0..200 {
        let mut net = Net::new(5, seed, Faults::default());
        net.commit(1);
        net.run(Duration::from_millis(seed * 7 % 200));
        (1..=5).for_each(|id| net.crash(id));
        let apart = net::LEASE / 50;
        for id in 1..=5 {
            net.run(apart);
            net.start(id);
        }
        let started = net.now;
        net.settle_leader();
        times.push((net.now - started).div_duration_f64(net::LEASE));
        net.assert_sound();
    }
    times.sort_by(f64::total_cmp);
    let (p50, p99, most) = (times[100], times[198], times[199]);
    println!("restart in leases: p50 {p50:.2}, p99 {p99:.2}, most {most:.2}");
    assert!(p50 < 1.1 && p99 < 1.3);
}
