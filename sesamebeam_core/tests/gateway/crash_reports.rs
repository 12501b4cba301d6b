//! Crashes that entries report to different control replicas.

use std::time::Duration;

use sesamebeam_core::{
    gateway::{
        coordinator::Event,
        directory::ServerIncarnation,
        messages::{
            Crash,
            FatalParts,
            PartAnswer,
            Report,
            SyncState,
            ToEntry, //
        },
        request::{
            AnswerProgress,
            AnswerStage,
            PartId, //
        },
    },
    ids::NodeId,
};

use crate::{
    fixtures::ms,
    group::Group, //
};

const FATAL: PartId = 3;

/// Time in which all entries must know what one replica has found out.
const TOLD_IN: u64 = 1000;

/// Time after which a verdict may be probed, in milliseconds.
const PROBED_AFTER: u64 = 20_000;

fn crash(number: u64) -> Report {
    let server = ServerIncarnation {
        id: format!("server-{number}").into(),
        started_at: 0,
    };
    let crash = Crash {
        fingerprint: number.into(),
        server,
        parts: vec![FATAL],
        stage: AnswerStage::Begun,
        sent: ms(50),
        round_trip: ms(1),
        age: Duration::ZERO,
    };
    Report {
        crashes: vec![crash],
        ..Report::default()
    }
}

/// Starts a group with an entry that follows each replica.
fn followed_group() -> Group {
    let mut group = Group::start(3, 1);
    group.new_leader(None);
    for node in 1..=3 {
        follow(&mut group, node);
    }
    group
}

fn follow(group: &mut Group, node: NodeId) {
    group.event(node, Event::EntryConnected(node));
    group.event(node, Event::EntryFollows(node, SyncState::default()));
}

/// Reports three crashes, each to another replica, and waits until all know of them.
fn find_fatal(group: &mut Group) {
    for node in 1..=3 {
        group.event(node, Event::EntryReported(crash(node)));
        group.run(100);
    }
    group.run(TOLD_IN - 100);
}

/// Returns what the followers of a replica were told last.
fn told(group: &Group, at: NodeId) -> Option<Vec<Vec<PartId>>> {
    let told = group
        .pushed
        .iter()
        .rev()
        .find_map(|(node, push)| match push {
            ToEntry::FatalParts { fatal, .. } if *node == at => Some(fatal),
            _ => None,
        });
    told.map(|fatal| fatal.iter().map(|f| f.parts.clone()).collect())
}

#[test]
fn all_entries_told() {
    // Guards against entries that go on because the crashes were reported to other replicas.
    let mut group = followed_group();
    find_fatal(&mut group);
    for node in 1..=3 {
        assert_eq!(
            told(&group, node),
            Some(vec![vec![FATAL]]),
            "replica {node}"
        );
    }
}

#[test]
fn replica_restarts_between() {
    // Guards against entries that go on because their replica had restarted between the crashes
    // that the others hold against a part.
    let mut group = followed_group();
    for number in 1..=2 {
        group.event(1, Event::EntryReported(crash(number)));
        group.run(300);
    }
    let disk = group.kill(3);
    group.run(100);
    group.restart(3, disk);
    group.run(TOLD_IN);
    follow(&mut group, 3);
    group.event(1, Event::EntryReported(crash(3)));
    group.run(TOLD_IN);
    for node in 1..=3 {
        assert_eq!(
            told(&group, node),
            Some(vec![vec![FATAL]]),
            "replica {node}"
        );
    }
}

#[test]
fn verdict_ends_everywhere() {
    // Guards against entries that refuse what another entry has an answer to.
    let mut group = followed_group();
    find_fatal(&mut group);
    let answer = PartAnswer {
        part: FATAL,
        progress: AnswerProgress::Complete,
        age: Duration::ZERO,
    };
    let report = Report {
        part_answers: vec![answer],
        ..Report::default()
    };
    group.event(2, Event::EntryReported(report));
    group.run(TOLD_IN);
    for node in 1..=3 {
        assert_eq!(told(&group, node), Some(vec![]), "replica {node}");
    }
}

#[test]
fn outlives_replicas() {
    // Guards against verdicts lost with the memory of the replicas, while entries keep them,
    // and against entries that start after that and are not told.
    let mut group = followed_group();
    find_fatal(&mut group);
    let disks: Vec<_> = (1..=3).map(|node| (node, group.kill(node))).collect();
    for (node, disk) in disks {
        group.restart(node, disk);
    }
    group.new_leader(None);
    let known = FatalParts {
        parts: vec![FATAL],
        crashes: 3,
        events: 0,
        age: ms(5000),
    };
    let report = Report {
        fatal_parts: vec![known],
        ..Report::default()
    };
    group.event(1, Event::EntryReported(report));
    group.run(TOLD_IN);
    group.pushed.clear();
    for node in 1..=3 {
        follow(&mut group, node);
        assert_eq!(
            told(&group, node),
            Some(vec![vec![FATAL]]),
            "replica {node}"
        );
    }
}

#[test]
fn leader_allows_probe() {
    // Guards against several requests with a fatal part because several entries ask, or ask
    // several replicas.
    let mut group = followed_group();
    find_fatal(&mut group);
    let allowed = |group: &mut Group| {
        group.pushed.clear();
        for entry in 1..=3 {
            for node in 1..=3 {
                let known = FatalParts {
                    parts: vec![FATAL],
                    crashes: 3,
                    events: 0,
                    age: ms(1000),
                };
                group.event(node, Event::ProbeRequested(entry, known));
            }
        }
        let probes = |(_, push): &&(NodeId, ToEntry)| matches!(push, ToEntry::ProbeAllowed(_));
        group.pushed.iter().filter(probes).count()
    };
    group.run(PROBED_AFTER - 2000);
    assert_eq!(allowed(&mut group), 0);
    group.run(3000);
    assert_eq!(allowed(&mut group), 1);
    group.run(PROBED_AFTER);
    assert_eq!(allowed(&mut group), 0);
}
