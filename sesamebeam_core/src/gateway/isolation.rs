//! Detection of services none of whose backend servers an entry reaches.
//!
//! A network failure can separate an entry from all backend servers while its callers, the
//! control replicas and the other entries reach it.

use std::collections::HashMap;

use super::{
    config::ServiceId,
    directory::ServerId, //
};

/// Number of backend servers in a row that could not be reached, without any response from
/// their service, from which it counts as isolated. Fewer are often down by themselves.
const MIN_UNREACHABLE: usize = 3;

/// Services and the backend servers of each that could not be reached since its last
/// response.
#[derive(Clone, Debug, Default)]
pub(super) struct Isolation {
    unreachable: HashMap<ServiceId, Vec<ServerId>>,
    isolated: Vec<ServiceId>,
}

impl Isolation {
    /// Records a response from a backend server of a service. Returns whether the service
    /// was isolated.
    pub(super) fn record_response(&mut self, service: &str) -> bool {
        self.unreachable.remove(service);
        let count = self.isolated.len();
        self.isolated.retain(|s| s != service);
        self.isolated.len() < count
    }

    /// Records that a backend server could not be reached; its service has `known` of them.
    pub(super) fn record_unreachable(&mut self, service: &ServiceId, id: &ServerId, known: usize) {
        if self.contains(service) {
            return;
        }
        let unreachable = self.unreachable.entry(service.clone()).or_default();
        if !unreachable.contains(id) {
            unreachable.push(id.clone());
        }
        if unreachable.len() >= MIN_UNREACHABLE.min(known) {
            self.isolated.push(service.clone());
        }
    }

    /// Returns whether no backend server of a service is reachable.
    pub(super) fn contains(&self, service: &str) -> bool {
        self.isolated.iter().any(|s| s == service)
    }

    /// Returns the isolated services.
    pub(super) fn services(&self) -> &[ServiceId] {
        &self.isolated
    }

    /// Forgets services that don't exist any more.
    pub(super) fn retain(&mut self, exists: impl Fn(&str) -> bool) {
        self.unreachable.retain(|service, _| exists(service));
        self.isolated.retain(|service| exists(service));
    }
}
