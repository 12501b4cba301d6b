//! Permanent loss of replicas, and the processes that replace them.

use std::collections::BTreeSet;

use sesamebeam_core::{
    gateway::{
        coordinator::{
            ApiRequest,
            ApiResponse,
            Event, //
        },
        directory::{
            Announcement,
            ServerState, //
        },
        leader_discovery::LeaderDiscovery,
        messages::{
            MembershipReply,
            MembershipRequest, //
        },
        store::Document,
    },
    ids::NodeId,
    replica::{
        Members,
        SavedState, //
    },
};
use yare::parameterized;

use crate::{
    fixtures::{
        announcement,
        leave_request,
        ms, //
    },
    group::{
        Group,
        listen_addr, //
    },
};

fn draining() -> Announcement {
    Announcement {
        state: ServerState::Draining,
        ..announcement(7)
    }
}

fn apply(version: u64) -> ApiRequest {
    ApiRequest::Apply(Document {
        version,
        bytes: format!("text {version}").into(),
    })
}

/// Makes a new process send join requests until it is a member.
fn join(group: &mut Group, node: NodeId, at: NodeId) {
    group.boot(node, Members::default(), SavedState::default());
    group.listen_at(node, at);
    for _ in 0..40 {
        let leader = group.new_leader(None);
        group.request_membership(
            leader,
            MembershipRequest::Join {
                node,
                incarnation: u128::from(node),
                addr: listen_addr(at),
                domain: format!("hall-{at}").into(),
            },
        );
        group.run(250);
        if group.processes[&node].core.is_member() {
            group.run(1000);
            return;
        }
    }
    panic!("process {node} was not admitted");
}

#[test]
fn replacement_at_another_address() {
    // A replica is lost permanently and an empty process starts at another address. It
    // replaces the silent replica, and the group survives one more failure.
    let mut group = Group::start(3, 1);
    let leader = group.new_leader(None);
    assert_eq!(group.request(leader, apply(1)), ApiResponse::Done);
    let gone = (1..=3)
        .find(|&n| n != leader)
        .expect("there are three replicas");
    group.kill(gone);
    join(&mut group, 8, 8);
    let other = (1..=3)
        .find(|&n| n != leader && n != gone)
        .expect("a third replica");
    group.kill(other);
    let leader = group.new_leader(None);
    assert_eq!(group.request(leader, apply(2)), ApiResponse::Done);
}

#[test]
fn empty_disk() {
    // A replica loses its disk and restarts at its address. Under its old id it could vote
    // for a log that lacks entries it has acknowledged, so it joins as a new replica, and
    // nothing acknowledged is lost.
    let mut group = Group::start(3, 1);
    let leader = group.new_leader(None);
    assert_eq!(group.request(leader, apply(1)), ApiResponse::Done);
    group.kill(leader);
    join(&mut group, 7, leader);
    let other = (1..=3).find(|&n| n != leader && group.leader() != Some(n));
    group.kill(other.expect("a third replica"));
    let leader = group.new_leader(None);
    let response = group.request(leader, ApiRequest::ReadConfig);
    assert_eq!(response, ApiResponse::Config("text 1".into()));
}

#[test]
fn standby_waits_for_a_vacancy() {
    // A process asks to join while all replicas are alive. It is admitted only after one of
    // them has been silent for long enough.
    let mut group = Group::start(3, 1);
    let leader = group.new_leader(None);
    group.run(500);
    let request = MembershipRequest::Join {
        node: 8,
        incarnation: 8,
        addr: listen_addr(8),
        domain: "hall-8".into(),
    };
    group.boot(8, Members::default(), SavedState::default());
    let reply = group.request_membership(leader, request.clone());
    assert!(
        matches!(reply, MembershipReply::Group { leads: true, .. }),
        "{reply:?}"
    );
    let gone = (1..=3)
        .find(|&n| n != leader)
        .expect("there are three replicas");
    group.kill(gone);
    group.run(2500);
    let leader = group.new_leader(None);
    assert_eq!(
        group.request_membership(leader, request),
        MembershipReply::Joining
    );
}

#[test]
fn grows_to_five() {
    // Three seeds form the group. It has to survive two failures at once, so two more
    // processes become voters.
    let mut group = Group::start(3, 2);
    group.new_leader(None);
    join(&mut group, 4, 4);
    join(&mut group, 5, 5);
    group.run(1000);
    group.kill(1);
    group.kill(2);
    let leader = group.new_leader(None);
    assert_eq!(group.request(leader, apply(1)), ApiResponse::Done);
    assert!(group.now > ms(0));
}

/// Makes processes send join requests every 300 ms until there are five voters. They send
/// them simultaneously or spread over the interval.
fn request_until_full(group: &mut Group, candidates: &[(NodeId, &str)], at_once: bool) {
    for &(node, _) in candidates {
        if !group.processes.contains_key(&node) {
            group.boot(node, Members::default(), SavedState::default());
        }
    }
    for round in 0..20 {
        for &(node, domain) in candidates {
            let leader = group.new_leader(None);
            let request = MembershipRequest::Join {
                node,
                incarnation: u128::from(node),
                addr: listen_addr(node),
                domain: domain.into(),
            };
            group.request_membership(leader, request);
            if !at_once {
                group.run(300 / candidates.len() as u64);
            }
        }
        if at_once {
            group.run(300);
        }
        let leader = group.new_leader(None);
        if group.processes[&leader].core.peers().addrs().len() == 5 {
            return;
        }
        assert!(round < 19, "there are not five voters yet");
    }
}

