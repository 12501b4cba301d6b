//! Leases of backend servers that crash under rejections: the leader assigns them and tells
//! all entries which services have any.

use std::{
    collections::{
        BTreeMap,
        BTreeSet, //
    },
    time::Duration,
};

use super::{
    Coordinator,
    EntryId,
    LogEvent,
    Recipients, //
};
use crate::{
    gateway::{
        config::ServiceId,
        messages::ToEntry,
        server_leases::{
            Candidate,
            LeaseGrant,
            LeaseRequest,
            LeaseTable,
            LeasedService, //
        },
    },
    ids::MonoTime,
    policy::hash,
};

/// Minimum interval between two updates of the entries that hold leases. Each costs a message
/// to every entry.
const HOLDERS_INTERVAL: Duration = Duration::from_millis(500);

/// Maximum number of lease holders that an entry is told. All callers may come to one entry,
/// which then needs the slots of most holders; 128 of 30 bytes fit into one message.
const MAX_HOLDERS: usize = 128;

/// Leases, and what entries were told of them.
#[derive(Debug, Default)]
pub(super) struct PublishedLeases {
    table: LeaseTable,
    /// Version that was told last, and when.
    version: u64,
    published_at: MonoTime,
    /// Services of that version, and the entries that hold leases of each.
    services: Vec<LeasedService>,
    holders: BTreeMap<ServiceId, BTreeSet<EntryId>>,
}

impl Coordinator {
    /// Renews the leases of an entry. Only the leader does, and answers.
    pub(super) fn handle_lease_request(&mut self, entry: EntryId, request: &LeaseRequest) {
        if !self.assigns_leases() {
            return;
        }
        let table = &mut self.leases.table;
        if table.apply_request(self.now, entry, request, &self.directory) {
            self.update_leases();
        }
        let grant = LeaseGrant {
            number: Some(request.number),
            leases: self.leases.table.leases_of(entry),
            version: self.leases.version,
            services: self.leased_services(entry, request.version),
        };
        self.push_leases(entry, grant);
    }

    /// Tells an entry that has connected which services have leases.
    pub(super) fn send_leases(&mut self, entry: EntryId) {
        if !self.leases.table.is_started() || self.leases.services.is_empty() {
            return;
        }
        let grant = LeaseGrant {
            version: self.leases.version,
            services: self.leased_services(entry, 0),
            ..LeaseGrant::default()
        };
        self.push_leases(entry, grant);
    }

    /// Assigns leases where that is due, and tells all entries if anything has changed.
    pub(super) fn update_leases(&mut self) {
        if !self.assigns_leases() {
            return;
        }
        let offers = self.forwarding.all();
        let candidates = offers.map(|(entry, offer)| Candidate { entry, offer });
        let table = &mut self.leases.table;
        let evacuated = &self.store.orders().evacuated;
        let holders = table.update(self.now, &self.directory, evacuated, candidates);
        for entry in holders {
            let news = LeaseGrant {
                leases: self.leases.table.leases_of(entry),
                version: self.leases.version,
                ..LeaseGrant::default()
            };
            self.push_leases(entry, news);
        }
        self.publish_leased_services();
    }

    /// Tells all entries which services have leases if that has changed.
    fn publish_leased_services(&mut self) {
        let table = &self.leases.table;
        if table.version() == self.leases.version || !table.is_settled(self.now) {
            return;
        }
        let services = table.services();
        let is_due = self.now >= self.leases.published_at + HOLDERS_INTERVAL;
        if services == self.leases.services && !is_due {
            return;
        }
        self.leases.published_at = self.now;
        self.leases.version = table.version();
        self.leases.services = services;
        self.leases.holders = table.holders(&self.directory);
        let holders: BTreeSet<&EntryId> = self.leases.holders.values().flatten().collect();
        self.log(LogEvent::Leases {
            services: self.leases.services.clone(),
            leases: self.leases.table.count(),
            holders: holders.len(),
        });
        for entry in self.publisher.entries() {
            let grant = LeaseGrant {
                version: self.leases.version,
                services: self.leased_services(entry, 0),
                ..LeaseGrant::default()
            };
            self.push_leases(entry, grant);
        }
    }

    fn push_leases(&mut self, entry: EntryId, grant: LeaseGrant) {
        let to = Recipients::Only(vec![entry]);
        self.push(to, ToEntry::Leases(Box::new(grant)));
    }

    /// Returns whether this replica assigns leases: it leads, and no other can.
    fn assigns_leases(&mut self) -> bool {
        let replica = self.replica.as_ref();
        let leads = replica.is_some_and(|replica| replica.has_lease(self.now));
        let table = &mut self.leases.table;
        match (leads, table.is_started()) {
            (true, false) => {
                // Other replicas and earlier starts use other versions.
                let seed = (self.cfg.addr.to_string(), self.now.as_nanos());
                let seed = format!("{seed:?}");
                table.start(self.now, hash::name(seed.as_bytes()));
                self.leases.version = table.version();
                self.leases.services.clear();
                self.leases.holders.clear();
            }
            (false, true) => table.stop(),
            _ => {}
        }
        leads
    }

    /// Returns the services with leases as an entry is to be told of them, unless it knows
    /// this version. A leader that has just started does not know all of them.
    fn leased_services(&self, entry: EntryId, known: u64) -> Option<Vec<LeasedService>> {
        if known == self.leases.version || !self.leases.table.is_settled(self.now) {
            return None;
        }
        let told = |service: &LeasedService| {
            let holders = self.leases.holders.get(&service.service);
            let holders = holders.map(|h| self.forwarding.select_for(entry, h, MAX_HOLDERS));
            LeasedService {
                holders: holders.unwrap_or_default(),
                ..service.clone()
            }
        };
        Some(self.leases.services.iter().map(told).collect())
    }
}
