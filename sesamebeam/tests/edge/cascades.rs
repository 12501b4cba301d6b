//! Cascades with a rating service over HTTP.

use sesamebeam::local::LocalPlan;
use sesamebeam_fakes::{
    RatingConfig,
    RatingService,
    RunnerConfig,
    expected_answer_of,
    rating::Mode, //
};
use tokio_util::sync::CancellationToken;

use super::serving::RunningFleet;

const FLEET: &str = include_str!("fleet.toml");

/// Version whose answers are forwarded without a score.
const STRONG: &str = "fuerte@v1";

/// Number of requests; enough for answers of both versions.
const QUESTIONS: usize = 40;

/// Answers of the cheap version are rated before they are forwarded, and replaced
/// by an answer of the stronger version if the rating is bad. The caller must
/// receive only complete answers of one version.
#[tokio::test(flavor = "multi_thread")]
async fn cheap_first() {
    let cancel = CancellationToken::new();
    let rating = RatingService::start(RatingConfig::default(), cancel.clone())
        .await
        .expect("a rating service");
    let mut plan = LocalPlan::small(&["lima-ate"]);
    plan.rating = Some(rating.addr());
    let serving = RunningFleet::start(FLEET, plan, RunnerConfig::default()).await;
    let caller = serving.caller();
    let mut cheap = 0;
    for n in 0..QUESTIONS {
        let prompt = format!("pregunta {n}");
        let answer = caller.chat("question", &prompt, &[]).await;
        let version = answer.header("x-version").to_owned();
        assert_eq!(answer.text(), expected_answer_of(&version, &prompt, 24));
        cheap += usize::from(version == "ligero@v1");
    }
    assert!(cheap > 0, "the cheap version answered nothing");
    cancel.cancel();
}

/// The rating service stops answering. The first request that needs a score waits
/// until its timeout and is answered by the stronger version. From then on, no
/// request waits, and no answer of the cheap version is forwarded without a score.
#[tokio::test(flavor = "multi_thread")]
async fn silent_rater() {
    let cancel = CancellationToken::new();
    let rating = RatingService::start(RatingConfig::default(), cancel.clone())
        .await
        .expect("a rating service");
    rating.set_mode(Mode::Silent);
    let mut plan = LocalPlan::small(&["lima-ate"]);
    plan.rating = Some(rating.addr());
    let serving = RunningFleet::start(FLEET, plan, RunnerConfig::default()).await;
    let caller = serving.caller();
    // The cheap version may be tried until the failure has been detected.
    while caller
        .chat("question", "hay alguien", &[])
        .await
        .header("x-version")
        != STRONG
    {}
    for n in 0..5 {
        let answer = caller.chat("question", &format!("muda {n}"), &[]).await;
        assert_eq!(answer.header("x-version"), STRONG);
    }
    cancel.cancel();
}
