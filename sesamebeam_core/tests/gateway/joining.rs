//! Replicas that are lost for good, and those that take their places.

use std::collections::BTreeSet;

use sesamebeam_core::{
    gateway::{
        coordinator::{
            Answer,
            Call,
            Event, //
        },
        directory::{
            Announcement,
            ServerState, //
        },
        enquiry::Enquiry,
        feed::{
            Question,
            Reply, //
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
    group::{
        Group,
        listens, //
    },
    make::{
        announcement,
        leave,
        ms, //
    },
};

fn draining() -> Announcement {
    Announcement {
        state: ServerState::Draining,
        ..announcement(7)
    }
}

fn apply(version: u64) -> Call {
    Call::Apply(Document {
        version,
        bytes: format!("text {version}").into(),
    })
}

/// Has a new process ask for a place until it is a member.
fn join(group: &mut Group, node: NodeId, at: NodeId) {
    group.boot(node, Members::default(), SavedState::default());
    for _ in 0..40 {
        let leader = group.new_leader(None);
        group.question(
            leader,
            Question::Join {
                node,
                incarnation: u128::from(node),
                addr: listens(at),
                domain: format!("hall-{at}").into(),
            },
        );
        group.run(250);
        if group.processes[&node].core.is_member() {
            group.run(1000);
            return;
        }
    }
    panic!("process {node} got no place");
}

#[test]
fn another_address() {
    // A replica is gone for good and an empty one comes at another address. It
    // takes the place of the silent one, and the group bears one more loss.
    let mut group = Group::start(3, 1);
    let leader = group.new_leader(None);
    assert_eq!(group.ask(leader, apply(1)), Answer::Done);
    let gone = (1..=3).find(|&n| n != leader).expect("there are three");
    group.kill(gone);
    join(&mut group, 8, 8);
    let other = (1..=3)
        .find(|&n| n != leader && n != gone)
        .expect("one more");
    group.kill(other);
    let leader = group.new_leader(None);
    assert_eq!(group.ask(leader, apply(2)), Answer::Done);
}

#[test]
fn empty_disk() {
    // A replica loses its disk and comes back at its address. Under its old
    // number it could vote for a log that lacks what it acknowledged; it comes
    // back as another replica, and what was acknowledged is still there.
    let mut group = Group::start(3, 1);
    let leader = group.new_leader(None);
    assert_eq!(group.ask(leader, apply(1)), Answer::Done);
    group.kill(leader);
    join(&mut group, 7, leader);
    let other = (1..=3).find(|&n| n != leader && group.leader() != Some(n));
    group.kill(other.expect("one more"));
    let leader = group.new_leader(None);
    let answer = group.ask(leader, Call::ReadConfig);
    assert_eq!(answer, Answer::Config("text 1".into()));
}

#[test]
fn reserve_waits() {
    // A process asks for a place while all replicas live. It gets none until
    // one has been silent for long.
    let mut group = Group::start(3, 1);
    let leader = group.new_leader(None);
    group.run(500);
    let question = Question::Join {
        node: 8,
        incarnation: 8,
        addr: listens(8),
        domain: "hall-8".into(),
    };
    group.boot(8, Members::default(), SavedState::default());
    let reply = group.question(leader, question.clone());
    assert!(
        matches!(reply, Reply::Group { leads: true, .. }),
        "{reply:?}"
    );
    let gone = (1..=3).find(|&n| n != leader).expect("there are three");
    group.kill(gone);
    group.run(2500);
    let leader = group.new_leader(None);
    assert_eq!(group.question(leader, question), Reply::Joining);
}

#[test]
fn grows_to_five() {
    // Three seeds form the group; two losses at once are to be borne, so that
    // two more processes become voters.
    let mut group = Group::start(3, 2);
    group.new_leader(None);
    join(&mut group, 4, 4);
    join(&mut group, 5, 5);
    group.run(1000);
    group.kill(1);
    group.kill(2);
    let leader = group.new_leader(None);
    assert_eq!(group.ask(leader, apply(1)), Answer::Done);
    assert!(group.now > ms(0));
}

/// Has processes ask for a place, each again after 300 ms, until there are five voters.
/// They ask at once or spread over that time.
fn ask(group: &mut Group, asking: &[(NodeId, &str)], at_once: bool) {
    for &(node, _) in asking {
        if !group.processes.contains_key(&node) {
            group.boot(node, Members::default(), SavedState::default());
        }
    }
    for round in 0..20 {
        for &(node, domain) in asking {
            let leader = group.new_leader(None);
            let question = Question::Join {
                node,
                incarnation: u128::from(node),
                addr: listens(node),
                domain: domain.into(),
            };
            group.question(leader, question);
            if !at_once {
                group.run(300 / asking.len() as u64);
            }
        }
        if at_once {
            group.run(300);
        }
        let leader = group.new_leader(None);
        if group.processes[&leader].core.peers().addrs().len() == 5 {
            return;
        }
        assert!(round < 19, "no five voters");
    }
}

/// Returns the processes, of those that asked, that have a place.
fn placed(group: &Group, asking: &[(NodeId, &str)]) -> Vec<NodeId> {
    let asked = asking.iter().map(|&(node, _)| node);
    asked
        .filter(|node| group.processes[node].core.is_member())
        .collect()
}

#[test]
fn spread_over_domains() {
    // The first to ask got the free places, and one failure domain held a quorum.
    let mut group = Group::start(3, 2);
    group.new_leader(None);
    for (from, to) in (1..=3).flat_map(|a| (1..=3).map(move |b| (a, b))) {
        if from != to {
            group.event(from, Event::Reached(to));
        }
    }
    group.run(100);
    let asking = [
        (10, "hall-1"),
        (11, "hall-1"),
        (12, "hall-1"),
        (14, "hall-4"),
        (15, "hall-5"),
    ];
    ask(&mut group, &asking, false);
    group.run(1_000);
    assert_eq!(placed(&group, &asking), [14, 15]);
}

#[parameterized(
    new_config = { apply(3) },
    config_read = { Call::ReadConfig },
    leaves = { leave("server-7") },
    drains = { Call::Announce(draining()) },
)]
fn reserve_names_the_leader(call: Call) {
    // Callers of a process in reserve were sent away without a hint where to go.
    let mut group = Group::start(3, 1);
    let leader = group.new_leader(None);
    group.boot(8, Members::default(), SavedState::default());
    assert_eq!(group.ask(8, call.clone()), Answer::Unavailable);
    let now = group.now;
    let reserve = group.processes.get_mut(&8).expect("it runs");
    reserve.core.learn_leader(now, listens(leader));
    assert_eq!(group.ask(8, call.clone()), Answer::Leader(listens(leader)));
    // There may be another leader by now.
    group.run(1_500);
    assert_eq!(group.ask(8, call), Answer::Unavailable);
}

