//! An entry's share at the two-year peak, as one run: 88 requests and 24,000
//! tokens a second, 38 ms between two tokens.

use std::time::Duration;

use tokio::time::{
    Instant,
    sleep, //
};

use super::{
    LoadError,
    bed::Bed,
    generator::quantile,
    micros,
    slope_runs::measure, //
};
use crate::slopes::Found;

/// Requests a second.
const RATE: f64 = 88.0;

/// Tokens of an answer.
const TOKENS: u32 = 272;

/// Time between two tokens.
const PACE: Duration = Duration::from_millis(38);

/// Time between two looks at the lease.
const LOOK_EVERY: Duration = Duration::from_millis(20);

/// Factor on the length of a run: there are few answers a second.
const LONGER: u32 = 3;

pub(super) async fn run(bed: &Bed, length: Duration) -> Result<Vec<Found>, LoadError> {
    println!("\nan entry's share at the two-year peak");
    bed.pace(PACE);
    let idle = lowest_lease(bed, length * LONGER).await?;
    let loaded = async {
        // The load has to build up first.
        sleep(PACE * TOKENS).await;
        lowest_lease(bed, length * LONGER).await
    };
    let (cost, loaded) = tokio::join!(measure(bed, RATE, TOKENS, PACE, length * LONGER), loaded);
    let (cost, loaded) = (cost?, loaded?);
    let [requests, tokens, wall] = cost.counts;
    let core = cost.cpu / wall;
    println!(
        "  {:.0} req/s, {:.0} tokens/s: {:.1}% of a core; resident {:.1} MB",
        requests / wall,
        tokens / wall,
        core * 100.0,
        bed.daemons.resident(bed.entry())? as f64 / 1e6,
    );
    println!(
        "  first token p50 {} p99 {}; broken {} refused {}",
        micros(quantile(&cost.tally.first, 0.5)),
        micros(quantile(&cost.tally.first, 0.99)),
        cost.tally.broken,
        cost.tally.not_run + cost.tally.other,
    );
    println!(
        "  least time left on the configuration lease: {idle:.0?} at rest, {loaded:.0?} under load; \
         renewals late by {:.0?}",
        idle.saturating_sub(loaded)
    );
    Ok(vec![Found {
        name: "entry.share",
        value: core,
        unit: "s/s",
        of: "entry at 88 requests and 24,000 tokens a second, 38 ms apart",
    }])
}

/// Least time left on the measured entry's lease, as the leader counts it. A
/// renewal that waits behind requests makes it smaller.
pub(super) async fn lowest_lease(bed: &Bed, length: Duration) -> Result<Duration, LoadError> {
    let until = Instant::now() + length;
    let mut lowest = Duration::MAX;
    while Instant::now() < until {
        let status = bed.group.status().await?;
        let ours = status.entries.iter().find(|e| e.instance == bed.entry());
        lowest = lowest.min(ours.map_or(Duration::ZERO, |e| e.lease_left));
        sleep(LOOK_EVERY).await;
    }
    Ok(lowest)
}
