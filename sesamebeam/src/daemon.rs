//! Command-line interface and startup of the daemons.

use std::{
    path::PathBuf,
    process::ExitCode, //
};

use pico_args::Arguments;
use thiserror::Error;
use tokio::{
    runtime::Builder,
    signal::unix::{
        SignalKind,
        signal, //
    },
};
use tokio_util::sync::CancellationToken;

use crate::{
    control::{
        Control,
        ControlError,
        StartMode, //
    },
    entry::{
        Entry,
        EntryError, //
    },
    keys::{
        Credentials,
        KeyError, //
    },
    logging::LogError,
    settings::{
        ControlSettings,
        EntrySettings, //
    },
    toml_file::FileError,
};

/// Exit code for invalid command-line arguments.
const USAGE_EXIT_CODE: u8 = 2;

const ENTRY_HELP: &str = "\
sesamebeam-entry - routes requests of callers to backend servers

SYNOPSIS
    sesamebeam-entry --settings FILE [--check]

DESCRIPTION
    Runs one entry until SIGTERM or SIGINT, which begin a planned stop: the
    entry stops being ready, serves on until the balancer has noticed, finishes
    every request and exits. It needs no disk. A second signal ends it at once.

OPTIONS
    --settings FILE   Settings in TOML. See docs/OPERATING.md.
    --check           Reads and checks the settings, then exits.
    -h, --help        Prints this page.

EXIT CODES
    0  stopped as planned, or the settings are right
    1  could not start, or failed
    2  typing error
";

const CONTROL_HELP: &str = "\
sesamebeam-control - keeps configuration and records by quorum

SYNOPSIS
    sesamebeam-control --settings FILE [--init | --join] [--check]

DESCRIPTION
    Runs one control replica until SIGTERM or SIGINT. It needs a data folder on
    a disk of its own.

OPTIONS
    --settings FILE   Settings in TOML. See docs/OPERATING.md.
    --init            Makes the data folder of one of the group's first
                      replicas. Only when the whole group is made anew.
    --join            Makes the data folder of a replica that replaces a lost
                      one, and prints its incarnation for `sesamebeam control
                      replace`.
    --check           Reads and checks the settings, then exits.
    -h, --help        Prints this page.

EXIT CODES
    0  stopped as planned, or the settings are right
    1  could not start, or failed
    2  typing error
";

/// Error that ends a daemon.
#[derive(Debug, Error)]
enum DaemonError {
    /// The settings are invalid.
    #[error(transparent)]
    Settings(#[from] FileError),
    /// The keys cannot be read.
    #[error(transparent)]
    Keys(#[from] KeyError),
    /// The entry failed.
    #[error(transparent)]
    Entry(#[from] EntryError),
    /// The control replica failed.
    #[error(transparent)]
    Control(#[from] ControlError),
    /// Log lines cannot be written.
    #[error(transparent)]
    Log(#[from] LogError),
    /// The async runtime or a signal handler could not be created.
    #[error("cannot start: {0}")]
    Start(#[from] std::io::Error),
}

/// Parsed command-line arguments of a daemon.
struct Args {
    settings: PathBuf,
    check: bool,
    start: StartMode,
}

/// Runs the entry daemon.
pub fn entry_main() -> ExitCode {
    run_daemon(ENTRY_HELP, false, run_entry)
}

/// Runs the control daemon.
pub fn control_main() -> ExitCode {
    run_daemon(CONTROL_HELP, true, run_control)
}

fn run_daemon(
    help: &str,
    is_control: bool,
    run: impl FnOnce(Args) -> Result<(), DaemonError>,
) -> ExitCode {
    let mut args = Arguments::from_env();
    if args.contains(["-h", "--help"]) {
        print!("{help}");
        return ExitCode::SUCCESS;
    }
    let args = match parse_args(args, is_control) {
        Ok(args) => args,
        Err(e) => {
            eprintln!("{e}; see --help");
            return ExitCode::from(USAGE_EXIT_CODE);
        }
    };
    match run(args) {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("{e}");
            log::error!("{e}");
            ExitCode::FAILURE
        }
    }
}

fn parse_args(mut args: Arguments, is_control: bool) -> Result<Args, String> {
    let settings = args
        .value_from_str("--settings")
        .map_err(|e| e.to_string())?;
    let check = args.contains("--check");
    let init = is_control && args.contains("--init");
    let join = is_control && args.contains("--join");
    if let Some(extra) = args.finish().first() {
        return Err(format!("unknown argument {}", extra.display()));
    }
    let start = match (init, join) {
        (true, true) => return Err("--init and --join exclude each other".to_owned()),
        (true, false) => StartMode::Init,
        (false, true) => StartMode::Join,
        (false, false) => StartMode::Existing,
    };
    Ok(Args {
        settings,
        check,
        start,
    })
}

fn run_entry(args: Args) -> Result<(), DaemonError> {
    let settings = EntrySettings::read(&args.settings)?;
    if args.check {
        println!("{}: no fault", args.settings.display());
        return Ok(());
    }
    let _logger = crate::logging::start(&settings.log)?;
    let mut builder = Builder::new_multi_thread();
    if settings.limits.workers > 0 {
        builder.worker_threads(settings.limits.workers);
    }
    let runtime = builder.enable_all().build()?;
    runtime.block_on(async {
        let stop = CancellationToken::new();
        cancel_on_signal(stop.clone())?;
        let entry = Entry::start(settings, stop).await?;
        let addrs = entry.addrs();
        log::info!(
            "serving callers={} announcements={} link={}",
            addrs.callers,
            addrs.announcements,
            addrs.link
        );
        entry.stopped().await;
        Ok(())
    })
}

fn run_control(args: Args) -> Result<(), DaemonError> {
    let settings = ControlSettings::read(&args.settings)?;
    if args.check {
        println!("{}: no fault", args.settings.display());
        return Ok(());
    }
    let _logger = crate::logging::start(&settings.log)?;
    let creds = Credentials::load(&settings.keys)?;
    // A single-threaded runtime, so that the task that owns the core never waits behind other work.
    let runtime = Builder::new_current_thread().enable_all().build()?;
    runtime.block_on(async {
        if args.start == StartMode::Init {
            Control::check_not_bootstrapped(&settings, &creds).await?;
        }
        if args.start != StartMode::Existing {
            let incarnation = Control::create_data_folder(&settings, &creds, args.start)?;
            println!("incarnation {incarnation:032x}");
        }
        let stop = CancellationToken::new();
        cancel_on_signal(stop.clone())?;
        let control = Control::open(settings, &creds)?;
        log::info!("serving link={}", control.local_addr()?);
        control.run(stop).await?;
        Ok(())
    })
}

/// Cancels `stop` at the first SIGTERM or SIGINT and exits the process at the second.
fn cancel_on_signal(stop: CancellationToken) -> std::io::Result<()> {
    let mut term = signal(SignalKind::terminate())?;
    let mut int = signal(SignalKind::interrupt())?;
    tokio::spawn(async move {
        for first in [true, false] {
            tokio::select! {
                _ = term.recv() => {}
                _ = int.recv() => {}
            }
            if first {
                stop.cancel();
            } else {
                std::process::exit(1);
            }
        }
    });
    Ok(())
}
