//! A file from `apply` to in force at nine entries.

use std::{
    path::Path,
    time::Instant, //
};

use super::{
    CommitError,
    Replicas, //
};
use crate::load::{
    bed::fleet,
    generator::{
        histogram,
        quantile,
        record, //
    },
    micros,
};

/// Entries in each of the three failure domains.
const ENTRIES: usize = 3;

/// Files that are applied.
const ROUNDS: usize = 60;

pub(super) async fn run(data: &Path) -> Result<(), CommitError> {
    println!("\nfrom apply to in force at {} entries", ENTRIES * 3);
    let replicas = Replicas::start(ENTRIES, data).await?;
    let (mut accepted, mut in_force) = (histogram(), histogram());
    let mut fleet = fleet(32)?;
    let mut revision = replicas.group.status().await?.revision;
    for round in 0..ROUNDS {
        fleet.organisations[0].share = 1.0 + (round % 2) as f64;
        let start = Instant::now();
        revision = replicas.group.apply(revision, &fleet).await?;
        record(&mut accepted, start.elapsed());
        replicas
            .group
            .until("the file in force", |status| status.in_force >= revision)
            .await?;
        record(&mut in_force, start.elapsed());
    }
    println!(
        "  accepted p50 {} p99 {}; in force p50 {} p99 {}; {ROUNDS} files",
        micros(quantile(&accepted, 0.5)),
        micros(quantile(&accepted, 0.99)),
        micros(quantile(&in_force, 0.5)),
        micros(quantile(&in_force, 0.99)),
    );
    Ok(())
}
