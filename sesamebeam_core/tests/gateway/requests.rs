//! Configurations, rollouts and announcements in a group of replicas.

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
        loads::ServerLoad,
        messages::{
            Evidence,
            Report,
            RolloutAge,
            SyncState,
            ToEntry, //
        },
        rollout::Phase,
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
        Process,
        listen_addr, //
    },
};

fn apply(version: u64, text: &str) -> ApiRequest {
    ApiRequest::Apply(Document {
        version,
        bytes: text.to_owned().into(),
    })
}

/// Makes an entry without any state follow a replica.
fn follow(group: &mut Group, node: NodeId) {
    group.event(node, Event::EntryConnected(9));
    group.event(node, Event::EntryFollows(9, SyncState::default()));
    group.run(100);
}

fn read(group: &mut Group) -> ApiResponse {
    let leader = group.new_leader(None);
    group.request(leader, ApiRequest::ReadConfig)
}

#[test]
fn highest_version_wins() {
    let mut group = Group::start(3, 1);
    let leader = group.new_leader(None);
    assert_eq!(group.request(leader, apply(5, "five")), ApiResponse::Done);
    assert_eq!(group.request(leader, apply(4, "four")), ApiResponse::Done);
    assert_eq!(group.request(leader, apply(5, "other")), ApiResponse::Done);
    assert_eq!(read(&mut group), ApiResponse::Config("five".into()));
}

#[test]
fn lost_acknowledgement() {
    // The acknowledgement to the operator is lost, the leader crashes, and the same order
    // is sent again to another replica, which must accept it.
    let mut group = Group::start(3, 1);
    let leader = group.new_leader(None);
    assert_eq!(group.request(leader, apply(5, "five")), ApiResponse::Done);
    group.kill(leader);
    let new_leader = group.new_leader(None);
    assert_eq!(
        group.request(new_leader, apply(5, "five")),
        ApiResponse::Done
    );
    assert_eq!(read(&mut group), ApiResponse::Config("five".into()));
}

#[test]
fn redirects_to_the_leader() {
    let mut group = Group::start(3, 1);
    let leader = group.new_leader(None);
    group.run(200);
    let follower = (1..=3)
        .find(|&n| n != leader)
        .expect("there are three replicas");
    let response = group.request(follower, apply(5, "five"));
    assert_eq!(response, ApiResponse::Leader(listen_addr(leader)));
}

#[test]
fn partitioned_leader_does_not_answer_reads() {
    // The leader is partitioned from the group without noticing. The others elect a new
    // leader, which acknowledges a newer configuration. The old leader must not return the
    // old configuration as the newest one.
    let mut group = Group::start(3, 1);
    let old = group.new_leader(None);
    assert_eq!(group.request(old, apply(5, "five")), ApiResponse::Done);
    group.isolate(old);
    let new = group.new_leader(Some(old));
    assert_eq!(group.request(new, apply(6, "six")), ApiResponse::Done);
    let response = group.request(old, ApiRequest::ReadConfig);
    assert_eq!(response, ApiResponse::Unavailable);
}

#[test]
fn suspended_leader() {
    // The leader is suspended while it holds a lease. Another one is elected and
    // acknowledges a newer configuration. When the old leader resumes, its clock shows the
    // elapsed time, and it must not return the old configuration.
    let mut group = Group::start(3, 1);
    let old = group.new_leader(None);
    assert_eq!(group.request(old, apply(5, "five")), ApiResponse::Done);
    group
        .processes
        .get_mut(&old)
        .expect("the process is running")
        .suspended = true;
    let new = group.new_leader(Some(old));
    assert_eq!(group.request(new, apply(6, "six")), ApiResponse::Done);
    group
        .processes
        .get_mut(&old)
        .expect("the process is running")
        .suspended = false;
    let response = group.request(old, ApiRequest::ReadConfig);
    assert_ne!(response, ApiResponse::Config("five".into()));
}

