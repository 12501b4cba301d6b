//! Snapshots, their transfer, and restarts from disk.

#[path = "group/net.rs"]
mod net;

use std::time::Duration;

use net::{
    Net,
    config, //
};
use sesamebeam_core::replica::{
    Entry,
    EntryBody,
    Faults,
    MemberChange,
    ReplicaEvent, //
};

/// Proposes many entries at the leader and waits until all are acknowledged.
fn commit_many(net: &mut Net, from: u64, to: u64) {
    let leader = net.wait_for_leader();
    for ticket in from..=to {
        net.propose(leader, ticket);
        if ticket % 100 == 0 {
            net.run(Duration::from_millis(10));
        }
    }
    net.run_until(
        "acknowledgement of all proposals",
        Duration::from_secs(60),
        |net| (from..=to).all(|ticket| net.acked.contains_key(&ticket)),
    );
}

#[test]
fn restarted_group() {
    // All replicas lose power at once after 10,000 entries, and recover without
    // loss from their snapshots and logs.
    let mut net = Net::new(3, 21, Faults::default());
    commit_many(&mut net, 1, 10_000);
    for id in 1..=3 {
        net.crash(id);
    }
    for id in 1..=3 {
        assert!(net.nodes[&id].disk.entries.len() < 2_500);
        net.start(id);
    }
    net.commit(10_001);
    net.run(Duration::from_secs(2));
    for node in net.nodes.values() {
        assert_eq!(node.state.len(), 10_001);
    }
    net.assert_no_violations();
}

#[test]
fn lagging_replica() {
    // A replica is isolated while the others take snapshots and compact away the
    // entries it needs. It receives a snapshot in chunks and catches up.
    let mut net = Net::new(3, 22, Faults::default());
    net.commit(1);
    let leader = net.wait_for_leader();
    let behind = if leader == 1 { 2 } else { 1 };
    net.isolate(behind);
    net.run(Duration::from_secs(10));
    commit_many(&mut net, 2, 5_000);
    net.heal();
    net.run(Duration::from_secs(5));
    assert!(net.all_applied_equal());
    assert_eq!(net.nodes[&behind].restored, 1);
    assert_eq!(net.nodes[&behind].state.len(), 5_000);
    net.assert_no_violations();
}

#[test]
fn lossy_transfer() {
    // Like `lagging_replica`, with chunks lost, duplicated and reordered, and a
    // crash of the receiver during the transfer.
    let mut net = Net::new(3, 23, Faults::default());
    net.commit(1);
    let leader = net.wait_for_leader();
    let behind = if leader == 1 { 2 } else { 1 };
    net.isolate(behind);
    net.run(Duration::from_secs(10));
    commit_many(&mut net, 2, 5_000);
    net.conditions.loss = 0.1;
    net.conditions.duplicate = 0.2;
    net.conditions.jitter = Duration::from_millis(5);
    net.heal();
    net.run(Duration::from_millis(500));
    net.crash(behind);
    net.start(behind);
    net.run_until("the snapshot transfer", Duration::from_secs(120), |net| {
        net.nodes[&behind].state.len() >= 5_000
    });
    net.assert_no_violations();
}

#[test]
fn learner_by_snapshot() {
    // A replacement with an empty disk starts from a snapshot, which includes the
    // membership, and then becomes a voter.
    let mut net = Net::new(3, 24, Faults::default());
    commit_many(&mut net, 1, 3_000);
    let leader = net.wait_for_leader();
    let old = if leader == 1 { 2 } else { 1 };
    net.crash(old);
    net.add(config(4, 400, 24, Faults::default()));
    let change = MemberChange::Replace {
        old,
        new: 4,
        incarnation: 400,
        addr: None,
    };
    net.change(leader, 9_000, change);
    net.run_until("the new voter", Duration::from_secs(30), |net| {
        net.replica(4).members().is_voter(4)
    });
    assert!(net.nodes[&4].restored >= 1);
    net.crash(leader);
    net.commit(3_001);
    net.assert_no_violations();
}

#[test]
fn large_entries() {
    // Guards against a disk that fills up with large entries because snapshots are taken by their
    // number alone, and against a log in memory that keeps them.
    const MAX_BYTES: usize = 64 << 10;
    let mut net = Net::with(3, 26, Faults::default(), |cfg| {
        cfg.snapshot_every_bytes = MAX_BYTES;
    });
    net.commit(1);
    let leader = net.wait_for_leader();
    for ticket in 2..120 {
        let data = vec![0; 4 << 10];
        net.event(leader, ReplicaEvent::Propose { ticket, data });
        net.run(Duration::from_millis(20));
    }
    net.run(Duration::from_secs(1));
    for node in net.nodes.values() {
        let bytes: usize = node.disk.entries.iter().map(data_bytes).sum();
        assert!(bytes <= 2 * MAX_BYTES, "{bytes} bytes on disk");
    }
    net.assert_no_violations();
}

fn data_bytes(entry: &Entry) -> usize {
    match &entry.body {
        EntryBody::Data(data) => data.len(),
        EntryBody::Noop | EntryBody::Members(_) => 0,
    }
}

#[test]
fn bounded_log() {
    // Snapshots bound the size of the log on disk.
    let mut net = Net::new(1, 25, Faults::default());
    commit_many(&mut net, 1, 20_000);
    net.run(Duration::from_secs(1));
    assert!(net.nodes[&1].disk.entries.len() < 2_000);
    net.assert_no_violations();
}
