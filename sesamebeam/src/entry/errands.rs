//! What the core asks of the process: questions, messages, cancels, notices.

use std::{
    sync::Arc,
    time::Duration, //
};

use sesamebeam_core::entry::event::EntryEvent;
use tokio::sync::mpsc::UnboundedReceiver;
use tokio_util::sync::CancellationToken;

use super::{
    asks::Asks,
    hub::{
        Errand,
        Hub, //
    },
    notices::Notices,
    peers::Peers,
    upstream, //
};
use crate::http::client::Client;

/// Longest wait for the answer to a cancel.
const CANCEL_TIMEOUT: Duration = Duration::from_secs(2);

/// Time between two ticks of the core.
const TICK: Duration = Duration::from_millis(50);

/// Carries errands out.
pub(crate) struct Errands {
    /// The core.
    pub(crate) hub: Arc<Hub>,
    /// The control group.
    pub(crate) asks: Arc<Asks>,
    /// Other entries.
    pub(crate) peers: Peers,
    /// Connections to backend servers.
    pub(crate) client: Client,
    /// Where notices go.
    pub(crate) notices: Notices,
    /// Cancelled when every request has ended after a stop.
    pub(crate) drained: CancellationToken,
}

impl Errands {
    /// Carries errands out, and ticks the core, until cancelled.
    pub(crate) async fn run(
        mut self,
        mut rx: UnboundedReceiver<Errand>,
        cancel: CancellationToken,
    ) {
        let mut ticks = tokio::time::interval(TICK);
        ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                () = cancel.cancelled() => return self.tell_notices(),
                _ = ticks.tick() => {
                    self.hub.event(EntryEvent::Tick);
                    self.tell_notices();
                }
                errand = rx.recv() => match errand {
                    Some(errand) => self.carry(errand),
                    None => return,
                },
            }
        }
    }

    fn tell_notices(&mut self) {
        for notice in self.hub.take_notices() {
            self.notices.take(&notice);
        }
    }

    fn carry(&mut self, errand: Errand) {
        match errand {
            Errand::Ask(ask, req, timeout) => {
                let (hub, asks) = (Arc::clone(&self.hub), Arc::clone(&self.asks));
                tokio::spawn(async move {
                    let reply = asks.ask(&req, timeout).await;
                    hub.event(EntryEvent::ControlReplied { ask, reply });
                });
            }
            Errand::Tell(to, message) => self.peers.tell(&to, &message),
            Errand::Cancel(request, id, server) => {
                let (hub, client) = (Arc::clone(&self.hub), self.client.clone());
                tokio::spawn(async move {
                    let known = upstream::cancel(&client, server, id, CANCEL_TIMEOUT).await;
                    hub.event(EntryEvent::Cancelled { request, known });
                });
            }
            Errand::Retire(server) => self.client.retire(server),
            Errand::Drained => self.drained.cancel(),
        }
    }
}
