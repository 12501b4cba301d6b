//! Planned stops.

use std::time::Duration;

use futures::future::join_all;
use rustix::process::Signal;
use sesamebeam::local::LocalPlan;
use sesamebeam_fakes::expected_answer_of;

use super::fleet::{
    DOMAINS,
    RunningFleet,
    start_fleet,
    wait_until, //
};

/// Number of requests in progress when the stop starts.
const RUNNING: usize = 20;

/// Guards against requests that fail at a planned stop. An entry receives SIGTERM
/// while answers are streamed. It must report itself as not ready, so that the
/// load balancer sends no more requests, and exit only when every answer is
/// complete.
#[tokio::test(flavor = "multi_thread")]
async fn planned_stop() {
    let RunningFleet {
        mut processes,
        servers,
        cancel: _cancel,
        ..
    } = start_fleet(&LocalPlan::small(&DOMAINS), Duration::from_millis(40)).await;

    let caller = processes.caller(0);
    let prompts: Vec<String> = (0..RUNNING).map(|n| format!("pregunta {n}")).collect();
    let asked = join_all(prompts.iter().enumerate().map(|(n, prompt)| {
        let class = if n % 2 == 0 { "question" } else { "job-sheet" };
        let caller = &caller;
        async move {
            let key = format!("parada-{n}");
            caller
                .chat(class, prompt, &[("idempotency-key", &key)])
                .await
        }
    }));
    let stop = async {
        wait_until("every request at the engines", async || {
            let started: u32 = servers
                .runners
                .iter()
                .map(|r| r.books().totals().started)
                .sum();
            started >= RUNNING as u32
        })
        .await;
        processes.signal("lima-ate-1", Signal::TERM);
    };
    let (answers, ()) = tokio::join!(asked, stop);
    for (answer, prompt) in answers.iter().zip(&prompts) {
        assert_eq!(answer.status, 200, "{answer:?}");
        let expected = expected_answer_of(answer.header("x-version"), prompt, 24);
        assert_eq!(answer.text(), expected);
    }
    assert!(
        processes.wait_for_exit("lima-ate-1").await,
        "it exits successfully"
    );
    processes
        .wait_for_status(|status| status.bills == RUNNING as u64 / 2)
        .await;
}
