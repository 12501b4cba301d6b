//! What backend servers say of themselves.
//!
//! Announcements reach any control replica, are passed on to all of them and to
//! every entry, and arrive in any order. Their sequence numbers make merging
//! them independent of the order.

mod index;

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    time::Duration, //
};

use serde::{
    Deserialize,
    Serialize, //
};
use smol_str::SmolStr;

use self::index::Index;
pub(super) use self::index::Indexed;
pub use self::index::{
    Group,
    Window, //
};
use super::{
    config::ServiceId,
    digests::{
        self,
        Digests,
        PartDetail,
        Parts,
        Section, //
    },
    loads::ServerKey, //
};
use crate::ids::{
    DomainId,
    ModelId,
    MonoTime, //
};

/// Name of a backend server. One that starts again may have another or the same.
pub type ServerId = SmolStr;

/// When a backend server started, in Unix milliseconds by its own clock; 0 if it
/// does not say.
pub type Born = u64;

/// Start of a life that left and of which nothing else is known: no announcement
/// of that name may bring it back.
pub const BORN_UNKNOWN: Born = Born::MAX;

/// One life of a backend server. What it holds, and the numbers of what it says,
/// end with it.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Life {
    /// Its name.
    pub id: ServerId,
    /// When it started.
    pub born: Born,
}

/// Lives that have ended and are remembered, so that a late announcement does
/// not bring one back. 8,192 are an hour of replacing two a second; each takes
/// some 200 bytes.
const MAX_ENDED: usize = 8192;

/// By how much longer a backend server must be cold than it said before for that to
/// be news: more than what delays announcements on a lossy way, less than the time for
/// which any stays cold.
const COLD_MARGIN: Duration = Duration::from_millis(1000);

/// Whether a backend server takes work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum ServerState {
    /// Takes work.
    Ready,
    /// Leaves soon and takes no new work.
    Draining,
    /// Has left, or is about to without another word.
    Gone,
}

/// What a backend server said of itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Announcement {
    /// Name of the backend server.
    pub id: ServerId,
    /// When this life of it started.
    pub born: Born,
    /// Service that it belongs to.
    pub service: ServiceId,
    /// Where it takes requests.
    pub addr: SocketAddr,
    /// Failure domain.
    pub domain: DomainId,
    /// Version of its software.
    pub version: SmolStr,
    /// Requests that it runs together.
    pub slots: u32,
    /// Whether it takes work.
    pub state: ServerState,
    /// Time for which it stays cold: slow, and sensitive to more than a few requests.
    pub cold: Duration,
    /// Models that it holds.
    pub models: Vec<ModelId>,
    /// Grows with each announcement of this life.
    pub sequence: u64,
}

/// A backend server as this process knows it.
#[derive(Clone, Debug)]
pub struct Known {
    /// The newest announcement.
    pub said: Announcement,
    /// When anything was last heard of it, from itself or from others.
    pub heard_at: MonoTime,
    /// Until when it is cold, by what it says.
    pub cold_until: MonoTime,
}

/// All backend servers that were heard of.
#[derive(Clone, Debug, Default)]
pub struct Directory {
    servers: BTreeMap<ServerId, Known>,
    index: Index,
    /// Digests of what is held.
    digests: Digests,
    /// Backend servers that were looked at to take announcements.
    examined: u64,
}

impl Directory {
    /// Takes an announcement and returns whether it tells anything new beyond
    /// that the backend server lives.
    ///
    /// A life that has left stays gone, and a new life at an address ends the
    /// older one there: an announcement held up by a cut would otherwise send
    /// work to a process that is not there any more. A name that starts again is
    /// another life, told apart by when it started: its numbers start anew, and
    /// what an older life said arrives in vain.
    ///
    /// `is_named` tells whether its service is one that there is. What another
    /// writer says under a service that nobody has must not end a life that works.
    pub fn take(&mut self, now: MonoTime, said: Announcement, is_named: bool) -> bool {
        self.examined += 1;
        let born = self.servers.get(&said.id).map(|known| known.said.born);
        match born {
            Some(born) if said.born < born => return false,
            Some(born) if said.born == born => {
                let id = said.id.clone();
                return self.change(&id, |known| known.update(now, said)) == Some(true);
            }
            Some(_) | None => {}
        }
        let mut said = said;
        if said.state != ServerState::Gone && self.is_outlived(&said) {
            said.state = ServerState::Gone;
        }
        if said.state != ServerState::Gone && is_named {
            self.end_at(now, &said);
        }
        self.put(Known {
            cold_until: now + said.cold,
            heard_at: now,
            said,
        });
        self.forget_ended();
        true
    }

