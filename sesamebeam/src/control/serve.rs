//! Connections to a control replica: other replicas, entries, operators.

use std::sync::{
    Arc,
    atomic::{
        AtomicU64,
        Ordering, //
    },
};

use sesamebeam_core::{
    control::{
        ClientTicket,
        ControlEvent, //
    },
    message::{
        control::{
            ControlReply,
            ControlRequest, //
        },
        wire, //
    },
};
use tokio::sync::{
    mpsc::UnboundedSender,
    oneshot, //
};
use tokio_util::sync::CancellationToken;

use super::Input;
use crate::{
    limit::LogLimit,
    link::{
        Incoming,
        Link,
        Peer,
        Replier,
        Role, //
    },
};

/// Bad input is logged once a minute.
static BAD_INPUT: LogLimit = LogLimit::new(crate::limit::LOG_PERIOD);

/// Numbers clients' requests.
static TICKETS: AtomicU64 = AtomicU64::new(1);

/// Accepts connections until cancelled.
pub(crate) async fn serve(link: Arc<Link>, tx: UnboundedSender<Input>, cancel: CancellationToken) {
    loop {
        let peer = tokio::select! {
            () = cancel.cancelled() => return,
            peer = link.accept() => peer,
        };
        let Some(peer) = peer else {
            return;
        };
        let (tx, cancel) = (tx.clone(), cancel.clone());
        tokio::spawn(async move {
            tokio::select! {
                () = cancel.cancelled() => {}
                () = serve_one(peer, tx) => {}
            }
        });
    }
}

async fn serve_one(peer: Peer, tx: UnboundedSender<Input>) {
    let role = peer.role().clone();
    while let Ok(incoming) = peer.next().await {
        match (incoming, &role) {
            (Incoming::Message(bytes), Role::Control(from)) => match wire::decode(&bytes) {
                Ok(message) => {
                    let event = ControlEvent::Peer {
                        from: *from,
                        message,
                    };
                    if tx.send(Input::Event(event)).is_err() {
                        return;
                    }
                }
                Err(e) => bad_input(&role, &e.to_string()),
            },
            (Incoming::Message(_), _) => bad_input(&role, "a message that only replicas send"),
            (Incoming::Call { bytes, reply }, role) => call(&bytes, reply, role, &tx),
        }
    }
}

fn call(bytes: &[u8], reply: Replier, role: &Role, tx: &UnboundedSender<Input>) {
    let req = match wire::decode::<ControlRequest>(bytes) {
        Ok(req) => req,
        Err(e) => {
            bad_input(role, &e.to_string());
            return answer(reply, ControlReply::Refused("does not decode".into()));
        }
    };
    if !may_ask(role, &req) {
        bad_input(role, "a request of another role");
        return answer(reply, ControlReply::Refused("not for this role".into()));
    }
    let ticket = TICKETS.fetch_add(1, Ordering::Relaxed);
    let (back, answered) = oneshot::channel();
    if tx.send(Input::Client(ticket, req, back)).is_err() {
        return;
    }
    let tx = tx.clone();
    tokio::spawn(async move {
        match answered.await {
            Ok(found) => drop(reply.reply(&found).await),
            Err(_) => drop(tx.send(Input::Event(ControlEvent::ClientDisconnected { ticket }))),
        }
    });
}

fn answer(reply: Replier, what: ControlReply) {
    tokio::spawn(async move { reply.reply(&what).await });
}

/// Each role may ask only what is its own: an entry's stolen certificate must
/// not change the configuration, an operator's not claim requests.
fn may_ask(role: &Role, req: &ControlRequest) -> bool {
    match req {
        // Replicas ask before a data folder is made.
        ControlRequest::Status => !matches!(role, Role::Entry(_)),
        ControlRequest::Apply(_)
        | ControlRequest::Current
        | ControlRequest::Bills { .. }
        | ControlRequest::Settle(_)
        | ControlRequest::Replace(_) => matches!(role, Role::Operator(_)),
        ControlRequest::Renew(renew) => is_entry(role, &renew.entry.instance),
        ControlRequest::Claim(claim) => is_entry(role, &claim.claimant.instance),
        ControlRequest::Complete(_)
        | ControlRequest::GetClaim(_)
        | ControlRequest::Pin(_)
        | ControlRequest::Crash(_)
        | ControlRequest::Cleared(_)
        | ControlRequest::Evidence(_)
        | ControlRequest::Servers(_) => matches!(role, Role::Entry(_)),
    }
}

fn is_entry(role: &Role, instance: &str) -> bool {
    matches!(role, Role::Entry(name) if name == instance)
}

fn bad_input(role: &Role, what: &str) {
    if let Some(more) = BAD_INPUT.allow() {
        log::warn!("bad input from {role}: {what} (and {more} more since the last line)");
    }
}

/// Where the answer to a client's request goes.
pub(crate) type Back = oneshot::Sender<ControlReply>;

/// Number of a client's request.
pub(crate) type Ticket = ClientTicket;
