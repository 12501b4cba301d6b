//! Resident memory of an entry, idle and for each open stream.

use std::{
    sync::Arc,
    time::Duration, //
};

use tokio::{
    task::JoinSet,
    time::sleep, //
};

use super::{
    LoadError,
    bed::Bed,
    generator::{
        Connection,
        Counters, //
    },
};
use crate::{
    fit::{
        Sample,
        fit, //
    },
    slopes::Found,
};

/// Streams that are opened at a time.
const STEP: usize = 200;

/// Steps.
const STEPS: usize = 5;

/// Time between two tokens: the streams must stay open.
const PACE: Duration = Duration::from_millis(100);

/// Tokens of an answer, more than the run lasts.
const TOKENS: u32 = 1000;

/// Time until opened streams flow.
const SETTLE: Duration = Duration::from_millis(2500);

pub(super) async fn run(bed: &Bed) -> Result<Vec<Found>, LoadError> {
    println!("\nresident memory of an entry");
    bed.pace(PACE);
    let idle = bed.daemons.resident(bed.entry())? as f64;
    println!("  idle: {:.1} MB", idle / 1e6);
    let mut streams = JoinSet::new();
    let counters = Arc::new(Counters::default());
    let mut samples = Vec::new();
    for step in 1..=STEPS {
        for _ in 0..STEP {
            let target = bed.through_entry("question");
            let mut connection = Connection::new(target, Arc::clone(&counters));
            streams.spawn(async move { connection.call(TOKENS).await.is_ok() });
        }
        sleep(SETTLE).await;
        let resident = bed.daemons.resident(bed.entry())? as f64;
        println!("  {:5} open: {:.1} MB", step * STEP, resident / 1e6);
        samples.push(Sample {
            counts: [1.0, (step * STEP) as f64],
            cost: resident,
        });
    }
    streams.abort_all();
    while streams.join_next().await.is_some() {}
    let fitted = fit(&samples)?;
    println!(
        "  {:.1} KB an open stream; r2 {:.4}",
        fitted.slopes[1] / 1e3,
        fitted.r2
    );
    Ok(vec![
        Found {
            name: "entry.idle.memory",
            value: idle,
            unit: "bytes",
            of: "entry, resident with a configuration and 3 runners",
        },
        Found {
            name: "entry.stream.memory",
            value: fitted.slopes[1],
            unit: "bytes/stream",
            of: "entry, resident for an open stream with both connections",
        },
    ])
}