    /// Returns the digests of the lives that have not ended.
    pub fn digests(&self) -> &Digests {
        &self.digests
    }

    /// Returns whether a service has any other backend server.
    pub fn has_other(&self, said: &Announcement) -> bool {
        let this = self.servers.get(&said.id);
        let is_of_it = this.is_some_and(|k| k.said.service == said.service);
        self.index.known(&said.service) > usize::from(is_of_it)
    }

    /// Notes that a backend server has left, by its id and, if it says, when it
    /// started.
    pub fn leave(&mut self, now: MonoTime, id: &str, born: Option<Born>) -> Option<Announcement> {
        let known = self.servers.get(id)?;
        if born.is_some_and(|born| born != known.said.born) {
            return None;
        }
        let mut said = known.said.clone();
        said.state = ServerState::Gone;
        said.sequence += 1;
        self.change(id, |known| known.update(now, said.clone()));
        Some(said)
    }

    /// Returns a backend server.
    pub fn get(&self, id: &str) -> Option<&Known> {
        self.servers.get(id)
    }

    /// Iterates over the backend servers that share a key, mostly one.
    pub fn with_key(&self, key: ServerKey) -> impl Iterator<Item = &Known> {
        self.with_keys((key, key))
    }

    fn with_keys(&self, keys: (ServerKey, ServerKey)) -> impl Iterator<Item = &Known> {
        let ids = self.index.with_keys(keys);
        ids.filter_map(|id| self.servers.get(id))
    }

    /// Iterates over what others are told now of the backend servers in some parts, those
    /// that have left included.
    pub fn tell_parts(&self, now: MonoTime, parts: Parts) -> impl Iterator<Item = Announcement> {
        let keys = parts.numbers().map(digests::keys_of_part);
        let known = keys.flat_map(|keys| self.with_keys(keys));
        known.map(move |known| known.tell(now))
    }

