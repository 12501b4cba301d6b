//! Elections: there is one leader, and no healthy leader is deposed.

#[path = "group/net.rs"]
mod net;

use std::time::Duration;

use net::Net;
use sesamebeam_core::replica::Faults;

#[test]
fn first_leader() {
    for voters in [1, 3, 5] {
        let mut net = Net::new(voters, 1, Faults::default());
        let leader = net.wait_for_leader();
        net.commit(1);
        net.run(Duration::from_secs(1));
        assert!(net.all_applied_equal());
        assert_eq!(net.leaders(), [leader]);
        net.assert_no_violations();
    }
}

#[test]
fn leader_killed() {
    // The leader crashes. The others miss its heartbeats and elect a new one after
    // a short outage; acknowledged entries are kept.
    let mut net = Net::new(3, 2, Faults::default());
    net.commit(1);
    let first = net.wait_for_leader();
    net.crash(first);
    net.commit(2);
    assert_ne!(net.wait_for_leader(), first);
    net.start(first);
    net.commit(3);
    net.run(Duration::from_secs(2));
    assert!(net.all_applied_equal());
    net.assert_no_violations();
}

/// Isolates a leader for an hour of simulated time, then heals the network. Returns
/// the network, the old leader and the new one.
fn isolate_for_hour(faults: Faults) -> (Net, u64, u64) {
    let mut net = Net::new(3, 3, faults);
    net.commit(1);
    let old = net.wait_for_leader();
    net.isolate(old);
    net.run(Duration::from_secs(20));
    net.commit(2);
    let new = net.wait_for_leader();
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
    // A partitioned leader that returns after an hour must not depose its
    // successor. Its pre-votes failed, so its term did not increase and it becomes
    // a follower.
    let (mut net, old, new) = isolate_for_hour(Faults::default());
    assert_eq!(net.leaders(), [new]);
    assert_eq!(net.leader_changes, 0);
    net.commit(3);
    net.run(Duration::from_secs(2));
    assert_eq!(net.replica(old).leader(), Some(new));
    assert!(net.all_applied_equal());
    net.assert_no_violations();
}

#[test]
fn isolated_hour_without_pre_vote() {
    // Without pre-votes, the partitioned replica raises its term repeatedly, and
    // the healthy leader is deposed by the higher term.
    let faults = Faults {
        no_pre_vote: true,
        ..Faults::default()
    };
    let (net, _, _) = isolate_for_hour(faults);
    assert!(net.leader_changes > 0);
}

#[test]
fn takeover_time() {
    // A new leader is elected within a few leases after the old one crashes. Run
    // with `--nocapture` for the figures.
    let mut times = Vec::new();
    for seed in 0..200 {
        let mut net = Net::new(3, seed, Faults::default());
        net.commit(1);
        let old = net.wait_for_leader();
        net.run(Duration::from_millis(seed * 7 % 200));
        net.crash(old);
        let crashed_at = net.now;
        net.wait_for_leader();
        times.push((net.now - crashed_at).div_duration_f64(net::LEASE));
        net.assert_no_violations();
    }
    times.sort_by(f64::total_cmp);
    let (p50, p99, max) = (times[100], times[198], times[199]);
    println!("takeover in leases: p50 {p50:.2}, p99 {p99:.2}, most {max:.2}");
    assert!(p50 < 1.6 && max < 4.0);
}

#[test]
fn restart_time() {
    // After all replicas crashed at once, no request is served until one leads.
    // Replicas start at slightly different times, so the first ones request
    // pre-votes while the last are still bound by their promises. A pre-candidate
    // that did not retry would wait for another full election timeout.
    let mut times = Vec::new();
    for seed in 0..200 {
        let mut net = Net::new(5, seed, Faults::default());
        net.commit(1);
        net.run(Duration::from_millis(seed * 7 % 200));
        (1..=5).for_each(|id| net.crash(id));
        let start_interval = net::LEASE / 50;
        for id in 1..=5 {
            net.run(start_interval);
            net.start(id);
        }
        let started = net.now;
        net.wait_for_leader();
        times.push((net.now - started).div_duration_f64(net::LEASE));
        net.assert_no_violations();
    }
    times.sort_by(f64::total_cmp);
    let (p50, p99, max) = (times[100], times[198], times[199]);
    println!("restart in leases: p50 {p50:.2}, p99 {p99:.2}, most {max:.2}");
    assert!(p50 < 1.1 && p99 < 1.3);
}
