//! What backend servers say of themselves.
//!
//! Announcements reach any control replica, are passed on to all of them and to
//! every entry, and arrive in any order. Their sequence numbers make merging
//! them independent of the order.

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

use super::{
    config::ServiceId,
    digests::Digests, //
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
    ended: usize,
    /// Digests of what is held; none since it changed.
    digests: Option<Digests>,
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
        let before = self.servers.get_mut(&said.id);
        match before {
            Some(known) if said.born < known.said.born => return false,
            Some(known) if said.born == known.said.born => {
                let is_news = known.update(now, said, &mut self.ended);
                self.digests.take_if(|_| is_news);
                return is_news;
            }
            Some(known) if known.said.state == ServerState::Gone => self.ended -= 1,
            Some(_) | None => {}
        }
        let mut said = said;
        if said.state != ServerState::Gone && self.is_outlived(&said) {
            said.state = ServerState::Gone;
        }
        if said.state == ServerState::Gone {
            self.ended += 1;
        } else if is_named {
            self.end_at(now, &said);
        }
        let id = said.id.clone();
        let known = Known {
            cold_until: now + said.cold,
            heard_at: now,
            said,
        };
        self.servers.insert(id, known);
        self.digests = None;
        self.forget_ended();
        true
    }

    /// Returns the digests of the lives that have not ended.
    pub fn digests(&mut self) -> &Digests {
        let servers = &self.servers;
        self.digests
            .get_or_insert_with(|| Digests::of(servers.values().map(|k| &k.said)))
    }

    /// Returns whether a service has any other backend server.
    pub fn has_other(&self, said: &Announcement) -> bool {
        let mut others = self.servers.values().filter(|k| k.said.id != said.id);
        others.any(|k| k.said.service == said.service)
    }

    /// Notes that a backend server has left, by its id and, if it says, when it
    /// started.
    pub fn leave(&mut self, now: MonoTime, id: &str, born: Option<Born>) -> Option<Announcement> {
        let known = self.servers.get_mut(id)?;
        if born.is_some_and(|born| born != known.said.born) {
            return None;
        }
        let mut said = known.said.clone();
        said.state = ServerState::Gone;
        said.sequence += 1;
        known.update(now, said.clone(), &mut self.ended);
        self.digests = None;
        Some(said)
    }

    /// Returns a backend server.
    pub fn get(&self, id: &str) -> Option<&Known> {
        self.servers.get(id)
    }

    /// Iterates over what others are told now of all, those that have left included.
    pub fn tell(&self, now: MonoTime) -> impl Iterator<Item = Announcement> + '_ {
        self.servers.values().map(move |known| known.tell(now))
    }

    /// Iterates over all that were heard of, those that have left included.
    pub fn all(&self) -> impl Iterator<Item = &Known> + '_ {
        self.servers.values()
    }

    /// Iterates over those of a service that take work.
    pub fn ready<'a>(&'a self, service: &'a str) -> impl Iterator<Item = &'a Known> + 'a {
        self.servers
            .values()
            .filter(move |k| k.said.service == service && k.said.state == ServerState::Ready)
    }

    /// Returns whether a life that started later is at its address.
    fn is_outlived(&self, said: &Announcement) -> bool {
        let mut lives = self.servers.values().filter(|k| k.said.addr == said.addr);
        lives.any(|k| k.said.state != ServerState::Gone && k.said.born > said.born)
    }

    fn end_at(&mut self, now: MonoTime, newer: &Announcement) {
        let older = self.servers.values_mut().filter(|k| {
            let at_place = k.said.addr == newer.addr && k.said.id != newer.id;
            at_place && k.said.state != ServerState::Gone && k.said.born <= newer.born
        });
        for known in older {
            known.said.state = ServerState::Gone;
            known.heard_at = now;
            self.ended += 1;
        }
    }

    fn forget_ended(&mut self) {
        if self.ended <= MAX_ENDED {
            return;
        }
        let ended = self
            .servers
            .values()
            .filter(|k| k.said.state == ServerState::Gone);
        let oldest = ended.min_by_key(|k| k.heard_at).map(|k| k.said.id.clone());
        if let Some(id) = oldest {
            self.servers.remove(&id);
            self.ended -= 1;
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
    fn update(&mut self, now: MonoTime, said: Announcement, ended: &mut usize) -> bool {
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
        if state == ServerState::Gone {
            *ended += 1;
        }
        !same || cools
    }
}
