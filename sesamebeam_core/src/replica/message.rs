//! Events, actions, messages and disk operations of a replica.

use serde::{
    Deserialize,
    Serialize, //
};

use super::{
    member::{
        ChangeFault,
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

/// Number that the caller gives to a proposal, read or change.
pub type Ticket = u64;

/// Number of a write to the disk; grows by one.
pub type WriteId = u64;

/// What happens to a replica.
#[derive(Clone, Debug, PartialEq)]
pub enum ReplicaEvent {
    /// Time has passed.
    Tick,
    /// A message came from the replica that the connection's certificate names.
    Message {
        /// Sender by its certificate.
        from: NodeId,
        /// The message.
        message: ReplicaMessage,
    },
    /// A caller wants an entry in the log.
    Propose {
        /// Number that the answer carries.
        ticket: Ticket,
        /// Bytes of the entry.
        data: Vec<u8>,
    },
    /// A caller wants to read the applied state, linearizably.
    Read {
        /// Number that the answer carries.
        ticket: Ticket,
    },
    /// An operator changes the membership.
    Change {
        /// Number that the answer carries.
        ticket: Ticket,
        /// The change.
        change: MemberChange,
    },
    /// A write is on the disk, and synced.
    Synced {
        /// The write.
        write: WriteId,
    },
    /// The disk is full, or has space again. The daemon repeats a write that
    /// failed for want of space until it is synced.
    DiskFull(bool),
    /// The state as of `index`, in answer to [`ReplicaAction::TakeSnapshot`].
    Snapshot {
        /// Last entry that the state contains.
        index: LogIndex,
        /// The state.
        data: Vec<u8>,
    },
}

/// What a replica wants done, in this order.
#[derive(Clone, Debug, PartialEq)]
pub enum ReplicaAction {
    /// Sends a message; it may be lost, doubled or reordered.
    Send {
        /// Replica to send to.
        to: NodeId,
        /// The message.
        message: ReplicaMessage,
    },
    /// Writes to the disk in order and syncs; then [`ReplicaEvent::Synced`].
    /// At most one write is in flight.
    Write {
        /// Number of the write.
        write: WriteId,
        /// What is written.
        ops: Vec<DiskOp>,
    },
    /// Applies a committed entry to the state.
    Apply {
        /// Position of the entry.
        index: LogIndex,
        /// Number of the proposal if it was made here.
        ticket: Option<Ticket>,
        /// Bytes of the entry.
        data: Vec<u8>,
    },
    /// The proposal, read or change is not carried out here.
    Rejected {
        /// Its number.
        ticket: Ticket,
        /// Why.
        reason: Rejection,
    },
    /// The applied state may be read now for this ticket.
    ReadReady {
        /// Number of the read.
        ticket: Ticket,
    },
    /// The first step of a change is committed.
    Changed {
        /// Number of the change.
        ticket: Ticket,
    },
    /// Takes a snapshot of the state right now, before any later action is
    /// carried out, and hands it in as [`ReplicaEvent::Snapshot`].
    TakeSnapshot {
        /// Last entry that the state contains.
        index: LogIndex,
    },
    /// Replaces the state by a snapshot.
    Restore {
        /// Last entry that the snapshot contains.
        index: LogIndex,
        /// The state.
        data: Vec<u8>,
    },
    /// The replica's role has changed.
    Role(Role),
    /// The membership in force here has changed, with the addresses to use.
    Members(Members),
}

/// Role of a replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// Follows a leader, or waits for one.
    Follower,
    /// Asks whether it would win an election.
    PreCandidate,
    /// Stands for election.
    Candidate,
    /// Leads.
    Leader,
}

/// Why a proposal, read or change was not carried out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rejection {
    /// This replica does not lead; nothing was written. The leader it knows of.
    NotLeader(Option<NodeId>),
    /// The disk is full; nothing was written.
    Full,
    /// Too much is waiting to be written; nothing was written.
    Busy,
    /// Leadership was lost while it was in flight: it may yet come through.
    Unsure,
    /// The membership change is refused; nothing was written.
    Change(ChangeFault),
}

/// A message between replicas with the sender's identity.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ReplicaMessage {
    /// Group of the sender.
    pub group: u128,
    /// Number of the sender.
    pub node: NodeId,
    /// Incarnation of the sender's data folder.
    pub incarnation: u128,
    /// Term of the sender.
    pub term: Term,
    /// What it says.
    pub body: ReplicaBody,
}

