//! Processes that are suspended for longer than their lease, then resumed.

use std::time::Duration;

use http_body_util::BodyExt;
use rustix::process::Signal;
use sesamebeam::local::LocalPlan;
use sesamebeam_core::{
    fleet::VersionState,
    message::control::EntryStatus, //
};
use sesamebeam_fakes::expected_answer_of;

use super::fleet::{
    DOMAINS,
    RunningFleet,
    start_fleet,
    started_runs, //
};

/// The leader of the control group is suspended. The others elect a new one, which
/// accepts a withdrawal. When the old leader resumes, it still considers itself
/// the leader for a moment, but its lease has expired: it must answer nothing and
/// follow the new leader, and the withdrawal must stay in force at every entry
/// that has a lease. An entry without one, since it was not scheduled for that
/// long, keeps using the settled version it knows, so the test waits for all
/// leases.
#[tokio::test(flavor = "multi_thread")]
async fn frozen_leader() {
    let RunningFleet {
        processes,
        mut fleet,
        base,
        servers: _servers,
        cancel: _cancel,
        ..
    } = start_fleet(&LocalPlan::small(&DOMAINS), Duration::ZERO).await;
    let status = processes
        .wait_for_status(|status| status.leader.is_some())
        .await;
    let leader = status.leader.expect("a leader");
    let name = format!("control-{leader}");

    processes.signal(&name, Signal::STOP);
    processes
        .wait_for_status(|status| status.leader.is_some_and(|new| new != leader))
        .await;
    fleet.models[0].versions[0].state = VersionState::Withdrawn;
    let revision = processes.apply(base, &fleet).await;
    processes.signal(&name, Signal::CONT);
    processes
        .wait_for_any_status(|status| status.node == leader && status.revision == revision)
        .await;
    processes
        .wait_for_status(|status| {
            let leased = |e: &EntryStatus| e.revision >= revision && !e.lease_left.is_zero();
            status.entries.iter().filter(|e| leased(e)).count() == DOMAINS.len()
        })
        .await;
    for entry in 0..DOMAINS.len() {
        let answer = processes
            .caller(entry)
            .chat("question", "sigue?", &[])
            .await;
        assert_eq!(answer.header("x-version"), "asistente@v2");
    }
}

/// An entry is suspended during a request. The caller resends the request through
/// another entry, which reads the stream from the backend server named in the
/// claim. The resumed entry also completes the answer and records it again. The
/// request must run once and be billed once.
#[tokio::test(flavor = "multi_thread")]
async fn frozen_entry() {
    let RunningFleet {
        processes,
        servers,
        cancel: _cancel,
        ..
    } = start_fleet(&LocalPlan::small(&DOMAINS), Duration::from_millis(60)).await;

    let prompt = "parte helado";
    let key = [("idempotency-key", "parte-7")];
    let first = processes.caller(0);
    let mut stream = first.stream("job-sheet", prompt, &key).await;
    stream.body.frame().await.expect("a piece").expect("whole");
    processes.signal("lima-ate-1", Signal::STOP);
    let answer = processes.caller(1).chat("job-sheet", prompt, &key).await;
    assert_eq!(answer.status, 200, "{answer:?}");
    let expected = expected_answer_of(answer.header("x-version"), prompt, 24);
    assert_eq!(answer.text(), expected);
    // The lease of the suspended entry expires before it resumes.
    processes
        .wait_for_status(|status| {
            let frozen = status.entries.iter().find(|e| e.instance == "lima-ate-1");
            frozen.is_none_or(|entry| entry.lease_left.is_zero())
        })
        .await;
    processes.signal("lima-ate-1", Signal::CONT);
    processes
        .wait_for_status(|status| {
            let frozen = status.entries.iter().find(|e| e.instance == "lima-ate-1");
            frozen.is_some_and(|entry| !entry.lease_left.is_zero())
        })
        .await;
    let again = processes.caller(0).chat("job-sheet", prompt, &key).await;
    assert_eq!(again.text(), expected);
    assert_eq!(started_runs(&servers, prompt), 1, "the sheet ran once");
    processes.wait_for_status(|status| status.bills == 1).await;
}
