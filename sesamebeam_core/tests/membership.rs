//! Membership changes and lost disks.

#[path = "group/net.rs"]
mod net;

use std::time::Duration;

use net::{
    ELECTION,
    Net,
    Violation,
    config, //
};
use sesamebeam_core::replica::{
    ChangeError,
    Faults,
    MemberChange,
    Members,
    Rejection, //
};

/// Ticket of the change under test.
const CHANGE: u64 = 900;

/// Commits an entry on the leader and one follower only, then loses that follower's
/// disk and crashes the leader. The third replica never had the entry.
fn lose_disk_of_holder(faults: Faults) -> Net {
    let mut net = Net::new(3, 11, faults);
    net.commit(1);
    let leader = net.wait_for_leader();
    let others: Vec<u64> = net
        .nodes
        .keys()
        .copied()
        .filter(|&id| id != leader)
        .collect();
    let (holder, behind) = (others[0], others[1]);
    net.isolate(behind);
    net.commit(2);
    net.lose_disk(holder);
    net.crash(leader);
    net.heal();
    net.start(holder);
    net.run(Duration::from_secs(30));
    for id in net.leaders() {
        net.propose(id, 3);
    }
    net.run(Duration::from_secs(5));
    net
}

#[test]
fn swapped_disk() {
    // A replica that returns under its old ID with an empty disk must not count
    // towards a quorum. It was the only one besides the leader with the last entry,
    // so no leader is elected until the old leader is back.
    let mut net = lose_disk_of_holder(Faults::default());
    assert_eq!(net.leaders(), []);
    net.assert_no_violations();
    let down = net.nodes.iter().find(|(_, n)| n.replica.is_none());
    let down = *down.unwrap().0;
    net.start(down);
    net.commit(4);
    net.assert_no_violations();
}

#[test]
fn swapped_disk_accepted() {
    // If the new disk counts under the old ID, it helps elect the replica that
    // never had the entry, and the entry is lost.
    let net = lose_disk_of_holder(Faults {
        accept_swapped_disk: true,
        ..Faults::default()
    });
    let lost = |v: &Violation| matches!(v, Violation::Lost(_) | Violation::Diverged(_));
    assert!(net.has_violation(lost));
}

/// Builds a change that replaces a replica, with the new one's incarnation.
fn replace(old: u64, new: u64) -> MemberChange {
    MemberChange::Replace {
        old,
        new,
        incarnation: u128::from(new) * 100,
        addr: None,
    }
}

/// Replaces a replica with a lost disk by replica 4 over a slow network with small
/// batches, and crashes a second replica as soon as the replacement is committed.
/// Returns whether a write then commits within 200 ms.
fn replace_then_fail(faults: Faults) -> (Net, bool) {
    let mut net = Net::with(3, 12, faults, |cfg| {
        cfg.max_batch_bytes = 40;
        cfg.snapshot_every = 10_000;
    });
    for ticket in 1..=300 {
        net.commit(ticket);
    }
    let leader = net.wait_for_leader();
    let others: Vec<u64> = net
        .nodes
        .keys()
        .copied()
        .filter(|&id| id != leader)
        .collect();
    net.lose_disk(others[0]);
    let mut cfg = config(4, 400, 12, faults);
    cfg.max_batch_bytes = 40;
    net.add(cfg);
    net.conditions.delay = Duration::from_millis(20);
    let change = replace(others[0], 4);
    net.change(leader, CHANGE, change);
    net.run_until("the replacement", Duration::from_secs(60), |net| {
        let members = net.replica(leader).members();
        members.is_voter(4) && members.get(others[0]).is_none()
    });
    net.run_until(
        "the commit of the replacement",
        Duration::from_secs(60),
        |net| net.replica(leader).committed() == net.replica(leader).last_index(),
    );
    net.crash(others[1]);
    net.propose(leader, 1_000);
    let limit = Duration::from_millis(200);
    let in_time = net.runs_until(limit, |net| net.acked.contains_key(&1_000));
    (net, in_time)
}

