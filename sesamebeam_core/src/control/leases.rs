//! Configuration leases of entries and the renewals that wait for news.

use std::{
    collections::BTreeMap,
    time::Duration, //
};

use crate::{
    control::message::ClientTicket,
    ids::{
        DomainId,
        LogIndex,
        MonoTime,
        Revision, //
    },
    message::{
        control::{
            EntryStatus,
            Renew, //
        },
        record::Claimant,
    },
};

/// Times a lease for which an ended one is still shown to operators.
const SHOWN_LEASES: u32 = 100;

/// Leases that this leader has given.
///
/// A leader knows only its own. Those of the leader before it end within a lease
/// of its becoming the leader; see [`super::ControlCore`].
#[derive(Clone, Debug, Default)]
pub(super) struct Leases {
    entries: BTreeMap<Claimant, Lease>,
}

/// Lease of one entry in one of its lives.
#[derive(Clone, Debug)]
struct Lease {
    domain: DomainId,
    revision: Revision,
    /// Time at which the entry first reported its revision.
    since: MonoTime,
    /// Time at which the lease ends on every clock within the bound.
    ends: MonoTime,
}

impl Leases {
    /// Notes what an entry reports of itself.
    pub(super) fn note(&mut self, renew: &Renew, now: MonoTime) {
        if renew.leaving {
            self.entries.remove(&renew.entry);
            return;
        }
        let lease = self.entries.entry(renew.entry.clone()).or_insert(Lease {
            domain: renew.domain.clone(),
            revision: renew.revision,
            since: now,
            ends: now,
        });
        if lease.revision != renew.revision {
            lease.revision = renew.revision;
            lease.since = now;
        }
    }

    /// Gives an entry its lease up to `ends`.
    pub(super) fn grant(&mut self, entry: &Claimant, ends: MonoTime) {
        if let Some(lease) = self.entries.get_mut(entry) {
            lease.ends = lease.ends.max(ends);
        }
    }

    /// Tells whether this leader has given no lease to the entry that still runs.
    pub(super) fn ended(&self, entry: &Claimant, now: MonoTime) -> bool {
        self.entries
            .get(entry)
            .is_none_or(|lease| lease.ends <= now)
    }

    /// Returns the lowest revision of the entries whose lease runs.
    pub(super) fn lowest(&self, now: MonoTime) -> Option<Revision> {
        let running = self.entries.values().filter(|lease| lease.ends > now);
        running.map(|lease| lease.revision).min()
    }

    /// Returns when the next lease ends.
    pub(super) fn next_end(&self, now: MonoTime) -> Option<MonoTime> {
        let ends = self.entries.values().map(|lease| lease.ends);
        ends.filter(|ends| *ends > now).min()
    }

    /// Forgets entries whose lease ended long ago.
    pub(super) fn expire(&mut self, lease: Duration, now: MonoTime) {
        self.entries
            .retain(|_, entry| entry.ends + lease * SHOWN_LEASES > now);
    }

    /// Lists the entries, for operators.
    pub(super) fn status(&self, now: MonoTime) -> Vec<EntryStatus> {
        let entries = self.entries.iter().map(|(entry, lease)| EntryStatus {
            instance: entry.instance.clone(),
            domain: lease.domain.clone(),
            revision: lease.revision,
            since: now.saturating_sub(lease.since),
            lease_left: lease.ends.saturating_sub(now),
        });
        entries.collect()
    }
}

/// Renewals that wait until there is news or their time has come.
#[derive(Clone, Debug, Default)]
pub(super) struct Polls {
    waiting: BTreeMap<ClientTicket, Poll>,
    /// What the waiting ones were last compared with.
    seen: News,
    /// Earliest time at which one must be answered.
    next_due: Option<MonoTime>,
}

/// A renewal that waits.
#[derive(Clone, Debug)]
pub(super) struct Poll {
    pub(super) renew: Renew,
    pub(super) due: MonoTime,
}

/// Positions of what an entry can have news of.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct News {
    pub(super) revision: Revision,
    pub(super) live_at: LogIndex,
}

impl News {
    fn is_newer_than(self, renew: &Renew) -> bool {
        self.revision > renew.revision || self.live_at > renew.live_at
    }
}

impl Polls {
    /// Adds a renewal; it is compared at the next [`Polls::take_ready`].
    pub(super) fn add(&mut self, ticket: ClientTicket, poll: Poll) {
        self.waiting.insert(ticket, poll);
        self.next_due = Some(MonoTime::ZERO);
    }

    /// Removes a renewal whose asker is gone.
    pub(super) fn remove(&mut self, ticket: ClientTicket) {
        self.waiting.remove(&ticket);
    }

    /// Takes out every renewal that can be answered now.
    pub(super) fn take_ready(&mut self, news: News, now: MonoTime) -> Vec<(ClientTicket, Poll)> {
        let due = self.next_due.is_some_and(|due| due <= now);
        if !due && self.seen == news {
            return Vec::new();
        }
        self.seen = news;
        let ready = self
            .waiting
            .extract_if(.., |_, poll| {
                poll.due <= now || news.is_newer_than(&poll.renew)
            })
            .collect();
        self.next_due = self.waiting.values().map(|poll| poll.due).min();
        ready
    }

    /// Takes out every renewal.
    pub(super) fn take_all(&mut self) -> Vec<ClientTicket> {
        self.next_due = None;
        std::mem::take(&mut self.waiting).into_keys().collect()
    }

    /// Takes out the renewals whose time has come.
    pub(super) fn take_due(&mut self, now: MonoTime) -> Vec<ClientTicket> {
        let due = self.waiting.extract_if(.., |_, poll| poll.due <= now);
        let due = due.map(|(ticket, _)| ticket).collect();
        self.next_due = self.waiting.values().map(|poll| poll.due).min();
        due
    }

    /// Returns when the next renewal must be answered.
    pub(super) fn next_due(&self) -> Option<MonoTime> {
        self.next_due
    }

    /// Counts the renewals that wait.
    pub(super) fn len(&self) -> usize {
        self.waiting.len()
    }
}
