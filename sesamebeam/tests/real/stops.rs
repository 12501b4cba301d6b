//! Planned stops.

use std::time::Duration;

use futures::future::join_all;
use rustix::process::Signal;
use sesamebeam::local::LocalPlan;
use sesamebeam_fakes::expected_answer_of;

use super::fleet::{
    DOMAINS,
    Served,
    served,
    until, //
};

/// Requests that run while the stop begins.
const RUNNING: usize = 20;

/// Callers are in the middle of their answers when SIGTERM reaches their entry.
/// The entry first stops being ready, so that the balancer sends nothing more,
/// and ends only when every answer is whole: no caller notices.
#[tokio::test(flavor = "multi_thread")]
async fn planned_stop() {
    let Served {
        mut processes,
        servers,
        cancel: _cancel,
        ..
    } = served(&LocalPlan::small(&DOMAINS), Duration::from_millis(40)).await;

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
        until("every request at the engines", async || {
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
    assert!(processes.ended("lima-ate-1").await, "it ends well");
    processes
        .until(|status| status.bills == RUNNING as u64 / 2)
        .await;
}
