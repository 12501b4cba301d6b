//! Services none of whose backend servers this entry reaches.

use super::Router;
use crate::gateway::{
    balance::Outcome,
    config::ServiceId,
    directory::ServerId, //
};

impl Router {
    /// Returns the services none of whose backend servers this entry reaches.
    pub fn isolated_services(&self) -> &[ServiceId] {
        self.isolation.services()
    }

    /// Returns whether this entry reaches no backend server of a service.
    pub fn is_isolated(&self, service: &str) -> bool {
        self.isolation.contains(service)
    }

    /// Updates the isolation of a backend server's service after a response.
    pub(super) fn record_reached(&mut self, id: &ServerId) {
        if let Some(known) = self.directory.get(id) {
            self.isolation.record_response(&known.announcement.service);
        }
    }

    /// Updates the isolation of a backend server's service after a send.
    pub(super) fn record_unreached(
        &mut self,
        service: &ServiceId,
        id: &ServerId,
        outcome: Outcome,
    ) {
        match outcome {
            Outcome::Unreachable | Outcome::Down | Outcome::Silent => {
                let known = self.directory.groups(service).map(|g| g.count()).sum();
                self.isolation.record_unreachable(service, id, known);
            }
            Outcome::Good | Outcome::Failed | Outcome::Refused | Outcome::Dropped => {}
        }
    }
}
