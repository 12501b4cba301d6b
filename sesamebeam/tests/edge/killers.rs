//! Requests that crash backend servers.

use std::time::Duration;

use sesamebeam::local::LocalPlan;
use sesamebeam_fakes::RunnerConfig;

use super::serving::Serving;

const FLEET: &str = include_str!("fleet.toml");

/// A prompt that takes every engine down that runs it.
const KILLER: &str = "divide por cero";

/// Both backend servers are down when a question comes: its connections are
/// refused, one after the other, so that it never ran on either. It is told that
/// there is no backend server, not that it crashes them, and is served when they
/// are back.
#[tokio::test(flavor = "multi_thread")]
async fn innocent_request() {
    let plan = LocalPlan::small(&["lima-ate"]);
    let serving = Serving::start(FLEET, plan, RunnerConfig::default()).await;
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

/// One question crashes each backend server that runs it. The caller's first
/// try may end in an error, the second crash singles the question out, and from
/// then on its caller gets the final answer at once, whatever its class and key;
/// the engines come back and other questions are served.
#[tokio::test(flavor = "multi_thread")]
async fn killer_request() {
    let base = RunnerConfig {
        restart_after: Some(Duration::from_millis(200)),
        ..RunnerConfig::default()
    };
    let serving = Serving::start(FLEET, LocalPlan::small(&["lima-ate"]), base).await;
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
    let crashes = |serving: &Serving| -> u32 {
        let runners = &serving.servers.runners;
        runners.iter().map(|runner| runner.books().crashes()).sum()
    };
    let before = crashes(&serving);
    assert!(before >= 2, "{before} crashes");
    let again = caller.chat("question", KILLER, &[]).await;
    assert_eq!(again.status, 422);
    assert_eq!(crashes(&serving), before, "it runs no more");
    serving.until(|entry| entry.servers() >= 2).await;
    let mut served = caller.chat("question", "y esto?", &[]).await;
    while served.status != 200 {
        tokio::time::sleep(Duration::from_millis(50)).await;
        served = caller.chat("question", "y esto?", &[]).await;
    }
}
