//! `explain`.

use std::io::Write;

use serde::Serialize;
use sesamebeam_core::{
    entry::explain::Explanation,
    fleet::check::most_similar,
    ids::RequestId,
    message::entry::{
        EntryReply,
        EntryRequest, //
    },
};

use super::{
    CliError, Exit,
    output::{
        Output,
        hex, //
    },
};
use crate::{
    client::Client,
    settings::{
        OperatorSettings,
        PeerEntry, //
    },
};

/// Shows what was decided on a request, by the entry that admitted it.
pub(super) async fn run(
    client: &Client,
    settings: &OperatorSettings,
    request: RequestId,
    out: &mut Output<'_, impl Write>,
) -> Result<Exit, CliError> {
    let req = EntryRequest::Explain(request);
    let mut failed = None;
    for (entry, answer) in client.call_entries(&settings.entries, &req).await {
        match answer {
            Ok(EntryReply::Explained(Some(explanation))) => {
                show(entry, request, &explanation, out)?;
                return Ok(Exit::Done);
            }
            Ok(EntryReply::Explained(None)) => {}
            Ok(EntryReply::Refused(why)) => return Err(CliError::Refused(why.into())),
            Ok(_) => return Err(CliError::OddAnswer),
            Err(e) => failed = Some(e),
        }
    }
    match failed {
        // The entry that did not answer may be the one that knows.
        Some(e) => Err(e.into()),
        None => Err(CliError::NotFound(format!(
            "no entry knows request {}; each keeps only the most recent ones",
            hex(request)
        ))),
    }
}

/// Finds an entry in the settings by name.
pub(super) fn entry_named<'a>(
    settings: &'a OperatorSettings,
    name: &str,
) -> Result<&'a PeerEntry, CliError> {
    let mut entries = settings.entries.iter();
    entries.find(|entry| entry.instance == name).ok_or_else(|| {
        let names = settings.entries.iter().map(|entry| entry.instance.as_str());
        let hint = most_similar(name, names).map(|near| format!("; did you mean `{near}`?"));
        CliError::NotFound(format!(
            "the settings list no entry `{name}`{}",
            hint.unwrap_or_default()
        ))
    })
}

fn show(
    entry: &PeerEntry,
    request: RequestId,
    explanation: &Explanation,
    out: &mut Output<'_, impl Write>,
) -> Result<(), CliError> {
    if out.is_json() {
        #[derive(Serialize)]
        struct Explained<'a> {
            request: String,
            entry: &'a str,
            explanation: &'a Explanation,
        }
        return out.json(&Explained {
            request: hex(request),
            entry: &entry.instance,
            explanation,
        });
    }
    out.line(format!(
        "request {} of {} at entry {}",
        hex(request),
        explanation.org,
        entry.instance
    ))?;
    for passed in &explanation.passed_over {
        out.line(format!("  passed over  {passed}"))?;
    }
    for step in &explanation.steps {
        out.line(format!(
            "  {:>11}  {}",
            format!("{:.1?}", step.at),
            step.what
        ))?;
        for detail in &step.details {
            out.line(format!("               {detail}"))?;
        }
    }
    Ok(())
}
