//! Fair sharing of engine time between organisations.
//!
//! The engine time of each request is charged to its organisation by start-time fair
//! queueing. An organisation that is ahead of the others loses its place among requests
//! of the same configured rank, so that a surge of its requests delays its own rather than
//! those of the others. Callers are assigned to entries by a hash, so each entry sees about
//! the same mix of organisations and needs no messages from the others.

use std::{
    collections::{
        BTreeSet,
        HashMap, //
    },
    time::Duration,
};

use crate::{
    gateway::config::{
        GatewayConfig,
        ServiceId, //
    },
    ids::{
        MonoTime,
        OrgId, //
    },
    policy::virtual_times::VirtualTimes,
};

/// How far an organisation may be ahead of the others, in seconds of engine time.
const MAX_LEAD: f64 = 2.0;

/// How long after a request its organisation is one of those that ask for engine time.
const ASKING_WINDOW: Duration = Duration::from_secs(1);

/// Time in which a lead falls by a factor of e. Requests are sent even if their
/// organisation is ahead, so that without this a lead would remain after a surge for as
/// long as all organisations send the same, and one that always sends somewhat more than
/// the smallest would be ahead for good. With 1 s, an organisation is ahead that takes
/// over 2 s of engine time per second more than the smallest.
const LEAD_DECAY: Duration = Duration::from_secs(1);

/// Engine time that this entry has given to organisations.
#[derive(Debug, Default)]
pub struct Fairness {
    services: HashMap<ServiceId, Accounts>,
}

/// Accounts of the organisations at one service.
#[derive(Debug, Default)]
struct Accounts {
    /// Virtual times in seconds of engine time.
    times: VirtualTimes,
    /// Last request of each organisation.
    last_requests: HashMap<OrgId, MonoTime>,
    updated_at: MonoTime,
}

impl Accounts {
    fn update(&mut self, now: MonoTime) {
        let elapsed = now.saturating_sub(self.updated_at);
        self.updated_at = self.updated_at.max(now);
        let share = (-elapsed.as_secs_f64() / LEAD_DECAY.as_secs_f64()).exp();
        self.times.reduce_leads(share);
        let requests = self.last_requests.iter();
        let asking = requests.filter(|(_, at)| now.saturating_sub(**at) <= ASKING_WINDOW);
        self.times.advance(asking.map(|(org, _)| org));
    }

    fn is_ahead(&self, org: &str) -> bool {
        self.times.start_time(org) - self.times.clock() > MAX_LEAD
    }
}

impl Fairness {
    /// Records a request and returns whether its organisation is ahead of the others.
    pub fn record_request(&mut self, now: MonoTime, service: &ServiceId, org: &OrgId) -> bool {
        let accounts = self.services.entry(service.clone()).or_default();
        accounts.last_requests.insert(org.clone(), now);
        accounts.update(now);
        accounts.is_ahead(org)
    }

    /// Charges the engine time of a send to an organisation.
    pub fn charge(&mut self, service: &ServiceId, org: &OrgId, engine_time: Duration) {
        let accounts = self.services.entry(service.clone()).or_default();
        accounts.times.charge(org, engine_time.as_secs_f64());
    }

    /// Returns the virtual time of a service, in seconds of engine time.
    pub fn virtual_time(&self, service: &str) -> f64 {
        let accounts = self.services.get(service);
        accounts.map_or(0.0, |accounts| accounts.times.clock())
    }

    /// Returns the number of organisations that are ahead at any service.
    pub fn count_ahead(&mut self, now: MonoTime) -> usize {
        let mut ahead: BTreeSet<&OrgId> = BTreeSet::new();
        for accounts in self.services.values_mut() {
            accounts.update(now);
            let known = accounts.last_requests.keys();
            ahead.extend(known.filter(|org| accounts.is_ahead(org)));
        }
        ahead.len()
    }

    /// Removes organisations and services that are not configured.
    pub fn retain(&mut self, config: &GatewayConfig) {
        let is_known = |org: &OrgId| config.organisations.iter().any(|o| o.name == *org);
        self.services
            .retain(|service, _| config.service(service).is_some());
        for accounts in self.services.values_mut() {
            accounts.times.retain(is_known);
            accounts.last_requests.retain(|org, _| is_known(org));
        }
    }

    /// Returns the number of accounts.
    pub fn count(&self) -> usize {
        let known = |accounts: &Accounts| accounts.times.count().max(accounts.last_requests.len());
        self.services.values().map(known).sum()
    }
}
