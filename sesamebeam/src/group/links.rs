//! Connections of other processes of the system.

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
    subscribers::EntryLink, //
};
use crate::{
    frames::{
        self,
        ALIVE_EVERY,
        FrameError,
        Receiver,
        Sender, //
    },
    listen,
};

/// Messages that wait for one entry; one that lets more gather is cut.
const MAX_WAITING: usize = 256;

/// Starts to take connections.
pub(super) async fn start(
    settings: &GroupSettings,
    tx: Inputs,
    alive: watch::Receiver<Bytes>,
    halt: CancellationToken,
) -> Result<(), GroupError> {
    let listener = listen::bind(settings.internal_addr).await?;
    let cancel = halt.clone();
    tokio::spawn(listen::accept(listener, halt, move |stream| {
        let (tx, alive, halt) = (tx.clone(), alive.clone(), cancel.clone());
        async move {
            tokio::select! {
                () = halt.cancelled() => {}
                ended = serve(stream, tx, alive) => {
                    if let Err(e) = ended {
                        log::debug!(error:% = e; "connection ended");
                    }
                }
            }
        }
    }));
    Ok(())
}

async fn serve(
    stream: TcpStream,
    tx: Inputs,
    alive: watch::Receiver<Bytes>,
) -> Result<(), FrameError> {
    let (back, mut rx) = frames::split(stream)?;
    match rx.next::<Hello>().await? {
        Hello::Entry { id, name } => serve_entry(back, rx, tx, alive, id, name).await,
        Hello::Replica { node } => serve_replica(back, rx, tx, node).await,
        Hello::NonMember => serve_asker(back, rx, tx).await,
    }
}

async fn serve_replica(
    mut back: Sender,
    mut rx: Receiver,
    tx: Inputs,
    from: u64,
) -> Result<(), FrameError> {
    let alive = say_alive(&mut back);
    let reading = async {
        loop {
            // A replica that has nothing to say for long is no fault of the
            // connection; the sender watches it by our messages.
            match rx.next().await {
                Ok(message) => {
                    let event = Event::Peer { from, message };
                    if tx.send(Input::Event(event)).is_err() {
                        return Ok(());
                    }
                }
                Err(FrameError::Silent) => {}
                Err(e) => return Err(e),
            }
        }
    };
    tokio::select! {
        ended = alive => ended,
        ended = reading => ended,
    }
}

async fn say_alive(back: &mut Sender) -> Result<(), FrameError> {
    let mut ticks = interval(ALIVE_EVERY);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        back.send(&Bytes::new()).await?;
    }
}

async fn serve_entry(
    back: Sender,
    mut rx: Receiver,
    tx: Inputs,
    alive: watch::Receiver<Bytes>,
    life: EntryId,
    name: SmolStr,
) -> Result<(), FrameError> {
    let (push, queue) = channel(MAX_WAITING);
    let link = EntryLink::new(push);
    let number = link.number;
    log::info!(entry:% = name, life = life; "entry connected");
    let _ = tx.send(Input::Entry(life, link));
    let reading = async {
        loop {
            let event = match rx.next().await? {
                FromEntry::Follow(held) => Event::EntryFollows(life, held),
                FromEntry::Unfollow => Event::EntryUnfollows(life),
                FromEntry::RequestUpdate(held) => Event::UpdateRequested(life, held),
                FromEntry::RequestSections(sections) => Event::SectionsRequested(life, sections),
                FromEntry::Servers(servers) => Event::Servers(servers),
                FromEntry::Report(report) => Event::EntryReported(report),
                FromEntry::Heartbeat => continue,
            };
            if tx.send(Input::Event(event)).is_err() {
                return Ok(());
            }
        }
    };
    let ended = tokio::select! {
        ended = reading => ended,
        ended = write_pushes(back, queue, alive) => ended,
    };
    if let Err(e) = &ended {
        log::info!(entry:% = name, life = life, error:% = e; "entry lost");
    }
    let _ = tx.send(Input::EntryLost(life, number));
    ended
}

/// Writes what an entry is told, and now and then what this process holds, which
/// says that it lives.
async fn write_pushes(
    mut back: Sender,
    mut queue: Queue<Bytes>,
    alive: watch::Receiver<Bytes>,
) -> Result<(), FrameError> {
    let mut ticks = interval(ALIVE_EVERY);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        let frame = tokio::select! {
            push = queue.recv() => push.ok_or(FrameError::Closed)?,
            _ = ticks.tick() => alive.borrow().clone(),
        };
        back.send_encoded(frame).await?;
    }
}

async fn serve_asker(mut back: Sender, mut rx: Receiver, tx: Inputs) -> Result<(), FrameError> {
    let question = rx.next::<MembershipRequest>().await?;
    let (reply_tx, reply) = oneshot::channel();
    let _ = tx.send(Input::Asked(question, reply_tx));
    match reply.await {
        Ok(reply) => back.send(&reply).await,
        Err(_) => Err(FrameError::Closed),
    }
}
