//! Detection of services none of whose backend servers an entry reaches.
//!
//! A network failure can separate an entry from all backend servers while its callers, the
//! control replicas and the other entries reach it. Requests alone would show that late,
//! and its end not at all once they are forwarded: so an entry probes backend servers while
//! it suspects a service to be isolated, and while it is.

use std::{
    collections::HashMap,
    time::Duration, //
};

use super::{
    config::ServiceId,
    directory::ServerId, //
};
use crate::ids::MonoTime;

/// Number of backend servers in a row that could not be reached, without any response from
/// their service, from which it counts as isolated. Fewer are often down by themselves.
const MIN_UNREACHABLE: usize = 3;

/// Interval at which an isolated service is probed.
const PROBE_INTERVAL: Duration = Duration::from_millis(250);

/// Time since the last response of a service after which a failure raises the suspicion
/// that it is isolated. Where others respond, a failure says nothing about the service.
const QUIET_PERIOD: Duration = Duration::from_millis(300);

/// What is known of a service.
#[derive(Clone, Debug, Default)]
struct ServiceState {
    /// When a backend server last responded.
    last_response_at: Option<MonoTime>,
    /// Backend servers that could not be reached since.
    unreachable: Vec<ServerId>,
    /// Whether a failure has raised a suspicion since.
    is_suspected: bool,
    is_isolated: bool,
    /// When it was last probed.
    probed_at: Option<MonoTime>,
}

/// Whether any backend server of a service is reachable.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Reach {
    /// One has responded since the last failure.
    Some,
    /// Nothing has been heard since a failure.
    Unknown,
    /// The service is isolated.
    None,
}

/// Services by whether this entry reaches them.
#[derive(Clone, Debug, Default)]
pub(super) struct Isolation {
    services: HashMap<ServiceId, ServiceState>,
}

impl Isolation {
    /// Records a response from a backend server of a service, or an accepted probe. Returns
    /// whether the service was isolated.
    pub(super) fn record_response(&mut self, now: MonoTime, service: &ServiceId) -> bool {
        let state = match self.services.get_mut(service) {
            Some(state) => state,
            None => self.services.entry(service.clone()).or_default(),
        };
        state.last_response_at = Some(now);
        if !state.is_suspected {
            return false;
        }
        state.is_suspected = false;
        state.unreachable.clear();
        std::mem::take(&mut state.is_isolated)
    }

    /// Records that a backend server has not answered in time, but may still do so.
    pub(super) fn record_overdue(&mut self, service: &ServiceId) {
        self.services
            .entry(service.clone())
            .or_default()
            .is_suspected = true;
    }

    /// Records that a backend server could not be reached; its service has `known` of them.
    pub(super) fn record_unreachable(&mut self, service: &ServiceId, id: &ServerId, known: usize) {
        let state = self.services.entry(service.clone()).or_default();
        state.is_suspected = true;
        if !state.is_isolated && !state.unreachable.contains(id) {
            state.unreachable.push(id.clone());
        }
        state.is_isolated |= state.unreachable.len() >= MIN_UNREACHABLE.min(known);
    }

    /// Records that a backend server of a service has started, which is probed at once.
    pub(super) fn record_started(&mut self, service: &str) {
        if let Some(state) = self.services.get_mut(service) {
            state.probed_at = None;
        }
    }

    /// Returns whether no backend server of a service is reachable.
    pub(super) fn contains(&self, service: &str) -> bool {
        self.reach(service) == Reach::None
    }

    /// Returns whether any backend server of a service is reachable.
    pub(super) fn reach(&self, service: &str) -> Reach {
        match self.services.get(service) {
            Some(state) if state.is_isolated => Reach::None,
            Some(state) if state.is_suspected => Reach::Unknown,
            _ => Reach::Some,
        }
    }

    /// Iterates over the isolated services.
    pub(super) fn services(&self) -> impl Iterator<Item = &ServiceId> {
        let isolated = self.services.iter().filter(|(_, state)| state.is_isolated);
        isolated.map(|(service, _)| service)
    }

    /// Returns the services to be probed now, each with the number of backend servers to
    /// probe: one while it is isolated, and as many as decide it while that is suspected.
    /// `interval_factor` is what the interval of a service is multiplied by.
    pub(super) fn take_due_probes(
        &mut self,
        now: MonoTime,
        interval_factor: impl Fn(&str) -> u32,
    ) -> Vec<(ServiceId, usize)> {
        let mut due = Vec::new();
        for (service, state) in &mut self.services {
            let is_quiet = state
                .last_response_at
                .is_none_or(|at| now >= at + QUIET_PERIOD);
            let is_due = state
                .probed_at
                .is_none_or(|at| now >= at + PROBE_INTERVAL * interval_factor(service));
            if state.is_suspected && is_quiet && is_due {
                state.probed_at = Some(now);
                let count = if state.is_isolated {
                    1
                } else {
                    MIN_UNREACHABLE
                };
                due.push((service.clone(), count));
            }
        }
        due
    }

    /// Forgets services that don't exist any more.
    pub(super) fn retain(&mut self, exists: impl Fn(&str) -> bool) {
        self.services.retain(|service, _| exists(service));
    }
}
