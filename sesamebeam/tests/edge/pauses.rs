//! Engines that reject requests and ask for a pause.

use std::time::{
    Duration,
    Instant, //
};

use sesamebeam::local::LocalPlan;
use sesamebeam_fakes::RunnerConfig;

use super::serving::RunningFleet;

const FLEET: &str = include_str!("fleet.toml");

/// Pause requested by an engine.
const PAUSE: Duration = Duration::from_secs(2);

/// Time for which requests are sent, and the pause between two of them.
const SENDING_TIME: Duration = Duration::from_millis(1500);
const SEND_INTERVAL: Duration = Duration::from_millis(5);

/// Guards against requests being sent to an engine during the pause it asked for, and
/// against a `Retry-After` for callers that does not match the end of the pause.
#[tokio::test(flavor = "multi_thread")]
async fn asked_for_a_pause() {
    let plan = LocalPlan::small(&["lima-ate"]);
    let serving = RunningFleet::start(FLEET, plan, RunnerConfig::default()).await;
    let caller = serving.caller();
    let [one, other] = &serving.servers.runners[..] else {
        panic!("two engines");
    };
    // Idle engines are compared by expected wait and ties are not broken at random, so it is
    // certain only that the engine that served last is tried next.
    caller.chat("question", "before", &[]).await;
    let (first, second) = match one.books().runs().is_empty() {
        true => (other, one),
        false => (one, other),
    };
    first.refuse(Some(PAUSE));
    let began = Instant::now();
    let mut asked = 0;
    while began.elapsed() < SENDING_TIME {
        let answer = caller.chat("question", &format!("n {asked}"), &[]).await;
        assert_eq!(answer.status, 200, "the other one has room: {answer:?}");
        asked += 1;
        tokio::time::sleep(SEND_INTERVAL).await;
    }
    let refused = first.books().refusals().len();
    assert!(
        (1..=2).contains(&refused),
        "{refused} in a pause, of {asked}"
    );

    second.refuse(Some(PAUSE));
    while second.books().refusals().is_empty() {
        caller.chat("question", "nadie", &[]).await;
    }
    let before = second.books().refusals().len();
    let answer = caller.chat("question", "y ahora", &[]).await;
    assert_eq!(answer.status, 503, "{answer:?}");
    let seconds: u64 = answer.header("retry-after").parse().expect("seconds");
    assert!(seconds <= 2 * PAUSE.as_secs() + 1, "{seconds}");
    assert_eq!(
        second.books().refusals().len(),
        before,
        "nothing reaches it"
    );
}
