//! Configuration, events and actions of the control core.

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

/// Number that the runtime assigns to a client request.
pub type ClientTicket = u64;

/// Configuration of a control replica.
#[derive(Clone, Debug)]
pub struct ControlConfig {
    /// Configuration of the replicated log.
    pub replica: ReplicaConfig,
    /// Length of an entry's configuration lease.
    pub entry_lease: Duration,
    /// Maximum time for which a request can be in transit after its sender's
    /// dispatch window, and an order after its sender's lease.
    pub network_bound: Duration,
    /// Bound on the rate error of any clock, as a fraction of true time.
    pub drift: f64,
    /// Retention of records.
    pub retention: Retention,
    /// Bandwidth of the weight store, in bytes per second.
    pub weight_store_bandwidth: u64,
    /// Interval between updates of the log's own clock.
    pub clock_interval: Duration,
    /// Time after which an order without effect is issued again.
    pub order_retry: Duration,
    /// Silence after which a backend server is no longer considered for orders.
    pub server_timeout: Duration,
    /// Time after which a client request is answered as unavailable.
    pub client_timeout: Duration,
    /// Maximum number of pending client requests. Further ones are answered as
    /// unavailable.
    pub max_pending: usize,
    /// Safeguards disabled by tests.
    #[doc(hidden)]
    pub faults: Faults,
}

impl ControlConfig {
    /// Creates a default configuration with that of the replicated log.
    pub fn new(replica: ReplicaConfig) -> Self {
        Self {
            drift: replica.clock_drift,
            replica,
            entry_lease: Duration::from_secs(6),
            network_bound: Duration::from_secs(2),
            retention: Retention::default(),
            weight_store_bandwidth: 1 << 30,
            clock_interval: Duration::from_secs(1),
            order_retry: Duration::from_secs(30),
            server_timeout: Duration::from_secs(15),
            client_timeout: Duration::from_secs(3),
            max_pending: 16_384,
            faults: Faults::default(),
        }
    }

    /// Returns the maximum time on the local clock in which another process
    /// measures `time`: if its clock is slow and the local one fast.
    pub(super) fn scaled_for_drift(&self, time: Duration) -> Duration {
        time.mul_f64((1.0 + self.drift) / (1.0 - self.drift))
    }
}

/// Input of a control replica.
#[derive(Clone, Debug)]
pub enum ControlEvent {
    /// Time has passed.
    Tick,
    /// A message from another replica was received.
    Peer {
        /// Sender according to its certificate.
        from: NodeId,
        /// The message.
        message: ReplicaMessage,
    },
    /// A client sent a request.
    Client {
        /// Number that identifies the reply.
        ticket: ClientTicket,
        /// The request.
        req: ControlRequest,
    },
    /// A client no longer waits for its reply.
    ClientDisconnected {
        /// Number of its request.
        ticket: ClientTicket,
    },
    /// A write was synced to the disk.
    Synced {
        /// The write.
        write: WriteId,
    },
    /// Whether the disk is full.
    DiskFull(bool),
    /// An engine responded to an order, or the order could not be sent.
    OrderResult {
        /// Engine that received the order.
        server: ServerAddr,
        /// Fencing number of the order.
        fencing: Fencing,
        /// Whether the engine accepted the order.
        ok: bool,
    },
}

/// Output of a control replica, to be carried out in this order.
#[derive(Clone, Debug, PartialEq)]
pub enum ControlAction {
    /// Sends a message to another replica; it may be lost.
    Send {
        /// Replica to send to.
        to: NodeId,
        /// The message.
        message: ReplicaMessage,
    },
    /// Writes to the disk in order and syncs; answered by
    /// [`ControlEvent::Synced`].
    Write {
        /// Number of the write.
        write: WriteId,
        /// Operations of the write.
        ops: Vec<DiskOp>,
    },
    /// Replies to a client.
    Reply {
        /// Number of its request.
        ticket: ClientTicket,
        /// The reply.
        reply: ControlReply,
    },
    /// Sends an order to an engine immediately or not at all; answered by
    /// [`ControlEvent::OrderResult`].
    Order(Order),
    /// The membership of the group, with the addresses to use, has changed.
    Members(Members),
    /// Logs a notice.
    Notice(ControlNotice),
}

/// Event of a control replica that operators should know of.
#[derive(Clone, Debug, PartialEq)]
pub enum ControlNotice {
    /// The replica's role has changed.
    Role(Role),
    /// The replica has stopped permanently and the process should exit.
    Stopped(StopCause),
    /// A configuration was accepted.
    Accepted(Revision),
    /// A configuration is in force at every entry.
    InForce(Revision),
    /// A version is held in the whole fleet.
    Held(VersionId),
    /// The state of a rollout has changed.
    Rollout {
        /// Version that is being rolled out.
        version: VersionId,
        /// New state.
        state: RolloutState,
    },
    /// A request that crashes backend servers is quarantined.
    Quarantined(Digest),
    /// An engine did not accept an order.
    OrderFailed {
        /// Engine that received the order.
        server: ServerAddr,
        /// Fencing number of the order.
        fencing: Fencing,
    },
}

/// Reason why a replica has stopped permanently.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StopCause {
    /// A committed command cannot be decoded because it was written by a newer
    /// release. Skipping it would let the state of this replica diverge from that
    /// of the group.
    Command(LogIndex),
    /// A snapshot cannot be decoded.
    Snapshot(LogIndex),
}
