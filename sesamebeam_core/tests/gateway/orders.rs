//! Configurations and roll-outs through the group.

use sesamebeam_core::gateway::{
    coordinator::{
        Answer,
        Call,
        Event, //
    },
    directory::{
        Announcement,
        ServerState, //
    },
    feed::{
        Age,
        Evidence,
        Held,
        Report,
        ToEntry, //
    },
    loads::ServerLoad,
    rollout::Phase,
    store::Document, //
};

use sesamebeam_core::{
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
        Process,
        listens, //
    },
    make::{
        announcement,
        leave,
        ms, //
    },
};

fn apply(version: u64, text: &str) -> Call {
    Call::Apply(Document {
        version,
        bytes: text.to_owned().into(),
    })
}

/// Has an entry with nothing follow a replica.
fn follow(group: &mut Group, node: NodeId) {
    group.event(node, Event::Subscribed(9));
    group.event(node, Event::Follows(9, Held::default()));
    group.run(100);
}

fn read(group: &mut Group) -> Answer {
    let leader = group.new_leader(None);
    group.ask(leader, Call::ReadConfig)
}

#[test]
fn highest_wins() {
    let mut group = Group::start(3, 1);
    let leader = group.new_leader(None);
    assert_eq!(group.ask(leader, apply(5, "five")), Answer::Done);
    assert_eq!(group.ask(leader, apply(4, "four")), Answer::Done);
    assert_eq!(group.ask(leader, apply(5, "other")), Answer::Done);
    assert_eq!(read(&mut group), Answer::Config("five".into()));
}

#[test]
fn lost_acknowledgement() {
    // The operator's acknowledgement is lost, the leader dies, and the same
    // order comes again at another replica, which must not refuse it.
    let mut group = Group::start(3, 1);
    let leader = group.new_leader(None);
    assert_eq!(group.ask(leader, apply(5, "five")), Answer::Done);
    group.kill(leader);
    let next = group.new_leader(None);
    assert_eq!(group.ask(next, apply(5, "five")), Answer::Done);
    assert_eq!(read(&mut group), Answer::Config("five".into()));
}

#[test]
fn elsewhere() {
    let mut group = Group::start(3, 1);
    let leader = group.new_leader(None);
    group.run(200);
    let follower = (1..=3).find(|&n| n != leader).expect("there are three");
    let answer = group.ask(follower, apply(5, "five"));
    assert_eq!(answer, Answer::Leader(listens(leader)));
}

#[test]
fn cut_off_reader() {
    // The leader is cut off and does not know it; the others elect another, and
    // a newer configuration is acknowledged there. What the first one says
    // about the newest configuration must not be the old one.
    let mut group = Group::start(3, 1);
    let old = group.new_leader(None);
    assert_eq!(group.ask(old, apply(5, "five")), Answer::Done);
    group.isolate(old);
    let new = group.new_leader(Some(old));
    assert_eq!(group.ask(new, apply(6, "six")), Answer::Done);
    let answer = group.ask(old, Call::ReadConfig);
    assert_eq!(answer, Answer::Unavailable);
}

#[test]
fn suspended_leader() {
    // The leader is suspended with a lease in hand; another is elected and
    // acknowledges a newer configuration. When the first one wakes up, its
    // clock shows the time that has passed, and it answers nothing old.
    let mut group = Group::start(3, 1);
    let old = group.new_leader(None);
    assert_eq!(group.ask(old, apply(5, "five")), Answer::Done);
    group.processes.get_mut(&old).expect("it runs").suspended = true;
    let new = group.new_leader(Some(old));
    assert_eq!(group.ask(new, apply(6, "six")), Answer::Done);
    group.processes.get_mut(&old).expect("it runs").suspended = false;
    let answer = group.ask(old, Call::ReadConfig);
    assert_ne!(answer, Answer::Config("five".into()));
}

