//! Incoming connections from other replicas, entries and operators.

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

/// Limits log lines about bad input to one per minute.
static BAD_INPUT_LOG_LIMIT: LogLimit = LogLimit::new(crate::limit::LOG_PERIOD);

/// Ticket of the next client request.
static NEXT_TICKET: AtomicU64 = AtomicU64::new(1);

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
                () = serve_peer(peer, tx) => {}
            }
        });
    }
}

async fn serve_peer(peer: Peer, tx: UnboundedSender<Input>) {
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
                Err(e) => log_bad_input(&role, &e.to_string()),
            },
            (Incoming::Message(_), _) => {
                log_bad_input(&role, "message type is reserved for replicas")
            }
            (Incoming::Call { bytes, reply }, role) => handle_call(&bytes, reply, role, &tx),
        }
    }
}

fn handle_call(bytes: &[u8], replier: Replier, role: &Role, tx: &UnboundedSender<Input>) {
    let req = match wire::decode::<ControlRequest>(bytes) {
        Ok(req) => req,
        Err(e) => {
            log_bad_input(role, &e.to_string());
            return send_reply(replier, ControlReply::Refused("does not decode".into()));
        }
    };
    if !is_allowed(role, &req) {
        log_bad_input(role, "request is not allowed for this role");
        return send_reply(replier, ControlReply::Refused("not for this role".into()));
    }
    let ticket = NEXT_TICKET.fetch_add(1, Ordering::Relaxed);
    let (reply_sender, reply_receiver) = oneshot::channel();
    if tx.send(Input::Client(ticket, req, reply_sender)).is_err() {
        return;
    }
    let tx = tx.clone();
    tokio::spawn(async move {
        match reply_receiver.await {
            Ok(message) => drop(replier.reply(&message).await),
            Err(_) => drop(tx.send(Input::Event(ControlEvent::ClientDisconnected { ticket }))),
        }
    });
}

fn send_reply(replier: Replier, message: ControlReply) {
    tokio::spawn(async move { replier.reply(&message).await });
}

/// Returns whether a role may send a request. A stolen entry certificate must not
/// allow changes to the configuration, nor an operator's certificate claims on
/// requests.
fn is_allowed(role: &Role, req: &ControlRequest) -> bool {
    match req {
        // Replicas query the status before they create a data folder.
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

fn log_bad_input(role: &Role, reason: &str) {
    if let Some(suppressed) = BAD_INPUT_LOG_LIMIT.allow() {
        log::warn!(
            "bad input from {role}: {reason} ({suppressed} more suppressed since the last log line)"
        );
    }
}

/// Channel for the reply to a client request.
pub(crate) type ReplySender = oneshot::Sender<ControlReply>;

/// Ticket that identifies a client request.
pub(crate) type Ticket = ClientTicket;
