//! `sesamebeam apply`, `current` and `control replace` against scripted
//! control replicas.

#[path = "fakes/daemons.rs"]
#[expect(dead_code, reason = "each test file uses a part")]
mod daemons;

use std::{
    sync::{
        Arc,
        Mutex, //
    },
    time::Duration,
};

use daemons::{
    Fleet,
    example, //
};
use sesamebeam::{
    cli::Exit,
    fleet_file::FleetFile,
    toml_file::TomlFile, //
};
use sesamebeam_core::message::{
    command::{
        Conflict,
        Verdict, //
    },
    control::{
        ControlReply,
        ControlRequest,
        LeaderHint,
        Status, //
    },
};

fn accepted(req: ControlRequest) -> Option<ControlReply> {
    match req {
        ControlRequest::Apply(change) => {
            assert_eq!(change.base, 14);
            assert_eq!(change.operator, "operator.rosa");
            Some(ControlReply::Verdict(Verdict::Accepted(15)))
        }
        other => panic!("{other:?}"),
    }
}

#[test]
fn file_accepted() {
    let mut fleet = Fleet::new();
    fleet.control(accepted);
    let path = fleet.write("fleet.toml", &example("huallaga"));
    let ran = fleet.run(&["apply", &path, "--base", "14"]);
    assert_eq!(ran.exit, Exit::Done, "{ran:?}");
    assert_eq!(ran.out, "accepted as revision 15\n");
    let ran = fleet.run(&["apply", &path, "--base", "14", "--json"]);
    insta::assert_snapshot!(ran.out, @r#"{"verdict":"accepted","revision":15,"in_force":null}"#);
}

#[test]
fn waits_in_force() {
    let mut fleet = Fleet::new();
    let mut looks = 0;
    fleet.control(move |req| match req {
        ControlRequest::Status => {
            looks += 1;
            let status = Status {
                in_force: if looks < 3 { 14 } else { 15 },
                ..Status::default()
            };
            Some(ControlReply::Status(Box::new(status)))
        }
        other => accepted(other),
    });
    let path = fleet.write("fleet.toml", &example("huallaga"));
    let ran = fleet.run(&["apply", &path, "--base", "14", "--wait"]);
    assert_eq!(ran.exit, Exit::Done, "{ran:?}");
    assert!(ran.out.contains("in force at every entry"), "{}", ran.out);
}

#[test]
fn conflict() {
    let mut fleet = Fleet::new();
    fleet.control(|_: ControlRequest| {
        Some(ControlReply::Verdict(Verdict::Conflict(Conflict {
            current: 15,
            winner: "operator.luis".into(),
            differences: vec!["organisation `supervision`".into()],
        })))
    });
    let path = fleet.write("fleet.toml", &example("huallaga"));
    let ran = fleet.run(&["apply", &path, "--base", "14"]);
    assert_eq!(ran.exit, Exit::Conflict);
    insta::assert_snapshot!(ran.out);
}

#[test]
fn faulty_not_sent() {
    let mut fleet = Fleet::new();
    fleet.control(|req: ControlRequest| -> Option<ControlReply> { panic!("{req:?}") });
    let text = example("huallaga").replacen("quality = 0.9", "quality = 9.0", 1);
    let path = fleet.write("fleet.toml", &text);
    let ran = fleet.run(&["apply", &path, "--base", "14"]);
    assert_eq!(ran.exit, Exit::Refused);
    assert!(ran.err.contains("outside 0 to 1"), "{}", ran.err);
}

#[test]
fn follows_leader() {
    // The first replica is gone, the second does not lead and names the third.
    let mut fleet = Fleet::new();
    fleet.dead_control();
    fleet.control(|_: ControlRequest| {
        Some(ControlReply::NotLeader(Some(LeaderHint {
            node: 3,
            addr: None,
        })))
    });
    fleet.control(accepted);
    fleet.set_timeout(Duration::from_secs(30));
    let path = fleet.write("fleet.toml", &example("huallaga"));
    let ran = fleet.run(&["apply", &path, "--base", "14"]);
    assert_eq!(ran.exit, Exit::Done, "{ran:?}");
}

#[test]
fn election_waited_out() {
    // No replica leads at first. The command asks again until one does.
    let mut fleet = Fleet::new();
    let mut asked = 0;
    fleet.control(move |req| {
        asked += 1;
        match asked {
            1 => Some(ControlReply::NotLeader(None)),
            2 => Some(ControlReply::Unavailable("no quorum".into())),
            _ => accepted(req),
        }
    });
    let path = fleet.write("fleet.toml", &example("huallaga"));
    let ran = fleet.run(&["apply", &path, "--base", "14"]);
    assert_eq!(ran.exit, Exit::Done, "{ran:?}");
}

#[test]
fn answer_lost() {
    // The group takes the change and its answer is lost. The operator must not
    // read this as a refusal: the change may be in force. The same file is sent
    // again with the same base, so that the first verdict comes back.
    let mut fleet = Fleet::new();
    let seen = Arc::new(Mutex::new(Vec::new()));
    let changes = Arc::clone(&seen);
    let mut lose = true;
    fleet.control(move |req| {
        if let ControlRequest::Apply(change) = &req {
            changes.lock().unwrap().push((change.base, change.digest));
        }
        std::mem::take(&mut lose)
            .then_some(())
            .map_or_else(|| accepted(req), |()| None)
    });
    fleet.set_timeout(Duration::from_secs(4));
    let path = fleet.write("fleet.toml", &example("huallaga"));
    let ran = fleet.run(&["apply", &path, "--base", "14"]);
    assert_eq!(ran.exit, Exit::Unreachable, "{ran:?}");
    assert!(
        ran.err.contains("may or may not have been done"),
        "{}",
        ran.err
    );

    fleet.set_timeout(Duration::from_secs(10));
    let ran = fleet.run(&["apply", &path, "--base", "14"]);
    assert_eq!(ran.out, "accepted as revision 15\n");
    let seen = seen.lock().unwrap();
    assert_eq!(seen.len(), 2);
    assert_eq!(seen[0], seen[1]);
}

#[test]
fn nobody_there() {
    let mut fleet = Fleet::new();
    fleet.dead_control();
    fleet.set_timeout(Duration::from_millis(500));
    let path = fleet.write("fleet.toml", &example("huallaga"));
    let ran = fleet.run(&["apply", &path, "--base", "14"]);
    assert_eq!(ran.exit, Exit::Unreachable, "{ran:?}");
    assert!(
        ran.err.contains("no control replica can be reached"),
        "{}",
        ran.err
    );
}

#[test]
fn current_applies_again() {
    // What `current` writes is a fleet file of the same content.
    let mut fleet = Fleet::new();
    let text = example("vazna");
    let file = FleetFile::parse(&TomlFile::new("fleet.toml".as_ref(), text)).unwrap();
    let in_force = file.fleet.clone();
    fleet.control(move |_: ControlRequest| {
        Some(ControlReply::Current {
            revision: 15,
            fleet: Box::new(in_force.clone()),
        })
    });
    let ran = fleet.run(&["current"]);
    assert_eq!(ran.exit, Exit::Done, "{ran:?}");
    assert!(
        ran.out
            .starts_with("# Revision 15; apply changes with `--base 15`.\n")
    );
    let again = FleetFile::parse(&TomlFile::new("current.toml".as_ref(), ran.out)).unwrap();
    assert_eq!(again.fleet, file.fleet);
}

#[test]
fn replica_replaced() {
    let mut fleet = Fleet::new();
    fleet.control(|req| match req {
        ControlRequest::Replace(replace) if replace.new == 4 => {
            assert_eq!((replace.old, replace.incarnation), (2, 0xab));
            Some(ControlReply::Done)
        }
        _ => Some(ControlReply::Refused("replica 2 is in use".into())),
    });
    let args = [
        "control",
        "replace",
        "--addr",
        "10.0.0.4:8401",
        "--incarnation",
        "000000000000000000000000000000ab",
        "2",
    ];
    let ran = fleet.run(&[&args[..], &["4"]].concat());
    assert_eq!(ran.exit, Exit::Done, "{ran:?}");
    let ran = fleet.run(&[&args[..], &["2"]].concat());
    assert_eq!(ran.exit, Exit::Refused);
    assert_eq!(ran.err, "sesamebeam: refused: replica 2 is in use\n");
}
