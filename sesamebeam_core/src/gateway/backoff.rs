//! Backend servers that this entry must not use: for a pause requested with a rejection,
//! or permanently during their shutdown.
//!
//! First sends, retries, cascade steps and resumed streams all go through the choice of a
//! backend server, which skips these. A request to back off applies only to the entry
//! that receives it.

use std::collections::HashMap;

use super::{
    directory::ServerId,
    request::ResponseHead, //
};
use crate::{
    ids::MonoTime,
    policy::backoff::RequestedPause, //
};

/// Backoff requested by a backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Backoff {
    /// Send no requests for a while.
    Pause(RequestedPause),
    /// Send no more requests: the backend server is shutting down.
    Leaving,
}

impl Backoff {
    /// Returns the backoff requested in the head of an answer.
    fn from_answer(now: MonoTime, answer: &ResponseHead) -> Option<Self> {
        if answer.leaving {
            return Some(Self::Leaving);
        }
        let requested = answer
            .retry_after
            .filter(|_| answer.rejects_for_capacity())?;
        Some(Self::Pause(RequestedPause::new(now, requested)))
    }

    /// Returns whether this backoff lasts longer than another.
    fn outlasts(self, other: Self) -> bool {
        match (self, other) {
            (_, Self::Leaving) => false,
            (Self::Leaving, Self::Pause(_)) => true,
            (Self::Pause(pause), Self::Pause(before)) => pause.ends_after(before),
        }
    }

    fn is_over(self, now: MonoTime) -> bool {
        match self {
            Self::Pause(pause) => pause.is_over(now),
            Self::Leaving => false,
        }
    }
}

/// Backoffs requested from this entry.
#[derive(Debug, Default)]
pub struct Backoffs {
    servers: HashMap<ServerId, Backoff>,
}

impl Backoffs {
    /// Records the backoff requested in an answer, and returns it if it lasts longer than
    /// the previous one; answers on different connections may arrive out of order.
    pub fn record(
        &mut self,
        now: MonoTime,
        id: &ServerId,
        answer: &ResponseHead,
    ) -> Option<Backoff> {
        let requested = Backoff::from_answer(now, answer)?;
        let known = self.servers.get(id);
        if known.is_some_and(|&known| !requested.outlasts(known)) {
            return None;
        }
        self.servers.insert(id.clone(), requested);
        Some(requested)
    }

    /// Returns the backoff of a backend server that is in force; none if it accepts
    /// requests.
    pub fn get(&self, now: MonoTime, id: &ServerId) -> Option<Backoff> {
        let requested = self.servers.get(id).copied();
        requested.filter(|requested| !requested.is_over(now))
    }

    /// Returns whether a request may be sent to a backend server now.
    pub fn allows_send(&self, now: MonoTime, id: &ServerId) -> bool {
        self.get(now, id).is_none()
    }

    /// Returns whether a backend server is shutting down.
    pub fn is_leaving(&self, id: &ServerId) -> bool {
        matches!(self.servers.get(id), Some(Backoff::Leaving))
    }

    /// Returns the number of backend servers with a backoff in force.
    pub fn count(&self, now: MonoTime) -> usize {
        let requested = self.servers.values();
        requested
            .filter(|requested| !requested.is_over(now))
            .count()
    }

    /// Removes the backoff requested by an earlier incarnation.
    pub fn forget(&mut self, id: &ServerId) {
        self.servers.remove(id);
    }

    /// Removes expired pauses and backend servers that are gone.
    pub fn retain(&mut self, now: MonoTime, known: impl Fn(&ServerId) -> bool) {
        self.servers
            .retain(|id, requested| !requested.is_over(now) && known(id));
    }
}
