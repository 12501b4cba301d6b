//! Rollouts through the complete system: loading, traffic shares, ratings, holds.

use std::time::{
    Duration,
    Instant, //
};

use sesamebeam::local::LocalPlan;
use sesamebeam_core::message::command::RolloutState;
use sesamebeam_fakes::{
    RatingConfig,
    RatingService,
    RunnerConfig, //
};
use tokio_util::sync::CancellationToken;

use super::serving::{
    RunningFleet,
    TIMEOUT, //
};

/// Version that is being rolled out.
const NEW: &str = "parte@v8";

/// A fleet with a settled version and a cheaper one that is rolled out in two
/// steps.
const FLEET: &str = r#"
name = "prueba"
domains = ["lima-ate"]

[[pool]]
name = "asistente-partes"
kind = "engine"
checks_fencing = true

[[model]]
name = "parte"
pool = "asistente-partes"

[[model.version]]
name = "v7"
cost = 2.0
prior = 0.95

[[model.version]]
name = "v8"
state = "rolling"
cost = 1.0
prior = 0.95

[[class]]
name = "question"

[[organisation]]
name = "obra"
key_sha256 = "KEY_HASH"
allow = ["parte@v7", "parte@v8"]

[[organisation.target]]
class = "question"
quality = 0.8
confidence = 0.5

[[rollout]]
version = "parte@v8"
steps = [0.3, 1.0]
gate = 10
dwell = "50ms"
copies = 2
"#;

/// Starts a fleet whose rating service rates a share `good` of v8's answers as
/// good.
async fn start(good: f64, cancel: &CancellationToken) -> (RunningFleet, RatingService) {
    let mut cfg = RatingConfig {
        lag: Duration::ZERO,
        jitter: Duration::ZERO,
        ..RatingConfig::default()
    };
    cfg.quality.by_version.insert(NEW.into(), good);
    cfg.quality.by_version.insert("parte@v7".into(), 0.98);
    let rating = RatingService::start(cfg, cancel.clone())
        .await
        .expect("a rating service");
    let mut plan = LocalPlan::small(&["lima-ate"]);
    plan.rating = Some(rating.addr());
    let serving = RunningFleet::start(FLEET, plan, RunnerConfig::default()).await;
    (serving, rating)
}

/// Returns the state of the rollout according to the leader.
async fn state(serving: &RunningFleet) -> Option<RolloutState> {
    let status = serving.wait_for_status(|_| true).await;
    let view = status.live.rollouts.iter().find(|r| r.version == NEW);
    view.map(|view| view.state)
}

/// Sends requests until the rollout reaches a state; returns how many v8 answered.
async fn ask_until(serving: &RunningFleet, wanted: RolloutState) -> usize {
    let caller = serving.caller();
    let mut by_new = 0;
    let deadline = Instant::now() + TIMEOUT;
    for n in 0.. {
        let answer = caller.chat("question", &format!("pregunta {n}"), &[]).await;
        assert_eq!(answer.status, 200, "{answer:?}");
        by_new += usize::from(answer.header("x-version") == NEW);
        if n % 10 == 0 && state(serving).await == Some(wanted) {
            break;
        }
        let late = Instant::now() >= deadline;
        assert!(
            !late,
            "timed out; the rollout is in state {:?}",
            state(serving).await
        );
    }
    by_new
}

/// The engines load the new version and it receives its share of the requests.
/// Good ratings advance the rollout step by step until it is done.
#[tokio::test(flavor = "multi_thread")]
async fn good_version() {
    let cancel = CancellationToken::new();
    let (serving, _rating) = start(0.98, &cancel).await;
    let by_new = ask_until(&serving, RolloutState::Done).await;
    assert!(by_new > 0);
    let loaded = |versions: &[smol_str::SmolStr]| versions.iter().any(|v| v == NEW);
    assert!(
        serving
            .servers
            .runners
            .iter()
            .all(|r| loaded(&r.versions()))
    );
    cancel.cancel();
}

/// Most answers of the new version are bad. The entry must hold the version after
/// a few of them and the control group must hold it everywhere, so that callers
/// get the settled version from then on.
#[tokio::test(flavor = "multi_thread")]
async fn bad_version() {
    let cancel = CancellationToken::new();
    let (serving, _rating) = start(0.3, &cancel).await;
    ask_until(&serving, RolloutState::Held).await;
    serving
        .wait_for_status(|s| s.live.held.iter().any(|v| v == NEW))
        .await;
    let caller = serving.caller();
    for n in 0..20 {
        let answer = caller.chat("question", &format!("luego {n}"), &[]).await;
        assert_eq!(answer.header("x-version"), "parte@v7");
    }
    cancel.cancel();
}
