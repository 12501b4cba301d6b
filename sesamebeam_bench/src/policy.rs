//! `sesamebeam-bench policy`: replays one entry's decisions in virtual time.

mod ablation;
mod deployment;
mod replay;
mod result;
mod rollouts;
mod router;
mod table;
mod world;

use std::{
    ffi::OsString,
    path::PathBuf,
    time::Duration, //
};

use sesamebeam_core::policy::PolicyConfig;
use smol_str::SmolStr;
use thiserror::Error;

use self::{
    deployment::{
        Deployment,
        DeploymentError, //
    },
    replay::{
        Replay,
        Setting, //
    },
    result::Run,
    router::Strategy,
    table::Row,
    world::Fault, //
};

/// Help of the subcommand.
pub(crate) const HELP: &str = "\
sesamebeam-bench policy - replay one entry's decisions in virtual time

USAGE:
    sesamebeam-bench policy [OPTIONS]

OPTIONS:
    --deployment NAME  huallaga or vazna; both by default
    --load X           offered work over capacity; 0.5, 0.8, 1.0 and 1.5 by default
    --fault NAME       none, turns-bad, bad-rollout, killer, pool-loss, outage,
                       silent, rater-silent, rater-wrong, cut, leaving or all;
                       none by default
    --strategy NAME    sesamebeam, oracle, strongest, cheapest, split, round-robin;
                       all by default
    --seed N           seed of the traffic and the faults; 1 by default
    --seconds N        length in virtual time; 1200 by default
    --warm-up N        seconds of learning before the measured part; 0 by default
    --ablations        switch off one mechanism after the other
    --rollouts N       N roll-outs of a good, a bad and a turning version
    --markdown         print the table as Markdown
    --csv FILE         write every figure as CSV
    --plots DIR        write plots as SVG
";

/// Why the replay cannot run.
#[derive(Debug, Error)]
pub(crate) enum PolicyError {
    /// The command line is faulty.
    #[error("{0}")]
    Arguments(#[from] pico_args::Error),
    /// An option has a value that is not known.
    #[error("unknown {0} `{1}`")]
    Unknown(&'static str, SmolStr),
    /// An argument is left over.
    #[error("unexpected argument {0:?}")]
    Left(OsString),
    /// The deployment cannot be read.
    #[error("{0}")]
    Deployment(SmolStr),
    /// A file cannot be written.
    #[error("cannot write {0}: {1}")]
    Write(PathBuf, std::io::Error),
    /// A plot cannot be drawn.
    #[error("cannot draw a plot: {0}")]
    Plot(SmolStr),
}

impl From<DeploymentError> for PolicyError {
    fn from(error: DeploymentError) -> Self {
        Self::Deployment(smol_str::format_smolstr!("{error}"))
    }
}

/// What the command line asks for.
struct Options {
    deployments: Vec<SmolStr>,
    loads: Vec<f64>,
    faults: Vec<Fault>,
    strategies: Vec<Strategy>,
    seed: u64,
    length: Duration,
    warm_up: Duration,
    markdown: bool,
    csv: Option<PathBuf>,
    plots: Option<PathBuf>,
}

/// Runs the subcommand.
///
/// # Errors
///
/// Fails if the arguments are faulty or a file cannot be written.
pub(crate) fn run(mut args: pico_args::Arguments) -> Result<(), PolicyError> {
    if args.contains(["-h", "--help"]) {
        print!("{HELP}");
        return Ok(());
    }
    let ablations = args.contains("--ablations");
    let rollouts: Option<u64> = args.opt_value_from_str("--rollouts")?;
    let options = Options::parse(args)?;
    if let Some(count) = rollouts {
        return rollouts::run(&options, count);
    }
    if ablations {
        return ablation::run(&options);
    }
    let mut rows = Vec::new();
    for name in &options.deployments {
        let deployment = Deployment::load(name)?;
        for fault in &options.faults {
            for load in &options.loads {
                for strategy in &options.strategies {
                    let setting = options.setting(*strategy, *load, *fault, options.seed);
                    let run = Replay::new(&setting, &deployment).run();
                    rows.push(Row::new(name, &setting, run));
                }
            }
        }
    }
    table::print(&rows, options.markdown);
    if let Some(path) = &options.csv {
        table::write_csv(&rows, path)?;
    }
    if let Some(dir) = &options.plots {
        table::plot(&rows, dir)?;
    }
    Ok(())
}

impl Options {
    fn parse(mut args: pico_args::Arguments) -> Result<Self, PolicyError> {
        let deployment: Option<SmolStr> = args.opt_value_from_str("--deployment")?;
        let load: Option<f64> = args.opt_value_from_str("--load")?;
        let fault: Option<SmolStr> = args.opt_value_from_str("--fault")?;
        let strategy: Option<SmolStr> = args.opt_value_from_str("--strategy")?;
        let seed = args.opt_value_from_str("--seed")?.unwrap_or(1);
        let seconds = args.opt_value_from_str("--seconds")?.unwrap_or(1200);
        let warm_up = args.opt_value_from_str("--warm-up")?.unwrap_or(0);
        let markdown = args.contains("--markdown");
        let csv = args.opt_value_from_str("--csv")?;
        let plots = args.opt_value_from_str("--plots")?;
        if let Some(left) = args.finish().into_iter().next() {
            return Err(PolicyError::Left(left));
        }
        Ok(Self {
            deployments: deployment
                .map_or_else(|| vec!["huallaga".into(), "vazna".into()], |d| vec![d]),
            loads: load.map_or_else(|| vec![0.5, 0.8, 1.0, 1.5], |load| vec![load]),
            faults: parse_fault(fault)?,
            strategies: parse_strategy(strategy)?,
            seed,
            length: Duration::from_secs(seconds),
            warm_up: Duration::from_secs(warm_up),
            markdown,
            csv,
            plots,
        })
    }

    fn setting(&self, strategy: Strategy, load: f64, fault: Fault, seed: u64) -> Setting {
        Setting {
            strategy,
            load,
            fault,
            seed,
            length: self.length,
            warm_up: self.warm_up,
            rollout: false,
            cfg: PolicyConfig::default(),
        }
    }
}

fn parse_fault(name: Option<SmolStr>) -> Result<Vec<Fault>, PolicyError> {
    let Some(name) = name else {
        return Ok(vec![Fault::None]);
    };
    if name == "all" {
        return Ok(Fault::ALL.to_vec());
    }
    let found = Fault::ALL.into_iter().find(|fault| fault.name() == name);
    found
        .map(|fault| vec![fault])
        .ok_or(PolicyError::Unknown("fault", name))
}

fn parse_strategy(name: Option<SmolStr>) -> Result<Vec<Strategy>, PolicyError> {
    let Some(name) = name else {
        return Ok(Strategy::ALL.to_vec());
    };
    let found = Strategy::ALL
        .into_iter()
        .find(|strategy| strategy.name() == name);
    found
        .map(|strategy| vec![strategy])
        .ok_or(PolicyError::Unknown("strategy", name))
}

/// Runs one replay of the core's decisions with the given settings.
fn replay(deployment: &Deployment, setting: &Setting) -> Run {
    Replay::new(setting, deployment).run()
}
