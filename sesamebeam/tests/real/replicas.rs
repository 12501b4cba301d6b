//! Control replicas that are killed, and disks that are lost.

use std::time::Duration;

use std::fs;

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
    Served,
    fleet,
    runs,
    served,
    until, //
};

/// All three control replicas are killed at once and come back from their
/// disks. The configuration is the accepted one, and a sheet that was sent
/// before gets its first answer again: nothing that was acknowledged is lost.
#[tokio::test(flavor = "multi_thread")]
async fn killed_together() {
    let Served {
        mut processes,
        base: revision,
        servers,
        cancel: _cancel,
        ..
    } = served(&LocalPlan::small(&DOMAINS), Duration::ZERO).await;
    let prompt = "parte guardado";
    let key = [("idempotency-key", "parte-3")];
    let first = processes.caller(0).chat("job-sheet", prompt, &key).await;
    processes.until(|status| status.bills == 1).await;

    for node in 1..=3 {
        processes.kill(&format!("control-{node}"));
    }
    for control in processes.settings.controls.clone() {
        processes.start_control(&control, None);
    }
    processes
        .until(|status| status.revision == revision && status.bills == 1)
        .await;
    let caller = processes.caller(2);
    until("the kept answer", async || {
        let again = caller.chat("job-sheet", prompt, &key).await;
        again.status == 200 && again.text() == first.text()
    })
    .await;
    assert_eq!(runs(&servers, prompt), 1, "the sheet ran once");
}

/// A control replica loses its disk and is replaced by one with a new number
/// and a new folder; right after the repair a second one fails. The group still
/// has a quorum, with the replacement in it, and still has every record. Entries
/// and operators find the replacement though their settings do not list it: two
/// of the three they list are gone, and the third names it when it leads.
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
    until("the new folder's incarnation", async || {
        processes.printed("control-4").contains("incarnation ")
    })
    .await;
    let printed = processes.printed("control-4");
    let hex = printed.split_whitespace().nth(1).expect("a number");
    let replace = ControlRequest::Replace(Replace {
        old: 3,
        new: 4,
        addr: new.listen,
        incarnation: u128::from_str_radix(hex, 16).expect("hex"),
    });
    assert_eq!(processes.ask(&replace).await, ControlReply::Done);
    processes
        .until(|status| {
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
        .until(|status| status.leader.is_some_and(|leader| leader != 1))
        .await;
    assert_eq!(status.revision, revision);
    let mut renamed = fleet.clone();
    renamed.name = "prueba-2".into();
    let next = processes.apply(revision, &renamed).await;
    processes
        .until(|status| {
            let newest = status.entries.iter().filter(|e| e.revision == next);
            newest.filter(|e| !e.lease_left.is_zero()).count() == DOMAINS.len()
        })
        .await;
}

/// Settings of the replica that takes the place of a lost one, on its port.
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

/// An operator starts a replica whose disk was lost with `--init`, as if the
/// group were made anew. The replica finds that the others have a configuration
/// and refuses: under its old incarnation it would have forgotten its vote.
#[tokio::test(flavor = "multi_thread")]
async fn init_refused() {
    let mut processes = Processes::start(&LocalPlan::small(&DOMAINS));
    processes.apply(0, &fleet()).await;
    let lost = processes.settings.controls[2].clone();
    processes.kill("control-3");
    fs::remove_dir_all(&lost.data).expect("the disk is lost");
    processes.start_control(&lost, Some("--init"));
    assert!(!processes.ended("control-3").await, "it refuses");
    assert!(!lost.data.exists(), "no folder is made");
}
