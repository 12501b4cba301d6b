//! `status`.

use std::io::Write;

use serde::Serialize;
use sesamebeam_core::{
    ids::{
        LogIndex,
        Revision, //
    },
    message::{
        command::RolloutState,
        control::{
            EntryStatus,
            ReplicaStatus,
            RolloutView,
            Status, //
        },
        entry::{
            EntryReply,
            EntryRequest,
            EntryState, //
        },
    },
};
use smol_str::SmolStr;

use super::{
    CliError, Exit,
    control::refused,
    explain::entry_named,
    output::{
        Output,
        hex,
        time, //
    },
};
use crate::{
    client::Client,
    settings::OperatorSettings, //
};

/// What a program reads of a status.
#[derive(Serialize)]
struct StatusOutput<'a> {
    node: u64,
    leader: Option<u64>,
    term: u64,
    committed: LogIndex,
    revision: Revision,
    in_force: Revision,
    replicas: &'a [ReplicaStatus],
    entries: &'a [EntryStatus],
    rollouts: &'a [RolloutView],
    held: &'a [SmolStr],
    quarantine: Vec<String>,
    claims: u64,
    pins: u64,
    bills: u64,
}

/// Shows the state of the group, or of one entry.
pub(super) async fn run(
    client: &Client,
    settings: &OperatorSettings,
    entry: Option<&str>,
    out: &mut Output<'_, impl Write>,
) -> Result<Exit, CliError> {
    match entry {
        Some(name) => {
            let entry = entry_named(settings, name)?;
            match client.call_entry(entry, &EntryRequest::Status).await? {
                EntryReply::Status(state) => show_entry(&state, out)?,
                EntryReply::Refused(why) => return Err(CliError::Refused(why.into())),
                _ => return Err(CliError::OddAnswer),
            }
        }
        None => show_group(&*client.status().await?.map_err(refused)?, out)?,
    }
    Ok(Exit::Done)
}

fn show_group(status: &Status, out: &mut Output<'_, impl Write>) -> Result<(), CliError> {
    if out.is_json() {
        return out.json(&StatusOutput {
            node: status.node,
            leader: status.leader,
            term: status.term,
            committed: status.committed,
            revision: status.revision,
            in_force: status.in_force,
            replicas: &status.replicas,
            entries: &status.entries,
            rollouts: &status.live.rollouts,
            held: &status.live.held,
            quarantine: status.live.quarantine.iter().copied().map(hex).collect(),
            claims: status.claims,
            pins: status.pins,
            bills: status.bills,
        });
    }
    let leader = status
        .leader
        .map_or("none".to_owned(), |node| node.to_string());
    out.line(format!(
        "leader {leader}, term {}, log committed up to {}",
        status.term, status.committed
    ))?;
    if status.leader != Some(status.node) {
        out.line(format!(
            "as replica {} sees it, which does not lead and knows no entries",
            status.node
        ))?;
    }
    out.line(format!(
        "revision {} accepted, revision {} in force everywhere",
        status.revision, status.in_force
    ))?;
    out.line(format!(
        "{} claims, {} pins, {} billing entries",
        status.claims, status.pins, status.bills
    ))?;
    show_replicas(status, out)?;
    show_entries(status, out)?;
    show_rollouts(status, out)
}

fn show_replicas(status: &Status, out: &mut Output<'_, impl Write>) -> Result<(), CliError> {
    let rows: Vec<_> = status
        .replicas
        .iter()
        .map(|replica| {
            let role = if Some(replica.node) == status.leader {
                "leader"
            } else if replica.voter {
                "voter"
            } else {
                "learner"
            };
            [
                replica.node.to_string(),
                role.to_owned(),
                replica.synced.to_string(),
                time(replica.silent),
            ]
        })
        .collect();
    out.line("")?;
    Ok(out.table(["REPLICA", "ROLE", "SYNCED", "SILENT"], &rows)?)
}

fn show_entries(status: &Status, out: &mut Output<'_, impl Write>) -> Result<(), CliError> {
    let rows: Vec<_> = status
        .entries
        .iter()
        .map(|entry| {
            let lease = match entry.lease_left.is_zero() {
                true => "ended".to_owned(),
                false => time(entry.lease_left),
            };
            [
                entry.instance.to_string(),
                entry.domain.to_string(),
                entry.revision.to_string(),
                time(entry.since),
                lease,
            ]
        })
        .collect();
    out.line("")?;
    Ok(out.table(["ENTRY", "DOMAIN", "REVISION", "SINCE", "LEASE"], &rows)?)
}

fn show_rollouts(status: &Status, out: &mut Output<'_, impl Write>) -> Result<(), CliError> {
    if !status.live.rollouts.is_empty() {
        let rows: Vec<_> = status
            .live
            .rollouts
            .iter()
            .map(|rollout| {
                [
                    rollout.version.to_string(),
                    rollout_state(rollout.state),
                    rollout.share.to_string(),
                    rollout.rated.0.to_string(),
                    rollout.rated.1.to_string(),
                ]
            })
            .collect();
        out.line("")?;
        out.table(["ROLL-OUT", "STATE", "SHARE", "GOOD", "BAD"], &rows)?;
    }
    if !status.live.held.is_empty() {
        out.line("")?;
    }
    for version in &status.live.held {
        out.line(format!("held by evidence: {version}"))?;
    }
    for fingerprint in &status.live.quarantine {
        out.line(format!("quarantined request: {}", hex(*fingerprint)))?;
    }
    Ok(())
}

fn rollout_state(state: RolloutState) -> String {
    match state {
        RolloutState::Loading => "loading".to_owned(),
        // People count steps from 1.
        RolloutState::At(step) => format!("step {}", step + 1),
        RolloutState::Held => "held".to_owned(),
        RolloutState::Done => "done".to_owned(),
    }
}

fn show_entry(state: &EntryState, out: &mut Output<'_, impl Write>) -> Result<(), CliError> {
    if out.is_json() {
        return out.json(state);
    }
    let lease = if state.lease_held { "held" } else { "ended" };
    out.line(format!(
        "entry {} in {}: revision {}, lease {lease}, {} requests under way{}",
        state.instance,
        state.domain,
        state.revision,
        state.in_flight,
        if state.stopping { ", stopping" } else { "" },
    ))?;
    let rows: Vec<_> = state
        .servers
        .iter()
        .map(|server| {
            [
                server.addr.to_string(),
                server.pool.to_string(),
                server.domain.to_string(),
                server.load.running.to_string(),
                server.load.waiting.to_string(),
                if server.leaving { "leaving" } else { "in use" }.to_owned(),
                server.versions.join(" "),
            ]
        })
        .collect();
    out.line("")?;
    let heads = [
        "BACKEND SERVER",
        "POOL",
        "DOMAIN",
        "RUNNING",
        "WAITING",
        "STATE",
        "VERSIONS",
    ];
    Ok(out.table(heads, &rows)?)
}
