//! Offers of entries to serve each other's requests, and who is told of them.
//!
//! Each entry makes its offer to every replica. A follower is told so few that the cost does
//! not grow with the fleet; which ones depends on the follower, so that the load of entries
//! that need others is spread over all.

use std::{
    collections::{
        BTreeMap,
        BTreeSet, //
    },
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
    ids::{
        DomainId,
        MonoTime, //
    },
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

    /// Iterates over all offers.
    pub(super) fn all(&self) -> impl Iterator<Item = (EntryId, &ForwardingOffer)> {
        self.offers.iter().map(|(entry, offer)| (*entry, offer))
    }

    /// Returns some of the offers of these entries for an entry, those of its own failure
    /// domain first. Which ones depends on the entry, so that its requests are spread
    /// together with those of others.
    pub(super) fn select_for(
        &self,
        entry: EntryId,
        among: &BTreeSet<EntryId>,
        count: usize,
    ) -> Vec<ForwardingOffer> {
        let offers = among.iter().filter_map(|e| Some((e, self.offers.get(e)?)));
        let ring = Ring::new(offers);
        let domain = self.offers.get(&entry).map(|offer| &offer.domain);
        let (near, far): (Vec<_>, Vec<_>) = ring
            .after(entry)
            .partition(|(_, offer)| Some(&offer.domain) == domain);
        let selected = near.into_iter().chain(far).take(count);
        // The receiver needs no more of them than where they are.
        let told = |(_, offer): (EntryId, &ForwardingOffer)| ForwardingOffer {
            domain: DomainId::default(),
            ..offer.clone()
        };
        selected.map(told).collect()
    }

    /// Returns what followers are to be told now: the offers that follow them in the order of
    /// hashes, those of entries that reach all services first. Their cost grows with the
    /// number of entries alone, and each offer is told to about as many followers.
    fn take_due(&mut self, now: MonoTime) -> Vec<(EntryId, Vec<ForwardingOffer>)> {
        if !self.is_changed || now < self.updated_at + UPDATE_INTERVAL {
            return Vec::new();
        }
        self.is_changed = false;
        self.updated_at = now;
        let (sound, isolated): (Vec<_>, Vec<_>) = self
            .offers
            .iter()
            .partition(|(_, offer)| offer.isolated_from.is_empty());
        let (sound, isolated) = (Ring::new(sound), Ring::new(isolated));
        let mut due = Vec::new();
        for (follower, told) in &mut self.told {
            let others = sound.after(*follower).chain(isolated.after(*follower));
            let mut offers: Vec<_> = others.take(MAX_OFFERS).collect();
            // The order of ids keeps equal selections equal.
            offers.sort_unstable_by_key(|(entry, _)| *entry);
            let offers: Vec<_> = offers.into_iter().map(|(_, o)| o.clone()).collect();
            if *told != offers {
                told.clone_from(&offers);
                due.push((*follower, offers));
            }
        }
        due
    }
}

/// Offers in the order of the hashes of their entries.
struct Ring<'a>(Vec<(u64, EntryId, &'a ForwardingOffer)>);

impl<'a> Ring<'a> {
    fn new(offers: impl IntoIterator<Item = (&'a EntryId, &'a ForwardingOffer)>) -> Self {
        let place = |(entry, offer): (&EntryId, &'a ForwardingOffer)| (hash(*entry), *entry, offer);
        let mut places: Vec<_> = offers.into_iter().map(place).collect();
        places.sort_unstable_by_key(|(hash, entry, _)| (*hash, *entry));
        Self(places)
    }

    /// Returns the offers of other entries, beginning after the hash of a follower.
    fn after(&self, follower: EntryId) -> impl Iterator<Item = (EntryId, &'a ForwardingOffer)> {
        let from = hash(follower);
        let first = self.0.partition_point(|(hash, ..)| *hash <= from);
        let (before, after) = self.0.split_at(first);
        let places = after.iter().chain(before);
        let others = places.filter(move |(_, entry, _)| *entry != follower);
        others.map(|(_, entry, offer)| (*entry, *offer))
    }
}

fn hash(entry: EntryId) -> u64 {
    hash::name(&entry.to_le_bytes())
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
