//! Configuration leases of entries, and renewals that wait for an update.

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

/// Number of lease lengths for which an expired lease is still shown to
/// operators.
const KEPT_LEASE_LENGTHS: u32 = 100;

/// Leases that this leader has granted.
///
/// A leader knows only its own. Those of its predecessor expire within one lease
/// of the start of its term; see [`super::ControlCore`].
#[derive(Clone, Debug, Default)]
pub(super) struct Leases {
    entries: BTreeMap<Claimant, Lease>,
}

/// Lease of one incarnation of an entry.
#[derive(Clone, Debug)]
struct Lease {
    domain: DomainId,
    revision: Revision,
    /// Time at which the entry first reported its revision.
    since: MonoTime,
    /// Time at which the lease has expired on every clock within the drift bound.
    expires_at: MonoTime,
}

impl Leases {
    /// Records the revision that an entry reports, or that it is leaving.
    pub(super) fn record(&mut self, renew: &Renew, now: MonoTime) {
        if renew.leaving {
            self.entries.remove(&renew.entry);
            return;
        }
        let lease = self.entries.entry(renew.entry.clone()).or_insert(Lease {
            domain: renew.domain.clone(),
            revision: renew.revision,
            since: now,
            expires_at: now,
        });
        if lease.revision != renew.revision {
            lease.revision = renew.revision;
            lease.since = now;
        }
    }

    /// Extends the lease of an entry to `expires_at`.
    pub(super) fn grant(&mut self, entry: &Claimant, expires_at: MonoTime) {
        if let Some(lease) = self.entries.get_mut(entry) {
            lease.expires_at = lease.expires_at.max(expires_at);
        }
    }

    /// Returns whether the entry holds no lease granted by this leader.
    pub(super) fn is_expired(&self, entry: &Claimant, now: MonoTime) -> bool {
        self.entries
            .get(entry)
            .is_none_or(|lease| lease.expires_at <= now)
    }

    /// Returns the lowest revision among the entries that hold a lease.
    pub(super) fn min_revision(&self, now: MonoTime) -> Option<Revision> {
        let running = self.entries.values().filter(|lease| lease.expires_at > now);
        running.map(|lease| lease.revision).min()
    }

    /// Returns when the next lease expires.
    pub(super) fn next_expiry(&self, now: MonoTime) -> Option<MonoTime> {
        let expiries = self.entries.values().map(|lease| lease.expires_at);
        expiries.filter(|expires_at| *expires_at > now).min()
    }

    /// Removes entries whose lease expired long ago.
    pub(super) fn remove_expired(&mut self, lease: Duration, now: MonoTime) {
        self.entries
            .retain(|_, entry| entry.expires_at + lease * KEPT_LEASE_LENGTHS > now);
    }

    /// Returns the status of the entries, for operators.
    pub(super) fn status(&self, now: MonoTime) -> Vec<EntryStatus> {
        let entries = self.entries.iter().map(|(entry, lease)| EntryStatus {
            instance: entry.instance.clone(),
            domain: lease.domain.clone(),
            revision: lease.revision,
            since: now.saturating_sub(lease.since),
            lease_left: lease.expires_at.saturating_sub(now),
        });
        entries.collect()
    }
}

/// Renewals that wait for an update or their deadline.
#[derive(Clone, Debug, Default)]
pub(super) struct PendingRenewals {
    renewals: BTreeMap<ClientTicket, PendingRenewal>,
    /// Position that the pending renewals were last compared with.
    last_position: ConfigPosition,
    /// Lower bound of the deadlines; zero if there are new renewals.
    next_deadline: Option<MonoTime>,
}

/// A renewal that waits for an update.
#[derive(Clone, Debug)]
pub(super) struct PendingRenewal {
    pub(super) renew: Renew,
    pub(super) deadline: MonoTime,
}

/// Versions of the fleet file and of the live state.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct ConfigPosition {
    pub(super) revision: Revision,
    pub(super) live_at: LogIndex,
}

impl ConfigPosition {
    fn is_newer_than(self, renew: &Renew) -> bool {
        self.revision > renew.revision || self.live_at > renew.live_at
    }
}

impl PendingRenewals {
    /// Adds a renewal; it is compared at the next [`PendingRenewals::take_ready`].
    pub(super) fn add(&mut self, ticket: ClientTicket, pending: PendingRenewal) {
        self.renewals.insert(ticket, pending);
        self.next_deadline = Some(MonoTime::ZERO);
    }

    /// Removes a renewal whose client disconnected.
    pub(super) fn remove(&mut self, ticket: ClientTicket) {
        self.renewals.remove(&ticket);
    }

    /// Removes and returns the renewals that can be answered now.
    pub(super) fn take_ready(
        &mut self,
        position: ConfigPosition,
        now: MonoTime,
    ) -> Vec<(ClientTicket, PendingRenewal)> {
        let due = self.next_deadline.is_some_and(|deadline| deadline <= now);
        if !due && self.last_position == position {
            return Vec::new();
        }
        self.last_position = position;
        let ready = self
            .renewals
            .extract_if(.., |_, pending| {
                pending.deadline <= now || position.is_newer_than(&pending.renew)
            })
            .collect();
        self.next_deadline = self.renewals.values().map(|pending| pending.deadline).min();
        ready
    }

    /// Removes all renewals.
    pub(super) fn take_all(&mut self) -> Vec<ClientTicket> {
        self.next_deadline = None;
        std::mem::take(&mut self.renewals).into_keys().collect()
    }

    /// Removes the renewals past their deadline.
    pub(super) fn take_expired(&mut self, now: MonoTime) -> Vec<ClientTicket> {
        let due = self
            .renewals
            .extract_if(.., |_, pending| pending.deadline <= now);
        let due = due.map(|(ticket, _)| ticket).collect();
        self.next_deadline = self.renewals.values().map(|pending| pending.deadline).min();
        due
    }

    /// Returns when the next renewal must be answered.
    pub(super) fn next_deadline(&self) -> Option<MonoTime> {
        self.next_deadline
    }

    /// Returns the number of pending renewals.
    pub(super) fn len(&self) -> usize {
        self.renewals.len()
    }
}
