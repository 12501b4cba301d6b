//! The leader killed, again and again.

use std::{
    path::Path,
    sync::atomic::AtomicU64,
    time::{
        Duration,
        Instant, //
    },
};

use sesamebeam_core::ids::NodeId;

use super::{
    CommitError,
    Replicas,
    entry,
    operator,
    writers::write, //
};
use crate::{
    daemons::control_name,
    group::{
        Group,
        GroupError,
        PATIENCE, //
    },
};

/// Leaders that are killed.
const ROUNDS: usize = 9;

/// Leader lease as a share of the shortest election time-out, as the daemon
/// has it.
const LEASE_SHARE: f64 = 0.8;

/// Longest wait for the state of one replica.
const ONE_LOOK: Duration = Duration::from_millis(50);

pub(super) async fn run(data: &Path) -> Result<(), CommitError> {
    println!("\ntime to a new leader after a kill");
    let mut replicas = Replicas::start(0, data).await?;
    let election = replicas.daemons.settings.controls[0].timings.election_min;
    let lease = election.mul_f64(LEASE_SHARE);
    let (mut known, mut written) = (Vec::new(), Vec::new());
    let numbers = AtomicU64::new(1);
    for _ in 0..ROUNDS {
        // New connections each time: a connection to a killed replica would
        // have to time out first, and that is the link's time.
        let group = operator(&replicas.daemons)?;
        let old = group.status().await?.node;
        let writers: Vec<(NodeId, Group)> = survivors(&replicas, old)
            .map(|node| Ok((node, entry(&replicas.daemons, "w")?)))
            .collect::<Result<_, CommitError>>()?;
        for (node, writer) in &writers {
            writer.status_at(*node, ONE_LOOK).await;
        }
        replicas.daemons.kill(&control_name(old))?;
        let start = Instant::now();
        let new = new_leader(&group, &replicas, old, start).await?;
        known.push(start.elapsed());
        if let Some((_, writer)) = writers.iter().find(|(node, _)| *node == new) {
            write(writer, "w", &numbers).await;
            written.push(start.elapsed());
        }
        let lost = replicas
            .daemons
            .settings
            .controls
            .iter()
            .find(|c| c.node == old);
        if let Some(control) = lost.cloned() {
            replicas.daemons.start_control(&control, false)?;
        }
        group
            .until("the restarted replica", |status| {
                status.replicas.iter().all(|r| r.silent < election)
            })
            .await?;
        group.close();
    }
    for (what, mut times) in [("is known", known), ("has committed a write", written)] {
        times.sort();
        let (Some(least), Some(most)) = (times.first(), times.last()) else {
            continue;
        };
        let middle = times[times.len() / 2];
        println!(
            "  a new leader {what}: p50 {middle:.0?} ({:.1} leases of {lease:.0?}), from {least:.0?} to {most:.0?}, {} kills",
            middle.as_secs_f64() / lease.as_secs_f64(),
            times.len()
        );
    }
    Ok(())
}

async fn new_leader(
    group: &Group,
    replicas: &Replicas,
    old: NodeId,
    start: Instant,
) -> Result<NodeId, CommitError> {
    while start.elapsed() < PATIENCE {
        for node in survivors(replicas, old) {
            if let Some(status) = group.status_at(node, ONE_LOOK).await
                && status.leader == Some(node)
            {
                return Ok(node);
            }
        }
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
    Err(GroupError::Late("a new leader", PATIENCE).into())
}

fn survivors(replicas: &Replicas, old: NodeId) -> impl Iterator<Item = NodeId> + '_ {
    let controls = replicas.daemons.settings.controls.iter();
    controls.map(|c| c.node).filter(move |node| *node != old)
}
