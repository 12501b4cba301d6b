//! Tests of the checks of fleet files.

use std::path::Path;

use sesamebeam::{
    fleet_file::FleetFile,
    toml_file::{
        FileError,
        TomlFile, //
    },
};
use yare::parameterized;

/// Valid fleet file, which the tests modify.
const VALID: &str = r#"name = "small"
domains = ["north", "south"]

[[pool]]
name = "engines"
kind = "engine"

[[pool]]
name = "desk"
kind = "service"
lookup = true

[[model]]
name = "beam"
pool = "engines"

[[model.version]]
name = "v1"
cost = 1.0

[[model.version]]
name = "v2"
state = "rolling"
cost = 0.5

[[class]]
name = "question"
cascade = true

[[class]]
name = "confirmation"
service = "desk"
idempotent = false

[[organisation]]
name = "crew"
key_sha256 = "1111111111111111111111111111111111111111111111111111111111111111"
allow = ["beam@v1", "beam@v2"]

[[organisation.target]]
class = "question"
quality = 0.9

[[rollout]]
version = "beam@v2"
steps = [0.1, 0.5, 1.0]
"#;

fn parse(text: &str) -> Result<FleetFile, FileError> {
    FleetFile::parse(&TomlFile::new(Path::new("fleet.toml"), text))
}

/// Replaces `from` by `to` in the valid file and returns the error message.
fn check_modified(from: &str, to: &str) -> String {
    assert!(VALID.contains(from), "`{from}` is in the file");
    let text = VALID.replacen(from, to, 1);
    parse(&text).expect_err("the file is refused").to_string()
}

#[test]
fn valid_file() {
    let file = parse(VALID).unwrap();
    assert_eq!(file.fleet.organisations[0].allow.len(), 2);
    assert_ne!(
        file.digest,
        parse(&VALID.replace("0.9", "0.8")).unwrap().digest
    );
}

