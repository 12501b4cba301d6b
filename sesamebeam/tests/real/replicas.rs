//! Control replicas that are killed or lose their disks.

use std::{
    fs,
    time::Duration, //
};

use sesamebeam::{
    keys::Role,
    local::LocalPlan,
    settings::ControlSettings, //
};
use sesamebeam_core::message::control::{
    ControlReply,
    ControlRequest,
    Replace, //
};

use super::fleet::{
    DOMAINS,
    Processes,
    RunningFleet,
    fleet,
    start_fleet,
    started_runs,
    wait_until, //
};

/// All three control replicas are killed at once and restart from their disks.
/// Nothing that was acknowledged may be lost: the configuration is the accepted
/// one, and a request resent with its key gets its first answer.
#[tokio::test(flavor = "multi_thread")]
async fn killed_together() {
    let RunningFleet {
        mut processes,
        base: revision,
        servers,
        cancel: _cancel,
        ..
    } = start_fleet(&LocalPlan::small(&DOMAINS), Duration::ZERO).await;
    let prompt = "parte guardado";
    let key = [("idempotency-key", "parte-3")];
    let first = processes.caller(0).chat("job-sheet", prompt, &key).await;
    processes.wait_for_status(|status| status.bills == 1).await;

    for node in 1..=3 {
        processes.kill(&format!("control-{node}"));
    }
    for control in processes.settings.controls.clone() {
        processes.start_control(&control, None);
    }
    processes
        .wait_for_status(|status| status.revision == revision && status.bills == 1)
        .await;
    let caller = processes.caller(2);
    wait_until("the kept answer", async || {
        let again = caller.chat("job-sheet", prompt, &key).await;
        again.status == 200 && again.text() == first.text()
    })
    .await;
    assert_eq!(started_runs(&servers, prompt), 1, "the sheet ran once");
}

/// A control replica loses its disk and is replaced by one with a new number and
/// a new directory; immediately afterwards a second one fails. The group must
/// still have a quorum, which includes the replacement, and every record. Entries
/// and operators must find the replacement although their settings do not list
/// it: two of the three listed replicas are gone, and the third names it when it
/// leads.
#[tokio::test(flavor = "multi_thread")]
async fn replaced_disk() {
    let mut processes = Processes::start(&LocalPlan::small(&DOMAINS));
    let fleet = fleet();
    let revision = processes.apply(0, &fleet).await;
    let lost = processes.settings.controls[2].clone();
    processes.kill("control-3");
    fs::remove_dir_all(&lost.data).expect("the disk is lost");

    let new = replacement(&processes, &lost);
    processes.start_control(&new, Some("--join"));
    wait_until("the new folder's incarnation", async || {
        processes.stdout("control-4").contains("incarnation ")
    })
    .await;
    let printed = processes.stdout("control-4");
    let hex = printed.split_whitespace().nth(1).expect("a number");
    let replace = ControlRequest::Replace(Replace {
        old: 3,
        new: 4,
        addr: new.listen,
        incarnation: u128::from_str_radix(hex, 16).expect("hex"),
    });
    assert_eq!(processes.ask(&replace).await, ControlReply::Done);
    processes
        .wait_for_status(|status| {
            let voters: Vec<u64> = status
                .replicas
                .iter()
                .filter(|replica| replica.voter)
                .map(|replica| replica.node)
                .collect();
            voters == [1, 2, 4]
        })
        .await;

    processes.kill("control-1");
    let status = processes
        .wait_for_status(|status| status.leader.is_some_and(|leader| leader != 1))
        .await;
    assert_eq!(status.revision, revision);
    let mut renamed = fleet.clone();
    renamed.name = "prueba-2".into();
    let next = processes.apply(revision, &renamed).await;
    processes
        .wait_for_status(|status| {
            let newest = status.entries.iter().filter(|e| e.revision == next);
            newest.filter(|e| !e.lease_left.is_zero()).count() == DOMAINS.len()
        })
        .await;
}

/// Returns the settings of a replica that replaces a lost one on the same port.
fn replacement(processes: &Processes, lost: &ControlSettings) -> ControlSettings {
    let keys = processes.root().join("control-4");
    fs::create_dir_all(&keys).expect("a folder");
    let ca = &processes.settings.ca;
    let issued = ca.issue(&Role::Control(4)).expect("a certificate");
    issued.save(&keys, ca).expect("written");
    let mut new = lost.clone();
    new.node = 4;
    new.keys = keys;
    new.data = processes.root().join("data-4");
    new.replicas[2].node = 4;
    new
}

/// An operator restarts a replica that has lost its disk with `--init`, which is
/// for a new group. The replica must find that the others have a configuration
/// and refuse to start, since it has lost the vote that it may have cast.
#[tokio::test(flavor = "multi_thread")]
async fn init_refused() {
    let mut processes = Processes::start(&LocalPlan::small(&DOMAINS));
    processes.apply(0, &fleet()).await;
    let lost = processes.settings.controls[2].clone();
    processes.kill("control-3");
    fs::remove_dir_all(&lost.data).expect("the disk is lost");
    processes.start_control(&lost, Some("--init"));
    assert!(!processes.wait_for_exit("control-3").await, "it refuses");
    assert!(!lost.data.exists(), "no folder is made");
}
