//! How far the leader has brought one other replica.

use std::collections::VecDeque;

use super::{
    log::Log,
    message::{
        LogEnd,
        ReplicaBody,
        Snapshot, //
    },
};
use crate::ids::{
    LogIndex,
    MonoTime, //
};

/// Batches of entries that may be on their way to one replica.
const MAX_BATCHES_SENT: usize = 16;

/// What the leader does about one other replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Mode {
    /// Finds out where its log agrees with the leader's.
    Probe {
        /// Whether to ask again now.
        due: bool,
    },
    /// Sends entries without waiting for answers.
    Stream,
    /// Sends a snapshot, since the entries it needs are no longer kept.
    Snapshot {
        /// Bytes it has.
        offset: u64,
        /// Whether to send the next part now.
        due: bool,
    },
}

/// What a leader needs to know to make up its messages.
pub(super) struct Outgoing<'a> {
    /// The leader's log.
    pub(super) log: &'a Log,
    /// Last entry that may be sent.
    pub(super) written: LogIndex,
    /// Last entry that is committed.
    pub(super) committed: LogIndex,
    /// Most bytes of entries in one message.
    pub(super) max_batch_bytes: usize,
    /// Bytes in a part of a snapshot.
    pub(super) snapshot_chunk: usize,
    /// Snapshot at hand for replicas that lag far behind.
    pub(super) snapshot: Option<&'a Snapshot>,
    /// Whether a heartbeat is due.
    pub(super) beat: bool,
}

/// How far the leader has brought one other replica.
#[derive(Debug)]
pub(super) struct Progress {
    /// What is done about it.
    pub(super) mode: Mode,
    /// Next entry to send.
    next: LogIndex,
    /// Last entry that it has synced and that matches.
    pub(super) matched: LogIndex,
    /// Last entries of the batches that are on their way.
    sent: VecDeque<LogIndex>,
    /// What was matched at the last heartbeat, to notice a lost batch.
    matched_at_beat: LogIndex,
    /// Last round that it has heard.
    pub(super) round: u64,
    /// When it was last heard of.
    pub(super) heard_at: Option<MonoTime>,
    /// Whether its disk is full.
    pub(super) full: bool,
    /// End of the log that a learner is measured against, and since when.
    goal: Option<(LogIndex, MonoTime)>,
    /// Whether a learner reached a goal soon after it was set.
    pub(super) caught_up: bool,
}

impl Progress {
    /// Starts with the hope that its log is as long as the leader's.
    pub(super) fn new(next: LogIndex) -> Self {
        Progress {
            mode: Mode::Stream,
            next,
            matched: 0,
            sent: VecDeque::new(),
            matched_at_beat: 0,
            round: 0,
            heard_at: None,
            full: false,
            goal: None,
            caught_up: false,
        }
    }

    /// Notes an answer.
    pub(super) fn hear(&mut self, now: MonoTime, round: u64) {
        self.round = self.round.max(round);
        self.heard_at = Some(now);
    }

    /// Notes what it has synced.
    pub(super) fn advance(&mut self, synced: LogIndex) {
        self.matched = self.matched.max(synced);
        self.next = self.next.max(self.matched + 1);
        while self.sent.front().is_some_and(|&last| last <= self.matched) {
            self.sent.pop_front();
        }
        if let Mode::Probe { .. } = self.mode {
            self.mode = Mode::Stream;
        }
    }

    /// Starts over after the point at which the logs may agree.
    ///
    /// An answer that says the same again waits for the next heartbeat: doubled
    /// messages would otherwise ask for more of their kind and multiply.
    pub(super) fn probe_after(&mut self, agreed: LogIndex) {
        let next = agreed.max(self.matched) + 1;
        let known = matches!(self.mode, Mode::Probe { .. }) && self.next == next;
        self.sent.clear();
        self.next = next;
        self.mode = Mode::Probe { due: !known };
    }