/// Returns which of the processes that asked are members.
fn admitted(group: &Group, candidates: &[(NodeId, &str)]) -> Vec<NodeId> {
    let requests = candidates.iter().map(|&(node, _)| node);
    requests
        .filter(|node| group.processes[node].core.is_member())
        .collect()
}

#[test]
fn spread_over_domains() {
    // If the first processes to ask were admitted, one failure domain would hold a quorum.
    let mut group = Group::start(3, 2);
    group.new_leader(None);
    for (from, to) in (1..=3).flat_map(|a| (1..=3).map(move |b| (a, b))) {
        if from != to {
            group.event(from, Event::PeerConnected(to));
        }
    }
    group.run(100);
    let candidates = [
        (10, "hall-1"),
        (11, "hall-1"),
        (12, "hall-1"),
        (14, "hall-4"),
        (15, "hall-5"),
    ];
    request_until_full(&mut group, &candidates, false);
    group.run(1_000);
    assert_eq!(admitted(&group, &candidates), [14, 15]);
}

#[parameterized(
    new_config = { apply(3) },
    config_read = { ApiRequest::ReadConfig },
    leaves = { leave_request("server-7") },
    drains = { ApiRequest::Announce(draining()) },
)]
fn standby_redirects_to_the_leader(request: ApiRequest) {
    // Callers of a standby process must be redirected to the leader, not rejected without a
    // hint.
    let mut group = Group::start(3, 1);
    let leader = group.new_leader(None);
    group.boot(8, Members::default(), SavedState::default());
    assert_eq!(group.request(8, request.clone()), ApiResponse::Unavailable);
    let now = group.now;
    let standby = group.processes.get_mut(&8).expect("the process is running");
    standby.core.learn_leader(now, listen_addr(leader));
    assert_eq!(
        group.request(8, request.clone()),
        ApiResponse::Leader(listen_addr(leader))
    );
    // The leader may have changed by now.
    group.run(1_500);
    assert_eq!(group.request(8, request), ApiResponse::Unavailable);
}

#[parameterized(two = { 2 }, fleet = { 20 }, two_fleets = { 45 })]
fn standbys_ask_only_the_leader(standbys: usize) {
    // A standby process must not ask every replica and seed in every round.
    let replicas: BTreeSet<_> = (1..=8).map(listen_addr).collect();
    let mut discoveries = vec![LeaderDiscovery::default(); standbys];
    let mut round = |leader: Option<NodeId>| {
        let mut requests = 0;
        for discovery in &mut discoveries {
            for addr in discovery.targets(replicas.clone()) {
                requests += 1;
                let is_up = leader != Some(1) || addr != listen_addr(2);
                let leads = leader.map(|node| addr == listen_addr(node));
                discovery.record_reply(addr, leads.filter(|_| is_up));
            }
        }
        requests
    };
    assert_eq!(round(Some(2)), 8 * standbys);
    assert_eq!(round(Some(2)), standbys);
    // The leader is lost, and another one is found.
    assert_eq!(round(Some(1)), standbys);
    assert_eq!(round(Some(1)), 8 * standbys);
    assert_eq!(round(Some(1)), standbys);
}

#[test]
fn slow_join() {
    // While one process is still joining, another one from the same failure domain must not
    // be admitted in its place.
    let mut group = Group::start(3, 2);
    let leader = group.new_leader(None);
    group.run(100);
    let candidates = [(20, "hall-4"), (21, "hall-4"), (30, "hall-5")];
    group.boot(20, Members::default(), SavedState::default());
    group.isolate(20);
    let request = MembershipRequest::Join {
        node: 20,
        incarnation: 20,
        addr: listen_addr(20),
        domain: "hall-4".into(),
    };
    group.request_membership(leader, request);
    group.run(300);
    group.heal();
    request_until_full(&mut group, &candidates, true);
    group.run(1_000);
    assert_eq!(admitted(&group, &candidates), [20, 30]);
}

#[test]
fn vacancies_filled_from_one_domain() {
    // Vacancies that only one failure domain asks for must still be filled.
    let mut group = Group::start(3, 2);
    group.new_leader(None);
    let candidates = [(10, "hall-1"), (11, "hall-1")];
    request_until_full(&mut group, &candidates, false);
    group.run(1_000);
    assert_eq!(admitted(&group, &candidates), [10, 11]);
}

#[test]
fn replaced_while_down() {
    // A replica is away for so long that a standby process replaces it. When it returns, it
    // is told so, leaves the group, and becomes a standby itself under another id.
    let mut group = Group::start(3, 1);
    let leader = group.new_leader(None);
    assert_eq!(group.request(leader, apply(1)), ApiResponse::Done);
    let stopped = (1..=3)
        .find(|&n| n != leader)
        .expect("there are three replicas");
    let disk = group.kill(stopped);
    join(&mut group, 8, 8);
    group.restart(stopped, disk);
    group.run(1000);
    let leader = group.new_leader(None);
    let MembershipReply::Group {
        replicas, leads, ..
    } = group.request_membership(leader, MembershipRequest::Group)
    else {
        panic!("the group exists");
    };
    assert!(leads && replicas.iter().all(|(n, _)| *n != stopped));
    let process = group
        .processes
        .get_mut(&stopped)
        .expect("the process is running");
    process.core.leave();
    assert!(!process.core.is_member());
    assert_eq!(process.core.store().config(), None);
    group.kill(stopped);
    let other = (1..=3).find(|&n| n != leader && n != stopped);
    group.kill(other.expect("a third replica"));
    join(&mut group, 9, stopped);
    let leader = group.new_leader(None);
    let response = group.request(leader, ApiRequest::ReadConfig);
    assert_eq!(response, ApiResponse::Config("text 1".into()));
}
