//! `sesamebeam check`.

#[path = "fakes/daemons.rs"]
#[expect(dead_code, reason = "each test file uses a part")]
mod daemons;

use daemons::{
    Fleet,
    example,
    run, //
};
use sesamebeam::cli::Exit;

#[test]
fn good_file() {
    let fleet = Fleet::new();
    let path = fleet.write("fleet.toml", &example("huallaga"));
    let ran = run(&["check", &path]);
    assert_eq!(ran.exit, Exit::Done);
    insta::assert_snapshot!(fleet.plain(&ran.out));
}

#[test]
fn faulty_file() {
    let fleet = Fleet::new();
    let text = example("vazna")
        .replacen("quality = 0.8\n", "quality = 80.0\n", 1)
        .replacen("service = \"dispatch-api\"", "service = \"dispatch-ap\"", 1);
    let path = fleet.write("fleet.toml", &text);
    let ran = run(&["check", &path]);
    assert_eq!(ran.exit, Exit::Refused);
    assert_eq!(ran.out, "");
    insta::assert_snapshot!("faulty_file", fleet.plain(&ran.err));

    let ran = run(&["check", &path, "--json"]);
    assert_eq!(ran.exit, Exit::Refused);
    insta::assert_snapshot!("faulty_file_json", fleet.plain(&ran.out));
}

#[test]
fn not_utf8() {
    let fleet = Fleet::new();
    let path = fleet.folder.path().join("fleet.toml");
    std::fs::write(&path, b"name = \"\xff\"").unwrap();
    let ran = run(&["check", path.to_str().unwrap()]);
    assert_eq!(ran.exit, Exit::Refused);
    assert!(ran.err.contains("UTF-8"), "{}", ran.err);
}
