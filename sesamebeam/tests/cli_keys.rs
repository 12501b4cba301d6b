//! `sesamebeam keys`.

#[path = "fakes/daemons.rs"]
#[expect(dead_code, reason = "each test file uses a part")]
mod daemons;

use daemons::run;
use sesamebeam::{
    cli::Exit,
    keys::{
        Credentials,
        Role,
        sha256_hex, //
    },
};

#[test]
fn fleet_keys() {
    let folder = tempfile::tempdir().unwrap();
    let path = |name: &str| folder.path().join(name).to_str().unwrap().to_owned();
    let (ca, own) = (path("ca"), path("keys/lima-ate-1"));
    let ran = run(&["keys", "ca", "--fleet", "huallaga", "--out", &ca]);
    assert_eq!(ran.exit, Exit::Done, "{ran:?}");
    let issue = [
        "keys",
        "issue",
        "entry.lima-ate-1",
        "--ca",
        &ca,
        "--out",
        &own,
    ];
    let ran = run(&issue);
    assert_eq!(ran.exit, Exit::Done, "{ran:?}");
    let creds = Credentials::load(own.as_ref()).unwrap();
    assert_eq!(*creds.role(), Role::Entry("lima-ate-1".into()));

    let ran = run(&issue);
    assert_eq!(ran.exit, Exit::Refused);
    assert!(ran.err.contains("key.pem"), "{}", ran.err);
}

#[test]
fn organisation_key() {
    for command in ["organisation", "announce"] {
        let ran = run(&["keys", command, "--json"]);
        let made: serde_json::Value = serde_json::from_str(&ran.out).unwrap();
        let key = made["key"].as_str().unwrap();
        assert_eq!(made["sha256"], sha256_hex(key).as_str());
        let ran = run(&["keys", command]);
        assert!(ran.out.contains("key_sha256 = \""), "{}", ran.out);
    }
}

#[test]
fn session_secret() {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("session.secret");
    let args = ["keys", "session", "--out", path.to_str().unwrap()];
    assert_eq!(run(&args).exit, Exit::Done);
    let secret = std::fs::read_to_string(&path).unwrap();
    assert!(secret.len() > 64);
    assert_eq!(run(&args).exit, Exit::Refused);
    assert_eq!(std::fs::read_to_string(&path).unwrap(), secret);
}