    /// Notes how much of a snapshot it has. Only progress asks for the next
    /// part at once, so that doubled answers do not multiply.
    pub(super) fn note_chunk(&mut self, end: LogIndex, total: u64, offset: u64) {
        let Mode::Snapshot { offset: before, .. } = self.mode else {
            return;
        };
        if offset >= total {
            self.probe_after(end);
            return;
        }
        let due = offset > before;
        self.mode = Mode::Snapshot { offset, due };
    }

    /// Measures a learner: it has caught up when it reaches what was the end of
    /// the log no longer than `limit` ago.
    pub(super) fn measure(&mut self, now: MonoTime, end: LogIndex, limit: MonoTime) {
        match self.goal {
            Some((goal, since)) if self.matched >= goal => {
                self.caught_up = now - since <= limit;
                self.goal = Some((end, now));
            }
            Some(_) => {}
            None => self.goal = Some((end, now)),
        }
    }

    /// Makes up the next message, if there is one to send now.
    pub(super) fn next_message(
        &mut self,
        round: u64,
        cx: &Outgoing<'_>,
        beat: bool,
    ) -> Option<ReplicaBody> {
        if self.next <= cx.log.base().index && !matches!(self.mode, Mode::Snapshot { .. }) {
            self.sent.clear();
            self.mode = Mode::Snapshot {
                offset: 0,
                due: true,
            };
        }
        match self.mode {
            Mode::Probe { due } if due || beat => {
                self.mode = Mode::Probe { due: false };
                Some(append(round, cx, self.next - 1, Vec::new()))
            }
            Mode::Probe { .. } => None,
            Mode::Stream => self.next_batch(round, cx, beat),
            Mode::Snapshot { offset, due } => {
                let due = due && cx.snapshot.is_some();
                if !due && !beat {
                    return None;
                }
                self.mode = Mode::Snapshot {
                    offset,
                    due: cx.snapshot.is_none(),
                };
                Some(chunk(round, cx, offset))
            }
        }
    }

    /// Makes up the next batch of entries, or a heartbeat.
    fn next_batch(&mut self, round: u64, cx: &Outgoing<'_>, beat: bool) -> Option<ReplicaBody> {
        let may_send = self.sent.len() < MAX_BATCHES_SENT && !self.full;
        if may_send && self.next <= cx.written {
            let entries = cx.log.slice(self.next, cx.written, cx.max_batch_bytes);
            let prev = self.next - 1;
            self.next += entries.len() as u64;
            self.sent.push_back(self.next - 1);
            return Some(append(round, cx, prev, entries));
        }
        beat.then(|| append(round, cx, self.heartbeat_prev(cx), Vec::new()))
    }

    /// Returns where a heartbeat says the log agrees: at what is known to, or,
    /// if nothing has moved since the last one, at what should by now, so that
    /// a lost batch is noticed.
    fn heartbeat_prev(&mut self, cx: &Outgoing<'_>) -> LogIndex {
        let stalled = self.matched == self.matched_at_beat;
        self.matched_at_beat = self.matched;
        if stalled || self.matched < cx.log.base().index {
            self.next - 1
        } else {
            self.matched
        }
    }
}

/// Makes up entries after `prev`.
fn append(
    round: u64,
    cx: &Outgoing<'_>,
    prev: LogIndex,
    entries: Vec<super::Entry>,
) -> ReplicaBody {
    ReplicaBody::Append {
        round,
        prev: cx.log.end_at(prev).unwrap_or_default(),
        entries,
        committed: cx.committed,
    }
}

/// Makes up a part of the snapshot, or a heartbeat until it is at hand.
fn chunk(round: u64, cx: &Outgoing<'_>, offset: u64) -> ReplicaBody {
    let Some(snapshot) = cx.snapshot else {
        return ReplicaBody::Append {
            round,
            prev: LogEnd::default(),
            entries: Vec::new(),
            committed: 0,
        };
    };
    let start = usize::try_from(offset).unwrap_or(usize::MAX);
    let start = start.min(snapshot.data.len());
    let end = (start + cx.snapshot_chunk).min(snapshot.data.len());
    ReplicaBody::Chunk {
        round,
        end: snapshot.end,
        members: snapshot.members.clone(),
        offset: start as u64,
        total: snapshot.data.len() as u64,
        data: snapshot.data[start..end].into(),
    }
}
