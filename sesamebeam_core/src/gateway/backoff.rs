//! Backend servers that want nothing from this entry: for a while, as one said when it
//! turned a request away, or for good, as it leaves.
//!
//! Every send goes by the choice of a backend server, first ones, repeats, larger models
//! that are asked next and streams that go on. There these are left out, so that nothing
//! is sent beside it. What a backend server says holds for the entry that it answers.

use std::collections::HashMap;

use super::{
    directory::ServerId,
    request::ResponseHead, //
};
use crate::{
    ids::MonoTime,
    policy::backoff::RequestedPause, //
};

/// What a backend server asks of this entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Backoff {
    /// To send it nothing for a while.
    Pause(RequestedPause),
    /// To send it nothing any more.
    Leaving,
}

impl Backoff {
    /// Returns what the head of an answer asks for; none if nothing.
    fn of(now: MonoTime, answer: &ResponseHead) -> Option<Self> {
        if answer.leaving {
            return Some(Self::Leaving);
        }
        let asked = answer
            .retry_after
            .filter(|_| answer.rejects_for_capacity())?;
        Some(Self::Pause(RequestedPause::new(now, asked)))
    }

    /// Returns whether it asks for more than another.
    fn outlasts(self, other: Self) -> bool {
        match (self, other) {
            (_, Self::Leaving) => false,
            (Self::Leaving, Self::Pause(_)) => true,
            (Self::Pause(pause), Self::Pause(before)) => pause.outlasts(before),
        }
    }

    fn is_over(self, now: MonoTime) -> bool {
        match self {
            Self::Pause(pause) => pause.is_over(now),
            Self::Leaving => false,
        }
    }
}

/// What the backend servers have asked of this entry.
#[derive(Debug, Default)]
pub struct Backoffs {
    of: HashMap<ServerId, Backoff>,
}

impl Backoffs {
    /// Takes what an answer asks for, and returns that if it is more than what was asked
    /// before: answers on different connections overtake each other.
    pub fn heard(
        &mut self,
        now: MonoTime,
        id: &ServerId,
        answer: &ResponseHead,
    ) -> Option<Backoff> {
        let asked = Backoff::of(now, answer)?;
        let known = self.of.get(id);
        if known.is_some_and(|&known| !asked.outlasts(known)) {
            return None;
        }
        self.of.insert(id.clone(), asked);
        Some(asked)
    }

    /// Returns what a backend server asks for now; none if it takes requests.
    pub fn get(&self, now: MonoTime, id: &ServerId) -> Option<Backoff> {
        let asked = self.of.get(id).copied();
        asked.filter(|asked| !asked.is_over(now))
    }

    /// Returns whether a request may be sent to a backend server now.
    pub fn is_open(&self, now: MonoTime, id: &ServerId) -> bool {
        self.get(now, id).is_none()
    }

    /// Returns whether a backend server leaves.
    pub fn is_leaving(&self, id: &ServerId) -> bool {
        matches!(self.of.get(id), Some(Backoff::Leaving))
    }

    /// Returns how many backend servers want nothing now.
    pub fn count(&self, now: MonoTime) -> usize {
        let asked = self.of.values();
        asked.filter(|asked| !asked.is_over(now)).count()
    }

    /// Forgets what an older life asked for.
    pub fn forget(&mut self, id: &ServerId) {
        self.of.remove(id);
    }

    /// Forgets pauses that are over and backend servers that are gone.
    pub fn retain(&mut self, now: MonoTime, known: impl Fn(&ServerId) -> bool) {
        self.of.retain(|id, asked| !asked.is_over(now) && known(id));
    }
}
