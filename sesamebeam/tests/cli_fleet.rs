//! The command line against real control replicas and entries on loopback.

#[path = "fakes/daemons.rs"]
#[expect(dead_code, reason = "each test file uses a part")]
mod daemons;

use std::path::Path;

use daemons::{
    Ran,
    example,
    run, //
};
use sesamebeam::{
    cli::Exit,
    local::{
        LocalFleet,
        LocalPlan, //
    },
};
use tokio::runtime::Runtime;

/// A running fleet and the operator's settings for it.
struct Running {
    runtime: Runtime,
    fleet: Option<LocalFleet>,
    folder: tempfile::TempDir,
}

impl Running {
    fn start() -> Self {
        let folder = tempfile::tempdir().unwrap();
        let plan = LocalPlan::small(&["lima-ate", "lima-surco", "lima-callao"]);
        let runtime = Runtime::new().unwrap();
        let fleet = runtime
            .block_on(LocalFleet::start(&plan, folder.path()))
            .unwrap();
        let mut operator = fleet.settings.operator.clone();
        operator.timeout = std::time::Duration::from_secs(60);
        let text = toml::to_string(&operator).unwrap();
        std::fs::write(folder.path().join("operator.toml"), text).unwrap();
        Self {
            runtime,
            fleet: Some(fleet),
            folder,
        }
    }

    fn path(&self, name: &str) -> String {
        self.folder.path().join(name).to_str().unwrap().to_owned()
    }

    fn write(&self, name: &str, text: &str) -> String {
        let path = self.path(name);
        std::fs::write(Path::new(&path), text).unwrap();
        path
    }

    fn run(&self, args: &[&str]) -> Ran {
        let settings = self.path("operator.toml");
        run(&[args, &["--settings", &settings]].concat())
    }
}

impl Drop for Running {
    fn drop(&mut self) {
        if let Some(fleet) = self.fleet.take() {
            self.runtime.block_on(fleet.stop());
        }
    }
}

#[test]
fn first_file_to_conflict() {
    // An operator applies the first file, sends it again as if the answer had
    // been lost, changes what is in force, and loses against a colleague who
    // was first from the same base.
    let running = Running::start();
    let first = running.write("first.toml", &example("huallaga"));
    let ran = running.run(&["apply", &first, "--base", "0", "--wait"]);
    assert_eq!(ran.exit, Exit::Done, "{ran:?}");
    assert!(ran.out.starts_with("accepted as revision 1\n"), "{ran:?}");

    let again = running.run(&["apply", &first, "--base", "0"]);
    assert_eq!(again.out, "accepted as revision 1\n", "{again:?}");

    let current = running.run(&["current"]);
    assert!(current.out.starts_with("# Revision 1;"), "{current:?}");
    let changed = current.out.replacen("gate = 40", "gate = 50", 1);
    assert_ne!(changed, current.out);
    let changed = running.write("changed.toml", &changed);
    let ran = running.run(&["apply", &changed, "--base", "1", "--wait"]);
    assert_eq!(ran.exit, Exit::Done, "{ran:?}");
    assert!(ran.out.starts_with("accepted as revision 2\n"), "{ran:?}");

    let late = current.out.replacen("gate = 40", "gate = 60", 1);
    let late = running.write("late.toml", &late);
    let ran = running.run(&["apply", &late, "--base", "1"]);
    assert_eq!(ran.exit, Exit::Conflict, "{ran:?}");
    assert!(ran.out.contains("parte@v8"), "{ran:?}");

    let ran = running.run(&["status", "--json"]);
    let status: serde_json::Value = serde_json::from_str(&ran.out).unwrap();
    assert_eq!(status["revision"], 2, "{ran:?}");
    assert_eq!(status["in_force"], 2, "{ran:?}");
    assert_eq!(status["replicas"].as_array().unwrap().len(), 3);
    assert_eq!(status["entries"].as_array().unwrap().len(), 3);
}

#[test]
fn questions_answered() {
    let running = Running::start();
    let file = running.write("fleet.toml", &example("huallaga"));
    let ran = running.run(&["apply", &file, "--base", "0", "--wait"]);
    assert_eq!(ran.exit, Exit::Done, "{ran:?}");

    let entry = running.fleet.as_ref().unwrap().settings.entries[0]
        .instance
        .clone();
    let ran = running.run(&["status", "--entry", &entry]);
    assert_eq!(ran.exit, Exit::Done, "{ran:?}");
    assert!(ran.out.contains("revision 1, lease held"), "{ran:?}");

    let ran = running.run(&["report", "burn", "--organisation", "supervision"]);
    assert_eq!(ran.exit, Exit::Done, "{ran:?}");
    assert!(ran.out.contains("approval-summary"), "{ran:?}");
    assert!(!ran.out.contains("did not answer"), "{ran:?}");

    let ran = running.run(&["report", "bills"]);
    assert_eq!(ran.out.lines().count(), 1, "{ran:?}");

    let ran = running.run(&["settle", "supervision", "no-such-key", "--not-run"]);
    assert_eq!(ran.exit, Exit::Refused, "{ran:?}");

    let ran = running.run(&["explain", "000000000000000000000000000000ab"]);
    assert_eq!(ran.exit, Exit::Refused, "{ran:?}");
    assert!(ran.err.contains("no entry knows request"), "{ran:?}");
}
