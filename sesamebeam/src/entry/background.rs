//! Background jobs of the entry core: requests to the control group, messages to
//! other entries, cancellations, ticks and notices.

use std::{
    sync::Arc,
    time::Duration, //
};

use sesamebeam_core::entry::event::EntryEvent;
use tokio::sync::mpsc::UnboundedReceiver;
use tokio_util::sync::CancellationToken;

use super::{
    control_client::ControlClient,
    hub::{
        BackgroundJob,
        Hub, //
    },
    notices::NoticeRecorder,
    peers::Peers,
    upstream, //
};
use crate::http::client::Client;

/// Timeout for cancelling an attempt.
const CANCEL_TIMEOUT: Duration = Duration::from_secs(2);

/// Interval between two ticks of the core.
const TICK_INTERVAL: Duration = Duration::from_millis(50);

/// Executes background jobs.
pub(crate) struct BackgroundWorker {
    /// Access to the entry core.
    pub(crate) hub: Arc<Hub>,
    /// Client of the control group.
    pub(crate) control: Arc<ControlClient>,
    /// Other entries.
    pub(crate) peers: Peers,
    /// HTTP client for backend servers.
    pub(crate) client: Client,
    /// Logs and counts notices.
    pub(crate) notices: NoticeRecorder,
    /// Cancelled when every request has ended after a planned stop.
    pub(crate) drained: CancellationToken,
}

impl BackgroundWorker {
    /// Executes jobs and ticks the core until cancelled.
    pub(crate) async fn run(
        mut self,
        mut rx: UnboundedReceiver<BackgroundJob>,
        cancel: CancellationToken,
    ) {
        let mut ticks = tokio::time::interval(TICK_INTERVAL);
        ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                () = cancel.cancelled() => return self.flush_notices(),
                _ = ticks.tick() => {
                    self.hub.handle_event(EntryEvent::Tick);
                    self.flush_notices();
                }
                job = rx.recv() => match job {
                    Some(job) => self.handle_job(job),
                    None => return,
                },
            }
        }
    }

    fn flush_notices(&mut self) {
        for notice in self.hub.take_notices() {
            self.notices.record(&notice);
        }
    }

    fn handle_job(&mut self, job: BackgroundJob) {
        match job {
            BackgroundJob::CallControl(ask, req, timeout) => {
                let (hub, control) = (Arc::clone(&self.hub), Arc::clone(&self.control));
                tokio::spawn(async move {
                    let reply = control.call(&req, timeout).await;
                    hub.handle_event(EntryEvent::ControlReplied { ask, reply });
                });
            }
            BackgroundJob::SendToEntries(to, message) => self.peers.tell(&to, &message),
            BackgroundJob::Cancel(request, id, server) => {
                let (hub, client) = (Arc::clone(&self.hub), self.client.clone());
                tokio::spawn(async move {
                    let known = upstream::cancel(&client, server, id, CANCEL_TIMEOUT).await;
                    hub.handle_event(EntryEvent::Cancelled { request, known });
                });
            }
            BackgroundJob::CloseConnections(server) => self.client.retire(server),
            BackgroundJob::Drained => self.drained.cancel(),
        }
    }
}
