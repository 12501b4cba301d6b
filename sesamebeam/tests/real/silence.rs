//! Existing connections that go silent while new ones work.

use std::time::Duration;

use http_body_util::BodyExt;
use sesamebeam::{
    http::sse,
    local::LocalPlan, //
};
use sesamebeam_fakes::expected_answer_of;

use super::fleet::{
    DOMAINS,
    RunningFleet,
    start_fleet,
    started_runs, //
};

/// Guards against a stream that hangs when every open connection to the backend
/// servers goes silent while new connections work. The entry must retire the old
/// connections and resume the stream on a new one, so that the caller sees only a
/// pause and the request runs once.
#[tokio::test(flavor = "multi_thread")]
async fn silent_connection() {
    let mut plan = LocalPlan::small(&DOMAINS);
    plan.entry.progress_timeout = Duration::from_millis(500);
    let RunningFleet {
        processes,
        servers,
        cancel: _cancel,
        ..
    } = start_fleet(&plan, Duration::from_millis(50)).await;

    let prompt = "parte mudo";
    let key = [("idempotency-key", "parte-5")];
    let caller = processes.caller(0);
    let mut stream = caller.stream("job-sheet", prompt, &key).await;
    let version = stream.headers["x-version"]
        .to_str()
        .expect("text")
        .to_owned();
    let mut body = Vec::new();
    let first = stream.body.frame().await.expect("a piece").expect("whole");
    body.extend_from_slice(first.data_ref().expect("bytes"));
    for runner in &servers.runners {
        runner.silence();
    }
    while let Some(frame) = stream.body.frame().await {
        body.extend_from_slice(frame.expect("whole").data_ref().expect("bytes"));
    }
    let text = sse::assemble(&body).text;
    assert_eq!(text, expected_answer_of(&version, prompt, 24));
    assert_eq!(started_runs(&servers, prompt), 1, "the sheet ran once");
    processes.wait_for_status(|status| status.bills == 1).await;
}
