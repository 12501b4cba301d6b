//! The control group: commits, restarts, elections, configuration in force.

mod apply;
mod claims;
mod election;
mod links;
mod records;
mod restart;
mod subscribers;
mod writers;

use std::path::Path;

use pico_args::Arguments;
use sesamebeam::{
    link::{
        LinkError,
        Role, //
    },
    local::LocalPlan,
};
use thiserror::Error;

use crate::{
    daemons::{
        DaemonError,
        Daemons, //
    },
    fit::FitError,
    group::{
        Group,
        GroupError, //
    },
    load::bed::{
        DOMAINS,
        fleet, //
    },
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
sesamebeam-bench commit - measures the control group

SYNOPSIS
    sesamebeam-bench commit [--only PART,...] [--seconds N] [--data DIR]
                            [--slopes FILE]

DESCRIPTION
    Starts three control replicas as processes on loopback, each with a data
    folder, and measures them.

OPTIONS
    --only PART,...   Runs only these parts:
                        records      bytes and memory of records, in process
                        links        bytes of a silent link, in process
                        writers      a lone writer and many, against fsync
                        restart      all replicas killed after 100,000 entries
                        election     the leader killed, again and again
                        apply        a file in force at 9 entries
                        subscribers  a file in force at 720 bare Renew loops
    --seconds N       Seconds that each load is measured. Default 4.
    --data DIR        Folder for data, on the disk to be measured.
    --slopes FILE     Stores the slopes in this file.
    -h, --help        Prints this page.
";

/// Parts in the order in which they run.
const PARTS: [&str; 7] = [
    "records",
    "links",
    "writers",
    "restart",
    "election",
    "apply",
    "subscribers",
];

/// Why a run failed.
#[derive(Debug, Error)]
pub enum CommitError {
    /// The command line is refused.
    #[error(transparent)]
    Options(#[from] OptionsError),
    /// A daemon does not start or is gone.
    #[error(transparent)]
    Daemon(#[from] DaemonError),
    /// The group does not do what is asked.
    #[error(transparent)]
    Group(#[from] GroupError),
    /// A link cannot be opened.
    #[error(transparent)]
    Link(#[from] LinkError),
    /// The fleet file has a fault.
    #[error(transparent)]
    Fleet(#[from] toml::de::Error),
    /// A record cannot be encoded.
    #[error(transparent)]
    Wire(#[from] sesamebeam_core::message::wire::WireError),
    /// Slopes cannot be told.
    #[error(transparent)]
    Fit(#[from] FitError),
    /// Slopes cannot be stored.
    #[error(transparent)]
    Slopes(#[from] SlopeError),
    /// The operating system refuses.
    #[error(transparent)]
    Io(#[from] std::io::Error),
}

/// Runs the subcommand.
///
/// # Errors
///
/// Fails at a typing error, or if the group does not start or answer.
pub fn run(mut args: Arguments) -> Result<(), CommitError> {
    if args.contains(["-h", "--help"]) {
        print!("{HELP}");
        return Ok(());
    }
    let options = Options::parse(args, &PARTS)?;
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()?;
    runtime.block_on(run_parts(&options))
}

async fn run_parts(options: &Options) -> Result<(), CommitError> {
    let (length, data) = (options.length, options.data.as_path());
    let mut found: Vec<Found> = Vec::new();
    if options.wants("records") {
        found.extend(records::run()?);
    }
    if options.wants("links") {
        found.extend(links::run().await?);
    }
    if options.wants("writers") {
        found.extend(writers::run(length, data).await?);
    }
    if options.wants("restart") {
        found.extend(restart::run(data).await?);
    }
    if options.wants("election") {
        election::run(data).await?;
    }
    if options.wants("apply") {
        apply::run(data).await?;
    }
    if options.wants("subscribers") {
        found.extend(subscribers::run(length, data).await?);
    }
    let mut command = "sesamebeam-bench commit".to_owned();
    if !options.only.is_empty() {
        command.push_str(" --only ");
        command.push_str(&options.only.join(","));
    }
    command.push_str(&format!(" --seconds {}", length.as_secs()));
    Ok(slopes::store(options.slopes.as_deref(), found, &command)?)
}

/// Three control replicas with a fleet file in force, and entries.
struct Replicas {
    daemons: Daemons,
    group: Group,
}

impl Replicas {
    /// Starts them with so many entries in each failure domain.
    async fn start(entries: usize, data: &Path) -> Result<Self, CommitError> {
        let mut plan = LocalPlan::small(&DOMAINS);
        plan.entries = entries;
        let mut daemons = Daemons::make(&plan, data)?;
        daemons.start_all()?;
        let group = operator(&daemons)?;
        let revision = group.apply(0, &fleet(32)?).await?;
        let everywhere = daemons.settings.entries.len();
        group
            .until("the file in force", |status| {
                status.in_force >= revision && status.entries.len() >= everywhere
            })
            .await?;
        Ok(Self { daemons, group })
    }
}

/// Opens new connections under the operator's role.
fn operator(daemons: &Daemons) -> Result<Group, LinkError> {
    let settings = &daemons.settings;
    let role = Role::Operator("local".into());
    Group::open(&settings.ca, &role, &settings.operator.control)
}

/// Opens new connections under an entry's role.
fn entry(daemons: &Daemons, name: &str) -> Result<Group, LinkError> {
    let settings = &daemons.settings;
    let role = Role::Entry(name.into());
    Group::open(&settings.ca, &role, &settings.operator.control)
}
