//! Load through real daemons: what a request, a token, an open stream and an
//! idle daemon cost, and what happens above capacity.

pub mod bed;
pub mod generator;

mod announce;
mod latency;
mod memory;
mod overload;
mod rest;
mod share;
mod slope_runs;

use std::time::Duration;

use pico_args::Arguments;
use thiserror::Error;

use self::bed::{
    BedError,
    BedPlan, //
};
use crate::{
    daemons::DaemonError,
    fit::FitError,
    group::GroupError,
    options::{
        Options,
        OptionsError, //
    },
    slopes::{
        self,
        Found,
        SlopeError, //
    },
};

const HELP: &str = "\
sesamebeam-bench load - measures entries under load

SYNOPSIS
    sesamebeam-bench load [--only PART,...] [--seconds N] [--workers N]
                          [--data DIR] [--slopes FILE]

DESCRIPTION
    Starts three control replicas and entries as processes on loopback, with
    runner fakes in this process, and measures the first entry.

OPTIONS
    --only PART,...   Runs only these parts:
                        rest      idle daemons, with and without changes
                        slopes    processor time a request and a token
                        share     an entry's share at the two-year peak
                        latency   added latency against calling the runner
                        memory    resident memory of open streams
                        announce  announcements of backend servers
                        overload  goodput and refusals above capacity
    --seconds N       Seconds that each load is measured. Default 4.
    --workers N       Threads that serve requests in an entry; 0 takes one for
                      each core. Default: that of the settings.
    --data DIR        Folder for data, on the disk to be measured.
    --slopes FILE     Stores the slopes in this file.
    -h, --help        Prints this page.
";

/// Parts in the order in which they run.
const PARTS: [&str; 7] = [
    "rest", "latency", "slopes", "share", "memory", "announce", "overload",
];

/// Parts that share one bed.
const SHARED: usize = 4;

/// Why a load run failed.
#[derive(Debug, Error)]
pub enum LoadError {
    /// `--workers` is no number.
    #[error(transparent)]
    Workers(#[from] pico_args::Error),
    /// The command line is refused.
    #[error(transparent)]
    Options(#[from] OptionsError),
    /// The bed cannot be made.
    #[error(transparent)]
    Bed(#[from] BedError),
    /// A daemon is gone.
    #[error(transparent)]
    Daemon(#[from] DaemonError),
    /// The control group does not answer.
    #[error(transparent)]
    Group(#[from] GroupError),
    /// Slopes cannot be told.
    #[error(transparent)]
    Fit(#[from] FitError),
    /// Slopes cannot be stored.
    #[error(transparent)]
    Slopes(#[from] SlopeError),
    /// No runtime can be started.
    #[error("cannot start: {0}")]
    Start(#[from] std::io::Error),
}

/// Runs the subcommand.
///
/// # Errors
///
/// Fails at a typing error, or if daemons do not start or serve.
pub fn run(mut args: Arguments) -> Result<(), LoadError> {
    if args.contains(["-h", "--help"]) {
        print!("{HELP}");
        return Ok(());
    }
    let workers = args.opt_value_from_str("--workers")?;
    let options = Options::parse(args, &PARTS)?;
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()?;
    runtime.block_on(run_parts(&options, workers))
}

async fn run_parts(options: &Options, workers: Option<usize>) -> Result<(), LoadError> {
    let mut found: Vec<Found> = Vec::new();
    let wide = BedPlan {
        entries: 1,
        runners: 3,
        slots: 1024,
        workers,
    };
    if PARTS[..SHARED].iter().any(|part| options.wants(part)) {
        let mut bed = bed::Bed::start(wide, &options.data).await?;
        if options.wants("rest") {
            found.extend(rest::run(&mut bed, options.length).await?);
        }
        if options.wants("latency") {
            found.extend(latency::run(&bed, options.length).await?);
        }
        if options.wants("slopes") {
            found.extend(slope_runs::run(&bed, options.length).await?);
        }
        if options.wants("share") {
            found.extend(share::run(&bed, options.length).await?);
        }
    }
    if options.wants("memory") {
        let bed = bed::Bed::start(wide, &options.data).await?;
        found.extend(memory::run(&bed).await?);
    }
    if options.wants("announce") {
        found.extend(announce::run(options.length, &options.data).await?);
    }
    if options.wants("overload") {
        overload::run(options.length, &options.data).await?;
    }
    Ok(slopes::store(
        options.slopes.as_deref(),
        found,
        &command(options, workers),
    )?)
}

fn command(options: &Options, workers: Option<usize>) -> String {
    let mut command = "sesamebeam-bench load".to_owned();
    if !options.only.is_empty() {
        command.push_str(" --only ");
        command.push_str(&options.only.join(","));
    }
    command.push_str(&format!(" --seconds {}", options.length.as_secs()));
    if let Some(workers) = workers {
        command.push_str(&format!(" --workers {workers}"));
    }
    command
}

/// Writes a time in the unit that reads best.
pub(crate) fn micros(time: Duration) -> String {
    format!("{:.0} us", time.as_secs_f64() * 1e6)
}