#[test]
fn all_replicas_restart() {
    // All replicas stop right after an acknowledgement and restart with their disks.
    let mut group = Group::start(3, 1);
    let leader = group.new_leader(None);
    for version in 1..=50 {
        let request = apply(version, &format!("text {version}"));
        assert_eq!(group.request(leader, request), ApiResponse::Done);
    }
    let disks: Vec<_> = (1..=3).map(|node| (node, group.kill(node))).collect();
    group.run(500);
    for (node, disk) in disks {
        group.restart(node, disk);
    }
    assert_eq!(read(&mut group), ApiResponse::Config("text 50".into()));
}

#[test]
fn stalled_disk() {
    // The leader's disk stalls, so the leader cannot acknowledge anything new. Another
    // replica has to take over, which can commit without that disk.
    let mut group = Group::start(3, 1);
    let old = group.new_leader(None);
    group
        .processes
        .get_mut(&old)
        .expect("the process is running")
        .stalled = true;
    group.send_request(old, apply(5, "five"));
    let new = group.new_leader(Some(old));
    assert_eq!(group.request(new, apply(6, "six")), ApiResponse::Done);
    group
        .processes
        .get_mut(&old)
        .expect("the process is running")
        .stalled = false;
    group.run(2000);
    assert_eq!(read(&mut group), ApiResponse::Config("six".into()));
}

#[test]
fn entries_receive_configuration() {
    let mut group = Group::start(3, 1);
    let leader = group.new_leader(None);
    follow(&mut group, 2);
    group.pushed.clear();
    assert_eq!(group.request(leader, apply(5, "five")), ApiResponse::Done);
    group.run(200);
    let received = group.pushed.iter().any(|(node, push)| {
        *node == 2 && matches!(push, ToEntry::State { config: Some(c), .. } if c.version == 5)
    });
    assert!(received, "{:?}", group.pushed);
}

#[test]
fn leaving_server() {
    // A backend server tells one replica that it is leaving. The response is sent once
    // another replica has forwarded the announcement to its entries as well.
    let mut group = Group::start(3, 1);
    group.new_leader(None);
    assert_eq!(
        group.request(1, ApiRequest::Announce(announcement(1))),
        ApiResponse::Done
    );
    group.run(50);
    let mut leaving = announcement(1);
    leaving.state = ServerState::Draining;
    leaving.sequence = 2;
    assert_eq!(
        group.request(1, ApiRequest::Announce(leaving)),
        ApiResponse::Done
    );
    let knows = |node| {
        let directory = group.processes[&node].core.directory().get("server-1");
        directory.map(|k| k.announcement.state)
    };
    assert_eq!(knows(1), Some(ServerState::Draining));
    assert!(
        [2, 3]
            .iter()
            .any(|&n| knows(n) == Some(ServerState::Draining))
    );
}

#[test]
fn leaving_server_at_a_partitioned_replica() {
    // The same at a partitioned replica: entries connected only to the other replicas would
    // keep sending requests, so it must not acknowledge.
    let mut group = Group::start(3, 1);
    group.new_leader(None);
    assert_eq!(
        group.request(1, ApiRequest::Announce(announcement(1))),
        ApiResponse::Done
    );
    group.run(50);
    group.isolate(1);
    let response = group.request(1, leave_request("server-1"));
    assert_eq!(response, ApiResponse::Unavailable);
}

#[test]
fn rollout_repeated() {
    let mut group = Group::start(3, 1);
    let leader = group.new_leader(None);
    let request = ApiRequest::StartRollout {
        service: "pool".into(),
        target: "v2".into(),
        duration: ms(10_000),
    };
    assert_eq!(group.request(leader, request.clone()), ApiResponse::Done);
    group.kill(leader);
    let new_leader = group.new_leader(None);
    assert_eq!(group.request(new_leader, request), ApiResponse::Done);
    let ApiResponse::Rollout(rollout) =
        group.request(new_leader, ApiRequest::ReadRollout("pool".into()))
    else {
        panic!("the rollout exists");
    };
    assert_eq!(rollout.target, "v2");
}

