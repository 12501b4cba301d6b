//! A configuration of routes, services and organisations, and its checks.

use std::{
    collections::HashSet,
    time::Duration, //
};

use smol_str::SmolStr;
use thiserror::Error;

use crate::ids::{
    ModelId,
    OrgId, //
};

/// Number of a configuration; the highest is in force.
pub type ConfigVersion = u64;

/// Name of a service, a set of backend servers that answer alike.
pub type ServiceId = SmolStr;

/// Name of a route.
pub type RouteId = SmolStr;

/// Rank of a request; 0 is the most urgent.
pub type Rank = u8;

/// A whole configuration.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct GatewayConfig {
    /// Its number.
    pub version: ConfigVersion,
    /// Routes in no particular order.
    pub routes: Vec<RouteConfig>,
    /// Services that routes may name.
    pub services: Vec<ServiceConfig>,
    /// Bounds on what callers may send.
    pub limits: Limits,
    /// Organisations with their keys; none if requests need no key.
    pub organisations: Vec<OrganisationConfig>,
}

/// Whether a request may be sent again after it may have run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Repeat {
    /// It may run any number of times.
    Idempotent,
    /// It may run once at most.
    AtMostOnce,
}

/// One route.
#[derive(Clone, Debug, PartialEq)]
pub struct RouteConfig {
    /// Name.
    pub name: RouteId,
    /// Host that requests name.
    pub host: SmolStr,
    /// Start of the paths that it takes, with a slash at both ends.
    pub prefix: SmolStr,
    /// Whether its requests may be repeated.
    pub repeat: Repeat,
    /// Whether its answers are streams of events.
    pub streaming: bool,
    /// Whether a stream that broke off may go on at another backend server.
    pub resumable: bool,
    /// Longest time that a caller is kept waiting.
    pub timeout: Duration,
    /// Time to the answer, or to its first event, that is on time.
    pub target: Duration,
    /// Longest pause between events that is on time.
    pub gap: Option<Duration>,
    /// Rank of its requests.
    pub rank: Rank,
    /// Models to choose from, smallest first; none if the caller names one.
    pub sizes: Vec<ModelId>,
    /// Services with their weights.
    pub backends: Vec<(ServiceId, u32)>,
    /// Most backend servers that one request may be sent to.
    pub max_attempts: u32,
    /// Whether requests need no key.
    pub anonymous: bool,
}

impl RouteConfig {
    /// Returns whether a request that may have run must not be sent again.
    pub fn runs_once(&self) -> bool {
        match self.repeat {
            Repeat::Idempotent => false,
            Repeat::AtMostOnce => !(self.streaming && self.resumable),
        }
    }
}

/// One service.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceConfig {
    /// Name.
    pub name: ServiceId,
    /// Path of its health check.
    pub health_path: SmolStr,
    /// Connections that one of its backend servers takes from all callers.
    pub max_connections: u32,
    /// What a cold backend server of it bears; none if a cold one bears as much as any.
    pub cold: Option<ColdConfig>,
    /// What runs its models, if it runs any.
    pub engine: Option<EngineConfig>,
}

/// What a backend server that is cold bears: well above it, it crashes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdConfig {
    /// Time for which one is cold after its start.
    pub lasts: Duration,
    /// Requests a second, from all entries together.
    pub per_second: f64,
}

/// What runs the models of a service.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineConfig {
    /// Requests that run together.
    pub slots: u32,
    /// Tokens that its memory holds.
    pub memory_tokens: u64,
    /// Models with their cost for 1,000 generated tokens.
    pub models: Vec<(ModelId, f64)>,
}

/// Bounds on what callers may send.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Bytes of the request line and headers.
    pub max_header: usize,
    /// Bytes of a body.
    pub max_body: usize,
    /// Time for a whole head to arrive.
    pub header_timeout: Duration,
    /// Time that a connection may stay idle.
    pub idle_timeout: Duration,
}

impl Default for Limits {
    /// Bounds in force before a configuration is known: those that common
    /// servers ship with.
    fn default() -> Self {
        Self {
            max_header: 16 << 10,
            max_body: 4 << 20,
            header_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        }
    }
}

/// One organisation.
#[derive(Clone, Debug, PartialEq)]
pub struct OrganisationConfig {
    /// Name.
    pub name: OrgId,
    /// Keys by which its callers are known.
    pub keys: Vec<SmolStr>,
    /// Rank of its requests, which goes before the route's.
    pub rank: Option<Rank>,
}

/// Why a configuration is refused.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum ConfigFault {
    /// It cannot be read.
    #[error("cannot be read: {0}")]
    Unreadable(String),
    /// A route names a service that is not declared.
    #[error("route {route} names the unknown service {service}")]
    UnknownService {
        /// The route.
        route: RouteId,
        /// The name.
        service: ServiceId,
    },
    /// Two routes take the same requests.
    #[error("routes {first} and {second} have the same host and prefix")]
    SamePlace {
        /// One of them.
        first: RouteId,
        /// The other.
        second: RouteId,
    },
    /// No service of a route has weight.
    #[error("the weights of route {0} add up to 0")]
    NoWeight(RouteId),
    /// A route gives no time.
    #[error("the timeout of route {0} is 0")]
    NoTimeout(RouteId),
    /// Two organisations share a key.
    #[error("organisations {first} and {second} share a key")]
    SharedKey {
        /// One of them.
        first: OrgId,
        /// The other.
        second: OrgId,
    },
}

impl GatewayConfig {
    /// Checks what the parts say of each other.
    ///
    /// # Errors
    ///
    /// Fails with the first fault found.
    pub fn check(&self) -> Result<(), ConfigFault> {
        let services: HashSet<&ServiceId> = self.services.iter().map(|s| &s.name).collect();
        for route in &self.routes {
            check_route(route, &services)?;
        }
        self.check_places()?;
        self.check_keys()
    }

    /// Returns a service.
    pub fn service(&self, name: &str) -> Option<&ServiceConfig> {
        self.services.iter().find(|s| s.name == name)
    }

    fn check_places(&self) -> Result<(), ConfigFault> {
        let mut places = std::collections::HashMap::new();
        for route in &self.routes {
            if let Some(first) = places.insert((&route.host, &route.prefix), &route.name) {
                return Err(ConfigFault::SamePlace {
                    first: first.clone(),
                    second: route.name.clone(),
                });
            }
        }
        Ok(())
    }

    fn check_keys(&self) -> Result<(), ConfigFault> {
        let mut owners = std::collections::HashMap::new();
        for org in &self.organisations {
            for key in &org.keys {
                match owners.insert(key, &org.name) {
                    Some(first) if *first != org.name => {
                        return Err(ConfigFault::SharedKey {
                            first: first.clone(),
                            second: org.name.clone(),
                        });
                    }
                    _ => {}
                }
            }
        }
        Ok(())
    }
}

fn check_route(route: &RouteConfig, services: &HashSet<&ServiceId>) -> Result<(), ConfigFault> {
    for (service, _) in &route.backends {
        if !services.contains(service) {
            return Err(ConfigFault::UnknownService {
                route: route.name.clone(),
                service: service.clone(),
            });
        }
    }
    if route.backends.iter().all(|(_, weight)| *weight == 0) {
        return Err(ConfigFault::NoWeight(route.name.clone()));
    }
    if route.timeout.is_zero() {
        return Err(ConfigFault::NoTimeout(route.name.clone()));
    }
    Ok(())
}
