//! `sesamebeam report burn`, `explain` and `status`.

#[path = "fakes/daemons.rs"]
#[expect(dead_code, reason = "each test file uses a part")]
mod daemons;

use std::time::Duration;

use daemons::Fleet;
use sesamebeam::cli::{
    Exit,
    report::merge, //
};
use sesamebeam_core::{
    entry::explain::{
        Explanation,
        Step, //
    },
    fleet::{
        Fleet as FleetValues,
        Organisation,
        Target, //
    },
    message::{
        command::RolloutState,
        control::{
            ControlReply,
            ControlRequest,
            EntryStatus,
            LiveState,
            ReplicaStatus,
            RolloutView,
            Status, //
        },
        entry::{
            EntryReply,
            EntryRequest, //
        },
    },
    policy::burn::{
        BurnReport,
        BurnTracker, //
    },
};

/// Reports of an entry that answered so many requests, some too late to count.
fn report(total: u32, bad: u32) -> BurnReport {
    let target = Target {
        class: "question".into(),
        quality: 0.0,
        confidence: 0.9,
        latency: Duration::from_secs(1),
        latency_share: 0.95,
        whole: 0.99,
    };
    let org = Organisation {
        name: "crew".into(),
        key_sha256: "".into(),
        allow: Vec::new(),
        share: 1.0,
        targets: vec![target],
        when_cut: Default::default(),
    };
    let mut burn = BurnTracker::new();
    burn.configure(&FleetValues {
        organisations: vec![org],
        ..FleetValues::default()
    });
    let now = Duration::from_secs(100_000);
    for n in 0..total {
        let whole = (n >= bad).then_some(Duration::from_millis(10));
        burn.record_request(now, &"crew".into(), &"question".into(), whole);
    }
    burn.report(now, None)
}

#[test]
fn entries_added_up() {
    // One entry alone would alert, all together do not.
    let one = report(100, 20);
    assert!(one.objectives[0].alerts());
    let all = merge([one, report(900, 0), report(0, 0)]);
    assert_eq!(all.len(), 3);
    let whole = &report(1000, 20).objectives[0];
    assert_eq!(all[0].pairs[0].short.total, 1000);
    assert_eq!(all[0].pairs[0].short.bad, 20);
    assert!((all[0].pairs[0].short.rate - whole.pairs[0].short.rate).abs() < 1e-9);
    assert!(!all[0].alerts());
}

#[test]
fn burn_shown() {
    let mut fleet = Fleet::new();
    fleet.control(|_: ControlRequest| None::<ControlReply>);
    fleet.entry("north-1", |req| match req {
        EntryRequest::Burn(None) => Some(EntryReply::Burn(report(100, 20))),
        other => panic!("{other:?}"),
    });
    fleet.entry("north-2", |_: EntryRequest| {
        Some(EntryReply::Burn(report(20, 0)))
    });
    fleet.entry("north-3", |_: EntryRequest| None::<EntryReply>);
    fleet.set_timeout(Duration::from_secs(4));
    let ran = fleet.run(&["report", "burn"]);
    assert_eq!(ran.exit, Exit::Done, "{ran:?}");
    insta::assert_snapshot!(ran.out);
}

#[test]
fn burn_plotted() {
    let mut fleet = Fleet::new();
    fleet.control(|_: ControlRequest| None::<ControlReply>);
    fleet.entry("north-1", |_: EntryRequest| {
        Some(EntryReply::Burn(report(100, 20)))
    });
    let file = fleet.folder.path().join("burn.svg");
    let name = file.to_str().expect("a path in UTF-8");
    let ran = fleet.run(&["report", "burn", "--svg", name]);
    assert_eq!(ran.exit, Exit::Done, "{ran:?}");
    let svg = std::fs::read_to_string(&file).expect("the plot");
    assert!(svg.starts_with("<svg") && svg.contains("crew question whole"));
}