#[test]
fn catches_up_after_a_partition() {
    // A replica misses changes while it is partitioned from the group. Once the partition
    // has healed, it catches up.
    let mut group = Group::start(3, 1);
    let leader = group.new_leader(None);
    let away = (1..=3)
        .find(|&n| n != leader)
        .expect("there are three replicas");
    group.isolate(away);
    for version in 1..=60 {
        let request = apply(version, &format!("text {version}"));
        assert_eq!(group.request(leader, request), ApiResponse::Done);
    }
    group.heal();
    group.run(3000);
    let config = group.processes[&away].core.store().config();
    assert_eq!(config.map(|c| c.version), Some(60));
}

#[test]
fn rollout_continues_after_a_restart() {
    // All replicas are killed during a rollout. Their disks show that it is running, but
    // not since when; entries report its age, and it ends on time.
    let mut group = Group::start(3, 1);
    let leader = group.new_leader(None);
    let request = ApiRequest::StartRollout {
        service: "pool".into(),
        target: "v2".into(),
        duration: ms(20_000),
    };
    assert_eq!(group.request(leader, request), ApiResponse::Done);
    group.run(12_000);
    let disks: Vec<_> = (1..=3).map(|node| (node, group.kill(node))).collect();
    for (node, disk) in disks {
        group.restart(node, disk);
    }
    for node in 1..=3 {
        let age = RolloutAge {
            service: "pool".into(),
            target: "v2".into(),
            age: ms(12_000),
        };
        let report = Report {
            rollout_ages: vec![age],
            ..Report::default()
        };
        group.event(node, Event::EntryReported(report));
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
        group.event(node, Event::EntryReported(report));
    }
    group.run(7000);
    let leader = group.new_leader(None);
    let ApiResponse::Rollout(rollout) =
        group.request(leader, ApiRequest::ReadRollout("pool".into()))
    else {
        panic!("the rollout exists");
    };
    assert_eq!(rollout.phase, Phase::Completed);
}

#[test]
fn loads_are_forwarded() {
    // Loads reported by entries to different replicas are returned in a single update from
    // the replica that an entry follows. A partitioned replica only gets the loads from its
    // side.
    let mut group = Group::start(3, 1);
    let leader = group.new_leader(None);
    let followed = leader % 3 + 1;
    let isolated = followed % 3 + 1;
    group.isolate(isolated);
    follow(&mut group, followed);
    follow(&mut group, isolated);
    group.pushed.clear();
    for node in 1..=3 {
        let load = ServerLoad {
            server: node as u32,
            running: 7,
            waiting: 0,
            prefill_ms: 0,
            slowdown_percent: 0,
        };
        let report = Report {
            loads: vec![load],
            ..Report::default()
        };
        group.event(node, Event::EntryReported(report));
    }
    group.run(300);
    let received = |at: NodeId| {
        let received = group.pushed.iter().filter_map(|(node, push)| match push {
            ToEntry::Loads { loads, .. } if *node == at => Some(loads.len()),
            _ => None,
        });
        received.sum::<usize>()
    };
    assert_eq!(
        (received(followed), received(isolated)),
        (2, 1),
        "{:?}",
        group.pushed
    );
}