#[parameterized(
    unknown_key = { "unknown_key", "cascade = true", "cascades = true" },
    unknown_kind = { "unknown_kind", "kind = \"engine\"", "kind = \"engin\"" },
    wrong_type = { "wrong_type", "cost = 1.0", "cost = \"low\"" },
    missing_key = { "missing_key", "cost = 1.0\n", "" },
    broken_syntax = { "broken_syntax", "[[rollout]]", "[[rollout]" },
    no_domain = { "no_domain", "[\"north\", \"south\"]", "[]" },
    equal_domains = { "equal_domains", "\"south\"", "\"north\"" },
    bad_name = { "bad_name", "name = \"crew\"", "name = \"my crew\"" },
    equal_pools = { "equal_pools", "name = \"desk\"", "name = \"engines\"" },
    zero_slots = { "zero_slots", "lookup = true", "lookup = true\nslots = 0" },
    engine_lookup = { "engine_lookup", "kind = \"engine\"", "kind = \"engine\"\nlookup = true" },
    service_fencing = { "service_fencing", "lookup = true", "checks_fencing = true" },
    unknown_pool = { "unknown_pool", "pool = \"engines\"", "pool = \"engine\"" },
    service_model = { "service_model", "pool = \"engines\"", "pool = \"desk\"" },
    equal_versions = { "equal_versions", "name = \"v2\"", "name = \"v1\"" },
    negative_cost = { "negative_cost", "cost = 1.0", "cost = -1.0" },
    endless_cost = { "endless_cost", "cost = 1.0", "cost = inf" },
    cost_not_a_number = { "cost_not_a_number", "cost = 1.0", "cost = nan" },
    prior_outside = { "prior_outside", "cost = 1.0", "cost = 1.0\nprior = 1.5" },
    equal_classes = { "equal_classes", "name = \"confirmation\"", "name = \"question\"" },
    cascaded_sheet = { "cascaded_sheet", "cascade = true", "cascade = true\nidempotent = false" },
    cascaded_service = { "cascaded_service", "service = \"desk\"", "service = \"desk\"\ncascade = true" },
    engine_service = { "engine_service", "service = \"desk\"", "service = \"engines\"" },
    unknown_service = { "unknown_service", "service = \"desk\"", "service = \"dest\"" },
    zero_deadline = { "zero_deadline", "cascade = true", "cascade = true\ndeadline = \"0s\"" },
    short_hash = { "short_hash", "key_sha256 = \"1111", "key_sha256 = \"" },
    nothing_allowed = { "nothing_allowed", "[\"beam@v1\", \"beam@v2\"]", "[]" },
    unlisted_version = { "unlisted_version", "\"beam@v1\", ", "\"beam@v11\", " },
    allowed_twice = { "allowed_twice", "\"beam@v1\", \"beam@v2\"", "\"beam@v2\", \"beam@v2\"" },
    zero_share = { "zero_share", "allow =", "share = 0.0\nallow =" },
    unknown_class = { "unknown_class", "class = \"question\"", "class = \"questions\"" },
    quality_above = { "quality_above", "quality = 0.9", "quality = 90.0" },
    quality_below = { "quality_below", "quality = 0.9", "quality = -0.1" },
    quality_not_a_number = { "quality_not_a_number", "quality = 0.9", "quality = nan" },
    full_confidence = { "full_confidence", "quality = 0.9", "confidence = 1.0" },
    zero_latency = { "zero_latency", "quality = 0.9", "latency = \"0s\"" },
    unlisted_rollout = { "unlisted_rollout", "version = \"beam@v2\"", "version = \"bean@v2\"" },
    settled_rollout = { "settled_rollout", "version = \"beam@v2\"", "version = \"beam@v1\"" },
    withdrawn_rollout = { "withdrawn_rollout", "\"rolling\"", "\"withdrawn\"" },
    no_steps = { "no_steps", "[0.1, 0.5, 1.0]", "[]" },
    shrinking_steps = { "shrinking_steps", "[0.1, 0.5, 1.0]", "[0.5, 0.1, 1.0]" },
    step_outside = { "step_outside", "[0.1, 0.5, 1.0]", "[0.1, 0.5, 1.1]" },
    last_step = { "last_step", "[0.1, 0.5, 1.0]", "[0.1, 0.5]" },
    no_gate = { "no_gate", "steps =", "gate = 0\nsteps =" },
    no_copies = { "no_copies", "steps =", "copies = 0\nsteps =" },
)]
fn fault(case: &str, from: &str, to: &str) {
    insta::with_settings!({ snapshot_suffix => case, omit_expression => true }, {
        insta::assert_snapshot!("fault", check_modified(from, to));
    });
}

#[test]
fn every_fault() {
    // All faults are reported at once, in the order of the file, so that an
    // operator can fix them in one go.
    let text = VALID
        .replace("quality = 0.9", "quality = 9.0")
        .replace("pool = \"engines\"", "pool = \"engine\"")
        .replace("[0.1, 0.5, 1.0]", "[0.5, 0.1]");
    let message = parse(&text).unwrap_err().to_string();
    insta::assert_snapshot!(message);
}

#[test]
fn equal_organisations() {
    let org =
        &VALID[VALID.find("[[organisation]]").unwrap()..VALID.find("[[organisation.t").unwrap()];
    let message = parse(&format!("{VALID}\n{org}")).unwrap_err().to_string();
    insta::assert_snapshot!(message);
}

#[test]
fn no_class() {
    let text = VALID.replace(
        "[[organisation.target]]\nclass = \"question\"\nquality = 0.9\n",
        "",
    );
    let start = text.find("[[class]]").unwrap();
    let end = text.find("[[organisation]]").unwrap();
    let text = format!("{}{}", &text[..start], &text[end..]);
    let message = parse(&text).unwrap_err().to_string();
    insta::assert_snapshot!(message);
}