/// What a message between replicas says.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum ReplicaBody {
    /// Asks whether the receiver would vote in the term after the sender's.
    PreVote {
        /// End of the sender's log.
        last: LogEnd,
    },
    /// Answer to a pre-vote.
    PreVoted {
        /// Term that was asked about.
        asked: Term,
        /// Whether it would vote.
        granted: bool,
    },
    /// Asks for a vote in the sender's term.
    Vote {
        /// End of the sender's log.
        last: LogEnd,
        /// Whether the leader itself asked for this election, having given up
        /// its lease.
        transfer: bool,
    },
    /// Answer to a vote.
    Voted {
        /// Whether the vote is given.
        granted: bool,
    },
    /// Entries, or none for a heartbeat.
    Append {
        /// Number of the sending round, echoed for the lease and for reads.
        round: u64,
        /// End of the log just before the entries.
        prev: LogEnd,
        /// The entries.
        entries: Vec<Entry>,
        /// Last entry that the leader knows to be committed.
        committed: LogIndex,
    },
    /// Answer to entries or a heartbeat, and again after a sync.
    Appended {
        /// Highest round heard.
        round: u64,
        /// Last entry that matches the leader's log and is synced here.
        synced: LogIndex,
        /// Whether the sender's disk is full.
        full: bool,
        /// Where to go on from if the entries did not fit.
        hint: Option<LogEnd>,
    },
    /// A part of a snapshot.
    Chunk {
        /// Number of the sending round.
        round: u64,
        /// End of the log that the snapshot contains.
        end: LogEnd,
        /// Membership as of the snapshot.
        members: Members,
        /// Bytes before this part.
        offset: u64,
        /// Bytes of the whole snapshot.
        total: u64,
        /// Bytes of this part.
        data: Payload,
    },
    /// Answer to a part of a snapshot.
    Chunked {
        /// Highest round heard.
        round: u64,
        /// Last entry of the snapshot.
        index: LogIndex,
        /// Bytes that the receiver has.
        offset: u64,
    },
    /// The leader gives up its lease and asks the receiver to stand at once.
    Stand,
}

/// End of a log.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct LogEnd {
    /// Term of the last entry. First, so that the order is that of elections.
    pub term: Term,
    /// Position of the last entry.
    pub index: LogIndex,
}

/// One entry of the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Term of the leader that made it.
    pub term: Term,
    /// Position in the log.
    pub index: LogIndex,
    /// What it holds.
    pub body: EntryBody,
}

/// What an entry holds.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum EntryBody {
    /// Nothing: a new leader's first entry, which commits those before it.
    Noop,
    /// Bytes of a proposal.
    Data(Payload),
    /// The membership from here on.
    Members(Members),
}

/// Term and vote of a replica. Synced before anything that rests on them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HardState {
    /// Highest term seen.
    pub term: Term,
    /// Replica voted for in that term.
    pub voted: Option<NodeId>,
}

/// A snapshot with the end of the log that it contains.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    /// End of the log that the snapshot contains.
    pub end: LogEnd,
    /// Membership as of the snapshot.
    pub members: Members,
    /// The state.
    pub data: Payload,
}

/// One step of a write to the disk.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum DiskOp {
    /// Records term and vote.
    State(HardState),
    /// Drops the entries from this position on.
    Truncate {
        /// First position that is dropped.
        from: LogIndex,
    },
    /// Keeps a snapshot; entries up to its end are no longer needed. If the log
    /// is shorter, it goes on after the snapshot's end.
    Snapshot(Snapshot),
    /// Appends entries that follow on.
    Entries(Vec<Entry>),
}

/// What the disk holds.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Saved {
    /// Term and vote.
    pub state: HardState,
    /// Newest snapshot.
    pub snapshot: Option<Snapshot>,
    /// Entries after the snapshot, without a gap.
    pub entries: Vec<Entry>,
}

impl Saved {
    /// Returns whether the disk is new.
    pub fn is_empty(&self) -> bool {
        self.state == HardState::default() && self.snapshot.is_none() && self.entries.is_empty()
    }

    /// Carries out disk operations in memory, for harnesses without a disk.
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
