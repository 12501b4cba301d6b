//! Log lines and metrics for the notices of the entry core.

use sesamebeam_core::entry::event::{
    Ended,
    Notice, //
};

use crate::{
    limit::LogLimit,
    metrics::{
        Counter,
        Gauge,
        Metrics, //
    },
};

/// Writes notices to the log and updates the metrics.
pub(crate) struct NoticeRecorder {
    metrics: Metrics,
    /// Limits the log lines about invalid input to one a minute.
    bad_input: LogLimit,
}

impl NoticeRecorder {
    /// Creates a recorder that updates `metrics`.
    pub(crate) fn new(metrics: Metrics) -> Self {
        Self {
            metrics,
            bad_input: LogLimit::default(),
        }
    }

    /// Logs and counts a notice.
    pub(crate) fn record(&mut self, notice: &Notice) {
        match notice {
            Notice::Ended(ended) => {
                log_ended(ended);
                self.metrics.record_request(ended);
            }
            Notice::InForce { revision } => {
                log::info!("event=in_force revision={revision}");
                self.metrics.gauge(Gauge::Revision, *revision);
            }
            Notice::LeaseLost => {
                log::warn!("event=lease_lost serves=\"settled versions only\"");
                self.metrics.gauge(Gauge::Lease, 0);
            }
            Notice::LeaseHeld => {
                log::info!("event=lease_held");
                self.metrics.gauge(Gauge::Lease, 1);
            }
            Notice::Held { version } => {
                log::warn!("event=version_held version={version}");
                self.metrics.count(Counter::VersionsHeld, 1);
            }
            Notice::ServerUp { server, pool } => {
                log::info!("event=server_up server={} pool={pool}", server.addr);
            }
            Notice::ServerDown { server, why } => {
                log::warn!("event=server_down server={server} why={why:?}");
                self.metrics.count(Counter::ServersDown, 1);
            }
            Notice::Quarantined { fingerprint } => {
                log::warn!("event=quarantined fingerprint={fingerprint:032x}");
                self.metrics.count(Counter::Quarantined, 1);
            }
            Notice::Ignored { why } => self.record_ignored_input(why),
        }
    }

    /// Counts invalid input that was ignored, and logs it within the limit.
    pub(crate) fn record_ignored_input(&mut self, why: &str) {
        self.metrics.count(Counter::InvalidInputs, 1);
        if let Some(held) = self.bad_input.allow() {
            log::warn!("event=input_ignored why={why:?} held_back={held}");
        }
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