#[test]
fn second_failure() {
    // A second replica fails right after a replacement is reported complete. The
    // new replica became a voter only after it had caught up, so the remaining two
    // commit at once.
    let (mut net, in_time) = replace_then_fail(Faults::default());
    assert!(in_time);
    net.commit(1_001);
    net.assert_no_violations();
}

#[test]
fn second_failure_with_early_promotion() {
    // If the new replica votes at once, it still has to fetch the log when the
    // second replica fails, and writes stall.
    let (_, in_time) = replace_then_fail(Faults {
        promote_early: true,
        ..Faults::default()
    });
    assert!(!in_time);
}

/// Has replica 4 replace one that has just lost its disk, while entries are proposed all the
/// time. Returns whether it became a voter within 10 s.
fn replaced_under_load(change: impl Fn(&mut Net, u64)) -> (Net, bool) {
    let mut net = Net::new(3, 20, Faults::default());
    net.conditions.receive = Duration::from_millis(15);
    net.commit(1);
    let leader = net.wait_for_leader();
    let old = if leader == 1 { 2 } else { 1 };
    let mut ticket = 1_000;
    let mut propose = |net: &mut Net| {
        ticket += 1;
        net.propose(leader, ticket);
        net.run(Duration::from_millis(40));
    };
    (0..100).for_each(|_| propose(&mut net));
    net.lose_disk(old);
    net.add(config(4, 400, 20, Faults::default()));
    change(&mut net, old);
    net.change(leader, CHANGE, replace(old, 4));
    let is_replaced = |net: &Net| {
        let members = net.replica(leader).members();
        members.is_voter(4) && members.get(old).is_none()
    };
    let in_time = (0..250).any(|_| {
        propose(&mut net);
        is_replaced(&net)
    });
    net.assert_no_violations();
    (net, in_time)
}

#[test]
fn replacement_at_same_address() {
    // Guards against a lost replica that keeps its vote because its replacement listens at its
    // address, answers messages that are meant for it, and has its own progress reset by them.
    let (_, in_time) = replaced_under_load(|net, old| {
        net.taken_over.insert(old, 4);
    });
    assert!(in_time);
}

/// Sync time of a disk with which a replica stays behind a growing log by more than an election
/// timeout.
const SLOW_SYNC: Duration = Duration::from_millis(1200);

#[test]
fn slow_replacement() {
    // Guards against a lost replica that keeps its vote for as long as changes come, because its
    // replacement stays behind the end of the log by a constant time.
    let (mut net, in_time) = replaced_under_load(|net, _| {
        net.slow_disks.insert(4, SLOW_SYNC);
    });
    assert!(in_time);
    net.slow_disks.clear();
    net.run(Duration::from_secs(3));
    let leader = net.wait_for_leader();
    let other = (1..=3).find(|id| *id != leader && net.replica(leader).members().is_voter(*id));
    net.crash(other.expect("a second voter"));
    net.commit(2);
    net.assert_no_violations();
}

#[test]
fn live_replica_kept() {
    // Guards against a replacement that stays behind the log and costs the group a voter that
    // keeps up: without it, the loss of another one would stop all changes.
    let mut net = Net::new(3, 21, Faults::default());
    net.commit(1);
    let leader = net.wait_for_leader();
    let others: Vec<u64> = net
        .nodes
        .keys()
        .copied()
        .filter(|&id| id != leader)
        .collect();
    let (old, other) = (others[0], others[1]);
    net.add(config(4, 400, 21, Faults::default()));
    net.slow_disks.insert(4, SLOW_SYNC);
    net.change(leader, CHANGE, replace(old, 4));
    for ticket in 1_000..1_250 {
        net.propose(leader, ticket);
        net.run(Duration::from_millis(40));
        let members = net.replica(leader).members();
        assert!(members.is_voter(old) && !members.is_voter(4));
    }
    net.crash(other);
    net.propose(leader, 2_000);
    assert!(net.runs_until(ELECTION, |net| net.acked.contains_key(&2_000)));
    net.slow_disks.clear();
    net.run_until("the replacement", Duration::from_secs(60), |net| {
        net.replica(leader).members().is_voter(4)
    });
    net.assert_no_violations();
}

