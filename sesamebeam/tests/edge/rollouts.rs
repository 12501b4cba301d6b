//! Roll-outs through the whole system: orders, shares, ratings, holds.

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
    PATIENCE,
    Serving, //
};

/// Version that rolls out.
const NEW: &str = "parte@v8";

/// A fleet with one settled version and a cheaper one that rolls out in two
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

/// Starts a fleet whose rating service finds this share of v8's answers good.
async fn start(good: f64, cancel: &CancellationToken) -> (Serving, RatingService) {
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
    let serving = Serving::start(FLEET, plan, RunnerConfig::default()).await;
    (serving, rating)
}

/// State of the roll-out, as the leader tells it.
async fn state(serving: &Serving) -> Option<RolloutState> {
    let status = serving.status(|_| true).await;
    let view = status.live.rollouts.iter().find(|r| r.version == NEW);
    view.map(|view| view.state)
}

/// Asks questions until the roll-out is in a state; returns how many v8 answered.
async fn ask_until(serving: &Serving, wanted: RolloutState) -> usize {
    let caller = serving.caller();
    let mut by_new = 0;
    let until = Instant::now() + PATIENCE;
    for n in 0.. {
        let answer = caller.chat("question", &format!("pregunta {n}"), &[]).await;
        assert_eq!(answer.status, 200, "{answer:?}");
        by_new += usize::from(answer.header("x-version") == NEW);
        if n % 10 == 0 && state(serving).await == Some(wanted) {
            break;
        }
        let late = Instant::now() >= until;
        assert!(!late, "the roll-out is at {:?}", state(serving).await);
    }
    by_new
}

/// The engines are ordered to load the new version, it takes its share of the
/// questions, its good ratings open step after step, and in the end it is in
/// full use.
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

/// Half of the new version's answers are poor. The entry's own test holds it
/// after few of them and the control group holds it everywhere: the callers get
/// the settled version from then on.
#[tokio::test(flavor = "multi_thread")]
async fn bad_version() {
    let cancel = CancellationToken::new();
    let (serving, _rating) = start(0.3, &cancel).await;
    ask_until(&serving, RolloutState::Held).await;
    serving
        .status(|s| s.live.held.iter().any(|v| v == NEW))
        .await;
    let caller = serving.caller();
    for n in 0..20 {
        let answer = caller.chat("question", &format!("luego {n}"), &[]).await;
        assert_eq!(answer.header("x-version"), "parte@v7");
    }
    cancel.cancel();
}
