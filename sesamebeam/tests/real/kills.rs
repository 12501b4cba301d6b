//! Entries that are killed.

use std::time::Duration;

use http_body_util::BodyExt;
use sesamebeam::local::LocalPlan;
use sesamebeam_fakes::expected_answer_of;

use super::fleet::{
    DOMAINS,
    Served,
    runs,
    served, //
};

/// The caller's connection breaks in the middle of a job sheet, because its
/// entry is killed after the sheet was claimed and sent. The caller sends the
/// sheet again through another entry and gets the whole answer: that entry finds
/// the claim and reads the stream, which ran on at the backend server.
#[tokio::test(flavor = "multi_thread")]
async fn killed_entry() {
    let Served {
        mut processes,
        servers,
        cancel: _cancel,
        ..
    } = served(&LocalPlan::small(&DOMAINS), Duration::from_millis(60)).await;

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
    assert_eq!(runs(&servers, prompt), 1, "the sheet ran once");
    processes.until(|status| status.bills == 1).await;
}
