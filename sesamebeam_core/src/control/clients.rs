//! Client requests that wait for the replicated log.

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

/// What waits for the log under one ticket.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Waiting {
    /// A client's write.
    Write(ClientTicket),
    /// A client's write of a claim or of a look at one.
    Claim(ClientTicket, ClaimKey),
    /// A client's read.
    Read(ClientTicket, Query),
    /// A decision of this leader.
    Own(Own),
}

/// What a client reads.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Query {
    /// How far a claim has come.
    Look(ClaimKey),
    /// The fleet file.
    Current,
    /// Billing entries.
    Bills(BillSeq, usize),
}

/// A decision of the leader. One of each kind is in flight at a time.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Own {
    /// Reads, to know that the state holds everything committed before.
    Settle,
    /// Moves the log's clock.
    Clock,
    /// Brings the leader's retention into the log.
    Retention,
    /// Records a revision as in force.
    InForce,
    /// Moves a roll-out.
    Step(VersionId),
    /// Orders an engine.
    Order(ServerAddr),
}

/// Everything that waits for the log.
#[derive(Clone, Debug, Default)]
pub(super) struct Clients {
    last: Ticket,
    waiting: BTreeMap<Ticket, (MonoTime, Waiting)>,
    /// Decisions of this leader that are in `waiting`.
    own: BTreeSet<Own>,
}

impl Clients {
    /// Adds what waits, with the time at which it is given up.
    pub(super) fn add(&mut self, until: MonoTime, waiting: Waiting) -> Ticket {
        self.last += 1;
        if let Waiting::Own(own) = &waiting {
            self.own.insert(own.clone());
        }
        self.waiting.insert(self.last, (until, waiting));
        self.last
    }

    /// Takes out what waits under a ticket.
    pub(super) fn take(&mut self, ticket: Ticket) -> Option<Waiting> {
        let (_, waiting) = self.waiting.remove(&ticket)?;
        if let Waiting::Own(own) = &waiting {
            self.own.remove(own);
        }
        Some(waiting)
    }

    /// Drops what a client waits for.
    pub(super) fn drop_client(&mut self, client: ClientTicket) {
        self.waiting
            .retain(|_, (_, waiting)| waiting.client() != Some(client));
    }

    /// Takes out everything whose time is over. Tickets and times grow together.
    pub(super) fn take_late(&mut self, now: MonoTime) -> Vec<Waiting> {
        let mut late = Vec::new();
        while let Some((&ticket, (until, _))) = self.waiting.first_key_value()
            && *until <= now
        {
            late.extend(self.take(ticket));
        }
        late
    }

    /// Returns when the next one is given up.
    pub(super) fn next_late(&self) -> Option<MonoTime> {
        self.waiting.first_key_value().map(|(_, (until, _))| *until)
    }

    /// Tells whether a decision is in flight.
    pub(super) fn has_own(&self, own: &Own) -> bool {
        self.own.contains(own)
    }

    /// Counts what waits.
    pub(super) fn len(&self) -> usize {
        self.waiting.len()
    }
}

impl Waiting {
    /// Returns the client that waits.
    pub(super) fn client(&self) -> Option<ClientTicket> {
        match self {
            Self::Write(client) | Self::Claim(client, _) | Self::Read(client, _) => Some(*client),
            Self::Own(_) => None,
        }
    }
}

/// Turns what applying a command gave into a reply.
pub(super) fn reply_of(outcome: Outcome) -> ControlReply {
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

/// Turns a rejection by the log into a reply, with where the leader is.
pub(super) fn reply_to_rejected(reason: Rejection, hint: Option<LeaderHint>) -> ControlReply {
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