#[parameterized(two = { 2 }, fleet = { 20 }, two_fleets = { 45 })]
fn reserves_ask_the_leader(reserves: usize) {
    // Each process in reserve asked every replica and seed in every round.
    let replicas: BTreeSet<_> = (1..=8).map(listens).collect();
    let mut enquiries = vec![Enquiry::default(); reserves];
    let mut round = |leader: Option<NodeId>| {
        let mut asked = 0;
        for enquiry in &mut enquiries {
            for addr in enquiry.targets(replicas.clone()) {
                asked += 1;
                let is_up = leader != Some(1) || addr != listens(2);
                let leads = leader.map(|node| addr == listens(node));
                enquiry.answered(addr, leads.filter(|_| is_up));
            }
        }
        asked
    };
    assert_eq!(round(Some(2)), 8 * reserves);
    assert_eq!(round(Some(2)), reserves);
    // The leader is lost, and another one is found.
    assert_eq!(round(Some(1)), reserves);
    assert_eq!(round(Some(1)), 8 * reserves);
    assert_eq!(round(Some(1)), reserves);
}

#[test]
fn slow_to_join() {
    // While one process was let in, another of its domain was taken for the first.
    let mut group = Group::start(3, 2);
    let leader = group.new_leader(None);
    group.run(100);
    let asking = [(20, "hall-4"), (21, "hall-4"), (30, "hall-5")];
    group.boot(20, Members::default(), SavedState::default());
    group.isolate(20);
    let question = Question::Join {
        node: 20,
        incarnation: 20,
        addr: listens(20),
        domain: "hall-4".into(),
    };
    group.question(leader, question);
    group.run(300);
    group.heal();
    ask(&mut group, &asking, true);
    group.run(1_000);
    assert_eq!(placed(&group, &asking), [20, 30]);
}

#[test]
fn one_domain_asks() {
    // Places that only one failure domain asks for must not stay free.
    let mut group = Group::start(3, 2);
    group.new_leader(None);
    let asking = [(10, "hall-1"), (11, "hall-1")];
    ask(&mut group, &asking, false);
    group.run(1_000);
    assert_eq!(placed(&group, &asking), [10, 11]);
}

#[test]
fn replaced_while_away() {
    // A replica is away for so long that a process in reserve gets its place.
    // When it comes back it is told so, gives its place up, and serves as a
    // reserve under another number in its turn.
    let mut group = Group::start(3, 1);
    let leader = group.new_leader(None);
    assert_eq!(group.ask(leader, apply(1)), Answer::Done);
    let away = (1..=3).find(|&n| n != leader).expect("there are three");
    let disk = group.kill(away);
    join(&mut group, 8, 8);
    group.restart(away, disk);
    group.run(1000);
    let leader = group.new_leader(None);
    let Reply::Group {
        replicas, leads, ..
    } = group.question(leader, Question::Group)
    else {
        panic!("there is a group");
    };
    assert!(leads && replicas.iter().all(|(n, _)| *n != away));
    let process = group.processes.get_mut(&away).expect("it runs");
    process.core.leave();
    assert!(!process.core.is_member());
    assert_eq!(process.core.store().config(), None);
    group.kill(away);
    let other = (1..=3).find(|&n| n != leader && n != away);
    group.kill(other.expect("one more"));
    join(&mut group, 9, away);
    let leader = group.new_leader(None);
    let answer = group.ask(leader, Call::ReadConfig);
    assert_eq!(answer, Answer::Config("text 1".into()));
}
