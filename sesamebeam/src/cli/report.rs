//! `report burn`.

use std::{
    collections::BTreeMap,
    io::Write,
    path::Path, //
};

use serde::Serialize;
use sesamebeam_core::{
    ids::{
        ClassId,
        InstanceId,
        OrgId, //
    },
    message::entry::{
        EntryReply,
        EntryRequest, //
    },
    policy::burn::{
        BurnReport,
        Indicator,
        ObjectiveBurn,
        PairBurn,
        WindowBurn, //
    },
};

use super::{
    CliError,
    Exit,
    output::Output,
    plot, //
};
use crate::{
    client::Client,
    settings::OperatorSettings, //
};

#[derive(Serialize)]
struct BurnOutput<'a> {
    objectives: &'a [ObjectiveBurn],
    /// Entries that did not answer, so that their requests are missing.
    missing: &'a [InstanceId],
}

/// Shows how fast the objectives are used up, over all entries.
pub(super) async fn burn(
    client: &Client,
    settings: &OperatorSettings,
    org: Option<&OrgId>,
    svg: Option<&Path>,
    out: &mut Output<'_, impl Write>,
) -> Result<Exit, CliError> {
    if settings.entries.is_empty() {
        return Err(CliError::NotFound("the settings list no entry".to_owned()));
    }
    let req = EntryRequest::Burn(org.cloned());
    let mut reports = Vec::new();
    let mut missing = Vec::new();
    let mut failed = None;
    for (entry, answer) in client.call_entries(&settings.entries, &req).await {
        match answer {
            Ok(EntryReply::Burn(report)) => reports.push(report),
            Ok(EntryReply::Refused(why)) => return Err(CliError::Refused(why.into())),
            Ok(_) => return Err(CliError::OddAnswer),
            Err(e) => {
                missing.push(entry.instance.clone());
                failed = Some(e);
            }
        }
    }
    if let (true, Some(e)) = (reports.is_empty(), failed) {
        return Err(e.into());
    }
    let objectives = merge(reports);
    if let Some(file) = svg {
        plot::burn(&objectives, file)?;
    }
    if out.is_json() {
        out.json(&BurnOutput {
            objectives: &objectives,
            missing: &missing,
        })?;
    } else {
        show(&objectives, &missing, out)?;
    }
    Ok(Exit::Done)
}

/// Adds up the reports of several entries.
pub fn merge(reports: impl IntoIterator<Item = BurnReport>) -> Vec<ObjectiveBurn> {
    let mut sums: BTreeMap<(OrgId, ClassId, Indicator), ObjectiveBurn> = BTreeMap::new();
    for objective in reports.into_iter().flat_map(|report| report.objectives) {
        let key = (
            objective.org.clone(),
            objective.class.clone(),
            objective.indicator,
        );
        match sums.get_mut(&key) {
            Some(sum) => add(sum, &objective),
            None => {
                sums.insert(key, objective);
            }
        }
    }
    // The entries' histories have no counts to be added up by.
    let without_history = |objective| ObjectiveBurn {
        history: Vec::new(),
        ..objective
    };
    sums.into_values().map(without_history).collect()
}

fn add(sum: &mut ObjectiveBurn, more: &ObjectiveBurn) {
    for (pair, other) in sum.pairs.iter_mut().zip(&more.pairs) {
        add_window(&mut pair.short, &other.short);
        add_window(&mut pair.long, &other.long);
        pair.alerts = pair.short.rate >= pair.limit && pair.long.rate >= pair.limit;
    }
}

/// Adds a window's events. A rate is bad events over all events, times a factor
/// that the objective fixes, so that rates add up weighted by all events.
fn add_window(sum: &mut WindowBurn, more: &WindowBurn) {
    let weighted = sum.rate * sum.total as f64 + more.rate * more.total as f64;
    sum.total += more.total;
    sum.bad += more.bad;
    sum.rate = match sum.total {
        0 => 0.0,
        total => weighted / total as f64,
    };
}

fn show(
    objectives: &[ObjectiveBurn],
    missing: &[InstanceId],
    out: &mut Output<'_, impl Write>,
) -> Result<(), CliError> {
    let rows: Vec<_> = objectives
        .iter()
        .filter(|objective| objective.objective > 0.0)
        .map(|objective| {
            let mut pairs = objective.pairs.iter();
            let mut cell = || pairs.next().map_or("-".to_owned(), pair_cell);
            [
                objective.org.to_string(),
                objective.class.to_string(),
                format!("{:?}", objective.indicator).to_lowercase(),
                objective.objective.to_string(),
                cell(),
                cell(),
                cell(),
                if objective.alerts() { "ALERT" } else { "ok" }.to_owned(),
            ]
        })
        .collect();
    let heads = [
        "ORGANISATION",
        "CLASS",
        "OBJECTIVE",
        "SHARE",
        "5M/1H",
        "30M/6H",
        "2H/24H",
        "STATE",
    ];
    out.table(heads, &rows)?;
    for entry in missing {
        out.line(format!(
            "entry {entry} did not answer; its requests are missing"
        ))?;
    }
    Ok(())
}

/// Writes the burn rates of the short and the long window.
fn pair_cell(pair: &PairBurn) -> String {
    format!("{:.1}/{:.1}", pair.short.rate, pair.long.rate)
}
