//! Offers of entries to serve each other's requests, and who is told of them.
//!
//! Each entry makes its offer to every replica. A follower is told so few that the cost does
//! not grow with the fleet; which ones depends on the follower, so that the load of entries
//! that need others is spread over all.

use std::{
    cmp::Reverse,
    collections::BTreeMap,
    time::Duration, //
};

use super::{
    Coordinator,
    EntryId,
    Recipients, //
};
use crate::{
    gateway::{
        forwarding::{
            ForwardingOffer,
            MAX_OFFERS, //
        },
        messages::ToEntry,
    },
    ids::MonoTime,
    policy::hash,
};

/// Minimum interval between two updates of the followers.
const UPDATE_INTERVAL: Duration = Duration::from_millis(200);

/// Offers of connected entries.
#[derive(Debug, Default)]
pub(super) struct ForwardingOffers {
    offers: BTreeMap<EntryId, ForwardingOffer>,
    /// What each follower was told last.
    told: BTreeMap<EntryId, Vec<ForwardingOffer>>,
    /// Whether followers may have to be told something.
    is_changed: bool,
    updated_at: MonoTime,
}

impl ForwardingOffers {
    /// Sets or withdraws the offer of an entry.
    pub(super) fn set(&mut self, entry: EntryId, offer: Option<ForwardingOffer>) {
        match offer {
            Some(offer) => self.offers.insert(entry, offer),
            None => self.offers.remove(&entry),
        };
        self.is_changed = true;
    }

    /// Records a new follower.
    pub(super) fn add_follower(&mut self, entry: EntryId) {
        self.told.insert(entry, Vec::new());
        self.is_changed = true;
    }

    /// Removes a follower.
    pub(super) fn remove_follower(&mut self, entry: EntryId) {
        self.told.remove(&entry);
    }

    /// Returns what followers are to be told now.
    fn take_due(&mut self, now: MonoTime) -> Vec<(EntryId, Vec<ForwardingOffer>)> {
        if !self.is_changed || now < self.updated_at + UPDATE_INTERVAL {
            return Vec::new();
        }
        self.is_changed = false;
        self.updated_at = now;
        let mut due = Vec::new();
        for (follower, told) in &mut self.told {
            let offers = selection(&self.offers, *follower);
            if *told != offers {
                told.clone_from(&offers);
                due.push((*follower, offers));
            }
        }
        due
    }
}

/// Returns the offers that a follower is told: those of entries that reach all services
/// come first.
fn selection(
    offers: &BTreeMap<EntryId, ForwardingOffer>,
    follower: EntryId,
) -> Vec<ForwardingOffer> {
    let rank = |(entry, offer): &(&EntryId, &ForwardingOffer)| {
        let key = [follower.to_le_bytes(), entry.to_le_bytes()].concat();
        (offer.isolated_from.len(), Reverse(hash::name(&key)))
    };
    let mut others: Vec<_> = offers
        .iter()
        .filter(|(entry, _)| **entry != follower)
        .collect();
    if others.len() > MAX_OFFERS {
        others.select_nth_unstable_by_key(MAX_OFFERS, rank);
        others.truncate(MAX_OFFERS);
    }
    // The order of ids keeps equal selections equal.
    others.sort_unstable_by_key(|(entry, _)| **entry);
    others.into_iter().map(|(_, offer)| offer.clone()).collect()
}

impl Coordinator {
    /// Tells followers which entries serve their requests, where that has changed.
    pub(super) fn publish_offers(&mut self) {
        for (follower, offers) in self.forwarding.take_due(self.now) {
            self.push(
                Recipients::Only(vec![follower]),
                ToEntry::ForwardingOffers(offers),
            );
        }
    }
}