#[test]
fn leader_lost_after_replacement() {
    // The old leader crashes after a replacement. The new replica and the remaining
    // one have all acknowledged entries.
    let mut net = Net::new(3, 13, Faults::default());
    for ticket in 1..=50 {
        net.commit(ticket);
    }
    let leader = net.wait_for_leader();
    let old = if leader == 1 { 2 } else { 1 };
    net.lose_disk(old);
    net.start(old);
    net.add(config(4, 400, 13, Faults::default()));
    let change = replace(old, 4);
    net.change(leader, CHANGE, change);
    net.run_until("the replacement", Duration::from_secs(60), |net| {
        net.replica(4).members().is_voter(4) && net.changed.contains(&CHANGE)
    });
    net.crash(leader);
    net.commit(51);
    net.run(Duration::from_secs(2));
    assert_eq!(net.nodes[&4].state.len(), 51);
    net.assert_no_violations();
}

#[test]
fn replacement_resumed() {
    // The leader crashes in the middle of a replacement. The pending steps are
    // recorded in the membership, and the next leader completes them.
    let mut net = Net::new(5, 14, Faults::default());
    net.commit(1);
    let leader = net.wait_for_leader();
    let old = if leader == 1 { 2 } else { 1 };
    net.crash(old);
    let change = replace(old, 6);
    net.change(leader, CHANGE, change);
    net.run_until(
        "the commit of the first step",
        Duration::from_secs(5),
        |net| net.changed.contains(&CHANGE),
    );
    net.crash(leader);
    net.add(config(6, 600, 14, Faults::default()));
    net.run_until("the replacement", Duration::from_secs(60), |net| {
        let members = net.replica(6).members();
        members.is_voter(6) && members.get(old).is_none()
    });
    net.commit(2);
    net.assert_no_violations();
}

#[test]
fn repair_outlived() {
    // A replacement must not cost the group its quorum. One of five replicas is
    // isolated and being replaced; before its replacement has caught up, it is back
    // and two others crash. If it were removed first, only two of the four
    // remaining voters would be alive.
    let mut net = Net::new(5, 18, Faults::default());
    net.commit(1);
    let leader = net.wait_for_leader();
    let mut others = (1..=5).filter(|&id| id != leader);
    let [old, first, second] = [(); 3].map(|()| others.next().expect("a group of five"));
    net.isolate(old);
    let change = replace(old, 6);
    net.change(leader, CHANGE, change);
    net.run_until(
        "the commit of the first step",
        Duration::from_secs(5),
        |net| net.changed.contains(&CHANGE),
    );
    net.heal();
    net.run(Duration::from_secs(1));
    net.crash(first);
    net.crash(second);
    net.run(Duration::from_secs(1));
    net.add(config(6, 600, 18, Faults::default()));
    net.run_until("the replacement", Duration::from_secs(60), |net| {
        let members = net.replica(6).members();
        members.is_voter(6) && members.get(old).is_none()
    });
    net.commit(2);
    net.assert_no_violations();
}

#[test]
fn group_growth() {
    // A group that starts with one replica grows to three.
    let mut net = Net::new(1, 15, Faults::default());
    net.commit(1);
    for id in [2, 3] {
        net.add(config(id, u128::from(id) * 100, 15, Faults::default()));
        let change = MemberChange::Add {
            node: id,
            incarnation: u128::from(id) * 100,
            addr: None,
            promote: true,
        };
        net.change(1, CHANGE + id, change);
        net.run_until("the new voter", Duration::from_secs(30), |net| {
            net.replica(id).members().is_voter(id)
        });
        // One change at a time: the next has to wait for this one's commit.
        net.commit(id);
    }
    net.crash(1);
    net.commit(4);
    net.assert_no_violations();
}

