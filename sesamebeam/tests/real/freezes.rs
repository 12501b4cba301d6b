//! Processes that are frozen for longer than their lease, and go on.

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
    Served,
    runs,
    served, //
};

/// The leader of the control group is frozen. The others elect a new one, which
/// accepts a withdrawal. When the frozen one goes on, it takes itself for the
/// leader for an instant, but its lease is over: it answers nothing, follows the
/// new leader, and the withdrawal stays in force at every entry that has a lease.
/// One that has none, as it was not run for that long, goes on with the settled
/// version that it knows, so that the test waits for all leases.
#[tokio::test(flavor = "multi_thread")]
async fn frozen_leader() {
    let Served {
        processes,
        mut fleet,
        base,
        servers: _servers,
        cancel: _cancel,
        ..
    } = served(&LocalPlan::small(&DOMAINS), Duration::ZERO).await;
    let status = processes.until(|status| status.leader.is_some()).await;
    let leader = status.leader.expect("a leader");
    let name = format!("control-{leader}");

    processes.signal(&name, Signal::STOP);
    processes
        .until(|status| status.leader.is_some_and(|new| new != leader))
        .await;
    fleet.models[0].versions[0].state = VersionState::Withdrawn;
    let revision = processes.apply(base, &fleet).await;
    processes.signal(&name, Signal::CONT);
    processes
        .until_any(|status| status.node == leader && status.revision == revision)
        .await;
    processes
        .until(|status| {
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

/// An entry is frozen in the middle of a job sheet. The caller gives up waiting
/// and sends the sheet again through another entry, which reads the stream at
/// the claimed backend server. The frozen entry goes on, finds its answer whole
/// too and records it again: the sheet ran once and is billed once.
#[tokio::test(flavor = "multi_thread")]
async fn frozen_entry() {
    let Served {
        processes,
        servers,
        cancel: _cancel,
        ..
    } = served(&LocalPlan::small(&DOMAINS), Duration::from_millis(60)).await;

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
    // The lease of the frozen entry ends before it goes on.
    processes
        .until(|status| {
            let frozen = status.entries.iter().find(|e| e.instance == "lima-ate-1");
            frozen.is_none_or(|entry| entry.lease_left.is_zero())
        })
        .await;
    processes.signal("lima-ate-1", Signal::CONT);
    processes
        .until(|status| {
            let frozen = status.entries.iter().find(|e| e.instance == "lima-ate-1");
            frozen.is_some_and(|entry| !entry.lease_left.is_zero())
        })
        .await;
    let again = processes.caller(0).chat("job-sheet", prompt, &key).await;
    assert_eq!(again.text(), expected);
    assert_eq!(runs(&servers, prompt), 1, "the sheet ran once");
    processes.until(|status| status.bills == 1).await;
}
