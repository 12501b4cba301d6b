//! Schedules that failed once, and a short run of a seed that is always the same.

use std::{
    fs,
    path::{
        Path,
        PathBuf, //
    },
};

use sesamebeam_soak::{
    run,
    schedule::{
        Schedule,
        ScheduleError, //
    },
};
use yare::parameterized;

/// Length of the faults of the short run, in milliseconds.
const SHORT_MS: u64 = 3000;

/// Returns the daemons' program, which is built first: it belongs to another
/// package, so that cargo does not hand its path to this one's tests.
fn program() -> PathBuf {
    let own = std::env::current_exe().expect("a path");
    let folder = own.parent().and_then(Path::parent).expect("a folder");
    let mut build = std::process::Command::new(env!("CARGO"));
    build.args(["build", "--locked", "-p", "sesamebeam_platform"]);
    if folder.ends_with("release") {
        build.arg("--release");
    }
    let status = build.status().expect("cargo runs");
    assert!(status.success(), "the daemons cannot be built");
    folder.join("sesamebeam-platform")
}

fn play(slot: u8, schedule: &Schedule) {
    let rt = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(2)
        .enable_all()
        .build()
        .expect("a runtime");
    let played = rt.block_on(run::run(&program(), slot, schedule, None));
    let verdict = played.expect("it can be played");
    assert!(
        verdict.broken.is_empty(),
        "{:?}\n{}",
        verdict.broken,
        schedule.text()
    );
}

#[parameterized(
    bytes_lost_midway = { "112-bytes-lost-midway", 201 },
    stop_while_paused = { "145-stop-while-paused", 202 },
    reload_at_start = { "1000-reload-at-start", 204 },
    reload_at_start_and_kill = { "2008-reload-at-start", 206 },
    reload_at_start_again = { "2022-reload-at-start", 205 },
    not_run_after_forwarding = { "9037-not-run-after-forwarding", 211 },
)]
fn failed_once(name: &str, slot: u8) {
    let file = format!("{}/tests/seeds/{name}.toml", env!("CARGO_MANIFEST_DIR"));
    let schedule = Schedule::read(file).expect("it can be read");
    play(slot, &schedule);
}

/// Guards against entries that turn callers away as they reach no backend server, although
/// others reach all.
#[parameterized(
    hang = { "cut-hang", 208 },
    reset = { "cut-reset", 209 },
    live = { "cut-live", 210 },
)]
fn cut_entry(name: &str, slot: u8) {
    let file = format!("{}/tests/seeds/{name}.toml", env!("CARGO_MANIFEST_DIR"));
    let schedule = Schedule::read(file).expect("it can be read");
    play(slot, &schedule);
}

/// Guards against requests with a fatal part of their prompts that go on to reach backend
/// servers, and sound ones refused for it, where nothing disturbs the daemons.
#[test]
fn fatal_part() {
    let file = format!(
        "{}/tests/seeds/9530-fatal-part.toml",
        env!("CARGO_MANIFEST_DIR")
    );
    let schedule = Schedule::read(file).expect("it can be read");
    play(212, &schedule);
}

/// Guards against requests with a fatal part that go on because the answers on it begin, and
/// their backend servers go down only some events later.
#[test]
fn fatal_under_way() {
    let file = format!(
        "{}/tests/seeds/fatal-under-way.toml",
        env!("CARGO_MANIFEST_DIR")
    );
    let schedule = Schedule::read(file).expect("it can be read");
    play(214, &schedule);
}

/// Guards against a group that does not commit again after two control replicas lost their disks
/// one after the other under a large configuration that changes all the time.
#[test]
fn lost_disks() {
    let file = format!("{}/tests/seeds/lost-disks.toml", env!("CARGO_MANIFEST_DIR"));
    let schedule = Schedule::read(file).expect("it can be read");
    play(215, &schedule);
}

/// Guards against backend servers that go down under rejections while a control replica that
/// may lead and an entry that may hold leases are killed.
#[test]
fn rejections_and_kills() {
    let file = format!("{}/tests/seeds/brittle.toml", env!("CARGO_MANIFEST_DIR"));
    let schedule = Schedule::read(file).expect("it can be read");
    play(213, &schedule);
}

/// Guards against entries that fail, or turn away with room, callers who come to one of them in
/// a crowd over a narrow link, and then to the other.
#[parameterized(
    beside_kills = { 3, 216 },
    beside_cut = { 6, 217 },
)]
fn crowds(seed: u64, slot: u8) {
    play(slot, &Schedule::draw_crowds(seed));
}

/// Guards against retries that are spent anew while backend servers that stood still read the
/// first ones, beside restarts of daemons and cuts.
#[test]
fn retries_read_late() {
    play(218, &Schedule::draw_held(12));
}

/// Guards against retries that requests of an earlier burst allow, or that each process spends
/// which replaces another one, where callers come in bursts beside entries that restart in series.
#[test]
fn bursts_and_restarts() {
    play(219, &Schedule::draw_bursts(10));
}

#[test]
fn short_run() {
    play(203, &Schedule::draw(7, SHORT_MS));
}

/// Guards against faults of scheduling by engine time that need real daemons: waits past a
/// deadline, refusals of what ran, second runs, gaps or doubles in streams that went on
/// elsewhere, and an organisation that starves beside one with five times its callers.
#[test]
fn uneven_engines() {
    let schedule = Schedule::draw(3, SHORT_MS);
    let set = schedule.engines.as_ref().expect("this seed has engines");
    assert!(set.contention.contains(&true) && set.contention.contains(&false));
    play(207, &schedule);
}

#[test]
fn same_seed_same_schedule() {
    assert_eq!(Schedule::draw(9, 6000), Schedule::draw(9, 6000));
    assert_ne!(Schedule::draw(9, 6000), Schedule::draw(10, 6000));
}

#[parameterized(
    line = { "seed = 1\nlength_ms = x\n", "line 2" },
    field = { "seed = 1\nlength_ms = 5\nlenght = 3\n", "unknown field `lenght`" },
    number = { "seed = 1\nlength_ms = 5\n[[events]]\nat_ms = 1\nfor_ms = 1\nfault = { reset = 9 }\n",
        "event 0 is about backend server 9, of which there are 3" },
    no_engine = { "seed = 1\nlength_ms = 5\n[[events]]\nat_ms = 1\nfor_ms = 1\nfault = { slow = 0 }\n",
        "event 0 is about engine 0, of which there are 0" },
    entries = { "seed = 1\nlength_ms = 5\n[engines]\nslowdowns = [100]\ncontention = [true]\n",
        "invalid length 1, expected an array of length 2" },
)]
fn bad_file(text: &str, why: &str) {
    let folder = tempfile::tempdir().expect("a folder");
    let path = folder.path().join("schedule.toml");
    fs::write(&path, text).expect("a file");
    let e: ScheduleError = Schedule::read(&path).expect_err("it is bad");
    assert!(e.to_string().contains(why), "{e}");
}
