//! Sending to another control replica.

use std::{
    net::SocketAddr,
    time::Duration, //
};

use bytes::Bytes;
use sesamebeam_core::{
    gateway::{
        coordinator::Event,
        messages::{
            CoordinatorMessage,
            Hello, //
        },
    },
    ids::NodeId,
};
use tokio::{
    sync::mpsc::{
        Receiver,
        Sender,
        channel, //
    }, //
};
use tokio_util::sync::CancellationToken;

use super::{
    Input,
    Inputs, //
};
use crate::frames::{
    self,
    FrameError,
    Retry, //
};

/// Messages that wait for one replica; more are dropped, as the network may.
const MAX_WAITING: usize = 512;

/// Longest pause before a replica that stays away is tried again: an election
/// waits for it, and there are few.
const RETRY_MAX: Duration = Duration::from_millis(100);

/// The sending side of a connection that is kept open.
#[derive(Debug)]
pub(super) struct PeerSender {
    /// Number under which this process has introduced itself.
    own: NodeId,
    addr: SocketAddr,
    tx: Sender<CoordinatorMessage>,
    halt: CancellationToken,
}

impl PeerSender {
    /// Starts the task that keeps the connection to a replica.
    pub(super) fn start(
        own: NodeId,
        to: NodeId,
        addr: SocketAddr,
        inputs: Inputs,
        halt: CancellationToken,
    ) -> Self {
        let (tx, rx) = channel(MAX_WAITING);
        let cancel = halt.clone();
        let link = Link {
            own,
            to,
            addr,
            inputs,
        };
        tokio::spawn(async move {
            tokio::select! {
                () = cancel.cancelled() => {}
                () = link.keep(rx) => {}
            }
        });
        Self {
            own,
            addr,
            tx,
            halt,
        }
    }

    /// Returns whether it sends from one replica to an address.
    pub(super) fn connects(&self, own: NodeId, addr: SocketAddr) -> bool {
        self.own == own && self.addr == addr
    }

    /// Sends a message, or drops it if too many wait.
    pub(super) fn send(&self, message: CoordinatorMessage) {
        let _ = self.tx.try_send(message);
    }
}

impl Drop for PeerSender {
    fn drop(&mut self) {
        self.halt.cancel();
    }
}

/// What the task of a connection works with.
struct Link {
    own: NodeId,
    to: NodeId,
    addr: SocketAddr,
    inputs: Inputs,
}

impl Link {
    async fn keep(&self, mut rx: Receiver<CoordinatorMessage>) {
        let mut retry = Retry::up_to(RETRY_MAX);
        loop {
            let mut reached = false;
            let ended = self.forward(&mut rx, &mut reached).await;
            let Err(e) = ended else {
                return;
            };
            if reached {
                log::warn!(peer:% = self.addr, error:% = e; "control replica lost");
            }
            retry.pause(reached).await;
            // The log repeats what is still wanted of messages from before.
            while rx.try_recv().is_ok() {}
        }
    }

    /// Sends until the connection ends, or nobody has anything more to send.
    async fn forward(
        &self,
        rx: &mut Receiver<CoordinatorMessage>,
        reached: &mut bool,
    ) -> Result<(), FrameError> {
        let (mut tx, mut back) = frames::connect(self.addr).await?;
        tx.send(&Hello::Replica { node: self.own }).await?;
        *reached = true;
        log::info!(peer:% = self.addr; "control replica reached");
        let _ = self
            .inputs
            .send(Input::Event(Event::PeerConnected(self.to)));
        // The other end says that it lives; silence shows a path that is lost.
        let alive = async {
            loop {
                if let Err(e) = back.next::<Bytes>().await {
                    return e;
                }
            }
        };
        let sending = async {
            while let Some(message) = rx.recv().await {
                tx.send(&message).await?;
            }
            Ok(())
        };
        tokio::select! {
            e = alive => Err(e),
            sent = sending => sent,
        }
    }
}