#[test]
fn announced_before_connections() {
    // A backend server announces itself to a replica that has no connection to the others
    // yet. Repeating the announcement there is not news, so without a comparison of
    // directories it is never forwarded, and the server stays unused permanently after a
    // restart.
    let mut group = Group::start(3, 1);
    group.new_leader(None);
    group.isolate(2);
    let server = announcement(5);
    assert_eq!(
        group.request(2, ApiRequest::Announce(server)),
        ApiResponse::Done
    );
    group.run(100);
    group.heal();
    group.event(2, Event::PeerConnected(1));
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
fn directory_sent_once_at_startup(replicas: u64) {
    // A replica that starts must not be sent all backend servers by each of the others.
    const SERVERS: u8 = 200;
    let mut group = Group::start(replicas, 1);
    group.new_leader(None);
    for node in 2..=replicas {
        let all = (0..SERVERS).map(announcement).collect();
        group.event(node, Event::Servers(all));
    }
    group.run(100);
    group.announcements_received.clear();
    for other in 2..=replicas {
        group.event(1, Event::PeerConnected(other));
        group.event(other, Event::PeerConnected(1));
    }
    group.run(2_000);
    let directory = group.processes[&1].core.directory().count();
    assert_eq!(directory, usize::from(SERVERS));
    let received = group.announcements_received.values().sum::<usize>();
    assert!(received <= 2 * usize::from(SERVERS), "{received}");
}

#[test]
fn standby_forwards_announcements() {
    // Members cannot ask a standby process for servers announced only to it.
    let mut group = Group::start(3, 1);
    group.new_leader(None);
    group.boot(8, Members::default(), SavedState::default());
    group.isolate(8);
    assert_eq!(
        group.request(8, ApiRequest::Announce(announcement(5))),
        ApiResponse::Done
    );
    group.run(100);
    group.heal();
    group.event(8, Event::PeerConnected(2));
    group.run(1_000);
    let directory = group.processes[&2].core.directory();
    assert!(directory.get("server-5").is_some());
}

#[test]
fn directories_converge() {
    // Each replica knows a backend server that the others lack when they connect.
    let mut group = Group::start(5, 1);
    group.new_leader(None);
    for node in 1..=5 {
        group.event(node, Event::Servers(vec![announcement(node as u8)]));
    }
    for (from, to) in (1..=5).flat_map(|a| (1..=5).map(move |b| (a, b))) {
        if from != to {
            group.event(from, Event::PeerConnected(to));
        }
    }
    group.run(2_000);
    let directory = |p: &Process| p.core.directory().count();
    assert!(group.processes.values().all(|p| directory(p) == 5));
}

#[test]
fn leaving_server_unknown_to_replica() {
    // A backend server leaves, identified by its id alone, at a replica that does not know
    // it because it has just started or was never told. Entries that follow other replicas
    // do know the server and would keep sending requests, so they have to be told.
    let mut group = Group::start(3, 1);
    group.new_leader(None);
    follow(&mut group, 2);
    group.event(2, Event::Servers(vec![announcement(1)]));
    group.run(50);
    group.pushed.clear();
    assert_eq!(
        group.request(1, leave_request("server-1")),
        ApiResponse::Done
    );
    group.run(50);
    let received = group.pushed.iter().any(|(node, push)| {
        let ToEntry::Servers(servers) = push else {
            return false;
        };
        let is_gone = |s: &Announcement| s.id == "server-1" && s.state == ServerState::Gone;
        *node == 2 && servers.iter().any(is_gone)
    });
    assert!(received, "{:?}", group.pushed);
}

#[test]
fn leaving_server_at_a_standby() {
    // The same at a standby process: it cannot inform anybody, so it must not acknowledge.
    let mut group = Group::start(3, 1);
    group.new_leader(None);
    group.boot(8, Members::default(), SavedState::default());
    let response = group.request(8, leave_request("server-1"));
    assert_eq!(response, ApiResponse::Unavailable);
}

#[test]
fn log_replay_published_once() {
    // All replicas restart and apply their logs at once. Entries must only receive the
    // newest configuration: with an older one they would reject callers whose keys were
    // added later.
    let mut group = Group::start(3, 1);
    let leader = group.new_leader(None);
    for version in 1..=6 {
        assert_eq!(
            group.request(leader, apply(version, "text")),
            ApiResponse::Done
        );
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
