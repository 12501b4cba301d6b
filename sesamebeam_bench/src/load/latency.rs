//! Latency that an entry adds to calling the runner directly.

use std::{
    sync::Arc,
    time::Duration, //
};

use hdrhistogram::Histogram;
use tokio::time::Instant;

use super::{
    LoadError,
    bed::Bed,
    generator::{
        self,
        Connection,
        Counters,
        Load,
        histogram,
        quantile,
        record, //
    },
    micros,
};
use crate::slopes::Found;

/// Tokens of an answer, which arrive at once: pacing would hide the entry.
const TOKENS: u32 = 16;

/// Requests a second beside, in the second half.
const BESIDE: f64 = 300.0;

/// Factor on the length of a run: the last hundredth needs many samples.
const LONGER: u32 = 2;

/// First pieces and ends, through the entry and straight.
struct Pair {
    through: [Histogram<u64>; 2],
    straight: [Histogram<u64>; 2],
}

pub(super) async fn run(bed: &Bed, length: Duration) -> Result<Vec<Found>, LoadError> {
    println!("\nadded latency, through the entry and straight to a runner in turn");
    bed.pace(Duration::ZERO);
    let quiet = pair(bed, length * LONGER).await;
    let added = tell("nothing beside", &quiet);
    let target = bed.through_entry("question");
    let load = Load {
        rate: BESIDE,
        tokens: TOKENS,
        callers: 32,
        length: length * LONGER,
    };
    let counters = Arc::new(Counters::default());
    let (busy, _) = tokio::join!(
        pair(bed, length * LONGER),
        generator::run(&target, load, &counters)
    );
    tell("300 req/s beside", &busy);
    Ok(vec![Found {
        name: "entry.latency.added",
        value: added.as_secs_f64(),
        unit: "s",
        of: "first piece through an entry less straight, p50, nothing beside",
    }])
}

async fn pair(bed: &Bed, length: Duration) -> Pair {
    let counters = Arc::new(Counters::default());
    let mut through = Connection::new(bed.through_entry("question"), Arc::clone(&counters));
    let mut straight = Connection::new(bed.straight(), counters);
    let mut pair = Pair {
        through: [histogram(), histogram()],
        straight: [histogram(), histogram()],
    };
    let until = Instant::now() + length;
    while Instant::now() < until {
        call(&mut through, &mut pair.through).await;
        call(&mut straight, &mut pair.straight).await;
    }
    pair
}

async fn call(connection: &mut Connection, into: &mut [Histogram<u64>; 2]) {
    if let Ok(seen) = connection.call(TOKENS).await
        && seen.whole
    {
        record(&mut into[0], seen.first);
        record(&mut into[1], seen.total);
    }
}

fn tell(when: &str, pair: &Pair) -> Duration {
    println!("  {when}, {} calls each way:", pair.through[0].len());
    for (at, name) in ["first piece", "whole answer"].iter().enumerate() {
        let [p50, p99] = [0.5, 0.99].map(|q| {
            let through = quantile(&pair.through[at], q);
            let straight = quantile(&pair.straight[at], q);
            (through, straight, through.saturating_sub(straight))
        });
        println!(
            "    {name}: p50 {} against {}, added {}; p99 {} against {}, added {}",
            micros(p50.0),
            micros(p50.1),
            micros(p50.2),
            micros(p99.0),
            micros(p99.1),
            micros(p99.2),
        );
    }
    let [through, straight] =
        [&pair.through[0], &pair.straight[0]].map(|histogram| quantile(histogram, 0.5));
    through.saturating_sub(straight)
}
