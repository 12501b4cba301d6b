//! Tests reading and validating settings files.

use std::path::Path;

use sesamebeam::{
    settings::{
        ControlSettings,
        EntrySettings,
        OperatorSettings,
        Retention, //
    },
    toml_file::FileError,
};
use sesamebeam_core::message::command;
use yare::parameterized;

const ENTRY: &str = r#"instance = "lima-ate-1"
domain = "lima-ate"
keys = "keys"
session_secret = "session.secret"
announce_key_sha256 = "0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef"
listen = { callers = "127.0.0.1:1", announcements = "127.0.0.1:2", link = "127.0.0.1:3" }
control = [{ node = 1, addr = "127.0.0.1:4" }]
"#;

const CONTROL: &str = r#"node = 1
domain = "lima-ate"
data = "data"
listen = "127.0.0.1:4"
keys = "keys"
replica = [{ node = 1, addr = "127.0.0.1:4" }]
"#;

/// Writes the settings to a temporary file and reads it. The folder is removed from
/// error messages.
fn read<T>(text: &str, read: impl Fn(&Path) -> Result<T, FileError>) -> Result<T, String> {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("settings.toml");
    std::fs::write(&path, text).unwrap();
    let base = format!("{}/", folder.path().display());
    read(&path).map_err(|e| e.to_string().replace(&base, ""))
}

#[test]
fn defaults_valid() {
    let entry = read(ENTRY, EntrySettings::read).unwrap();
    assert!(entry.keys.is_absolute() && entry.keys.ends_with("keys"));
    assert_eq!(entry.limits, Default::default());
    assert_eq!(entry.timings, Default::default());
    assert!(entry.check().is_empty());

    let control = read(CONTROL, ControlSettings::read).unwrap();
    assert_eq!(control.timings, Default::default());
    assert!(control.data.ends_with("data"));
    let retention = Retention::default();
    assert_eq!(
        command::Retention::from(&retention),
        command::Retention::default()
    );
}

#[parameterized(
    unknown_key = { "domian = 1\n" },
    unknown_limit = { "[limits]\nhead_byte = 5\n" },
    host_name = { "rating = \"rating.local:80\"\n" },
    zero_limit = { "[limits]\nin_flight = 0\n" },
    zero_time = { "[timings]\nclaim_window = \"0s\"\n" },
    bad_time = { "[timings]\nclaim_window = 3\n" },
    own_peer = { "[[peer]]\ninstance = \"lima-ate-1\"\ndomain = \"lima-ate\"\naddr = \"127.0.0.1:9\"\n" },
    bad_level = { "[log]\nlevel = \"inf\"\n" },
    broken = { "[log\n" },
)]
fn entry_faults(added: &str) {
    let e = read(&format!("{ENTRY}{added}"), EntrySettings::read).unwrap_err();
    insta::with_settings!({ snapshot_suffix => snapshot_suffix(added), omit_expression => true }, {
        insta::assert_snapshot!("entry_fault", e);
    });
}

#[parameterized(
    fast_election = { "[timings]\nelection_min = \"150ms\"\n" },
    equal_bounds = { "[timings]\nelection_max = \"500ms\"\n" },
    drift = { "[timings]\nclock_drift = nan\n" },
    store = { "[weight_store]\nbytes_per_second = 0\n" },
    twice = { "[[replica]]\nnode = 2\naddr = \"127.0.0.1:4\"\n" },
)]
fn control_faults(added: &str) {
    // An inline array cannot be extended by a `[[replica]]` table.
    let text = CONTROL.replace("replica = [{ node = 1, addr = \"127.0.0.1:4\" }]\n", "");
    let text = format!("{text}[[replica]]\nnode = 1\naddr = \"127.0.0.1:4\"\n{added}");
    let e = read(&text, ControlSettings::read).unwrap_err();
    insta::with_settings!({ snapshot_suffix => snapshot_suffix(added), omit_expression => true }, {
        insta::assert_snapshot!("control_fault", e);
    });
}

#[test]
fn node_not_listed() {
    let text = CONTROL.replace("node = 1\ndomain", "node = 7\ndomain");
    let e = read(&text, ControlSettings::read).unwrap_err();
    insta::assert_snapshot!(e, @"settings.toml:1:8: control replica 7 is not among the replicas");
}

#[test]
fn operator_needs_control() {
    let e = read("keys = \"k\"\ncontrol = []\n", OperatorSettings::read).unwrap_err();
    insta::assert_snapshot!(e, @"settings.toml:2:11: no control replica is listed");
}

#[test]
fn missing_file() {
    let e = EntrySettings::read(Path::new("no-such.toml")).unwrap_err();
    assert!(
        e.to_string().starts_with("cannot read no-such.toml: "),
        "{e}"
    );
}

/// Derives a snapshot suffix from the settings that a case adds.
fn snapshot_suffix(added: &str) -> String {
    let is_kept = |c: char| c.is_ascii_alphanumeric() || c == '_';
    let words: Vec<_> = added
        .split(|c| !is_kept(c))
        .filter(|word| !word.is_empty())
        .collect();
    words.join("-")
}