#[test]
fn all_restart() {
    // All replicas go down at once right after an acknowledgement and come back
    // with their disks.
    let mut group = Group::start(3, 1);
    let leader = group.new_leader(None);
    for version in 1..=50 {
        let order = apply(version, &format!("text {version}"));
        assert_eq!(group.ask(leader, order), Answer::Done);
    }
    let disks: Vec<_> = (1..=3).map(|node| (node, group.kill(node))).collect();
    group.run(500);
    for (node, disk) in disks {
        group.restart(node, disk);
    }
    assert_eq!(read(&mut group), Answer::Config("text 50".into()));
}

#[test]
fn stalled_disk() {
    // The leader's disk stops answering. It can acknowledge nothing new, so
    // that another replica has to lead; that one commits without it.
    let mut group = Group::start(3, 1);
    let old = group.new_leader(None);
    group.processes.get_mut(&old).expect("it runs").stalled = true;
    group.call(old, apply(5, "five"));
    let new = group.new_leader(Some(old));
    assert_eq!(group.ask(new, apply(6, "six")), Answer::Done);
    group.processes.get_mut(&old).expect("it runs").stalled = false;
    group.run(2000);
    assert_eq!(read(&mut group), Answer::Config("six".into()));
}

#[test]
fn entries_are_told() {
    let mut group = Group::start(3, 1);
    let leader = group.new_leader(None);
    follow(&mut group, 2);
    group.pushed.clear();
    assert_eq!(group.ask(leader, apply(5, "five")), Answer::Done);
    group.run(200);
    let told = group.pushed.iter().any(|(node, push)| {
        *node == 2 && matches!(push, ToEntry::State { config: Some(c), .. } if c.version == 5)
    });
    assert!(told, "{:?}", group.pushed);
}

#[test]
fn leaving_server() {
    // A backend server says at one replica that it leaves. It is answered once
    // another replica has told its entries as well.
    let mut group = Group::start(3, 1);
    group.new_leader(None);
    assert_eq!(group.ask(1, Call::Announce(announcement(1))), Answer::Done);
    group.run(50);
    let mut leaving = announcement(1);
    leaving.state = ServerState::Draining;
    leaving.sequence = 2;
    assert_eq!(group.ask(1, Call::Announce(leaving)), Answer::Done);
    let knows = |node| {
        let known = group.processes[&node].core.directory().get("server-1");
        known.map(|k| k.said.state)
    };
    assert_eq!(knows(1), Some(ServerState::Draining));
    assert!(
        [2, 3]
            .iter()
            .any(|&n| knows(n) == Some(ServerState::Draining))
    );
}

#[test]
fn leaving_while_cut_off() {
    // The same at a replica that is cut off: entries that hear the others only
    // would go on sending work, so that it must not say yes.
    let mut group = Group::start(3, 1);
    group.new_leader(None);
    assert_eq!(group.ask(1, Call::Announce(announcement(1))), Answer::Done);
    group.run(50);
    group.isolate(1);
    let answer = group.ask(1, leave("server-1"));
    assert_eq!(answer, Answer::Unavailable);
}

#[test]
fn roll_out_again() {
    let mut group = Group::start(3, 1);
    let leader = group.new_leader(None);
    let order = Call::StartRollout {
        service: "pool".into(),
        target: "v2".into(),
        duration: ms(10_000),
    };
    assert_eq!(group.ask(leader, order.clone()), Answer::Done);
    group.kill(leader);
    let next = group.new_leader(None);
    assert_eq!(group.ask(next, order), Answer::Done);
    let Answer::Rollout(rollout) = group.ask(next, Call::ReadRollout("pool".into())) else {
        panic!("there is a roll-out");
    };
    assert_eq!(rollout.target, "v2");
}

#[test]
fn cut_heals() {
    // A replica misses changes while it is cut off. When the cut has healed it
    // has them all, and its entries are told the newest configuration.
    let mut group = Group::start(3, 1);
    let leader = group.new_leader(None);
    let away = (1..=3).find(|&n| n != leader).expect("there are three");
    group.isolate(away);
    for version in 1..=60 {
        let order = apply(version, &format!("text {version}"));
        assert_eq!(group.ask(leader, order), Answer::Done);
    }
    group.heal();
    group.run(3000);
    let held = group.processes[&away].core.store().config();
    assert_eq!(held.map(|c| c.version), Some(60));
}

