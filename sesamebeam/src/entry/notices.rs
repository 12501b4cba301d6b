//! Log lines and counts of what an entry does.

use sesamebeam_core::entry::event::{
    Ended,
    Notice, //
};

/// Writes notices to the log.
#[derive(Debug, Default)]
pub(crate) struct Notices {}

impl Notices {
    /// Takes a notice.
    pub(crate) fn take(&mut self, notice: &Notice) {
        match notice {
            Notice::Ended(ended) => log_ended(ended),
            Notice::InForce { revision } => {
                log::info!("configuration in force revision={revision}")
            }
            Notice::LeaseLost => log::warn!("configuration lease lost: settled versions only"),
            Notice::LeaseHeld => log::info!("configuration lease held"),
            Notice::Held { version } => log::warn!("version held here version={version}"),
            Notice::ServerUp { server, pool } => {
                log::info!("backend server known server={} pool={pool}", server.addr);
            }
            Notice::ServerDown { server, why } => {
                log::warn!("backend server out server={server} why=\"{why}\"");
            }
            Notice::Quarantined { fingerprint } => {
                log::warn!("request quarantined fingerprint={fingerprint:032x}");
            }
            Notice::Ignored { why } => self.ignored(why),
        }
    }

    /// Takes a notice of bad input.
    pub(crate) fn ignored(&mut self, why: &str) {
        log::warn!("ignored: {why}");
    }
}

fn log_ended(ended: &Ended) {
    let outcome = match &ended.refusal {
        None if ended.whole => "whole",
        None => "cut",
        Some(refusal) => refusal.outcome.name(),
    };
    log::info!(
        "request={:032x} org={} class={} version={} server={} outcome={outcome} reason={} attempts={} ms={}",
        ended.request,
        ended.org,
        ended.class,
        ended.version.as_deref().unwrap_or("-"),
        ended
            .server
            .map_or_else(|| "-".to_owned(), |s| s.to_string()),
        ended.refusal.as_ref().map_or("-", |r| r.reason.name()),
        ended.attempts,
        ended.took.as_millis(),
    );
}
