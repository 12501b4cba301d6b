//! The complete path of requests through the processes.

use std::time::Duration;

use sesamebeam::local::LocalPlan;
use sesamebeam_core::fleet::VersionState;
use sesamebeam_fakes::expected_answer_of;

use super::fleet::{
    DOMAINS,
    RunningFleet,
    start_fleet,
    started_runs, //
};

/// Sends a question, a job sheet that is resent through another entry, and a
/// request to a plain service, then withdraws a version and checks the bills.
#[tokio::test(flavor = "multi_thread")]
async fn whole_path() {
    let RunningFleet {
        processes,
        mut fleet,
        base,
        servers,
        cancel: _cancel,
        ..
    } = start_fleet(&LocalPlan::small(&DOMAINS), Duration::ZERO).await;
    let first = processes.caller(0);

    let answer = first.chat("question", "que cable uso?", &[]).await;
    let version = answer.header("x-version").to_owned();
    assert_eq!(
        answer.text(),
        expected_answer_of(&version, "que cable uso?", 24)
    );

    let key = [("idempotency-key", "parte-1")];
    let sheet = first.chat("job-sheet", "parte de obra 1", &key).await;
    assert_eq!(sheet.status, 200, "{sheet:?}");
    let text = sheet.text();
    let second = processes.caller(1);
    let again = second.chat("job-sheet", "parte de obra 1", &key).await;
    assert_eq!(again.text(), text);
    assert_eq!(
        started_runs(&servers, "parte de obra 1"),
        1,
        "the sheet ran once"
    );

    let call = first
        .send(
            "POST",
            "/services/registro-partes/partes",
            &[("idempotency-key", "registro-1")],
            b"{\"parte\":1}".to_vec(),
        )
        .await
        .expect("an answer");
    assert_eq!(call.status, 200, "{call:?}");
    let effects: usize = servers
        .services
        .iter()
        .map(|service| service.effects_of_key("registro-1"))
        .sum();
    assert_eq!(effects, 1, "the call ran once");

    fleet.models[0].versions[0].state = VersionState::Withdrawn;
    processes.apply(base, &fleet).await;
    for entry in 0..3 {
        let answer = processes
            .caller(entry)
            .chat("question", "y ahora?", &[])
            .await;
        assert_eq!(answer.header("x-version"), "asistente@v2");
    }
    processes.wait_for_status(|status| status.bills == 2).await;
}
