//! Sending of messages to other control replicas.

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
    RetryBackoff, //
};

/// Maximum number of messages queued for one replica. Further ones are dropped; the
/// protocol tolerates lost messages.
const QUEUE_CAPACITY: usize = 512;

/// Maximum delay before another attempt to connect to an unreachable replica. It is short
/// since an election may be waiting for the connection, and there are few replicas.
const MAX_RETRY_DELAY: Duration = Duration::from_millis(100);

/// Sending side of a connection that is re-established when it is lost.
#[derive(Debug)]
pub(super) struct PeerSender {
    /// Node id under which this process has identified itself.
    own_id: NodeId,
    addr: SocketAddr,
    tx: Sender<CoordinatorMessage>,
    halt: CancellationToken,
}

impl PeerSender {
    /// Starts the task that maintains the connection to a replica.
    pub(super) fn start(
        own_id: NodeId,
        peer: NodeId,
        addr: SocketAddr,
        inputs: Inputs,
        halt: CancellationToken,
    ) -> Self {
        let (tx, rx) = channel(QUEUE_CAPACITY);
        let cancel = halt.clone();
        let connection = Connection {
            own_id,
            peer,
            addr,
            inputs,
        };
        tokio::spawn(async move {
            tokio::select! {
                () = cancel.cancelled() => {}
                () = connection.maintain(rx) => {}
            }
        });
        Self {
            own_id,
            addr,
            tx,
            halt,
        }
    }

    /// Returns whether it sends from node `own_id` to `addr`.
    pub(super) fn is_between(&self, own_id: NodeId, addr: SocketAddr) -> bool {
        self.own_id == own_id && self.addr == addr
    }

    /// Queues a message, or drops it if the queue is full.
    pub(super) fn send(&self, message: CoordinatorMessage) {
        let _ = self.tx.try_send(message);
    }
}

impl Drop for PeerSender {
    fn drop(&mut self) {
        self.halt.cancel();
    }
}

/// State of a connection task.
struct Connection {
    own_id: NodeId,
    peer: NodeId,
    addr: SocketAddr,
    inputs: Inputs,
}

impl Connection {
    async fn maintain(&self, mut rx: Receiver<CoordinatorMessage>) {
        let mut retry = RetryBackoff::with_max_delay(MAX_RETRY_DELAY);
        loop {
            let mut reached = false;
            let ended = self.forward(&mut rx, &mut reached).await;
            let Err(e) = ended else {
                return;
            };
            if reached {
                log::warn!(peer:% = self.addr, error:% = e; "control replica lost");
            }
            retry.wait(reached).await;
            // Drops messages queued before the reconnect; replication retransmits what is
            // still needed.
            while rx.try_recv().is_ok() {}
        }
    }

    /// Sends queued messages until the connection fails or the queue is closed.
    async fn forward(
        &self,
        rx: &mut Receiver<CoordinatorMessage>,
        reached: &mut bool,
    ) -> Result<(), FrameError> {
        let (mut tx, mut rx_heartbeats) = frames::connect(self.addr).await?;
        tx.send(&Hello::Replica { node: self.own_id }).await?;
        *reached = true;
        log::info!(peer:% = self.addr; "control replica reached");
        let _ = self
            .inputs
            .send(Input::Event(Event::PeerConnected(self.peer)));
        // The peer sends heartbeats; their absence indicates a broken network path.
        let heartbeats = async {
            loop {
                if let Err(e) = rx_heartbeats.next::<Bytes>().await {
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
            e = heartbeats => Err(e),
            sent = sending => sent,
        }
    }
}
