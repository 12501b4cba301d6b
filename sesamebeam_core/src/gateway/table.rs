//! Lookup tables built from a configuration.

use std::{
    collections::{
        BTreeSet,
        HashMap, //
    },
    sync::Arc, //
};

use smol_str::SmolStr;

use super::config::{
    GatewayConfig,
    OrganisationConfig,
    Rank,
    RouteConfig,
    ServiceId, //
};
use crate::policy::hash;

/// A configuration with its indexes.
#[derive(Debug)]
pub struct RouteTable {
    config: GatewayConfig,
    /// Indexes of each host's routes, longest prefix first.
    hosts: HashMap<SmolStr, Vec<usize>>,
    /// Index of each key's organisation.
    keys: HashMap<SmolStr, usize>,
    /// All ranks that requests can have, most urgent first.
    ranks: Vec<Rank>,
}

/// Sender of a request.
#[derive(Clone, Debug, PartialEq)]
pub enum Caller<'a> {
    /// The request needs no key.
    Anonymous,
    /// A member of an organisation.
    Member(&'a OrganisationConfig),
    /// The key is missing or unknown.
    Unknown,
}

impl RouteTable {
    /// Builds the indexes.
    pub fn new(config: GatewayConfig) -> Arc<Self> {
        let mut hosts: HashMap<SmolStr, Vec<usize>> = HashMap::new();
        for (at, route) in config.routes.iter().enumerate() {
            hosts.entry(route.host.clone()).or_default().push(at);
        }
        for routes in hosts.values_mut() {
            routes.sort_by_key(|&at| std::cmp::Reverse(config.routes[at].prefix.len()));
        }
        let mut keys = HashMap::new();
        for (at, org) in config.organisations.iter().enumerate() {
            for key in &org.keys {
                keys.insert(key.clone(), at);
            }
        }
        Arc::new(Self {
            ranks: ranks_of(&config),
            config,
            hosts,
            keys,
        })
    }

    /// Returns the configuration.
    pub fn config(&self) -> &GatewayConfig {
        &self.config
    }

    /// Returns the index of a rank among those that requests can have, and their number.
    pub fn rank_index(&self, rank: Rank) -> (usize, usize) {
        let before = self.ranks.iter().filter(|&&r| r < rank).count();
        (before, self.ranks.len())
    }

    /// Returns the route with the longest matching prefix.
    pub fn route(&self, host: &str, path: &str) -> Option<&RouteConfig> {
        let mut routes = self
            .hosts
            .get(host)?
            .iter()
            .map(|&at| &self.config.routes[at]);
        routes.find(|route| path.starts_with(route.prefix.as_str()))
    }

    /// Identifies the sender of a request on a route.
    pub fn caller(&self, route: &RouteConfig, key: Option<&str>) -> Caller<'_> {
        if self.config.organisations.is_empty() {
            return Caller::Anonymous;
        }
        match key.and_then(|key| self.keys.get(key)) {
            Some(&at) => Caller::Member(&self.config.organisations[at]),
            None if route.allows_anonymous => Caller::Anonymous,
            None => Caller::Unknown,
        }
    }

    /// Selects the service of a request by the weights of the route.
    pub fn service<'a>(&self, route: &'a RouteConfig, seed: u64) -> &'a ServiceId {
        let total: u64 = route.backends.iter().map(|(_, w)| u64::from(*w)).sum();
        let mut at = hash::name(&seed.to_le_bytes()) % total.max(1);
        for (service, weight) in &route.backends {
            if at < u64::from(*weight) {
                return service;
            }
            at -= u64::from(*weight);
        }
        &route.backends[0].0
    }
}

/// Returns the rank of a request. The organisation's rank takes precedence over the
/// route's.
pub fn rank(route: &RouteConfig, caller: &Caller<'_>) -> Rank {
    match caller {
        Caller::Member(org) => org.rank.unwrap_or(route.rank),
        Caller::Anonymous | Caller::Unknown => route.rank,
    }
}

/// Returns all ranks that requests can have.
fn ranks_of(config: &GatewayConfig) -> Vec<Rank> {
    let routes = config.routes.iter().map(|r| r.rank);
    let organisations = config.organisations.iter().filter_map(|o| o.rank);
    let ranks: BTreeSet<Rank> = routes.chain(organisations).collect();
    ranks.into_iter().collect()
}
