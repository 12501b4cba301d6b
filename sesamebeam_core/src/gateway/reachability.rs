//! Reachability of whole failure domains.
//!
//! An entry with few requests a second would detect too slowly that a whole failure
//! domain is unreachable: each of its dozens of backend servers would cost a request a
//! connect timeout, and another one after each retry delay. If several backend servers of
//! a failure domain are unreachable and none of the others there has responded, the whole
//! domain is taken to be unreachable.

use std::{
    collections::HashMap,
    time::Duration, //
};

use super::{
    directory::ServerId,
    retry_delay::RetryDelay, //
};
use crate::ids::{
    DomainId,
    MonoTime, //
};

/// Number of unreachable backend servers, without any response from their failure domain
/// in between, from which the domain counts as unreachable. A single one is often down by
/// itself.
const UNREACHABLE_THRESHOLD: usize = 2;

/// Maximum retry delay. It is long compared with the time that a request loses on a
/// failed attempt, and limits how long backend servers stay unused after the domain is
/// reachable again.
const MAX_DELAY: Duration = Duration::from_secs(2);

/// State of a failure domain since the first failed attempt.
#[derive(Clone, Debug, Default)]
struct DomainState {
    /// Unreachable backend servers since the last response from this domain.
    unreachable: Vec<ServerId>,
    /// Delay during which requests go elsewhere.
    delay: RetryDelay,
}

/// Reachability of failure domains as seen by one entry.
#[derive(Clone, Debug, Default)]
pub(super) struct Reachability {
    domains: HashMap<DomainId, DomainState>,
}

impl Reachability {
    /// Records a response from a failure domain.
    pub(super) fn record_response(&mut self, domain: &str) {
        self.domains.remove(domain);
    }

    /// Records that a backend server could not be reached.
    pub(super) fn record_unreachable(&mut self, now: MonoTime, domain: &DomainId, id: &ServerId) {
        let state = self.domains.entry(domain.clone()).or_default();
        if !state.is_unreachable() && !state.unreachable.contains(id) {
            state.unreachable.push(id.clone());
        }
        if state.is_unreachable() && state.delay.is_over(now) {
            state.delay.start_next(now, MAX_DELAY);
        }
    }

    /// Records that a request is sent to a failure domain. If the domain is unreachable,
    /// this is the only request to it until the next delay has passed, as one outcome is
    /// as informative as many.
    pub(super) fn record_attempt(&mut self, now: MonoTime, domain: &str) {
        if let Some(state) = self.domains.get_mut(domain)
            && state.is_unreachable()
        {
            state.delay.start_next(now, MAX_DELAY);
        }
    }

    /// Returns whether requests should go to other failure domains.
    pub(super) fn is_avoided(&self, now: MonoTime, domain: &str) -> bool {
        let state = self.domains.get(domain);
        state.is_some_and(|state| state.is_unreachable() && !state.delay.is_over(now))
    }
}

impl DomainState {
    fn is_unreachable(&self) -> bool {
        self.unreachable.len() >= UNREACHABLE_THRESHOLD
    }
}
