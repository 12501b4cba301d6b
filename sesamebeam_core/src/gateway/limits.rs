//! Backend servers in need: each names the requests a second that it takes from all
//! entries together.
//!
//! Every send goes by the choice of a backend server, first ones, repeats, larger models
//! that are asked next and streams that go on. There a limited one is left out unless this
//! entry's [`Pace`] allows a send now, so that nothing is spent beside it. Entries tell
//! each other of limits by the control replicas, as one that has a turn in a hundred
//! seconds would go by what was named that long ago.

mod named;
mod pace;

use std::{
    collections::HashMap,
    time::Duration, //
};

use smol_str::SmolStr;

pub use self::{
    named::{
        LimitOf,
        NamedLimits, //
    },
    pace::{
        Pace,
        allowed, //
    },
};
use super::{
    directory::ServerId,
    entry_count::KnownEntryCount,
    loads::{
        self,
        ServerKey, //
    },
};
use crate::{
    ids::MonoTime,
    policy::hash, //
};

/// Time for which what this entry has heard itself is newer than what it is told: reports
/// take up to half a second by two control replicas.
const OWN_COUNTS_FOR: Duration = Duration::from_secs(1);

/// What one entry knows of limits, and what it has sent.
#[derive(Debug)]
pub struct Limits {
    /// Name of this entry, which places its turns.
    name: SmolStr,
    entries: KnownEntryCount,
    of: HashMap<ServerId, Limited>,
    /// What is to be reported.
    fresh: HashMap<ServerKey, LimitOf>,
}

/// One backend server that names a limit.
#[derive(Clone, Copy, Debug)]
struct Limited {
    /// Requests a second.
    limit: f64,
    pace: Pace,
    /// When an answer to this entry last named it, or when it was first told of it.
    heard_at: MonoTime,
    /// Last send since the limit is known here.
    sent_at: Option<MonoTime>,
    /// When the last of the callers is to come back who were asked to.
    promised: Option<MonoTime>,
}

impl Limits {
    /// Starts with none known.
    pub fn new(name: SmolStr) -> Self {
        Self {
            name,
            entries: KnownEntryCount::default(),
            of: HashMap::new(),
            fresh: HashMap::new(),
        }
    }

    /// Notes how many entries there are.
    pub fn set_entries(&mut self, now: MonoTime, entries: u32) {
        if self.entries.record(now, entries) {
            for limited in self.of.values_mut() {
                limited.pace = Pace::of(limited.limit, self.entries.max());
            }
        }
    }

    /// Takes what the answer to a request says, and returns whether that is news.
    ///
    /// An answer without a limit ends one only if its request was sent after the limit was
    /// heard of: answers on different connections overtake each other.
    pub fn heard(
        &mut self,
        now: MonoTime,
        id: &ServerId,
        sent_at: MonoTime,
        limit: Option<f64>,
    ) -> bool {
        let known = self.of.get(id);
        let ends = known.is_some_and(|known| sent_at > known.heard_at);
        if limit.is_none() && !ends {
            return false;
        }
        let server = loads::key(id);
        self.fresh.insert(server, LimitOf { server, limit });
        self.set(now, id, limit)
    }

    /// Takes what other entries have heard, and returns whether that is news.
    pub fn told(&mut self, now: MonoTime, id: &ServerId, limit: Option<f64>) -> bool {
        match self.of.get(id) {
            Some(known) if now < known.heard_at + OWN_COUNTS_FOR => false,
            Some(known) if limit == Some(known.limit) => false,
            _ => self.set(now, id, limit),
        }
    }

    /// Returns whether a request may be sent to a backend server now.
    pub fn is_open(&self, now: MonoTime, id: &ServerId) -> bool {
        let limited = self.of.get(id);
        limited.is_none_or(|limited| {
            let opens_at = self.opens_at(now, id, limited, limited.sent_at);
            opens_at.is_some_and(|at| at <= now)
        })
    }

    /// Counts a request that is about to be sent.
    pub fn sent(&mut self, now: MonoTime, id: &ServerId) {
        if let Some(limited) = self.of.get_mut(id) {
            limited.sent_at = Some(now);
        }
    }

    /// Returns how many backend servers name a limit.
    pub fn count(&self) -> usize {
        self.of.len()
    }

    /// Returns whether a backend server names a limit.
    pub fn names(&self, id: &ServerId) -> bool {
        self.of.contains_key(id)
    }

    /// Returns when a backend server takes a request, from some time on and after all
    /// callers who were promised one; none if that cannot be foreseen.
    pub fn next_opening(&self, from: MonoTime, id: &ServerId) -> Option<MonoTime> {
        let Some(limited) = self.of.get(id) else {
            return Some(from);
        };
        let last = limited.sent_at.max(limited.promised);
        self.opens_at(from, id, limited, last)
    }

    /// Notes that a caller was asked to come back to a backend server then.
    pub fn promise(&mut self, id: &ServerId, at: MonoTime) {
        if let Some(limited) = self.of.get_mut(id) {
            limited.promised = Some(at);
        }
    }

    /// Takes what is to be reported.
    pub fn take_fresh(&mut self) -> Vec<LimitOf> {
        self.fresh.drain().map(|(_, limit)| limit).collect()
    }

    /// Forgets the limit of an older life.
    pub fn forget(&mut self, id: &ServerId) {
        self.of.remove(id);
    }

    /// Forgets backend servers that are gone.
    pub fn retain(&mut self, known: impl Fn(&ServerId) -> bool) {
        self.of.retain(|id, _| known(id));
    }

    fn set(&mut self, now: MonoTime, id: &ServerId, limit: Option<f64>) -> bool {
        let Some(limit) = limit else {
            return self.of.remove(id).is_some();
        };
        let before = self.of.get(id).copied();
        let pace = match before {
            Some(before) if before.limit == limit => before.pace,
            _ => Pace::of(limit, self.entries.max()),
        };
        let limited = Limited {
            limit,
            pace,
            heard_at: now,
            sent_at: before.and_then(|before| before.sent_at),
            promised: before.and_then(|before| before.promised),
        };
        self.of.insert(id.clone(), limited);
        before.is_none_or(|before| before.limit != limit)
    }

    /// Returns when a request may be sent to a backend server next, from some time on and after
    /// the last one; none if that cannot be foreseen.
    fn opens_at(
        &self,
        from: MonoTime,
        id: &ServerId,
        limited: &Limited,
        last: Option<MonoTime>,
    ) -> Option<MonoTime> {
        let counted_since = self.entries.since()?;
        match limited.pace {
            Pace::Never => None,
            // An entry that has just started may have sent one before.
            Pace::Spaced(period) => {
                let last = last.unwrap_or(counted_since);
                Some(from.max(last + period))
            }
            Pace::Turns { period, width } => {
                let phase = hash::unit(id.as_bytes(), &self.name);
                let from = last.map_or(from, |last| from.max(last));
                Some(next_turn(from, phase, period, width, last))
            }
        }
    }
}

/// Returns `from` if a turn stands then that is not used by the last request, and else
/// when the next begins.
fn next_turn(
    from: MonoTime,
    phase: f64,
    period: Duration,
    width: Duration,
    last: Option<MonoTime>,
) -> MonoTime {
    let into = period.mul_f64((from.as_secs_f64() / period.as_secs_f64() + phase).fract());
    let is_used = last.is_some_and(|at| at + into >= from);
    match into < width && !is_used {
        true => from,
        false => from + (period - into),
    }
}
