//! Connections of other processes of the system.

use bytes::Bytes;
use sesamebeam_core::gateway::{
    coordinator::{
        EntryLife,
        Event, //
    },
    feed::{
        FromEntry,
        Hello,
        Question,
        ToEntry, //
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
        oneshot,
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
    Inputs, //
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
    halt: CancellationToken,
) -> Result<(), GroupError> {
    let listener = listen::bind(settings.internal).await?;
    let cancel = halt.clone();
    tokio::spawn(listen::accept(listener, halt, move |stream| {
        let (tx, halt) = (tx.clone(), cancel.clone());
        async move {
            tokio::select! {
                () = halt.cancelled() => {}
                ended = serve(stream, tx) => {
                    if let Err(e) = ended {
                        log::debug!(error:% = e; "connection ended");
                    }
                }
            }
        }
    }));
    Ok(())
}

async fn serve(stream: TcpStream, tx: Inputs) -> Result<(), FrameError> {
    let (back, mut rx) = frames::split(stream)?;
    match rx.next::<Hello>().await? {
        Hello::Entry { life, name } => serve_entry(back, rx, tx, life, name).await,
        Hello::Replica { node } => serve_replica(back, rx, tx, node).await,
        Hello::Asker => serve_asker(back, rx, tx).await,
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
    life: EntryLife,
    name: SmolStr,
) -> Result<(), FrameError> {
    let (push, queue) = channel(MAX_WAITING);
    log::info!(entry:% = name, life = life; "entry connected");
    let _ = tx.send(Input::Entry(life, push));
    let reading = async {
        loop {
            let event = match rx.next().await? {
                FromEntry::WantsLoads(wants) => Event::WantsLoads(life, wants),
                said => Event::Said(said),
            };
            if tx.send(Input::Event(event)).is_err() {
                return Ok(());
            }
        }
    };
    let ended = tokio::select! {
        ended = reading => ended,
        ended = write_pushes(back, queue) => ended,
    };
    if let Err(e) = &ended {
        log::info!(entry:% = name, life = life, error:% = e; "entry lost");
    }
    let _ = tx.send(Input::Event(Event::Unsubscribed(life)));
    ended
}

/// Writes what an entry is told, and that this process lives.
async fn write_pushes(mut back: Sender, mut queue: Queue<Bytes>) -> Result<(), FrameError> {
    let mut ticks = interval(ALIVE_EVERY);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            push = queue.recv() => match push {
                Some(push) => back.send_encoded(push).await?,
                None => return Err(FrameError::Closed),
            },
            _ = ticks.tick() => back.send(&ToEntry::Alive).await?,
        }
    }
}

async fn serve_asker(mut back: Sender, mut rx: Receiver, tx: Inputs) -> Result<(), FrameError> {
    let question = rx.next::<Question>().await?;
    let (reply_tx, reply) = oneshot::channel();
    let _ = tx.send(Input::Asked(question, reply_tx));
    match reply.await {
        Ok(reply) => back.send(&reply).await,
        Err(_) => Err(FrameError::Closed),
    }
}