#[test]
fn request_explained() {
    let mut fleet = Fleet::new();
    fleet.control(|_: ControlRequest| None::<ControlReply>);
    fleet.entry("north-1", |_: EntryRequest| {
        Some(EntryReply::Explained(None))
    });
    fleet.entry("north-2", |req: EntryRequest| {
        assert_eq!(req, EntryRequest::Explain(0xab));
        Some(EntryReply::Explained(Some(Explanation {
            org: "crew".into(),
            arrived: Duration::from_secs(5),
            steps: vec![Step {
                at: Duration::from_micros(1300),
                what: "plan Cheapest: One(parte@v7)".into(),
                details: vec!["parte@v7: cost 1.000".into()],
            }],
            passed_over: vec!["parte@v6: withdrawn".into()],
            server: None,
        })))
    });
    let id = "000000000000000000000000000000ab";
    let ran = fleet.run(&["explain", id]);
    assert_eq!(ran.exit, Exit::Done, "{ran:?}");
    insta::assert_snapshot!("explained", ran.out);
    let ran = fleet.run(&["explain", id, "--json"]);
    insta::assert_snapshot!("explained_json", ran.out);
}

#[test]
fn request_unknown() {
    let mut fleet = Fleet::new();
    fleet.control(|_: ControlRequest| None::<ControlReply>);
    fleet.entry("north-1", |_: EntryRequest| {
        Some(EntryReply::Explained(None))
    });
    let ran = fleet.run(&["explain", "000000000000000000000000000000ab"]);
    assert_eq!(ran.exit, Exit::Refused);
    assert!(ran.err.contains("no entry knows request"), "{}", ran.err);
}

fn status(req: ControlRequest) -> Option<ControlReply> {
    assert_eq!(req, ControlRequest::Status);
    let replica = |node, voter, silent| ReplicaStatus {
        node,
        voter,
        synced: 8000 + node,
        silent: Duration::from_millis(silent),
    };
    let entry = |name: &str, left| EntryStatus {
        instance: name.into(),
        domain: "north".into(),
        revision: 15,
        since: Duration::from_secs(4000),
        lease_left: Duration::from_millis(left),
    };
    Some(ControlReply::Status(Box::new(Status {
        node: 1,
        leader: Some(1),
        term: 3,
        committed: 8001,
        revision: 15,
        in_force: 14,
        replicas: vec![
            replica(1, true, 0),
            replica(2, true, 120),
            replica(4, false, 90),
        ],
        entries: vec![entry("north-1", 4200), entry("north-2", 0)],
        live: LiveState {
            at: 7990,
            held: vec!["parte@v8".into()],
            rollouts: vec![RolloutView {
                version: "parte@v8".into(),
                state: RolloutState::Held,
                share: 0.0,
                rated: (31, 9),
            }],
            // More than 64 bits, which many readers of JSON cannot hold.
            quarantine: vec![u128::MAX - 1],
        },
        claims: 12,
        pins: 3,
        bills: 40,
    })))
}

#[test]
fn status_shown() {
    let mut fleet = Fleet::new();
    fleet.control(status);
    let ran = fleet.run(&["status"]);
    assert_eq!(ran.exit, Exit::Done, "{ran:?}");
    insta::assert_snapshot!("status", ran.out);
    let ran = fleet.run(&["status", "--json"]);
    insta::assert_snapshot!("status_json", ran.out);
}

#[test]
fn leader_asked() {
    // A follower answers first: it knows neither entries nor replicas. The
    // operator gets the leader's answer; with the leader silent, the follower's,
    // which says so.
    let follower = |_: ControlRequest| {
        Some(ControlReply::Status(Box::new(Status {
            node: 1,
            leader: Some(2),
            revision: 15,
            ..Status::default()
        })))
    };
    let mut fleet = Fleet::new();
    fleet.control(follower);
    fleet.control(|_: ControlRequest| {
        Some(ControlReply::Status(Box::new(Status {
            node: 2,
            leader: Some(2),
            revision: 16,
            ..Status::default()
        })))
    });
    let ran = fleet.run(&["status"]);
    assert!(ran.out.contains("revision 16 accepted"), "{ran:?}");
    assert!(!ran.out.contains("does not lead"), "{ran:?}");

    let mut fleet = Fleet::new();
    fleet.control(follower);
    fleet.dead_control();
    let ran = fleet.run(&["status"]);
    assert_eq!(ran.exit, Exit::Done, "{ran:?}");
    assert!(ran.out.contains("as replica 1 sees it"), "{ran:?}");
}

#[test]
fn entry_misspelt() {
    let mut fleet = Fleet::new();
    fleet.control(status);
    fleet.entry("north-1", |_: EntryRequest| None::<EntryReply>);
    let ran = fleet.run(&["status", "--entry", "norht-1"]);
    assert_eq!(ran.exit, Exit::Refused);
    insta::assert_snapshot!(ran.err, @"sesamebeam: the settings list no entry `norht-1`; did you mean `north-1`?");
}
