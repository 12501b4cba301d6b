//! Events, actions, messages and disk operations of a replica.

use serde::{
    Deserialize,
    Serialize, //
};

use super::{
    member::{
        ChangeError,
        MemberChange,
        Members, //
    },
    payload::Payload,
};
use crate::ids::{
    LogIndex,
    NodeId,
    Term, //
};

/// Correlation ID that the caller assigns to a proposal, read or membership change.
pub type Ticket = u64;

/// Sequence number of a disk write.
pub type WriteId = u64;

/// Input to a replica.
#[derive(Clone, Debug, PartialEq)]
pub enum ReplicaEvent {
    /// Time has passed.
    Tick,
    /// A message arrived from the replica named in the connection's certificate.
    Message {
        /// Sender, as named in its certificate.
        from: NodeId,
        /// The message.
        message: ReplicaMessage,
    },
    /// A caller proposes an entry for the log.
    Propose {
        /// Correlation ID of the response.
        ticket: Ticket,
        /// Data of the entry.
        data: Vec<u8>,
    },
    /// A caller requests a linearizable read of the applied state.
    Read {
        /// Correlation ID of the response.
        ticket: Ticket,
    },
    /// An operator requests a membership change.
    Change {
        /// Correlation ID of the response.
        ticket: Ticket,
        /// The change.
        change: MemberChange,
    },
    /// A disk write is complete and synced.
    Synced {
        /// Number of the write.
        write: WriteId,
    },
    /// The disk is full or has free space again. The daemon retries a write that
    /// failed for lack of space until it is synced.
    DiskFull(bool),
    /// The state as of `index`, in response to [`ReplicaAction::TakeSnapshot`].
    Snapshot {
        /// Index of the last entry that the state contains.
        index: LogIndex,
        /// The serialized state.
        data: Vec<u8>,
    },
}

/// Output of a replica. Actions must be performed in order.
#[derive(Clone, Debug, PartialEq)]
pub enum ReplicaAction {
    /// Send a message, which may be lost, duplicated or reordered.
    Send {
        /// Recipient.
        to: NodeId,
        /// The message.
        message: ReplicaMessage,
    },
    /// Perform the operations on the disk in order, sync, and report
    /// [`ReplicaEvent::Synced`]. At most one write is in flight.
    Write {
        /// Number of the write.
        write: WriteId,
        /// Operations of the write.
        ops: Vec<DiskOp>,
    },
    /// Apply a committed entry to the state.
    Apply {
        /// Index of the entry.
        index: LogIndex,
        /// Ticket of the proposal if it was made at this replica.
        ticket: Option<Ticket>,
        /// Data of the entry.
        data: Vec<u8>,
    },
    /// The proposal, read or membership change was rejected.
    Rejected {
        /// Ticket of the request.
        ticket: Ticket,
        /// Reason for the rejection.
        reason: Rejection,
    },
    /// The applied state can now be read for this ticket.
    ReadReady {
        /// Ticket of the read.
        ticket: Ticket,
    },
    /// The first step of a membership change is committed.
    Changed {
        /// Ticket of the change.
        ticket: Ticket,
    },
    /// Take a snapshot of the state before performing any later action, and return
    /// it as [`ReplicaEvent::Snapshot`].
    TakeSnapshot {
        /// Index of the last entry that the state contains.
        index: LogIndex,
    },
    /// Replace the state by a snapshot.
    Restore {
        /// Index of the last entry that the snapshot contains.
        index: LogIndex,
        /// The serialized state.
        data: Vec<u8>,
    },
    /// The replica's role has changed.
    Role(Role),
    /// The membership, including the addresses to use, has changed at this replica.
    Members(Members),
}

/// Role of a replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// Follows a leader or waits for one.
    Follower,
    /// Asks voters whether it could win an election.
    PreCandidate,
    /// Requests votes in an election.
    Candidate,
    /// Leads the group.
    Leader,
}

/// Reason for rejecting a proposal, read or membership change.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rejection {
    /// This replica is not the leader; nothing was written. Contains the leader, if
    /// known.
    NotLeader(Option<NodeId>),
    /// The disk is full; nothing was written.
    Full,
    /// Too many bytes are waiting to be written; nothing was written.
    Busy,
    /// Leadership was lost while the request was in flight; it may still be
    /// committed.
    OutcomeUnknown,
    /// The membership change was rejected; nothing was written.
    Change(ChangeError),
}

/// A message between replicas, with the identities of sender and recipient.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ReplicaMessage {
    /// Group of the sender.
    pub group: u128,
    /// ID of the sender.
    pub node: NodeId,
    /// Incarnation of the sender's data folder.
    pub incarnation: u128,
    /// ID of the recipient. Another process may listen at its address by now.
    pub to: NodeId,
    /// Incarnation of the recipient's data folder, if the sender knows it.
    pub to_incarnation: Option<u128>,
    /// Term of the sender.
    pub term: Term,
    /// Payload of the message.
    pub body: ReplicaBody,
}

