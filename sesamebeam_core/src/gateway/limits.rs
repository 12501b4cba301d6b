//! Rate limits of backend servers under stress. A limit is in requests per second and
//! covers all entries together.
//!
//! First sends, retries, cascade steps and resumed streams all go through the choice of a
//! backend server. It skips a limited backend server unless the [`Pace`] of this entry
//! allows a send, so no send bypasses the limit. Entries share the limits that they
//! receive through the control replicas: an entry that may send once in a hundred seconds
//! would otherwise follow a limit of that age.

mod known;
mod pace;

use std::{
    collections::{
        HashMap,
        VecDeque, //
    },
    time::Duration, //
};

use smol_str::SmolStr;

pub use self::{
    known::{
        KnownLimits,
        LimitOf, //
    },
    pace::{
        Pace,
        max_arrivals,
        max_arrivals_of_entry, //
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

/// Time for which a limit received in an answer takes precedence over reported ones;
/// reports take up to half a second through two control replicas.
const OWN_ANSWER_PRECEDENCE: Duration = Duration::from_secs(1);

/// Limits known to one entry, and its sends to limited backend servers.
#[derive(Debug)]
pub struct ServerLimits {
    /// Name of this entry, which determines the phase of its turns.
    name: SmolStr,
    entries: KnownEntryCount,
    servers: HashMap<ServerId, LimitedServer>,
    arrivals: HashMap<ServerId, Arrivals>,
    /// Limits to report.
    unreported: HashMap<ServerKey, LimitOf>,
}

/// Backend server with a rate limit.
#[derive(Clone, Copy, Debug)]
struct LimitedServer {
    /// Requests per second from all entries.
    limit: f64,
    pace: Pace,
    /// When an answer last stated the limit, or when the first report of it arrived.
    received_at: MonoTime,
    /// Last send while the limit is known.
    sent_at: Option<MonoTime>,
    /// Latest time at which a rejected caller was told to retry.
    reserved_at: Option<MonoTime>,
}

/// Sends of this entry to a limited backend server, by what is known of their arrival.
#[derive(Debug, Default)]
struct Arrivals {
    /// Sends that the backend server may still read.
    unread: usize,
    /// When others were known to be read.
    read_at: VecDeque<MonoTime>,
}

impl Arrivals {
    /// Returns how many sends may arrive in a [`pace::SPAN`] that ends now or later.
    fn count(&self, now: MonoTime) -> usize {
        let recent = self.read_at.iter().filter(|at| **at + pace::SPAN > now);
        self.unread + recent.count()
    }

    fn record_read(&mut self, now: MonoTime) {
        self.unread = self.unread.saturating_sub(1);
        self.read_at.retain(|at| *at + pace::SPAN > now);
        self.read_at.push_back(now);
    }
}

impl ServerLimits {
    /// Creates an empty set of limits.
    pub fn new(name: SmolStr) -> Self {
        Self {
            name,
            entries: KnownEntryCount::default(),
            servers: HashMap::new(),
            arrivals: HashMap::new(),
            unreported: HashMap::new(),
        }
    }

    /// Sets the number of entries.
    pub fn set_entries(&mut self, now: MonoTime, entries: u32) {
        if self.entries.record(now, entries) {
            for limited in self.servers.values_mut() {
                limited.pace = Pace::of(limited.limit, self.entries.max());
            }
        }
    }

    /// Records the limit stated in an answer, or its absence, and returns whether it
    /// changed.
    ///
    /// An answer without a limit ends the limit only if its request was sent after the
    /// limit was received, as answers on different connections may arrive out of order.
    pub fn record(
        &mut self,
        now: MonoTime,
        id: &ServerId,
        sent_at: MonoTime,
        limit: Option<f64>,
    ) -> bool {
        let known = self.servers.get(id);
        let ends = known.is_some_and(|known| sent_at > known.received_at);
        if limit.is_none() && !ends {
            return false;
        }
        let server = loads::key(id);
        self.unreported.insert(server, LimitOf { server, limit });
        self.set(now, id, limit)
    }

    /// Applies a limit received by another entry and returns whether it changed.
    pub fn apply(&mut self, now: MonoTime, id: &ServerId, limit: Option<f64>) -> bool {
        match self.servers.get(id) {
            Some(known) if now < known.received_at + OWN_ANSWER_PRECEDENCE => false,
            Some(known) if limit == Some(known.limit) => false,
            _ => self.set(now, id, limit),
        }
    }

    /// Returns whether a request may be sent to a backend server now.
    pub fn allows_send(&self, now: MonoTime, id: &ServerId) -> bool {
        let limited = self.servers.get(id);
        limited.is_none_or(|limited| {
            let allowed_at = self.allowed_at(now, id, limited, limited.sent_at);
            allowed_at.is_some_and(|at| at <= now) && self.may_arrive(now, id, limited)
        })
    }

    /// Returns whether another send to a backend server may arrive at any time from now on.
    fn may_arrive(&self, now: MonoTime, id: &ServerId, limited: &LimitedServer) -> bool {
        let count = self.arrivals.get(id).map_or(0, |a| a.count(now));
        count < max_arrivals_of_entry(limited.limit, self.entries.max())
    }

    /// Records that a send begins. Returns whether it counts, as the backend server is limited;
    /// [`ServerLimits::record_read`] or [`ServerLimits::withdraw_unread`] then has to follow.
    pub fn record_unread(&mut self, id: &ServerId) -> bool {
        let is_limited = self.servers.contains_key(id);
        if is_limited {
            self.arrivals.entry(id.clone()).or_default().unread += 1;
        }
        is_limited
    }

    /// Records that a send that counts was not made.
    pub fn withdraw_unread(&mut self, id: &ServerId) {
        if let Some(arrivals) = self.arrivals.get_mut(id) {
            arrivals.unread = arrivals.unread.saturating_sub(1);
        }
    }

    /// Records that a send that counts was read, or can't be read any more.
    pub fn record_read(&mut self, now: MonoTime, id: &ServerId) {
        if let Some(arrivals) = self.arrivals.get_mut(id) {
            arrivals.record_read(now);
        }
    }

    /// Records a send.
    pub fn record_send(&mut self, now: MonoTime, id: &ServerId) {
        if let Some(limited) = self.servers.get_mut(id) {
            limited.sent_at = Some(now);
        }
    }

    /// Returns the number of backend servers with a limit.
    pub fn count(&self) -> usize {
        self.servers.len()
    }

    /// Returns whether a backend server has a limit.
    pub fn has_limit(&self, id: &ServerId) -> bool {
        self.servers.contains_key(id)
    }

    /// Returns the earliest time from `from` on at which a backend server accepts another
    /// request, after all times reserved for callers; none if that cannot be computed.
    pub fn next_allowed(&self, from: MonoTime, id: &ServerId) -> Option<MonoTime> {
        let Some(limited) = self.servers.get(id) else {
            return Some(from);
        };
        let last = limited.sent_at.max(limited.reserved_at);
        self.allowed_at(from, id, limited, last)
    }

    /// Reserves a time at which a rejected caller was told to retry.
    pub fn reserve(&mut self, id: &ServerId, at: MonoTime) {
        if let Some(limited) = self.servers.get_mut(id) {
            limited.reserved_at = Some(at);
        }
    }

    /// Takes the limits to report.
    pub fn take_unreported(&mut self) -> Vec<LimitOf> {
        self.unreported.drain().map(|(_, limit)| limit).collect()
    }

    /// Removes the limit of an earlier incarnation.
    pub fn forget(&mut self, id: &ServerId) {
        self.servers.remove(id);
        self.arrivals.remove(id);
    }

    /// Removes backend servers that are gone.
    pub fn retain(&mut self, known: impl Fn(&ServerId) -> bool) {
        self.servers.retain(|id, _| known(id));
        let servers = &self.servers;
        self.arrivals.retain(|id, _| servers.contains_key(id));
    }

    fn set(&mut self, now: MonoTime, id: &ServerId, limit: Option<f64>) -> bool {
        let Some(limit) = limit else {
            return self.servers.remove(id).is_some();
        };
        let before = self.servers.get(id).copied();
        let pace = match before {
            Some(before) if before.limit == limit => before.pace,
            _ => Pace::of(limit, self.entries.max()),
        };
        let limited = LimitedServer {
            limit,
            pace,
            received_at: now,
            sent_at: before.and_then(|before| before.sent_at),
            reserved_at: before.and_then(|before| before.reserved_at),
        };
        self.servers.insert(id.clone(), limited);
        before.is_none_or(|before| before.limit != limit)
    }

    /// Returns the earliest time from `from` on at which a request may be sent, given the
    /// last send; none if that cannot be computed.
    fn allowed_at(
        &self,
        from: MonoTime,
        id: &ServerId,
        limited: &LimitedServer,
        last: Option<MonoTime>,
    ) -> Option<MonoTime> {
        let count_known_since = self.entries.since()?;
        match limited.pace {
            Pace::Never => None,
            // Without a known send, assumes one at the first count of entries: this entry
            // may have sent a request before it restarted.
            Pace::Spaced(period) => {
                let last = last.unwrap_or(count_known_since);
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

/// Returns `from` if it is in a turn that the last send has not used, and the start of
/// the next turn otherwise.
fn next_turn(
    from: MonoTime,
    phase: f64,
    period: Duration,
    width: Duration,
    last: Option<MonoTime>,
) -> MonoTime {
    let offset = period.mul_f64((from.as_secs_f64() / period.as_secs_f64() + phase).fract());
    let is_used = last.is_some_and(|at| at + offset >= from);
    match offset < width && !is_used {
        true => from,
        false => from + (period - offset),
    }
}
