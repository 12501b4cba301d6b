//! Messages between entries, and requests of operators.

use std::{
    sync::Arc,
    time::Duration, //
};

use sesamebeam_core::{
    entry::event::{
        EntryEvent,
        Recipients, //
    },
    ids::{
        DomainId,
        InstanceId, //
    },
    message::{
        entry::{
            EntryReply,
            EntryRequest,
            EntryState, //
        },
        peer::PeerMessage,
        wire, //
    },
};
use tokio::sync::mpsc::{
    Receiver,
    Sender,
    channel, //
};
use tokio_util::sync::CancellationToken;

use super::hub::Hub;
use crate::{
    link::{
        Incoming,
        Link,
        Peer,
        PeerClient,
        PeerPool,
        Role, //
    },
    settings::PeerEntry,
};

/// Maximum number of messages waiting for one peer. Further ones are dropped;
/// later refreshes repeat their content.
const MAX_WAITING: usize = 256;

/// Timeout for sending one message.
const SEND_TIMEOUT: Duration = Duration::from_secs(1);

/// Other entries.
pub(crate) struct Peers {
    domain: DomainId,
    peers: Vec<(InstanceId, DomainId, Sender<PeerMessage>)>,
}

impl Peers {
    /// Starts a sending task for each of the other entries.
    pub(crate) fn start(
        domain: DomainId,
        peers: &[PeerEntry],
        pool: &PeerPool,
        cancel: &CancellationToken,
    ) -> Self {
        let peers = peers
            .iter()
            .map(|peer| {
                let (tx, rx) = channel(MAX_WAITING);
                let client = pool.get(peer.addr, Some(Role::Entry(peer.instance.clone())));
                tokio::spawn(send_all(client, rx, cancel.clone()));
                (peer.instance.clone(), peer.domain.clone(), tx)
            })
            .collect();
        Self { domain, peers }
    }

    /// Queues a message to other entries, without waiting for them.
    pub(crate) fn tell(&self, to: &Recipients, message: &PeerMessage) {
        for (instance, domain, tx) in &self.peers {
            let wanted = match to {
                Recipients::All => true,
                Recipients::Domain => *domain == self.domain,
                Recipients::One(name) => name == instance,
            };
            if wanted {
                let _ = tx.try_send(message.clone());
            }
        }
    }
}

/// Serves connections from other entries and operators until cancelled.
pub(crate) async fn serve(
    link: Arc<Link>,
    hub: Arc<Hub>,
    me: (InstanceId, DomainId),
    cancel: CancellationToken,
) {
    loop {
        let peer = tokio::select! {
            () = cancel.cancelled() => return,
            peer = link.accept() => peer,
        };
        let Some(peer) = peer else {
            return;
        };
        let (hub, me, cancel) = (Arc::clone(&hub), me.clone(), cancel.clone());
        tokio::spawn(async move {
            tokio::select! {
                () = cancel.cancelled() => {}
                () = serve_one(peer, hub, me) => {}
            }
        });
    }
}

async fn serve_one(peer: Peer, hub: Arc<Hub>, me: (InstanceId, DomainId)) {
    while let Ok(incoming) = peer.next().await {
        match (incoming, peer.role()) {
            (Incoming::Message(bytes), Role::Entry(from)) => match wire::decode(&bytes) {
                Ok(message) => hub.handle_event(EntryEvent::Peer {
                    from: from.clone(),
                    message,
                }),
                Err(e) => log::warn!("message of entry {from} ignored: {e}"),
            },
            (Incoming::Call { bytes, reply }, Role::Operator(name)) => {
                let answer = match wire::decode(&bytes) {
                    Ok(req) => answer(&hub, &me, req),
                    Err(e) => {
                        log::warn!("request of operator {name} ignored: {e}");
                        EntryReply::Refused("the question does not decode".into())
                    }
                };
                let _ = reply.reply(&answer).await;
            }
            // Other roles may not send requests to an entry.
            (Incoming::Call { reply, .. }, _) => {
                let refused = EntryReply::Refused("not for this role".into());
                let _ = reply.reply(&refused).await;
            }
            (Incoming::Message(_), _) => {}
        }
    }
}

fn answer(hub: &Hub, me: &(InstanceId, DomainId), req: EntryRequest) -> EntryReply {
    let now = hub.now();
    hub.with(|core| match req {
        EntryRequest::Explain(id) => EntryReply::Explained(core.explanations().find(id).cloned()),
        EntryRequest::Burn(org) => EntryReply::Burn(core.burn(now, org.as_deref())),
        EntryRequest::Status => EntryReply::Status(Box::new(EntryState {
            instance: me.0.clone(),
            domain: me.1.clone(),
            revision: core.view().revision(),
            lease_held: core.view().lease_held(now),
            in_flight: core.in_flight() as u64,
            stopping: core.is_stopping(),
            servers: core.servers().reachable().cloned().collect(),
        })),
    })
}

async fn send_all(
    client: Arc<PeerClient>,
    mut rx: Receiver<PeerMessage>,
    cancel: CancellationToken,
) {
    loop {
        let message = tokio::select! {
            () = cancel.cancelled() => return,
            message = rx.recv() => message,
        };
        let Some(message) = message else {
            return;
        };
        // An unreachable peer gets the content with the next refresh.
        let _ = client.send(&message, SEND_TIMEOUT).await;
    }
}
