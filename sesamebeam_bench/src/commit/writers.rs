//! Commits by one writer and by many, against one fsync on the same disk.

use std::{
    fs::File,
    io::Write,
    path::Path,
    sync::{
        Arc,
        atomic::{
            AtomicU64,
            Ordering, //
        }, //
    },
    time::{
        Duration,
        Instant, //
    },
};

use futures::future::join_all;
use hdrhistogram::Histogram;
use sesamebeam_core::message::control::{
    ControlReply,
    ControlRequest, //
};

use super::{
    CommitError,
    Replicas,
    claims::claim,
    entry, //
};
use crate::{
    daemons::control_name,
    group::{
        Group,
        PATIENCE, //
    },
    load::{
        generator::{
            histogram,
            quantile,
            record, //
        },
        micros, //
    },
    slopes::Found,
};

/// Writers of the runs beside the lone one. A commit costs less the more of
/// them share a write, so that no line fits; the first, dearest one is stored.
const WRITERS: [usize; 3] = [8, 64, 256];

/// Writers that share one link, as the requests of one entry do.
const A_LINK: usize = 8;

/// Bytes that the bare fsync writes: as many as a claim has.
const RECORD: usize = 192;

/// What writers did.
struct Written {
    commits: u64,
    latency: Histogram<u64>,
    wall: f64,
}

impl Written {
    fn rate(&self) -> f64 {
        self.commits as f64 / self.wall
    }
}

pub(super) async fn run(length: Duration, data: &Path) -> Result<Vec<Found>, CommitError> {
    println!("\ncommits of claims by writers over the link, three replicas on one disk");
    let replicas = Replicas::start(0, data).await?;
    let leader = replicas.group.status().await?.node;
    let controls = &replicas.daemons.settings.controls;
    let follower = controls.iter().find(|c| c.node != leader);
    let names = [leader, follower.map_or(leader, |c| c.node)].map(control_name);
    let numbers = Arc::new(AtomicU64::new(1));
    let mut cores = [0.0; 2];

    let (lone, fsync) = lone(&replicas, &numbers, length).await?;
    let ratio = micros_of(&lone.latency) / micros_of(&fsync).max(1.0);
    println!(
        "  one fsync of {RECORD} bytes: p50 {} p99 {}",
        micros(quantile(&fsync, 0.5)),
        micros(quantile(&fsync, 0.99))
    );
    println!(
        "  1 writer: {:.0}/s, p50 {} p99 {}: {ratio:.2} fsync at p50",
        lone.rate(),
        micros(quantile(&lone.latency, 0.5)),
        micros(quantile(&lone.latency, 0.99)),
    );
    for writers in WRITERS {
        let before = times(&replicas, &names)?;
        let written = many(&replicas, writers, &numbers, length).await?;
        let after = times(&replicas, &names)?;
        let spent = [0, 1].map(|at| (after[at] - before[at]).as_secs_f64());
        if writers == WRITERS[0] {
            cores = spent.map(|spent| spent / written.commits.max(1) as f64);
        }
        println!(
            "  {writers} writers: {:.0}/s, {:.1} times one writer, p50 {} p99 {}; leader {:.0}% of a core",
            written.rate(),
            written.rate() / lone.rate(),
            micros(quantile(&written.latency, 0.5)),
            micros(quantile(&written.latency, 0.99)),
            100.0 * spent[0] / written.wall,
        );
    }
    let status = replicas.group.status().await?;
    let bytes = folder_bytes(&replicas.daemons.settings.controls[0].data)?;
    println!(
        "  {} entries committed, {} claims kept; the folder of replica 1 has {:.1} MB after its snapshots",
        status.committed,
        status.claims,
        bytes as f64 / 1e6
    );
    let [leader, follower] = cores;
    println!(
        "  {:.1} us of the leader and {:.1} us of a follower a commit, with {} writers",
        leader * 1e6,
        follower * 1e6,
        WRITERS[0],
    );
    Ok(vec![
        Found::new("commit.fsync", seconds(&fsync), "s", "one fsync, p50"),
        Found::new(
            "commit.lone",
            seconds(&lone.latency),
            "s",
            "commit of a lone writer over the link, p50",
        ),
        Found::new(
            "leader.commit",
            leader,
            "s/commit",
            "leader, processor time of a commit with 8 writers",
        ),
        Found::new(
            "follower.commit",
            follower,
            "s/commit",
            "follower, processor time of a commit with 8 writers",
        ),
    ])
}

