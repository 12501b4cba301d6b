//! Typing errors on the command line.

#[path = "fakes/daemons.rs"]
#[expect(dead_code, reason = "each test file uses a part")]
mod daemons;

use daemons::run;
use sesamebeam::cli::Exit;
use yare::parameterized;

#[parameterized(
    nothing = { "nothing", &[] },
    command = { "command", &["chekc", "fleet.toml"] },
    far_command = { "far_command", &["xyzzy"] },
    second_word = { "second_word", &["report", "bill"] },
    no_second_word = { "no_second_word", &["keys"] },
    option = { "option", &["apply", "fleet.toml", "--bsae", "3"] },
    option_with_value = { "option_with_value", &["apply", "fleet.toml", "--bsae=3"] },
    option_first = { "option_first", &["--jsn", "status"] },
    foreign_option = { "foreign_option", &["check", "fleet.toml", "--base", "3"] },
    missing_option = { "missing_option", &["apply", "fleet.toml"] },
    missing_file = { "missing_file", &["check"] },
    no_value = { "no_value", &["apply", "fleet.toml", "--base"] },
    bad_number = { "bad_number", &["apply", "fleet.toml", "--base", "three"] },
    negative_number = { "negative_number", &["apply", "fleet.toml", "--base", "-3"] },
    huge_number = { "huge_number", &["apply", "fleet.toml", "--base", "99999999999999999999"] },
    one_too_many = { "one_too_many", &["check", "fleet.toml", "other.toml"] },
    bad_request = { "bad_request", &["explain", "12"] },
    bad_role = { "bad_role", &["keys", "issue", "runner.1", "--ca", "ca", "--out", "o"] },
    bad_address = { "bad_address", &["control", "replace", "2", "4", "--addr", "host:1", "--incarnation", "00000000000000000000000000000001"] },
    neither = { "neither", &["settle", "crew", "key"] },
    both = { "both", &["settle", "crew", "key", "--ran", "--not-run"] },
)]
fn fault(case: &str, args: &[&str]) {
    let ran = run(args);
    assert_eq!(ran.exit, Exit::Usage, "{ran:?}");
    assert_eq!(ran.out, "");
    insta::with_settings!({ snapshot_suffix => case, omit_expression => true }, {
        insta::assert_snapshot!("fault", ran.err);
    });
}

#[test]
fn not_unicode() {
    use std::os::unix::ffi::OsStringExt;
    let args = [
        "check".into(),
        std::ffi::OsString::from_vec(vec![b'f', 0xff]),
    ];
    let mut err = Vec::new();
    let exit = sesamebeam::cli::run(args, &mut Vec::new(), &mut err);
    assert_ne!(exit, Exit::Done);
    assert!(!err.is_empty());
}

#[test]
fn missing_settings() {
    let ran = run(&["status", "--settings", "no-such.toml"]);
    assert_eq!(ran.exit, Exit::Refused);
    assert!(ran.err.contains("cannot read no-such.toml"), "{}", ran.err);
}
