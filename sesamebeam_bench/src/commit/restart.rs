//! All replicas killed together after 100,000 entries, and started again.

use std::{
    path::Path,
    sync::{
        Arc,
        atomic::AtomicU64, //
    },
    time::{
        Duration,
        Instant, //
    },
};

use futures::future::join_all;

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
        GroupError,
        PATIENCE, //
    },
    slopes::Found,
};

/// Entries that are written before.
const ENTRIES: u64 = 100_000;

/// Writers that write them.
const WRITERS: usize = 256;

/// Writers that share a link.
const A_LINK: usize = 16;

/// Longest time for writing them.
const FILL_LIMIT: Duration = Duration::from_secs(120);

/// Line that a replica logs when it has read its folder and listens.
const SERVING: &str = "serving link=";

pub(super) async fn run(data: &Path) -> Result<Vec<Found>, CommitError> {
    println!("\nrestart of all replicas");
    let mut replicas = Replicas::start(0, data).await?;
    fill(&replicas).await?;
    let status = replicas.group.status().await?;
    let names: Vec<String> = (1..=3).map(control_name).collect();
    let memory = replicas.daemons.resident(&names[0])? as f64;
    println!(
        "  {} entries committed, {} claims kept, resident {:.1} MB",
        status.committed,
        status.claims,
        memory / 1e6
    );
    for name in &names {
        replicas.daemons.kill(name)?;
    }
    let before = names.iter().map(|name| serving(&replicas, name));
    let before: Vec<usize> = before.collect::<Result<_, _>>()?;
    let start = Instant::now();
    for control in replicas.daemons.settings.controls.clone() {
        replicas.daemons.start_control(&control, false)?;
    }
    let mut slowest = Duration::ZERO;
    for (name, before) in names.iter().zip(before) {
        while serving(&replicas, name)? == before {
            if start.elapsed() > PATIENCE {
                return Err(GroupError::Late("a restarted replica", PATIENCE).into());
            }
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
        slowest = slowest.max(start.elapsed());
    }
    let after = operator(&replicas.daemons)?;
    after.status().await?;
    let leader = start.elapsed();
    let writer = entry(&replicas.daemons, "after")?;
    write(&writer, "after", &AtomicU64::new(1)).await;
    let written = start.elapsed();
    // A new leader knows what is committed once it has committed something.
    let there = after.status().await?.committed;
    println!(
        "  slowest replica has read its folder and listens after {slowest:.0?}; a leader answers \
         after {leader:.0?}, a write is committed after {written:.0?}; {there} entries are there",
    );
    Ok(vec![Found {
        name: "control.restart",
        value: slowest.as_secs_f64(),
        unit: "s",
        of: "control replica, from start to listening after 100,000 entries",
    }])
}

async fn fill(replicas: &Replicas) -> Result<(), CommitError> {
    let numbers = Arc::new(AtomicU64::new(1));
    let mut tasks = Vec::new();
    let start = Instant::now();
    for link in 0..WRITERS / A_LINK {
        let name = format!("w{link}");
        let group = Arc::new(entry(&replicas.daemons, &name)?);
        for _ in 0..A_LINK {
            let (name, group, numbers) = (name.clone(), Arc::clone(&group), Arc::clone(&numbers));
            tasks.push(tokio::spawn(async move {
                use std::sync::atomic::Ordering;
                while numbers.load(Ordering::Relaxed) <= ENTRIES && start.elapsed() < FILL_LIMIT {
                    write(&group, &name, &numbers).await;
                }
            }));
        }
    }
    join_all(tasks).await;
    println!("  written in {:.1?}", start.elapsed());
    Ok(())
}

fn serving(replicas: &Replicas, name: &str) -> Result<usize, CommitError> {
    Ok(replicas.daemons.log(name)?.matches(SERVING).count())
}