/// Writes claims one after the other, each followed by a bare fsync in the
/// same folder, so that both meet the same disk in the same moment.
async fn lone(
    replicas: &Replicas,
    numbers: &Arc<AtomicU64>,
    length: Duration,
) -> Result<(Written, Histogram<u64>), CommitError> {
    let group = entry(&replicas.daemons, "lone")?;
    let mut file = File::create(replicas.daemons.root().join("fsync"))?;
    let (mut latency, mut fsync) = (histogram(), histogram());
    let until = Instant::now() + length;
    let mut waited = Duration::ZERO;
    write(&group, "lone", numbers).await;
    while Instant::now() < until {
        if let Some(took) = write(&group, "lone", numbers).await {
            record(&mut latency, took);
            waited += took;
        }
        let at = Instant::now();
        file.write_all(&[0x5a; RECORD])?;
        file.sync_data()?;
        record(&mut fsync, at.elapsed());
    }
    let written = Written {
        commits: latency.len(),
        wall: waited.as_secs_f64(),
        latency,
    };
    Ok((written, fsync))
}

async fn many(
    replicas: &Replicas,
    writers: usize,
    numbers: &Arc<AtomicU64>,
    length: Duration,
) -> Result<Written, CommitError> {
    let mut tasks = Vec::new();
    let mut groups = Vec::new();
    for link in 0..writers.div_ceil(A_LINK) {
        let name = format!("w{link}");
        let group = Arc::new(entry(&replicas.daemons, &name)?);
        write(&group, &name, numbers).await;
        groups.push((name, group));
    }
    let start = Instant::now();
    for writer in 0..writers {
        let (name, group) = groups[writer / A_LINK].clone();
        let numbers = Arc::clone(numbers);
        tasks.push(tokio::spawn(async move {
            let mut latency = histogram();
            while start.elapsed() < length {
                if let Some(took) = write(&group, &name, &numbers).await {
                    record(&mut latency, took);
                }
            }
            latency
        }));
    }
    let mut latency = histogram();
    for one in join_all(tasks).await.into_iter().flatten() {
        // Both have the same bounds, so that adding cannot fail.
        let _ = latency.add(&one);
    }
    Ok(Written {
        commits: latency.len(),
        latency,
        wall: start.elapsed().as_secs_f64(),
    })
}

/// Writes one claim; none if it was not committed.
pub(super) async fn write(group: &Group, entry: &str, numbers: &AtomicU64) -> Option<Duration> {
    let number = numbers.fetch_add(1, Ordering::Relaxed);
    let req = ControlRequest::Claim(claim(entry, number));
    let at = Instant::now();
    match group.ask(&req, PATIENCE).await {
        // A denial for want of room is committed like a grant.
        Some(ControlReply::Claim(_) | ControlReply::Denied(_)) => Some(at.elapsed()),
        _ => None,
    }
}

fn times(replicas: &Replicas, names: &[String; 2]) -> Result<[Duration; 2], CommitError> {
    Ok([
        replicas.daemons.processor_time(&names[0])?,
        replicas.daemons.processor_time(&names[1])?,
    ])
}

fn folder_bytes(folder: &Path) -> std::io::Result<u64> {
    let mut bytes = 0;
    for file in std::fs::read_dir(folder)? {
        let meta = file?.metadata()?;
        bytes += if meta.is_file() { meta.len() } else { 0 };
    }
    Ok(bytes)
}

fn micros_of(histogram: &Histogram<u64>) -> f64 {
    histogram.value_at_quantile(0.5) as f64
}

fn seconds(histogram: &Histogram<u64>) -> f64 {
    micros_of(histogram) / 1e6
}
