//! `control replace`, and answers that refuse.

use std::io::Write;

use sesamebeam_core::message::control::{
    ControlReply,
    ControlRequest,
    Replace, //
};

use super::{
    CliError,
    Exit,
    output::Output, //
};
use crate::client::Client;

/// Asks the group to replace a replica.
pub(super) async fn replace(
    client: &Client,
    replace: &Replace,
    out: &mut Output<'_, impl Write>,
) -> Result<Exit, CliError> {
    let req = ControlRequest::Replace(replace.clone());
    match client.call_control(&req).await? {
        ControlReply::Done => {
            out.line(format!(
                "replica {} joins in place of {}; it votes once it has caught up, see `sesamebeam status`",
                replace.new, replace.old
            ))?;
            Ok(Exit::Done)
        }
        other => Err(refused(other)),
    }
}

/// Turns an answer that is not the one hoped for into an error.
pub(super) fn refused(reply: ControlReply) -> CliError {
    match reply {
        ControlReply::Refused(why) => CliError::Refused(why.into()),
        ControlReply::Denied(why) => CliError::Refused(why.to_string()),
        _ => CliError::OddAnswer,
    }
}
