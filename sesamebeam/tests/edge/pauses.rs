//! Engines that turn requests away and ask for a pause.

use std::time::{
    Duration,
    Instant, //
};

use sesamebeam::local::LocalPlan;
use sesamebeam_fakes::RunnerConfig;

use super::serving::Serving;

const FLEET: &str = include_str!("fleet.toml");

/// Pause that an engine asks for.
const PAUSE: Duration = Duration::from_secs(2);

/// Time for which callers come, and their pause.
const CALLERS_FOR: Duration = Duration::from_millis(1500);
const CALLER_EVERY: Duration = Duration::from_millis(5);

/// Guards against an entry that sends on to an engine which asked it for a pause, and
/// against callers who are told another time than the end of it.
#[tokio::test(flavor = "multi_thread")]
async fn asked_for_a_pause() {
    let plan = LocalPlan::small(&["lima-ate"]);
    let serving = Serving::start(FLEET, plan, RunnerConfig::default()).await;
    let caller = serving.caller();
    let [one, other] = &serving.servers.runners[..] else {
        panic!("two engines");
    };
    // Two idle engines are compared on expected wait and equal ones are not drawn at random,
    // so only the engine that served last is sure to be tried next.
    caller.chat("question", "before", &[]).await;
    let (first, second) = match one.books().runs().is_empty() {
        true => (other, one),
        false => (one, other),
    };
    first.refuse(Some(PAUSE));
    let began = Instant::now();
    let mut asked = 0;
    while began.elapsed() < CALLERS_FOR {
        let answer = caller.chat("question", &format!("n {asked}"), &[]).await;
        assert_eq!(answer.status, 200, "the other one has room: {answer:?}");
        asked += 1;
        tokio::time::sleep(CALLER_EVERY).await;
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