#[test]
fn removed_leader() {
    // A removed leader transfers leadership and does not lead again.
    let mut net = Net::new(3, 16, Faults::default());
    net.commit(1);
    let old = net.wait_for_leader();
    net.change(old, CHANGE, MemberChange::Remove { node: old });
    net.run(Duration::from_millis(500));
    assert!(net.changed.contains(&CHANGE));
    let new = net.wait_for_leader();
    assert_ne!(new, old);
    net.commit(2);
    net.run(Duration::from_secs(20));
    assert_eq!(net.wait_for_leader(), new);
    net.assert_no_violations();
}

#[test]
fn refused_changes() {
    let mut net = Net::new(3, 17, Faults::default());
    net.commit(1);
    let leader = net.wait_for_leader();
    let add = |node| MemberChange::Add {
        node,
        incarnation: 1,
        addr: None,
        promote: false,
    };
    net.change(leader, 901, add(2));
    assert_eq!(net.rejected[&901], Rejection::Change(ChangeError::Used));
    net.change(leader, 902, MemberChange::Remove { node: 9 });
    assert_eq!(net.rejected[&902], Rejection::Change(ChangeError::Unknown));
    net.change(leader, 903, add(7));
    net.change(leader, 904, add(8));
    assert_eq!(net.rejected[&904], Rejection::Change(ChangeError::InFlight));
    net.run(Duration::from_secs(1));
    assert!(net.changed.contains(&903));
    net.change(leader, 905, MemberChange::Remove { node: 7 });
    net.run(Duration::from_secs(1));
    net.change(leader, 906, add(7));
    assert_eq!(net.rejected[&906], Rejection::Change(ChangeError::Used));
    net.assert_no_violations();
}

/// Isolates the leader with one follower from the other three replicas, and
/// requests the removal of all three from that leader at once.
fn request_overlapping_changes(faults: Faults) -> Net {
    let mut net = Net::new(5, 18, faults);
    net.commit(1);
    let old = net.wait_for_leader();
    let others: Vec<u64> = net.nodes.keys().copied().filter(|&id| id != old).collect();
    let (near, majority) = (others[0], others[1..].to_vec());
    for &b in &majority {
        for a in [old, near] {
            net.cut_links.insert((a, b));
            net.cut_links.insert((b, a));
        }
    }
    for (n, &node) in majority.iter().enumerate() {
        net.change(old, CHANGE + n as u64, MemberChange::Remove { node });
    }
    net.propose(old, 2);
    net.run(Duration::from_secs(20));
    for id in net.leaders() {
        for n in 0..10 {
            net.propose(id, 100 * id + n);
        }
    }
    net.run(Duration::from_secs(5));
    net
}

#[test]
fn overlapping_changes() {
    // The leader accepts one change at a time and cannot commit the first, so the
    // group does not split.
    let net = request_overlapping_changes(Faults::default());
    net.assert_no_violations();
}

#[test]
fn overlapping_changes_allowed() {
    // If overlapping changes are accepted, the leader removes all three at once and
    // commits with its one follower, while the three elect their own leader.
    let net = request_overlapping_changes(Faults {
        overlapping_changes: true,
        ..Faults::default()
    });
    let split = |v: &Violation| matches!(v, Violation::Lost(_) | Violation::Diverged(_));
    assert!(net.has_violation(split));
}

#[test]
fn replica_of_other_group() {
    // Messages from a replica of another group under a member's ID are ignored.
    let mut net = Net::new(3, 19, Faults::default());
    net.commit(1);
    let leader = net.wait_for_leader();
    let other = if leader == 1 { 2 } else { 1 };
    net.lose_disk(other);
    let node = net.nodes.get_mut(&other).unwrap();
    node.cfg.incarnation = u128::from(other) * 100;
    node.cfg.group = 8;
    node.cfg.members = Members::default();
    net.start(other);
    net.run(Duration::from_secs(5));
    assert_eq!(net.replica(other).last_index(), 0);
    net.assert_no_violations();
}
