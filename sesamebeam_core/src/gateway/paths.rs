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
    pause::Pause, //
};
use crate::ids::{
    DomainId,
    MonoTime, //
};

/// Number of unreachable backend servers, without any response from their failure domain
/// in between, from which the domain counts as unreachable. A single one is often down by
/// itself.
const CUT_FROM: usize = 2;

/// Maximum retry delay. It is long compared with the time that a request loses on a
/// failed attempt, and limits how long backend servers stay unused after the domain is
/// reachable again.
const MAX_PAUSE: Duration = Duration::from_secs(2);

/// State of a failure domain since the first failed attempt.
#[derive(Clone, Debug, Default)]
struct Way {
    /// Unreachable backend servers since the last response from this domain.
    unreached: Vec<ServerId>,
    /// Delay during which requests go elsewhere.
    pause: Pause,
}

/// Reachability of failure domains as seen by one entry.
#[derive(Clone, Debug, Default)]
pub(super) struct Paths {
    ways: HashMap<DomainId, Way>,
}

impl Paths {
    /// Records a response from a failure domain.
    pub(super) fn heard(&mut self, domain: &str) {
        self.ways.remove(domain);
    }

    /// Records that a backend server could not be reached.
    pub(super) fn unreached(&mut self, now: MonoTime, domain: &DomainId, id: &ServerId) {
        let way = self.ways.entry(domain.clone()).or_default();
        if !way.is_cut() && !way.unreached.contains(id) {
            way.unreached.push(id.clone());
        }
        if way.is_cut() && way.pause.is_over(now) {
            way.pause.lengthen(now, MAX_PAUSE);
        }
    }

    /// Records that a request is sent to a failure domain. If the domain is unreachable,
    /// this is the only request to it until the next delay has passed, as one outcome is
    /// as informative as many.
    pub(super) fn tries(&mut self, now: MonoTime, domain: &str) {
        if let Some(way) = self.ways.get_mut(domain)
            && way.is_cut()
        {
            way.pause.lengthen(now, MAX_PAUSE);
        }
    }

    /// Returns whether requests should go to other failure domains.
    pub(super) fn avoids(&self, now: MonoTime, domain: &str) -> bool {
        let way = self.ways.get(domain);
        way.is_some_and(|way| way.is_cut() && !way.pause.is_over(now))
    }
}

impl Way {
    fn is_cut(&self) -> bool {
        self.unreached.len() >= CUT_FROM
    }
}
