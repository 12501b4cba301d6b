//! `check`, `apply` and `current`.

use std::{
    io::Write,
    path::Path,
    time::{
        Duration,
        SystemTime, //
    },
};

use serde::Serialize;
use sesamebeam_core::{
    fleet::Fleet,
    ids::Revision,
    message::{
        command::{
            Change,
            Verdict, //
        },
        control::{
            ControlReply,
            ControlRequest, //
        },
    },
};
use smol_str::SmolStr;

use super::{
    CliError, Exit,
    args::Apply,
    control::refused,
    output::{
        Output,
        hex, //
    },
};
use crate::{
    client::Client,
    fleet_file::FleetFile,
    toml_file::{
        FileError,
        FileFault, //
    },
};

/// Time between two looks whether a revision is in force.
const LOOK_EVERY: Duration = Duration::from_millis(250);

/// Longest time that `--wait` waits.
const LONGEST_WAIT: Duration = Duration::from_secs(60);

#[derive(Serialize)]
struct Checked<'a> {
    ok: bool,
    #[serde(skip_serializing_if = "Option::is_none")]
    digest: Option<String>,
    faults: Vec<FaultOutput<'a>>,
}

#[derive(Serialize)]
struct FaultOutput<'a> {
    file: &'a Path,
    line: usize,
    column: usize,
    message: &'a str,
    suggestion: Option<&'a str>,
}

/// What a program reads of a verdict.
#[derive(Serialize)]
#[serde(tag = "verdict", rename_all = "kebab-case")]
enum VerdictOutput<'a> {
    Accepted {
        revision: Revision,
        in_force: Option<bool>,
    },
    Conflict {
        current: Revision,
        winner: &'a str,
        differences: &'a [SmolStr],
    },
    Faulty {
        faults: &'a [SmolStr],
    },
}

/// Checks a file and says what is in it, or what is wrong with it.
pub(super) fn check(path: &Path, out: &mut Output<'_, impl Write>) -> Result<Exit, CliError> {
    let Some(file) = read_file(path, out)? else {
        return Ok(Exit::Refused);
    };
    if out.is_json() {
        out.json(&Checked {
            ok: true,
            digest: Some(hex(file.digest)),
            faults: Vec::new(),
        })?;
    } else {
        out.line(format!(
            "{}: no fault: {}",
            path.display(),
            contents(&file.fleet)
        ))?;
    }
    Ok(Exit::Done)
}

/// Reads the file of a change; none if it has faults, which are written.
pub(super) fn read(
    apply: &Apply,
    out: &mut Output<'_, impl Write>,
) -> Result<Option<FleetFile>, CliError> {
    read_file(&apply.file, out)
}

/// Sends a change and writes the verdict.
pub(super) async fn apply(
    client: &Client,
    apply: &Apply,
    file: FleetFile,
    out: &mut Output<'_, impl Write>,
) -> Result<Exit, CliError> {
    let change = Change {
        base: apply.base,
        digest: file.digest,
        fleet: Box::new(file.fleet),
        operator: smol_str::format_smolstr!("{}", client.role()),
        at: unix_millis(),
    };
    let verdict = match client.call_control(&ControlRequest::Apply(change)).await? {
        ControlReply::Verdict(verdict) => verdict,
        other => return Err(refused(other)),
    };
    match verdict {
        Verdict::Accepted(revision) => accepted(client, apply, revision, out).await,
        Verdict::Conflict(conflict) => {
            if out.is_json() {
                out.json(&VerdictOutput::Conflict {
                    current: conflict.current,
                    winner: &conflict.winner,
                    differences: &conflict.differences,
                })?;
                return Ok(Exit::Conflict);
            }
            out.line(format!(
                "conflict: base {} is not the revision in force, which is {} by {}",
                apply.base, conflict.current, conflict.winner
            ))?;
            for difference in &conflict.differences {
                out.line(format!("  differs: {difference}"))?;
            }
            Ok(Exit::Conflict)
        }
        Verdict::Faulty(faults) => {
            if out.is_json() {
                out.json(&VerdictOutput::Faulty { faults: &faults })?;
            } else {
                out.line("refused: the file has faults")?;
                for fault in &faults {
                    out.line(format!("  {fault}"))?;
                }
            }
            Ok(Exit::Refused)
        }
    }
}

