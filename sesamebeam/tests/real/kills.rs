//! Entries that are killed.

use std::time::Duration;

use http_body_util::BodyExt;
use sesamebeam::local::LocalPlan;
use sesamebeam_fakes::expected_answer_of;

use super::fleet::{
    DOMAINS,
    RunningFleet,
    start_fleet,
    started_runs, //
};

/// An entry is killed after it has claimed and sent a request, which breaks the
/// caller's connection. The caller resends the request through another entry,
/// which must find the claim and read the stream from the backend server, where
/// it continued: the answer is complete and the request runs once.
#[tokio::test(flavor = "multi_thread")]
async fn killed_entry() {
    let RunningFleet {
        mut processes,
        servers,
        cancel: _cancel,
        ..
    } = start_fleet(&LocalPlan::small(&DOMAINS), Duration::from_millis(60)).await;

    let prompt = "parte cortado";
    let key = [("idempotency-key", "parte-9")];
    let first = processes.caller(0);
    let mut stream = first.stream("job-sheet", prompt, &key).await;
    let version = stream.headers["x-version"]
        .to_str()
        .expect("text")
        .to_owned();
    stream.body.frame().await.expect("a piece").expect("whole");
    processes.kill("lima-ate-1");

    let answer = processes.caller(1).chat("job-sheet", prompt, &key).await;
    assert_eq!(answer.status, 200, "{answer:?}");
    assert_eq!(answer.text(), expected_answer_of(&version, prompt, 24));
    assert_eq!(started_runs(&servers, prompt), 1, "the sheet ran once");
    processes.wait_for_status(|status| status.bills == 1).await;
}
