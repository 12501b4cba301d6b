//! Seed processes that are no longer members of the group.

use std::collections::BTreeSet;

use sesamebeam_core::{
    gateway::{
        coordinator::Event,
        messages::ToEntry, //
    },
    ids::NodeId,
};

use crate::group::{
    Group,
    listen_addr, //
};

/// Number of the entry in these tests.
const ENTRY: u64 = 50;

/// Delivers the queued messages to their receivers.
fn deliver(group: &mut Group) {
    while let Some((to, told)) = group.membership_requests.pop_front() {
        let node = (1..=9)
            .find(|&n| listen_addr(n) == to)
            .expect("it is known");
        if group.processes.contains_key(&node) {
            group.request_membership(node, told);
        }
    }
}

fn name_seeds(group: &mut Group, nodes: impl IntoIterator<Item = NodeId>) {
    let seeds: BTreeSet<_> = nodes.into_iter().map(listen_addr).collect();
    let processes: Vec<NodeId> = group.processes.keys().copied().collect();
    for node in processes {
        group.event(node, Event::Seeds(seeds.clone()));
    }
}

#[test]
fn seeds_without_state() {
    // All processes lose power. The members are 1 to 3. The configured seeds, 7 to 9, are
    // no longer members and restart with empty disks. A starting entry asks only the
    // seeds, so they have to learn the members from the group, which they can't find by
    // themselves.
    let mut group = Group::start(3, 1);
    group.new_leader(None);
    let disks: Vec<_> = (1..=3).map(|n| (n, group.kill(n))).collect();
    for (node, disk) in disks {
        group.restart(node, disk);
    }
    (7..=9).for_each(|node| group.start_empty(node));
    name_seeds(&mut group, 7..=9);
    group.event(8, Event::EntryConnected(ENTRY));
    group.new_leader(None);
    group.run(700);
    deliver(&mut group);
    let members: Vec<_> = (1..=3).map(listen_addr).collect();
    let told = group.pushed.iter().filter(|(node, _)| *node == 8);
    let last = told.filter_map(|(_, push)| match push {
        ToEntry::Fleet { replicas, .. } => Some(replicas.clone()),
        _ => None,
    });
    assert_eq!(last.last(), Some(members));
}

#[test]
fn member_seeds_not_notified() {
    // Seeds that are members learn the group from the log. Notifying them as well would
    // cost the leader permanent connections.
    let mut group = Group::start(3, 1);
    name_seeds(&mut group, 1..=3);
    group.new_leader(None);
    group.run(2000);
    assert!(
        group.membership_requests.is_empty(),
        "{:?}",
        group.membership_requests
    );
}

#[test]
fn isolated_leader_silent() {
    // A leader behind a network partition no longer knows the current members. Its
    // messages could send entries to processes that have left.
    let mut group = Group::start(3, 1);
    let leader = group.new_leader(None);
    group.isolate(leader);
    group.run(600);
    group.membership_requests.clear();
    group.event(leader, Event::Seeds(BTreeSet::from([listen_addr(9)])));
    let before = group.membership_requests.len();
    group.event(leader, Event::Tick);
    assert_eq!(group.membership_requests.len(), before);
}
