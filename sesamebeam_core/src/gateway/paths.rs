//! Ways to whole failure domains.
//!
//! An entry with a few requests a second finds out about each backend server by
//! itself too slowly: behind a way that is cut, every one of dozens would cost a
//! request the wait for a connection, and again after each pause. Several of one
//! failure domain that cannot be reached, with nothing heard from any other
//! there, tell of all of them.

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

/// Backend servers in a row that cannot be reached from which the way to their
/// failure domain counts as cut: one is often down by itself.
const CUT_FROM: usize = 2;

/// Longest pause: what a request that tries the way then waits in vain is a
/// small share of it, and backend servers behind a way that is whole again stand
/// unused for no longer.
const MAX_PAUSE: Duration = Duration::from_secs(2);

/// The way to one failure domain, from the first failure on.
#[derive(Clone, Debug, Default)]
struct Way {
    /// Those that could not be reached since anything was heard from there.
    unreached: Vec<ServerId>,
    /// Pause in which requests go elsewhere.
    pause: Pause,
}

/// What one entry knows of the ways to failure domains.
#[derive(Clone, Debug, Default)]
pub(super) struct Paths {
    ways: HashMap<DomainId, Way>,
}

impl Paths {
    /// Notes that something came from a failure domain.
    pub(super) fn heard(&mut self, domain: &str) {
        self.ways.remove(domain);
    }

    /// Notes that a backend server could not be reached.
    pub(super) fn unreached(&mut self, now: MonoTime, domain: &DomainId, id: &ServerId) {
        let way = self.ways.entry(domain.clone()).or_default();
        if !way.is_cut() && !way.unreached.contains(id) {
            way.unreached.push(id.clone());
        }
        if way.is_cut() && way.pause.is_over(now) {
            way.pause.lengthen(now, MAX_PAUSE);
        }
    }

    /// Notes that a request is sent to a failure domain. Behind a way that was
    /// found cut it is the only one until the next pause is over: the outcome
    /// tells as much as those of many.
    pub(super) fn tries(&mut self, now: MonoTime, domain: &str) {
        if let Some(way) = self.ways.get_mut(domain)
            && way.is_cut()
        {
            way.pause.lengthen(now, MAX_PAUSE);
        }
    }

    /// Returns whether requests should go elsewhere.
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
