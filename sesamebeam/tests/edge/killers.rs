//! Requests that crash backend servers.

use std::time::Duration;

use sesamebeam::local::LocalPlan;
use sesamebeam_fakes::RunnerConfig;

use super::serving::RunningFleet;

const FLEET: &str = include_str!("fleet.toml");

/// Prompt that crashes every engine that runs it.
const KILLER: &str = "divide por cero";

/// Guards against quarantining a request that arrives while all backend servers
/// are down. Its connections are refused, so it never ran. It must get the status
/// for a missing backend server and be served once they are back.
#[tokio::test(flavor = "multi_thread")]
async fn request_while_servers_down() {
    let plan = LocalPlan::small(&["lima-ate"]);
    let serving = RunningFleet::start(FLEET, plan, RunnerConfig::default()).await;
    for runner in &serving.servers.runners {
        runner.die().await;
    }
    let caller = serving.caller();
    for _ in 0..3 {
        let answer = caller.chat("question", "y ahora?", &[]).await;
        assert_eq!(answer.status, 503, "{answer:?}");
    }
    for runner in &serving.servers.runners {
        runner.restart().await.expect("it comes back");
    }
    loop {
        let answer = caller.chat("question", "y ahora?", &[]).await;
        if answer.status == 200 {
            break;
        }
        assert_eq!(answer.status, 503, "{answer:?}");
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

/// A request crashes every backend server that runs it. The first attempts may
/// end in an error. After the second crash the request must be quarantined and
/// refused immediately, whatever its class and key, and other requests must be
/// served once the engines are back.
#[tokio::test(flavor = "multi_thread")]
async fn killer_request() {
    let base = RunnerConfig {
        restart_after: Some(Duration::from_millis(200)),
        ..RunnerConfig::default()
    };
    let serving = RunningFleet::start(FLEET, LocalPlan::small(&["lima-ate"]), base).await;
    for runner in &serving.servers.runners {
        runner.add_killer(KILLER);
    }
    let caller = serving.caller();
    let mut tries = 0;
    let refused = loop {
        let answer = caller.chat("question", KILLER, &[]).await;
        if answer.status == 422 {
            break answer;
        }
        tries += 1;
        assert!(tries < 50, "never quarantined: {answer:?}");
        tokio::time::sleep(Duration::from_millis(50)).await;
    };
    let text = String::from_utf8_lossy(&refused.body).into_owned();
    assert!(text.contains("quarantined"), "{text}");
    assert!(!text.contains("retry_after_ms"), "{text}");
    let crashes = |serving: &RunningFleet| -> u32 {
        let runners = &serving.servers.runners;
        runners.iter().map(|runner| runner.books().crashes()).sum()
    };
    let before = crashes(&serving);
    assert!(before >= 2, "{before} crashes");
    let again = caller.chat("question", KILLER, &[]).await;
    assert_eq!(again.status, 422);
    assert_eq!(crashes(&serving), before, "it runs no more");
    serving.wait_until(|entry| entry.servers() >= 2).await;
    let mut served = caller.chat("question", "y esto?", &[]).await;
    while served.status != 200 {
        tokio::time::sleep(Duration::from_millis(50)).await;
        served = caller.chat("question", "y esto?", &[]).await;
    }
}