/// Payload of a message between replicas.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum ReplicaBody {
    /// Asks whether the receiver would vote for the sender in the term after the
    /// sender's current one.
    PreVoteRequest {
        /// Position of the sender's last log entry.
        last: LogPosition,
    },
    /// Response to a pre-vote request.
    PreVoteResponse {
        /// Term of the prospective election.
        vote_term: Term,
        /// Whether the vote would be granted.
        granted: bool,
    },
    /// Requests a vote in the sender's term.
    VoteRequest {
        /// Position of the sender's last log entry.
        last: LogPosition,
        /// Whether the leader gave up its lease and asked for this election.
        transfer: bool,
    },
    /// Response to a vote request.
    VoteResponse {
        /// Whether the vote is granted.
        granted: bool,
    },
    /// Log entries, or none for a heartbeat.
    AppendRequest {
        /// Number of the message round, echoed in the response for the lease and
        /// for reads.
        round: u64,
        /// Position of the entry just before `entries`.
        prev: LogPosition,
        /// Entries to append.
        entries: Vec<Entry>,
        /// Index of the last entry that the leader knows to be committed.
        committed: LogIndex,
    },
    /// Response to entries or a heartbeat; sent again after a sync.
    AppendResponse {
        /// Highest round received.
        round: u64,
        /// Index of the last entry that matches the leader's log and is synced at
        /// the sender.
        synced: LogIndex,
        /// Whether the sender's disk is full.
        disk_full: bool,
        /// Position to resume from if the entries were not accepted.
        hint: Option<LogPosition>,
    },
    /// A chunk of a snapshot.
    SnapshotChunk {
        /// Number of the message round.
        round: u64,
        /// Last log position that the snapshot contains.
        end: LogPosition,
        /// Membership as of the snapshot.
        members: Members,
        /// Byte offset of this chunk.
        offset: u64,
        /// Size of the whole snapshot in bytes.
        total: u64,
        /// Data of this chunk.
        data: Payload,
    },
    /// Response to a snapshot chunk.
    SnapshotChunkResponse {
        /// Highest round received.
        round: u64,
        /// Index of the last entry that the snapshot contains.
        index: LogIndex,
        /// Number of bytes received so far.
        offset: u64,
    },
    /// The leader has given up its lease and asks the receiver to start an election
    /// at once.
    TimeoutNow,
}

/// Position of an entry in the log.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct LogPosition {
    /// Term of the entry. Declared first, so that the derived order matches the
    /// comparison of logs in elections.
    pub term: Term,
    /// Index of the entry.
    pub index: LogIndex,
}

/// A log entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Term of the leader that created the entry.
    pub term: Term,
    /// Index in the log.
    pub index: LogIndex,
    /// Content of the entry.
    pub body: EntryBody,
}

/// Content of a log entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum EntryBody {
    /// No-op: a new leader's first entry, which commits all earlier ones.
    Noop,
    /// Data of a proposal.
    Data(Payload),
    /// The membership that applies from this entry on.
    Members(Members),
}

/// Term and vote of a replica. Synced before any message that depends on them is
/// sent.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HardState {
    /// Highest term seen.
    pub term: Term,
    /// Replica that received the vote in that term.
    pub voted: Option<NodeId>,
}

/// A snapshot of the state with its log position.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    /// Last log position that the snapshot contains.
    pub end: LogPosition,
    /// Membership as of the snapshot.
    pub members: Members,
    /// The serialized state.
    pub data: Payload,
}

/// One operation of a disk write.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum DiskOp {
    /// Store term and vote.
    State(HardState),
    /// Remove the entries from this index on.
    Truncate {
        /// Index of the first removed entry.
        from: LogIndex,
    },
    /// Store a snapshot. Entries up to its end are no longer needed. If the log is
    /// shorter, it continues after the snapshot's end.
    Snapshot(Snapshot),
    /// Append entries that continue the log.
    Entries(Vec<Entry>),
}

/// Persisted state of a replica.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct SavedState {
    /// Term and vote.
    pub state: HardState,
    /// Newest snapshot.
    pub snapshot: Option<Snapshot>,
    /// Contiguous entries after the snapshot.
    pub entries: Vec<Entry>,
}

impl SavedState {
    /// Returns whether nothing has been persisted yet.
    pub fn is_empty(&self) -> bool {
        self.state == HardState::default() && self.snapshot.is_none() && self.entries.is_empty()
    }

    /// Applies disk operations in memory, for test harnesses without a disk.
    pub fn write(&mut self, ops: &[DiskOp]) {
        for op in ops {
            match op {
                DiskOp::State(state) => self.state = *state,
                DiskOp::Truncate { from } => self.entries.retain(|entry| entry.index < *from),
                DiskOp::Snapshot(snapshot) => {
                    self.entries
                        .retain(|entry| entry.index > snapshot.end.index);
                    self.snapshot = Some(snapshot.clone());
                }
                DiskOp::Entries(entries) => self.entries.extend(entries.iter().cloned()),
            }
        }
    }
}