/// Writes the file in force, ready to be changed and applied.
pub(super) async fn current(
    client: &Client,
    out: &mut Output<'_, impl Write>,
) -> Result<Exit, CliError> {
    let (revision, fleet) = match client.call_control(&ControlRequest::Current).await? {
        ControlReply::Current { revision, fleet } => (revision, fleet),
        other => return Err(refused(other)),
    };
    if out.is_json() {
        #[derive(Serialize)]
        struct Current<'a> {
            revision: Revision,
            fleet: &'a Fleet,
        }
        out.json(&Current {
            revision,
            fleet: &fleet,
        })?;
        return Ok(Exit::Done);
    }
    let text = toml::to_string(&*fleet).map_err(|e| CliError::Refused(e.to_string()))?;
    out.line(format!(
        "# Revision {revision}; apply changes with `--base {revision}`."
    ))?;
    out.line("")?;
    out.text(&text)?;
    Ok(Exit::Done)
}

fn read_file(path: &Path, out: &mut Output<'_, impl Write>) -> Result<Option<FleetFile>, CliError> {
    match FleetFile::read(path) {
        Ok(file) => Ok(Some(file)),
        Err(FileError::Faulty(faults)) if out.is_json() => {
            let faults = faults.iter().map(fault_output).collect();
            out.json(&Checked {
                ok: false,
                digest: None,
                faults,
            })?;
            Ok(None)
        }
        Err(e) => Err(e.into()),
    }
}

fn fault_output(fault: &FileFault) -> FaultOutput<'_> {
    FaultOutput {
        file: &fault.path,
        line: fault.line,
        column: fault.column,
        message: &fault.message,
        suggestion: fault.suggestion.as_deref(),
    }
}

async fn accepted(
    client: &Client,
    apply: &Apply,
    revision: Revision,
    out: &mut Output<'_, impl Write>,
) -> Result<Exit, CliError> {
    if !out.is_json() {
        out.line(format!("accepted as revision {revision}"))?;
    }
    let in_force = match apply.wait {
        true => Some(wait_in_force(client, revision).await?),
        false => None,
    };
    if out.is_json() {
        out.json(&VerdictOutput::Accepted { revision, in_force })?;
    } else if in_force == Some(true) {
        out.line("in force at every entry, or its lease has ended")?;
    } else if in_force == Some(false) {
        out.line(format!(
            "not yet in force everywhere after {LONGEST_WAIT:?}; see `sesamebeam status`"
        ))?;
    }
    Ok(match in_force {
        Some(false) => Exit::Unreachable,
        Some(true) | None => Exit::Done,
    })
}

async fn wait_in_force(client: &Client, revision: Revision) -> Result<bool, CliError> {
    let until = tokio::time::Instant::now() + LONGEST_WAIT;
    while tokio::time::Instant::now() < until {
        let status = client.status().await?.map_err(refused)?;
        if status.in_force >= revision {
            return Ok(true);
        }
        tokio::time::sleep(LOOK_EVERY).await;
    }
    Ok(false)
}

fn contents(fleet: &Fleet) -> String {
    let versions: usize = fleet.models.iter().map(|model| model.versions.len()).sum();
    format!(
        "fleet `{}`, {}, {}, {}, {}, {}, {}",
        fleet.name,
        count(fleet.domains.len(), "failure domain"),
        count(fleet.pools.len(), "pool"),
        count(versions, "version"),
        count(fleet.classes.len(), "class"),
        count(fleet.organisations.len(), "organisation"),
        count(fleet.rollouts.len(), "roll-out"),
    )
}

fn count(n: usize, what: &str) -> String {
    match n {
        1 => format!("1 {what}"),
        _ if what.ends_with('s') => format!("{n} {what}es"),
        _ => format!("{n} {what}s"),
    }
}

fn unix_millis() -> u64 {
    let since = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    since.map_or(0, |time| time.as_millis() as u64)
}
