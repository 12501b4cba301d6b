//! `report bills` and `settle`.

use std::io::Write;

use serde::Serialize;
use sesamebeam_core::{
    ids::{
        BillSeq,
        UnixMillis, //
    },
    message::{
        control::{
            ControlReply,
            ControlRequest, //
        },
        record::{
            Bill,
            BillState,
            SettleRequest, //
        },
    },
};

use super::{
    CliError, Exit,
    control::refused,
    output::{
        Output,
        hex, //
    },
};
use crate::client::Client;

/// Billing entries asked for at a time.
const PAGE: u32 = 500;

/// Heads of the columns, divided by tabs.
const HEADS: &str =
    "seq\torganisation\tkey\trequest\tclass\tversion\tprompt_tokens\tcompletion_tokens\tstate\tat";

/// A billing entry as a program reads it.
#[derive(Serialize)]
struct BillOutput<'a> {
    seq: BillSeq,
    organisation: &'a str,
    key: &'a str,
    request: String,
    class: &'a str,
    version: Option<&'a str>,
    prompt_tokens: u32,
    completion_tokens: u32,
    state: &'static str,
    at: UnixMillis,
}

impl<'a> From<&'a Bill> for BillOutput<'a> {
    fn from(bill: &'a Bill) -> Self {
        Self {
            seq: bill.seq,
            organisation: &bill.key.org,
            key: &bill.key.key,
            request: hex(bill.request),
            class: &bill.class,
            version: bill.version.as_deref(),
            prompt_tokens: bill.usage.prompt_tokens,
            completion_tokens: bill.usage.completion_tokens,
            state: match bill.state {
                BillState::Charged => "charged",
                BillState::Open => "open",
                BillState::Void => "void",
            },
            at: bill.at,
        }
    }
}

/// Writes billing entries in the order of their positions.
pub(super) async fn bills(
    client: &Client,
    from: BillSeq,
    limit: Option<u64>,
    out: &mut Output<'_, impl Write>,
) -> Result<Exit, CliError> {
    let mut next = from;
    let mut left = limit.unwrap_or(u64::MAX);
    if !out.is_json() {
        out.line(HEADS)?;
    }
    while left > 0 {
        let page = u64::from(PAGE).min(left) as u32;
        let req = ControlRequest::Bills {
            from: next,
            limit: page,
        };
        let bills = match client.call_control(&req).await? {
            ControlReply::Bills(bills) => bills,
            other => return Err(refused(other)),
        };
        let Some(last) = bills.last() else {
            break;
        };
        next = last.seq + 1;
        left = left.saturating_sub(bills.len() as u64);
        for bill in &bills {
            write_bill(&bill.into(), out)?;
        }
    }
    Ok(Exit::Done)
}

/// Settles an open billing entry.
pub(super) async fn settle(
    client: &Client,
    settle: &SettleRequest,
    out: &mut Output<'_, impl Write>,
) -> Result<Exit, CliError> {
    let settled = match client
        .call_control(&ControlRequest::Settle(settle.clone()))
        .await?
    {
        ControlReply::Settled(settled) => settled,
        other => return Err(refused(other)),
    };
    if out.is_json() {
        #[derive(Serialize)]
        struct Settled {
            settled: bool,
        }
        out.json(&Settled { settled })?;
    } else if settled {
        let state = if settle.ran { "charged" } else { "void" };
        out.line(format!("settled: {state}"))?;
    } else {
        out.line("nothing settled: there is no open billing entry under this key")?;
    }
    Ok(if settled { Exit::Done } else { Exit::Refused })
}

fn write_bill(bill: &BillOutput<'_>, out: &mut Output<'_, impl Write>) -> Result<(), CliError> {
    if out.is_json() {
        return out.json(bill);
    }
    let cells = [
        bill.seq.to_string(),
        bill.organisation.to_owned(),
        // A caller chooses the key; a tab in it must not shift the columns.
        bill.key.escape_debug().to_string(),
        bill.request.clone(),
        bill.class.to_owned(),
        bill.version.unwrap_or("-").to_owned(),
        bill.prompt_tokens.to_string(),
        bill.completion_tokens.to_string(),
        bill.state.to_owned(),
        bill.at.to_string(),
    ];
    Ok(out.line(cells.join("\t"))?)
}