#[test]
fn roll_out_goes_on_after_a_restart() {
    // All replicas are killed in the middle of a roll-out. They have kept that it
    // runs, not since when; entries tell, and it ends when it should.
    let mut group = Group::start(3, 1);
    let leader = group.new_leader(None);
    let order = Call::StartRollout {
        service: "pool".into(),
        target: "v2".into(),
        duration: ms(20_000),
    };
    assert_eq!(group.ask(leader, order), Answer::Done);
    group.run(12_000);
    let disks: Vec<_> = (1..=3).map(|node| (node, group.kill(node))).collect();
    for (node, disk) in disks {
        group.restart(node, disk);
    }
    for node in 1..=3 {
        let age = Age {
            service: "pool".into(),
            target: "v2".into(),
            age: ms(12_000),
        };
        let report = Report {
            ages: vec![age],
            ..Report::default()
        };
        group.event(node, Event::Reported(report));
        let good = Evidence {
            service: "pool".into(),
            version: "v2".into(),
            good: 9,
            ..Evidence::default()
        };
        group.run(400);
        let report = Report {
            evidence: vec![good],
            ..Report::default()
        };
        group.event(node, Event::Reported(report));
    }
    group.run(7000);
    let leader = group.new_leader(None);
    let Answer::Rollout(rollout) = group.ask(leader, Call::ReadRollout("pool".into())) else {
        panic!("there is a roll-out");
    };
    assert_eq!(rollout.phase, Phase::Completed);
}

#[test]
fn loads_told() {
    // What entries have heard of loads, each from a few backend servers and told
    // to one replica each, comes back to each in one report of the replica that
    // it follows. One that is cut off with its side of the group hears of the
    // loads there.
    let mut group = Group::start(3, 1);
    let leader = group.new_leader(None);
    let asked = leader % 3 + 1;
    let cut_off = asked % 3 + 1;
    group.isolate(cut_off);
    follow(&mut group, asked);
    follow(&mut group, cut_off);
    group.pushed.clear();
    for node in 1..=3 {
        let heard = ServerLoad {
            server: node as u32,
            running: 7,
            waiting: 0,
            prefill_ms: 0,
        };
        let report = Report {
            loads: vec![heard],
            ..Report::default()
        };
        group.event(node, Event::Reported(report));
    }
    group.run(300);
    let told = |at: NodeId| {
        let told = group.pushed.iter().filter_map(|(node, push)| match push {
            ToEntry::Loads { loads, .. } if *node == at => Some(loads.len()),
            _ => None,
        });
        told.sum::<usize>()
    };
    assert_eq!((told(asked), told(cut_off)), (2, 1), "{:?}", group.pushed);
}

#[test]
fn announced_to_nobody() {
    // Engines stand unused for good after a restart. They announce themselves to
    // a replica that has no connection to the others yet; to it their next
    // announcement is no news, and nobody else hears of them.
    let mut group = Group::start(3, 1);
    group.new_leader(None);
    group.isolate(2);
    let said = announcement(5);
    assert_eq!(group.ask(2, Call::Announce(said)), Answer::Done);
    group.run(100);
    group.heal();
    group.event(2, Event::Reached(1));
    group.run(50);
    assert!(
        group.processes[&1]
            .core
            .directory()
            .get("server-5")
            .is_some()
    );
}

#[parameterized(few = { 3 }, many = { 13 })]
fn told_once_at_a_start(replicas: u64) {
    // A replica that starts was told of all backend servers by each of the others.
    const SERVERS: u8 = 200;
    let mut group = Group::start(replicas, 1);
    group.new_leader(None);
    for node in 2..=replicas {
        let all = (0..SERVERS).map(announcement).collect();
        group.event(node, Event::Servers(all));
    }
    group.run(100);
    group.servers_told.clear();
    for other in 2..=replicas {
        group.event(1, Event::Reached(other));
        group.event(other, Event::Reached(1));
    }
    group.run(2_000);
    let known = group.processes[&1].core.directory().count();
    assert_eq!(known, usize::from(SERVERS));
    let told = group.servers_told.values().sum::<usize>();
    assert!(told <= 2 * usize::from(SERVERS), "{told}");
}