    /// Iterates over the same of some sections.
    pub fn tell_sections<'a>(
        &'a self,
        now: MonoTime,
        sections: &'a [Section],
    ) -> impl Iterator<Item = Announcement> + 'a {
        let keys = sections.iter().map(|&s| digests::keys_of_section(s));
        let known = keys.flat_map(|keys| self.with_keys(keys));
        known.map(move |known| known.tell(now))
    }

    /// Returns how many backend servers are in a part, those that have left included.
    pub fn count_part(&self, part: usize) -> usize {
        self.with_keys(digests::keys_of_part(part)).count()
    }

    /// Returns the digests of the sections of some parts.
    pub fn details(&self, parts: Parts) -> Vec<PartDetail> {
        parts.numbers().map(|part| self.detail(part)).collect()
    }

    /// Returns the sections in which another directory differs.
    pub fn differing_sections(&self, details: &[PartDetail]) -> Vec<Section> {
        let pairs = details.iter().filter_map(|theirs| {
            let own = self.detail(theirs.part()?);
            Some(own.differing(theirs).collect::<Vec<_>>())
        });
        pairs.flatten().collect()
    }

    fn detail(&self, part: usize) -> PartDetail {
        let known = self.with_keys(digests::keys_of_part(part));
        PartDetail::of(part, known.map(Indexed::of))
    }

    /// Iterates over what others are told now of all, those that have left included.
    pub fn tell(&self, now: MonoTime) -> impl Iterator<Item = Announcement> + '_ {
        self.servers.values().map(move |known| known.tell(now))
    }

    /// Iterates over all that were heard of, those that have left included.
    pub fn all(&self) -> impl Iterator<Item = &Known> + '_ {
        self.servers.values()
    }

    /// Returns how many were heard of, those that have left included.
    pub fn count(&self) -> usize {
        self.servers.len()
    }

    /// Iterates over those of a service that take work, in groups.
    pub fn groups<'a>(&'a self, service: &str) -> impl Iterator<Item = Group<'a>> + use<'a> {
        self.index.groups(service)
    }

    /// Iterates over those of a group with a key in a window.
    pub fn members<'a>(
        &'a self,
        group: &Group<'a>,
        window: Window,
    ) -> impl Iterator<Item = &'a Known> + use<'a> {
        let ids = group.within(window);
        ids.filter_map(|id| self.servers.get(id))
    }

    /// Iterates over those of a service that take work.
    pub fn ready<'a>(&'a self, service: &str) -> impl Iterator<Item = &'a Known> + use<'a> {
        let groups = self.groups(service);
        groups.flat_map(|group| self.members(&group, Window::ALL))
    }

    /// Returns how many backend servers were looked at to take announcements.
    pub fn examined(&self) -> u64 {
        self.examined
    }

    /// Returns whether a life that started later is at its address.
    fn is_outlived(&mut self, said: &Announcement) -> bool {
        let there = self.index.at(said.addr);
        self.examined += there.len() as u64;
        let mut lives = there.iter().filter_map(|id| self.servers.get(id));
        lives.any(|k| k.said.born > said.born)
    }

    fn end_at(&mut self, now: MonoTime, newer: &Announcement) {
        let there = self.index.at(newer.addr).to_vec();
        self.examined += there.len() as u64;
        for id in there.into_iter().filter(|id| *id != newer.id) {
            self.change(&id, |known| {
                if known.said.born <= newer.born {
                    known.said.state = ServerState::Gone;
                    known.heard_at = now;
                }
            });
        }
    }

    fn forget_ended(&mut self) {
        let (ended, oldest) = self.index.ended();
        let oldest = oldest.filter(|_| ended > MAX_ENDED).cloned();
        if let Some(id) = oldest {
            self.remove(&id);
        }
    }

    /// Changes a backend server and what is indexed of it.
    fn change<T>(&mut self, id: &str, change: impl FnOnce(&mut Known) -> T) -> Option<T> {
        let known = self.servers.get_mut(id)?;
        let before = Indexed::of(known);
        let result = change(known);
        let after = Indexed::of(known);
        if before != after {
            self.index.remove(&before);
            self.index.insert(&after);
            self.digests.toggle(&before);
            self.digests.toggle(&after);
        }
        Some(result)
    }

    /// Puts a life in place of any before it under its name.
    fn put(&mut self, known: Known) {
        self.remove(&known.said.id);
        let indexed = Indexed::of(&known);
        self.index.insert(&indexed);
        self.digests.toggle(&indexed);
        self.servers.insert(known.said.id.clone(), known);
    }

    fn remove(&mut self, id: &str) {
        if let Some(known) = self.servers.remove(id) {
            let indexed = Indexed::of(&known);
            self.index.remove(&indexed);
            self.digests.toggle(&indexed);
        }
    }
}

impl Known {
    /// Returns the life that is known.
    pub fn life(&self) -> Life {
        Life {
            id: self.said.id.clone(),
            born: self.said.born,
        }
    }

    /// Returns what others are told of it now: of the time for which it was cold a
    /// part has passed since it said so.
    pub fn tell(&self, now: MonoTime) -> Announcement {
        Announcement {
            cold: self.cold_until.saturating_sub(now),
            ..self.said.clone()
        }
    }

    /// Returns whether it has become cold again, by a newer word of its own.
    ///
    /// Its announcements say the same rest in each: what is later than that by less
    /// than [`COLD_MARGIN`] was on its way for longer.
    fn cools(&mut self, now: MonoTime, said: &Announcement) -> bool {
        if said.sequence <= self.said.sequence {
            return false;
        }
        let before = std::mem::replace(&mut self.cold_until, now + said.cold);
        !said.cold.is_zero() && self.cold_until > before + COLD_MARGIN
    }

    /// Takes a newer announcement of the same life and returns whether it tells
    /// anything new. A life stays where it is and what it is: one that is said to
    /// be of another service or elsewhere was not announced by itself.
    fn update(&mut self, now: MonoTime, said: Announcement) -> bool {
        let older = said.sequence <= self.said.sequence && said.state <= self.said.state;
        let moved = said.state != ServerState::Gone
            && (&said.service, said.addr) != (&self.said.service, self.said.addr);
        if self.said.state == ServerState::Gone || older || moved {
            return false;
        }
        self.heard_at = now;
        let cools = self.cools(now, &said);
        let sequence = self.said.sequence.max(said.sequence);
        let state = self.said.state.max(said.state);
        let same = Announcement {
            sequence: self.said.sequence,
            cold: self.said.cold,
            ..said.clone()
        } == self.said;
        self.said = Announcement {
            sequence,
            state,
            ..said
        };
        !same || cools
    }
}
