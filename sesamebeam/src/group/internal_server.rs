//! Server for internal connections of entries and other control replicas.

use bytes::Bytes;
use sesamebeam_core::gateway::{
    coordinator::{
        EntryId,
        Event, //
    },
    messages::{
        FromEntry,
        Hello,
        MembershipRequest, //
        ToEntry,
    },
};
use smol_str::SmolStr;
use tokio::{
    net::TcpStream,
    sync::{
        mpsc::{
            Receiver as Queue,
            channel, //
        },
        oneshot, watch,
    },
    time::{
        MissedTickBehavior,
        interval, //
    },
};
use tokio_util::sync::CancellationToken;

use super::{
    GroupError,
    GroupSettings,
    Input,
    Inputs,
    subscribers::EntryConnection, //
};
use crate::{
    frames::{
        self,
        FrameError,
        HEARTBEAT_INTERVAL,
        Receiver,
        Sender, //
    },
    intake::{
        Connections,
        OpenConnection, //
    },
    listen,
};

/// Maximum number of messages queued for one entry; an entry that exceeds it is
/// disconnected.
const QUEUE_CAPACITY: usize = 256;

/// Starts accepting connections.
pub(super) async fn start(
    settings: &GroupSettings,
    inputs: Inputs,
    heartbeat: watch::Receiver<Bytes>,
    halt: CancellationToken,
) -> Result<(), GroupError> {
    let listener = listen::bind(settings.internal_addr).await?;
    let cancel = halt.clone();
    let connections = Connections::new(settings.resources.internal_connections());
    let serve_peer = move |stream, open: OpenConnection| {
        let (inputs, heartbeat, halt) = (inputs.clone(), heartbeat.clone(), cancel.clone());
        async move {
            tokio::select! {
                () = halt.cancelled() => {}
                ended = serve(stream, open, inputs, heartbeat) => {
                    if let Err(e) = ended {
                        log::debug!(error:% = e; "internal connection ended");
                    }
                }
            }
        }
    };
    tokio::spawn(listen::accept(listener, connections, halt, serve_peer));
    Ok(())
}

async fn serve(
    stream: TcpStream,
    open: OpenConnection,
    inputs: Inputs,
    heartbeat: watch::Receiver<Bytes>,
) -> Result<(), FrameError> {
    let (sender, mut rx) = frames::split(stream)?;
    let hello = rx.next::<Hello>().await?;
    // One that has said who it is stays, however seldom it has anything to say.
    let _in_use = open.begin_request();
    match hello {
        Hello::Entry { id, name } => serve_entry(sender, rx, inputs, heartbeat, id, name).await,
        Hello::Replica { node } => serve_replica(sender, rx, inputs, node).await,
        Hello::NonMember => serve_non_member(sender, rx, inputs).await,
    }
}

async fn serve_replica(
    mut sender: Sender,
    mut rx: Receiver,
    inputs: Inputs,
    from: u64,
) -> Result<(), FrameError> {
    let heartbeats = send_heartbeats(&mut sender);
    let reading = async {
        loop {
            // A replica may have nothing to send for a long time. The sending side
            // monitors the connection by the heartbeats from here.
            match rx.next().await {
                Ok(message) => {
                    let event = Event::Peer { from, message };
                    if inputs.send(Input::Event(event)).is_err() {
                        return Ok(());
                    }
                }
                Err(FrameError::TimedOut) => {}
                Err(e) => return Err(e),
            }
        }
    };
    tokio::select! {
        ended = heartbeats => ended,
        ended = reading => ended,
    }
}

async fn send_heartbeats(sender: &mut Sender) -> Result<(), FrameError> {
    let mut ticks = interval(HEARTBEAT_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        sender.send(&Bytes::new()).await?;
    }
}

async fn serve_entry(
    sender: Sender,
    mut rx: Receiver,
    inputs: Inputs,
    heartbeat: watch::Receiver<Bytes>,
    entry_id: EntryId,
    name: SmolStr,
) -> Result<(), FrameError> {
    let (push, queue) = channel(QUEUE_CAPACITY);
    // Weak: the connection ends once the replica drops its sender.
    let echo = push.downgrade();
    let connection = EntryConnection::new(push);
    let connection_id = connection.connection_id;
    log::info!(entry:% = name, life = entry_id; "entry connected");
    let _ = inputs.send(Input::Entry(entry_id, connection));
    let reading = async {
        loop {
            let event = match rx.next().await? {
                FromEntry::Follow(held) => Event::EntryFollows(entry_id, held),
                FromEntry::Unfollow => Event::EntryUnfollows(entry_id),
                FromEntry::RequestUpdate(held) => Event::UpdateRequested(entry_id, held),
                FromEntry::RequestSections(sections) => {
                    Event::SectionsRequested(entry_id, sections)
                }
                FromEntry::Servers(servers) => Event::Servers(servers),
                FromEntry::Report(report) => Event::EntryReported(*report),
                FromEntry::RequestProbe(known) => Event::ProbeRequested(entry_id, known),
                FromEntry::RequestLeases(request) => Event::LeasesRequested(entry_id, request),
                FromEntry::OfferForwarding(offer) => Event::ForwardingOffered(entry_id, offer),
                FromEntry::Heartbeat => continue,
                FromEntry::Ping(sent_at) => {
                    let echo = echo.upgrade().ok_or(FrameError::Closed)?;
                    // One that has to wait for room would tell a delay of the replica.
                    let _ = echo.try_send(frames::encode(&ToEntry::Pong(sent_at))?);
                    continue;
                }
            };
            if inputs.send(Input::Event(event)).is_err() {
                return Ok(());
            }
        }
    };
    let ended = tokio::select! {
        ended = reading => ended,
        ended = write_pushes(sender, queue, heartbeat) => ended,
    };
    if let Err(e) = &ended {
        log::info!(entry:% = name, life = entry_id, error:% = e; "entry lost");
    }
    let _ = inputs.send(Input::EntryLost(entry_id, connection_id));
    ended
}

/// Writes queued messages to an entry, and periodically the heartbeat with a summary of
/// this replica's state.
async fn write_pushes(
    mut sender: Sender,
    mut queue: Queue<Bytes>,
    heartbeat: watch::Receiver<Bytes>,
) -> Result<(), FrameError> {
    let mut ticks = interval(HEARTBEAT_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        let frame = tokio::select! {
            push = queue.recv() => push.ok_or(FrameError::Closed)?,
            _ = ticks.tick() => heartbeat.borrow().clone(),
        };
        sender.send_encoded(frame).await?;
    }
}

async fn serve_non_member(
    mut sender: Sender,
    mut rx: Receiver,
    inputs: Inputs,
) -> Result<(), FrameError> {
    let request = rx.next::<MembershipRequest>().await?;
    let (reply_tx, reply) = oneshot::channel();
    let _ = inputs.send(Input::MembershipRequested(request, reply_tx));
    match reply.await {
        Ok(reply) => sender.send(&reply).await,
        Err(_) => Err(FrameError::Closed),
    }
}
