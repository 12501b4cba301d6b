//! Settings, events and actions of the control core.

use std::time::Duration;

use crate::{
    ids::{
        Digest,
        Fencing,
        LogIndex,
        NodeId,
        Revision,
        ServerAddr,
        VersionId, //
    },
    message::{
        command::{
            Order,
            Retention,
            RolloutState, //
        },
        control::{
            ControlReply,
            ControlRequest, //
        },
    },
    replica::{
        DiskOp,
        Members,
        ReplicaConfig,
        ReplicaMessage,
        Role,
        WriteId, //
    },
    state::Faults,
};

/// Number that the edge gives to a client's request.
pub type ClientTicket = u64;

/// Settings of a control replica.
#[derive(Clone, Debug)]
pub struct ControlConfig {
    /// Settings of the replicated log.
    pub replica: ReplicaConfig,
    /// Length of an entry's configuration lease.
    pub entry_lease: Duration,
    /// Longest time for which a request stays in the network after its sender's
    /// dispatch window, and an order after its sender's lease.
    pub dispatch_bound: Duration,
    /// Bound on the rate error of any clock, as a share of true time.
    pub drift: f64,
    /// How long records are kept.
    pub retention: Retention,
    /// Bytes a second that the weight store gives.
    pub weight_rate: u64,
    /// Time between two movements of the log's own clock.
    pub clock_every: Duration,
    /// Time after which an order that shows no effect is given again.
    pub order_retry: Duration,
    /// Silence after which a backend server counts for no order.
    pub server_silence: Duration,
    /// Time after which a client's request is answered as unavailable.
    pub client_timeout: Duration,
    /// Most client requests that wait; a further one is answered as unavailable.
    pub max_waiting: usize,
    /// Switches of tests.
    #[doc(hidden)]
    pub faults: Faults,
}

impl ControlConfig {
    /// Makes settings with defaults round those of the replicated log.
    pub fn new(replica: ReplicaConfig) -> Self {
        Self {
            drift: replica.clock_drift,
            replica,
            entry_lease: Duration::from_secs(6),
            dispatch_bound: Duration::from_secs(2),
            retention: Retention::default(),
            weight_rate: 1 << 30,
            clock_every: Duration::from_secs(1),
            order_retry: Duration::from_secs(30),
            server_silence: Duration::from_secs(15),
            client_timeout: Duration::from_secs(3),
            max_waiting: 16_384,
            faults: Faults::default(),
        }
    }

    /// Returns the longest time that a process with a slow clock takes to
    /// measure `time`, on a fast clock here.
    pub(super) fn stretched(&self, time: Duration) -> Duration {
        time.mul_f64((1.0 + self.drift) / (1.0 - self.drift))
    }
}

/// What happens to a control replica.
#[derive(Clone, Debug)]
pub enum ControlEvent {
    /// Time has passed.
    Tick,
    /// A message came from another replica.
    Peer {
        /// Sender by its certificate.
        from: NodeId,
        /// The message.
        message: ReplicaMessage,
    },
    /// A client asks.
    Client {
        /// Number that the reply carries.
        ticket: ClientTicket,
        /// What it asks.
        req: ControlRequest,
    },
    /// A client no longer waits.
    ClientGone {
        /// Number of its request.
        ticket: ClientTicket,
    },
    /// A write is on the disk, and synced.
    Synced {
        /// The write.
        write: WriteId,
    },
    /// The disk is full, or has space again.
    DiskFull(bool),
    /// An engine has answered an order, or the order could not be sent.
    Ordered {
        /// Engine that was ordered.
        server: ServerAddr,
        /// Fencing number of the order.
        fencing: Fencing,
        /// Whether the engine took it.
        ok: bool,
    },
}

/// What a control replica wants done, in this order.
#[derive(Clone, Debug, PartialEq)]
pub enum ControlAction {
    /// Sends a message to another replica; it may be lost.
    Send {
        /// Replica to send to.
        to: NodeId,
        /// The message.
        message: ReplicaMessage,
    },
    /// Writes to the disk in order and syncs; then [`ControlEvent::Synced`].
    Write {
        /// Number of the write.
        write: WriteId,
        /// What is written.
        ops: Vec<DiskOp>,
    },
    /// Answers a client.
    Reply {
        /// Number of its request.
        ticket: ClientTicket,
        /// The answer.
        reply: ControlReply,
    },
    /// Sends an order to an engine, now or not at all; then
    /// [`ControlEvent::Ordered`].
    Order(Order),
    /// The membership of the group has changed, with the addresses to use.
    Members(Members),
    /// Something to log.
    Notice(ControlNotice),
}

/// What a control replica tells the people who run it.
#[derive(Clone, Debug, PartialEq)]
pub enum ControlNotice {
    /// The replica's role has changed.
    Role(Role),
    /// The replica has stopped for good and the process should end.
    Stopped(StopCause),
    /// A configuration was accepted.
    Accepted(Revision),
    /// A configuration is in force at every entry.
    InForce(Revision),
    /// A version is held fleet-wide.
    Held(VersionId),
    /// A roll-out has moved.
    Rollout {
        /// Version that is rolled out.
        version: VersionId,
        /// Where it stands now.
        state: RolloutState,
    },
    /// A request that crashes backend servers is quarantined.
    Quarantined(Digest),
    /// An engine did not take an order.
    OrderFailed {
        /// Engine that was ordered.
        server: ServerAddr,
        /// Fencing number of the order.
        fencing: Fencing,
    },
}

/// Why a replica has stopped for good.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StopCause {
    /// A committed command does not decode: it is of a newer release. Passing
    /// over it would make this replica's state another than the group's.
    Command(LogIndex),
    /// A snapshot does not decode.
    Snapshot(LogIndex),
}
