//! Sessions, identified by token or by name, keep their version.

use sesamebeam::local::LocalPlan;
use sesamebeam_core::fleet::VersionState;
use sesamebeam_fakes::RunnerConfig;

use super::serving::RunningFleet;

const FLEET: &str = include_str!("fleet.toml");

/// The caller starts a session and sends its token with each request. After the
/// operator has withdrawn the session's version, the next answer must come from
/// another version and say so in a header, and the session must keep that version.
#[tokio::test(flavor = "multi_thread")]
async fn token_session() {
    let plan = LocalPlan::small(&["lima-ate"]);
    let serving = RunningFleet::start(FLEET, plan, RunnerConfig::default()).await;
    let caller = serving.caller();
    let first = caller
        .chat("question", "uno", &[("x-session", "new")])
        .await;
    let version = first.header("x-version").to_owned();
    let token = first.header("x-session").to_owned();
    let session = [("x-session", token.as_str())];
    for n in 0..5 {
        let next = caller.chat("question", &format!("mas {n}"), &session).await;
        assert_eq!(next.header("x-version"), version);
    }

    let mut fleet = serving.fleet.clone();
    let model = version.split('@').next().expect("a model");
    let at = fleet
        .models
        .iter()
        .position(|m| m.name == model)
        .expect("it");
    fleet.models[at].versions[0].state = VersionState::Withdrawn;
    serving.apply(1, &fleet).await;
    let moved = caller.chat("question", "y ahora", &session).await;
    assert_eq!(moved.status, 200, "{moved:?}");
    let next = moved.header("x-version").to_owned();
    assert_ne!(next, version);
    assert_eq!(moved.header("x-pin-renewed"), "withdrawn");
    // The record of the session takes precedence over the old token.
    let again = caller.chat("question", "otra vez", &session).await;
    assert_eq!(again.header("x-version"), next);
}

/// Two callers use the same session name concurrently; both must get the version
/// that was pinned first.
#[tokio::test(flavor = "multi_thread")]
async fn named_session() {
    let plan = LocalPlan::small(&["lima-ate"]);
    let serving = RunningFleet::start(FLEET, plan, RunnerConfig::default()).await;
    let (one, two) = (serving.caller(), serving.caller());
    let session = [("x-session", "obra-17")];
    let (a, b) = tokio::join!(
        one.chat("question", "uno", &session),
        two.chat("question", "dos", &session)
    );
    assert_eq!(a.status, 200, "{a:?}");
    assert_eq!(a.header("x-version"), b.header("x-version"));
}

/// A request with a modified token must be refused without being run.
#[tokio::test(flavor = "multi_thread")]
async fn forged_token() {
    let plan = LocalPlan::small(&["lima-ate"]);
    let serving = RunningFleet::start(FLEET, plan, RunnerConfig::default()).await;
    let caller = serving.caller();
    let first = caller
        .chat("question", "uno", &[("x-session", "new")])
        .await;
    let mut token = first.header("x-session").to_owned();
    token.replace_range(8..9, if &token[8..9] == "A" { "B" } else { "A" });
    let answer = caller
        .chat("question", "dos", &[("x-session", token.as_str())])
        .await;
    assert_eq!(answer.status, 400);
    assert_eq!(answer.header("content-type"), "application/problem+json");
    let text = String::from_utf8_lossy(&answer.body);
    assert!(text.contains("\"outcome\":\"not_run\""), "{text}");
}
