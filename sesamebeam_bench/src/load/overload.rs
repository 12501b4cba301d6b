//! Goodput and refusals above capacity.

use std::{
    path::Path,
    sync::Arc,
    time::Duration, //
};

use futures::future::join_all;
use tokio::time::Instant;

use super::{
    LoadError,
    bed::{
        Bed,
        BedPlan,
        DOMAINS, //
    },
    generator::{
        self,
        Counters,
        Load,
        Tally,
        Target,
        quantile, //
    },
    micros,
};

/// Requests that one runner runs side by side.
const SLOTS: usize = 8;

/// Runners.
const RUNNERS: usize = 3;

/// Tokens of an answer.
const TOKENS: u32 = 32;

/// Time between two tokens.
const PACE: Duration = Duration::from_millis(10);

/// Loads as multiples of the capacity.
const LOADS: [f64; 5] = [0.5, 0.8, 1.0, 1.5, 3.0];

/// Factor on the length of a run: queues need time to fill.
const LONGER: u32 = 3;

pub(super) async fn run(length: Duration, data: &Path) -> Result<(), LoadError> {
    let plan = BedPlan {
        entries: 1,
        runners: RUNNERS,
        slots: SLOTS,
        workers: None,
    };
    let bed = Bed::start(plan, data).await?;
    bed.pace(PACE);
    let capacity = (SLOTS * RUNNERS) as f64 / (PACE * TOKENS).as_secs_f64();
    println!("\nabove capacity: {capacity:.0} req/s by {RUNNERS} runners, deadline 2 s");
    println!(
        "  load   offered/s  whole/s  not run/s  other/s  broken  whole p50     p99  refusal p50     p99"
    );
    for multiple in LOADS {
        let rate = capacity * multiple;
        let load = Load {
            rate: rate / DOMAINS.len() as f64,
            tokens: TOKENS,
            callers: 256,
            length: length * LONGER,
        };
        let started = Instant::now();
        let tally = through_all(&bed, load).await;
        let wall = started.elapsed().as_secs_f64();
        println!(
            "  {multiple:4.1}  {:10.0}  {:7.1}  {:9.1}  {:7.1}  {:6}  {:>9}  {:>6}  {:>11}  {:>6}",
            rate,
            tally.whole as f64 / wall,
            tally.not_run as f64 / wall,
            tally.other as f64 / wall,
            tally.broken,
            micros(quantile(&tally.total, 0.5)),
            micros(quantile(&tally.total, 0.99)),
            micros(quantile(&tally.refusal, 0.5)),
            micros(quantile(&tally.refusal, 0.99)),
        );
    }
    Ok(())
}

/// Loads the entry of each failure domain alike, as a balancer does: an entry
/// leaves room at the runners for the others.
async fn through_all(bed: &Bed, load: Load) -> Tally {
    let counters = Arc::new(Counters::default());
    let targets: Vec<Target> = (0..DOMAINS.len())
        .map(|entry| bed.through(entry, "quick"))
        .collect();
    let loads = targets
        .iter()
        .map(|target| generator::run(target, load, &counters));
    let mut all = Tally::default();
    for tally in join_all(loads).await {
        all.merge(&tally);
    }
    all
}