#[test]
fn reserve_tells_what_it_heard() {
    // Members cannot ask a process in reserve for what was announced to it alone.
    let mut group = Group::start(3, 1);
    group.new_leader(None);
    group.boot(8, Members::default(), SavedState::default());
    group.isolate(8);
    assert_eq!(group.ask(8, Call::Announce(announcement(5))), Answer::Done);
    group.run(100);
    group.heal();
    group.event(8, Event::Reached(2));
    group.run(1_000);
    let known = group.processes[&2].core.directory();
    assert!(known.get("server-5").is_some());
}

#[test]
fn differing_is_made_up() {
    // Each replica knows a backend server that the others lack when connections come.
    let mut group = Group::start(5, 1);
    group.new_leader(None);
    for node in 1..=5 {
        group.event(node, Event::Servers(vec![announcement(node as u8)]));
    }
    for (from, to) in (1..=5).flat_map(|a| (1..=5).map(move |b| (a, b))) {
        if from != to {
            group.event(from, Event::Reached(to));
        }
    }
    group.run(2_000);
    let known = |p: &Process| p.core.directory().count();
    assert!(group.processes.values().all(|p| known(p) == 5));
}

#[test]
fn leaving_server_unknown_here() {
    // A replica has just started, or was never told of a backend server, which
    // says by its id alone that it leaves. Entries that hear the other replicas
    // know it and go on sending work, so that they have to be told.
    let mut group = Group::start(3, 1);
    group.new_leader(None);
    follow(&mut group, 2);
    group.event(2, Event::Servers(vec![announcement(1)]));
    group.run(50);
    group.pushed.clear();
    assert_eq!(group.ask(1, leave("server-1")), Answer::Done);
    group.run(50);
    let told = group.pushed.iter().any(|(node, push)| {
        let ToEntry::Servers(servers) = push else {
            return false;
        };
        let gone = |s: &Announcement| s.id == "server-1" && s.state == ServerState::Gone;
        *node == 2 && servers.iter().any(gone)
    });
    assert!(told, "{:?}", group.pushed);
}

#[test]
fn leaving_server_at_a_reserve() {
    // The same at a process that has no place in the group: nobody hears what it
    // knows, so that it must not say yes.
    let mut group = Group::start(3, 1);
    group.new_leader(None);
    group.boot(8, Members::default(), SavedState::default());
    let answer = group.ask(8, leave("server-1"));
    assert_eq!(answer, Answer::Unavailable);
}

#[test]
fn log_told_as_one() {
    // All replicas start anew and apply their logs at once. Entries hear of the
    // newest configuration and of none before it: with an older one in force they
    // would refuse callers whose keys came later.
    let mut group = Group::start(3, 1);
    let leader = group.new_leader(None);
    for version in 1..=6 {
        assert_eq!(group.ask(leader, apply(version, "text")), Answer::Done);
    }
    let disks: Vec<_> = (1..=3).map(|n| (n, group.kill(n))).collect();
    group.pushed.clear();
    for (node, disk) in disks {
        group.restart(node, disk);
        follow(&mut group, node);
    }
    group.new_leader(None);
    group.run(1000);
    let states = group.pushed.iter().filter(|(_, push)| {
        matches!(
            push,
            ToEntry::State {
                config: Some(_),
                ..
            }
        )
    });
    assert!(states.count() >= 3, "{:?}", group.pushed);
    for (node, push) in &group.pushed {
        if let ToEntry::State {
            config: Some(c),
            current,
            ..
        } = push
        {
            assert_eq!((c.version, *current), (6, true), "replica {node}");
        }
    }
}
