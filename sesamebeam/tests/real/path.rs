//! The whole path between processes.

use std::time::Duration;

use sesamebeam::local::LocalPlan;
use sesamebeam_core::fleet::VersionState;
use sesamebeam_fakes::expected_answer_of;

use super::fleet::{
    DOMAINS,
    Served,
    runs,
    served, //
};

/// A question, a job sheet with its resend through another entry, a call of a
/// plain service, a withdrawal and the bills, from end to end.
#[tokio::test(flavor = "multi_thread")]
async fn whole_path() {
    let Served {
        processes,
        mut fleet,
        base,
        servers,
        cancel: _cancel,
        ..
    } = served(&LocalPlan::small(&DOMAINS), Duration::ZERO).await;
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
    assert_eq!(runs(&servers, "parte de obra 1"), 1, "the sheet ran once");

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
    processes.until(|status| status.bills == 2).await;
}
