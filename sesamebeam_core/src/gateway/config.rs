//! Configuration of routes, services and organisations, and its validation.

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

/// Version of a configuration; the highest one is active.
pub type ConfigVersion = u64;

/// Name of a service, a set of interchangeable backend servers.
pub type ServiceId = SmolStr;

/// Name of a route.
pub type RouteId = SmolStr;

/// Priority rank of a request; 0 is the most urgent.
pub type Rank = u8;

/// A complete configuration.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct GatewayConfig {
    /// Version of this configuration.
    pub version: ConfigVersion,
    /// Routes, in no particular order.
    pub routes: Vec<RouteConfig>,
    /// Services that routes can refer to.
    pub services: Vec<ServiceConfig>,
    /// Limits on requests.
    pub limits: Limits,
    /// Organisations with their keys. If there are none, requests need no key.
    pub organisations: Vec<OrganisationConfig>,
}

/// Whether a request that may have been executed can be sent again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetrySafety {
    /// It can be executed any number of times.
    Idempotent,
    /// It must be executed at most once.
    AtMostOnce,
}

/// A route.
#[derive(Clone, Debug, PartialEq)]
pub struct RouteConfig {
    /// Unique name.
    pub name: RouteId,
    /// Host of its requests.
    pub host: SmolStr,
    /// Path prefix, with a slash at both ends.
    pub prefix: SmolStr,
    /// Whether its requests can be repeated.
    pub retry_safety: RetrySafety,
    /// Whether its responses are event streams.
    pub streaming: bool,
    /// Whether an interrupted stream can be resumed at another backend server.
    pub resumable: bool,
    /// Maximum time for which a caller waits.
    pub timeout: Duration,
    /// Target time to the response, or to its first event.
    pub target: Duration,
    /// Target for the longest time between two events.
    pub gap: Option<Duration>,
    /// Rank of its requests.
    pub rank: Rank,
    /// Models of the cascade, smallest first. Empty if the caller selects the model.
    pub models: Vec<ModelId>,
    /// Services with their weights.
    pub backends: Vec<(ServiceId, u32)>,
    /// Maximum number of backend servers to which one request is sent.
    pub max_attempts: u32,
    /// Whether requests without a key are accepted.
    pub allows_anonymous: bool,
}

impl RouteConfig {
    /// Returns whether a request that may have been executed must not be sent again.
    pub fn runs_at_most_once(&self) -> bool {
        match self.retry_safety {
            RetrySafety::Idempotent => false,
            RetrySafety::AtMostOnce => !(self.streaming && self.resumable),
        }
    }
}

/// A service.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceConfig {
    /// Unique name.
    pub name: ServiceId,
    /// Path of the health check.
    pub health_path: SmolStr,
    /// Number of connections that a backend server accepts from all entries together.
    pub max_connections: u32,
    /// Load limits of a cold backend server, if they differ from those of a warm one.
    pub cold: Option<ColdConfig>,
    /// Inference engine, if the service runs models.
    pub engine: Option<EngineConfig>,
}

/// Load limits of a cold backend server, which crashes well above them.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdConfig {
    /// How long a backend server is cold after its start.
    pub duration: Duration,
    /// Requests a second from all entries together.
    pub per_second: f64,
}

/// Inference engine of a service.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineConfig {
    /// Maximum number of concurrent requests.
    pub slots: u32,
    /// Capacity of its KV cache in tokens.
    pub kv_capacity_tokens: u64,
    /// Number of tokens in one event of a stream.
    pub tokens_per_event: u32,
    /// Models with their cost per 1,000 generated tokens.
    pub models: Vec<(ModelId, f64)>,
}

/// Limits on requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Maximum size of the request line and headers in bytes.
    pub max_header: usize,
    /// Maximum size of a body in bytes.
    pub max_body: usize,
    /// Maximum time for a complete head to arrive.
    pub header_timeout: Duration,
    /// How long a connection may stay idle.
    pub idle_timeout: Duration,
}

impl Default for Limits {
    /// Limits until a configuration is known, equal to the defaults of common servers.
    fn default() -> Self {
        Self {
            max_header: 16 << 10,
            max_body: 4 << 20,
            header_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        }
    }
}

/// An organisation.
#[derive(Clone, Debug, PartialEq)]
pub struct OrganisationConfig {
    /// Unique name.
    pub name: OrgId,
    /// API keys of its callers.
    pub keys: Vec<SmolStr>,
    /// Rank of its requests. It takes precedence over the route's.
    pub rank: Option<Rank>,
}

/// Reason for which a configuration is rejected.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum ConfigError {
    /// The document cannot be parsed.
    #[error("cannot be read: {0}")]
    Unreadable(String),
    /// A route refers to an undeclared service.
    #[error("route {route} names the unknown service {service}")]
    UnknownService {
        /// Name of the route.
        route: RouteId,
        /// Name of the service.
        service: ServiceId,
    },
    /// Two routes have the same host and prefix.
    #[error("routes {first} and {second} have the same host and prefix")]
    DuplicateRoute {
        /// One of them.
        first: RouteId,
        /// The other.
        second: RouteId,
    },
    /// All services of a route have zero weight.
    #[error("the weights of route {0} add up to 0")]
    NoWeight(RouteId),
    /// A route has no timeout.
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
    /// Validates the references between the parts.
    ///
    /// # Errors
    ///
    /// Returns the first error found.
    pub fn validate(&self) -> Result<(), ConfigError> {
        let services: HashSet<&ServiceId> = self.services.iter().map(|s| &s.name).collect();
        for route in &self.routes {
            check_route(route, &services)?;
        }
        self.check_routes_unique()?;
        self.check_keys_unique()
    }

    /// Returns a service by name.
    pub fn service(&self, name: &str) -> Option<&ServiceConfig> {
        self.services.iter().find(|s| s.name == name)
    }

    fn check_routes_unique(&self) -> Result<(), ConfigError> {
        let mut names_by_route = std::collections::HashMap::new();
        for route in &self.routes {
            if let Some(first) = names_by_route.insert((&route.host, &route.prefix), &route.name) {
                return Err(ConfigError::DuplicateRoute {
                    first: first.clone(),
                    second: route.name.clone(),
                });
            }
        }
        Ok(())
    }

    fn check_keys_unique(&self) -> Result<(), ConfigError> {
        let mut owners_by_key = std::collections::HashMap::new();
        for org in &self.organisations {
            for key in &org.keys {
                match owners_by_key.insert(key, &org.name) {
                    Some(first) if *first != org.name => {
                        return Err(ConfigError::SharedKey {
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

fn check_route(route: &RouteConfig, services: &HashSet<&ServiceId>) -> Result<(), ConfigError> {
    for (service, _) in &route.backends {
        if !services.contains(service) {
            return Err(ConfigError::UnknownService {
                route: route.name.clone(),
                service: service.clone(),
            });
        }
    }
    if route.backends.iter().all(|(_, weight)| *weight == 0) {
        return Err(ConfigError::NoWeight(route.name.clone()));
    }
    if route.timeout.is_zero() {
        return Err(ConfigError::NoTimeout(route.name.clone()));
    }
    Ok(())
}
