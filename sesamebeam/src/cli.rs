//! The operators' command line.
//!
//! [`run`] takes arguments and two writers and returns an exit code, so that
//! tests run it without a process.

pub mod args;
pub mod help;
pub mod report;

mod control;
mod explain;
mod fleet;
mod keys;
mod output;
mod plot;
mod records;
mod status;

use std::{
    ffi::OsString,
    io::{
        self,
        Write, //
    },
    process::ExitCode,
};

use thiserror::Error;

use self::{
    args::{
        Command,
        Parsed,
        UsageError, //
    },
    output::Output,
    plot::PlotError, //
};
use crate::{
    client::{
        Client,
        ControlCallError, //
    },
    dev::{
        self,
        DevError, //
    },
    keys::KeyError,
    link::LinkError,
    settings::OperatorSettings,
    toml_file::FileError,
};

/// How the command line ended, as a process tells it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Exit {
    /// Done.
    Done = 0,
    /// Refused, or failed on this side.
    Refused = 1,
    /// The arguments are wrong.
    Usage = 2,
    /// Nobody answered: it may or may not have been done.
    Unreachable = 3,
    /// Somebody else's change came first.
    Conflict = 4,
}

impl From<Exit> for ExitCode {
    fn from(exit: Exit) -> Self {
        Self::from(exit as u8)
    }
}

/// Why a command failed.
#[derive(Debug, Error)]
pub enum CliError {
    /// The arguments are wrong.
    #[error(transparent)]
    Usage(#[from] UsageError),
    /// A file cannot be used.
    #[error(transparent)]
    File(#[from] FileError),
    /// A key or certificate cannot be made, read or written.
    #[error(transparent)]
    Keys(#[from] KeyError),
    /// The control group gave no answer.
    #[error(transparent)]
    Ask(#[from] ControlCallError),
    /// An entry gave no answer, or no link could be opened.
    #[error(transparent)]
    Link(#[from] LinkError),
    /// The answer was a refusal.
    #[error("refused: {0}")]
    Refused(String),
    /// What was asked for does not exist.
    #[error("{0}")]
    NotFound(String),
    /// The answer is not one to the question.
    #[error("answer does not fit the question; are all daemons of one release?")]
    OddAnswer,
    /// The run on loopback failed.
    #[error(transparent)]
    Dev(#[from] DevError),
    /// The output cannot be written.
    #[error("cannot write the output: {0}")]
    Output(#[from] io::Error),
    /// The plot cannot be written.
    #[error(transparent)]
    Plot(#[from] PlotError),
    /// The output cannot be put into JSON.
    #[error("cannot write the output as JSON: {0}")]
    Json(#[from] serde_json::Error),
}

impl CliError {
    fn exit(&self) -> Exit {
        match self {
            Self::Usage(_) => Exit::Usage,
            // A reader that has seen enough is no failure.
            Self::Output(e) if e.kind() == io::ErrorKind::BrokenPipe => Exit::Done,
            Self::Link(LinkError::Keys(_) | LinkError::Bind { .. }) => Exit::Refused,
            Self::Ask(ControlCallError::Link(LinkError::Keys(_) | LinkError::Bind { .. })) => {
                Exit::Refused
            }
            Self::Ask(_) | Self::Link(_) => Exit::Unreachable,
            Self::File(_)
            | Self::Keys(_)
            | Self::Refused(_)
            | Self::NotFound(_)
            | Self::OddAnswer
            | Self::Dev(_)
            | Self::Plot(_)
            | Self::Output(_)
            | Self::Json(_) => Exit::Refused,
        }
    }
}

/// Runs one command.
pub fn run(
    args: impl IntoIterator<Item = OsString>,
    out: &mut impl Write,
    err: &mut impl Write,
) -> Exit {
    match parse_and_run(args.into_iter().collect(), out) {
        Ok(exit) => exit,
        Err(e) => {
            let exit = e.exit();
            if exit != Exit::Done {
                // There is nowhere to tell that this failed as well.
                let _ = match &e {
                    // Editors find a fault by a line that starts with its place.
                    CliError::File(FileError::Faulty(_)) => writeln!(err, "{e}"),
                    _ => writeln!(err, "sesamebeam: {e}"),
                };
            }
            exit
        }
    }
}

fn parse_and_run(args: Vec<OsString>, out: &mut impl Write) -> Result<Exit, CliError> {
    let parsed = args::parse(args)?;
    let mut out = Output::new(out, parsed.json);
    match &parsed.command {
        Command::Help(topic) => {
            out.text(topic.page())?;
            Ok(Exit::Done)
        }
        Command::Version => {
            out.text(concat!("sesamebeam ", env!("CARGO_PKG_VERSION"), "\n"))?;
            Ok(Exit::Done)
        }
        Command::Check { file } => fleet::check(file, &mut out),
        Command::Keys(command) => keys::run(command, &mut out),
        Command::Dev(options) => {
            let runtime = tokio::runtime::Builder::new_multi_thread()
                .enable_all()
                .build()?;
            runtime.block_on(dev::run(*options))?;
            Ok(Exit::Done)
        }
        _ => run_remote(&parsed, &mut out),
    }
}

/// Runs a command that asks the daemons.
fn run_remote(parsed: &Parsed, out: &mut Output<'_, impl Write>) -> Result<Exit, CliError> {
    let settings = OperatorSettings::read(&parsed.settings)?;
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    runtime.block_on(ask(&parsed.command, &settings, out))
}

async fn ask(
    command: &Command,
    settings: &OperatorSettings,
    out: &mut Output<'_, impl Write>,
) -> Result<Exit, CliError> {
    // A faulty file is refused before anything is asked for.
    let change = match command {
        Command::Apply(apply) => Some((apply, fleet::read(apply, out)?)),
        _ => None,
    };
    let client = Client::open(settings)?;
    match command {
        Command::Apply(_) => match change {
            Some((apply, Some(file))) => fleet::apply(&client, apply, file, out).await,
            _ => Ok(Exit::Refused),
        },
        Command::Current => fleet::current(&client, out).await,
        Command::Status { entry } => status::run(&client, settings, entry.as_deref(), out).await,
        Command::Explain { request } => explain::run(&client, settings, *request, out).await,
        Command::ReportBurn { org, svg } => {
            report::burn(&client, settings, org.as_ref(), svg.as_deref(), out).await
        }
        Command::ReportBills { from, limit } => records::bills(&client, *from, *limit, out).await,
        Command::Settle(settle) => records::settle(&client, settle, out).await,
        Command::ControlReplace(replace) => control::replace(&client, replace, out).await,
        // INVARIANT: `parse_and_run` has run these.
        Command::Help(_)
        | Command::Version
        | Command::Check { .. }
        | Command::Keys(_)
        | Command::Dev(_) => Ok(Exit::Done),
    }
}
