//! Requests that are pending in the replicated log.

use std::collections::{
    BTreeMap,
    BTreeSet, //
};

use smol_str::{
    SmolStr,
    format_smolstr, //
};

use crate::{
    control::message::ClientTicket,
    ids::{
        BillSeq,
        MonoTime,
        ServerAddr,
        VersionId, //
    },
    message::{
        command::Outcome,
        control::{
            ControlReply,
            LeaderHint, //
        },
        record::ClaimKey, //
    },
    replica::{
        ChangeError,
        Rejection,
        Ticket, //
    },
};

/// A request that is pending under one ticket.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Pending {
    /// A client's write.
    Write(ClientTicket),
    /// A client's write of a claim.
    Claim(ClientTicket, ClaimKey),
    /// A client's read.
    Read(ClientTicket, Query),
    /// A task of this leader.
    Leader(LeaderTask),
}

/// What a client reads from the state.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Query {
    /// The state of a claim.
    Claim(ClaimKey),
    /// The fleet file.
    Fleet,
    /// Billing entries.
    Bills(BillSeq, usize),
}

/// A task that the leader starts itself. Each one is in flight at most once.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum LeaderTask {
    /// Reads, to ensure that everything committed before its term is applied.
    ReadBarrier,
    /// Advances the log's clock.
    Clock,
    /// Replicates the leader's retention settings.
    Retention,
    /// Records a revision as in force.
    InForce,
    /// Moves a rollout to its next state.
    Rollout(VersionId),
    /// Sends an order to an engine.
    Order(ServerAddr),
}

/// All requests that are pending in the log.
#[derive(Clone, Debug, Default)]
pub(super) struct PendingRequests {
    last_ticket: Ticket,
    requests: BTreeMap<Ticket, (MonoTime, Pending)>,
    /// Tasks of this leader in `requests`.
    tasks: BTreeSet<LeaderTask>,
}

impl PendingRequests {
    /// Adds a request with its deadline.
    pub(super) fn add(&mut self, deadline: MonoTime, pending: Pending) -> Ticket {
        self.last_ticket += 1;
        if let Pending::Leader(task) = &pending {
            self.tasks.insert(task.clone());
        }
        self.requests.insert(self.last_ticket, (deadline, pending));
        self.last_ticket
    }

    /// Removes and returns the request under a ticket.
    pub(super) fn take(&mut self, ticket: Ticket) -> Option<Pending> {
        let (_, pending) = self.requests.remove(&ticket)?;
        if let Pending::Leader(task) = &pending {
            self.tasks.remove(task);
        }
        Some(pending)
    }

    /// Removes the requests of a client.
    pub(super) fn remove_client(&mut self, client: ClientTicket) {
        self.requests
            .retain(|_, (_, pending)| pending.client() != Some(client));
    }

    /// Removes and returns the requests past their deadline. Deadlines increase
    /// with tickets.
    pub(super) fn take_expired(&mut self, now: MonoTime) -> Vec<Pending> {
        let mut expired = Vec::new();
        while let Some((&ticket, (deadline, _))) = self.requests.first_key_value()
            && *deadline <= now
        {
            expired.extend(self.take(ticket));
        }
        expired
    }

    /// Returns the earliest deadline.
    pub(super) fn next_deadline(&self) -> Option<MonoTime> {
        self.requests
            .first_key_value()
            .map(|(_, (deadline, _))| *deadline)
    }

    /// Returns whether a task is in flight.
    pub(super) fn is_task_pending(&self, task: &LeaderTask) -> bool {
        self.tasks.contains(task)
    }

    /// Returns the number of pending requests.
    pub(super) fn len(&self) -> usize {
        self.requests.len()
    }
}

impl Pending {
    /// Returns the client that made the request, if any.
    pub(super) fn client(&self) -> Option<ClientTicket> {
        match self {
            Self::Write(client) | Self::Claim(client, _) | Self::Read(client, _) => Some(*client),
            Self::Leader(_) => None,
        }
    }
}

/// Converts the outcome of an applied command into a reply.
pub(super) fn reply_from_outcome(outcome: Outcome) -> ControlReply {
    match outcome {
        Outcome::Done | Outcome::Quarantined(_) | Outcome::Ordered(_) => ControlReply::Done,
        Outcome::Verdict(verdict) => ControlReply::Verdict(verdict),
        Outcome::Claim(reply) => ControlReply::Claim(reply),
        Outcome::Complete(reply) => ControlReply::Complete(reply),
        Outcome::Settled(settled) => ControlReply::Settled(settled),
        Outcome::Pin(view) => ControlReply::Pin(view),
        Outcome::Denied(denial) => ControlReply::Denied(denial),
    }
}

/// Converts a rejection by the log into a reply.
pub(super) fn reply_from_rejection(reason: Rejection, hint: Option<LeaderHint>) -> ControlReply {
    let unavailable = |text| ControlReply::Unavailable(SmolStr::new_static(text));
    match reason {
        Rejection::NotLeader(_) => ControlReply::NotLeader(hint),
        Rejection::Full => unavailable("the disk is full"),
        Rejection::Busy => unavailable("too much waits to be written"),
        Rejection::OutcomeUnknown => {
            unavailable("leadership was lost; the write may yet come through")
        }
        Rejection::Change(ChangeError::InFlight) => {
            unavailable("another change of the membership is in flight")
        }
        Rejection::Change(fault) => {
            ControlReply::Refused(format_smolstr!("the change does not fit: {fault:?}"))
        }
    }
}
