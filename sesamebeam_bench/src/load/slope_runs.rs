//! Processor time of an entry a request and a token.

use std::{
    sync::Arc,
    time::Duration, //
};

use tokio::time::{
    Instant,
    sleep, //
};

use super::{
    LoadError,
    bed::Bed,
    generator::{
        self,
        Counters,
        Load,
        Tally, //
    },
};
use crate::{
    fit::{
        Sample,
        fit, //
    },
    slopes::Found,
};

/// Time between two tokens in the paced runs.
const PACE: Duration = Duration::from_millis(10);

/// Time before the first sample, beside the length of an answer.
const WARM_UP: Duration = Duration::from_millis(700);

/// Rates a second and answer lengths with tokens that arrive one by one.
const PACED: [(f64, u32); 7] = [
    (50.0, 16),
    (300.0, 16),
    (50.0, 64),
    (200.0, 64),
    (25.0, 256),
    (75.0, 256),
    (20.0, 512),
];

/// Rates a second and answer lengths with answers that arrive at once.
const COALESCED: [(f64, u32); 7] = [
    (100.0, 16),
    (600.0, 16),
    (1200.0, 16),
    (100.0, 256),
    (400.0, 256),
    (100.0, 1024),
    (200.0, 1024),
];

/// What one load cost the entry.
pub(super) struct Cost {
    /// Whole answers, tokens and seconds.
    pub(super) counts: [f64; 3],
    /// Processor time in seconds.
    pub(super) cpu: f64,
    /// Pieces in which tokens reached the callers.
    pub(super) pieces: u64,
    /// Ends of the requests.
    pub(super) tally: Tally,
}

pub(super) async fn run(bed: &Bed, length: Duration) -> Result<Vec<Found>, LoadError> {
    println!("\nprocessor time of an entry, by least squares");
    bed.pace(PACE);
    let paced = series(bed, "one by one", &PACED, PACE, length).await?;
    bed.pace(Duration::ZERO);
    let at_once = series(bed, "at once", &COALESCED, Duration::ZERO, length).await?;
    Ok(vec![
        Found::new(
            "entry.request",
            paced[0],
            "s/request",
            "entry, a request, paced",
        ),
        Found::new(
            "entry.token",
            paced[1],
            "s/token",
            "entry, a token that arrives by itself",
        ),
        Found::new(
            "entry.request.at_once",
            at_once[0],
            "s/request",
            "entry, a request whose answer arrives at once",
        ),
        Found::new(
            "entry.token.at_once",
            at_once[1],
            "s/token",
            "entry, a token that arrives together with others",
        ),
    ])
}

async fn series(
    bed: &Bed,
    name: &str,
    loads: &[(f64, u32)],
    pace: Duration,
    length: Duration,
) -> Result<[f64; 3], LoadError> {
    println!("  tokens {name}:");
    println!("    req/s  tokens  cpu of a core  tokens a piece  broken or refused");
    let mut samples = Vec::new();
    for &(rate, tokens) in loads {
        let cost = measure(bed, rate, tokens, pace, length).await?;
        println!(
            "    {rate:5.0}  {tokens:6}  {:12.1}%  {:14.2}  {:17}",
            100.0 * cost.cpu / cost.counts[2],
            cost.counts[1] / cost.pieces.max(1) as f64,
            cost.tally.broken + cost.tally.not_run + cost.tally.other,
        );
        samples.push(Sample {
            counts: cost.counts,
            cost: cost.cpu,
        });
    }
    let fitted = fit(&samples)?;
    let [request, token, rest] = fitted.slopes;
    println!(
        "    {:.1} us a request, {:.2} us a token, {:.2}% of a core beside; r2 {:.4}",
        request * 1e6,
        token * 1e6,
        rest * 100.0,
        fitted.r2
    );
    Ok(fitted.slopes)
}

/// Runs a load and measures the entry once answers flow evenly.
pub(super) async fn measure(
    bed: &Bed,
    rate: f64,
    tokens: u32,
    pace: Duration,
    length: Duration,
) -> Result<Cost, LoadError> {
    let answer = pace * tokens;
    let warm_up = answer + WARM_UP;
    let open = (rate * (answer + Duration::from_millis(50)).as_secs_f64() * 1.2) as usize;
    let load = Load {
        rate,
        tokens,
        callers: open + 8,
        length: warm_up + length + Duration::from_millis(200),
    };
    let counters = Arc::new(Counters::default());
    let target = bed.through_entry("question");
    let running = tokio::spawn({
        let counters = Arc::clone(&counters);
        async move { generator::run(&target, load, &counters).await }
    });
    sleep(warm_up).await;
    let (before, cpu, at) = (
        counters.read(),
        bed.daemons.processor_time(bed.entry())?,
        Instant::now(),
    );
    sleep(length).await;
    let (after, used) = (
        counters.read(),
        bed.daemons.processor_time(bed.entry())? - cpu,
    );
    let wall = at.elapsed().as_secs_f64();
    let tally = running.await.unwrap_or_default();
    Ok(Cost {
        counts: [
            (after.whole - before.whole) as f64,
            after.tokens.saturating_sub(before.tokens) as f64,
            wall,
        ],
        cpu: used.as_secs_f64(),
        pieces: after.pieces - before.pieces,
        tally,
    })
}
