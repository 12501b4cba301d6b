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

use super::config::ServiceId;
use crate::ids::{
    DomainId,
    ModelId,
    MonoTime, //
};

/// Name of one life of a backend server; a restart has another.
pub type ServerId = SmolStr;

/// Lives that have ended and are remembered, so that a late announcement does
/// not bring one back. 8,192 are an hour of replacing two a second; each takes
/// some 200 bytes.
const MAX_ENDED: usize = 8192;

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
    /// This life of the backend server.
    pub id: ServerId,
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
    /// Time for which it stays slow after its start.
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
}

/// All backend servers that were heard of.
#[derive(Clone, Debug, Default)]
pub struct Directory {
    servers: BTreeMap<ServerId, Known>,
    ended: usize,
}

impl Directory {
    /// Takes an announcement and returns whether it tells anything new beyond
    /// that the backend server lives.
    ///
    /// A life that has left stays gone, and a new life at an address ends the
    /// older one there: an announcement held up by a cut would otherwise send
    /// work to a process that is not there any more.
    pub fn take(&mut self, now: MonoTime, said: Announcement) -> bool {
        if let Some(known) = self.servers.get_mut(&said.id) {
            return known.update(now, said, &mut self.ended);
        }
        if said.state != ServerState::Gone {
            self.end_at(now, said.addr);
        } else {
            self.ended += 1;
        }
        let id = said.id.clone();
        let heard_at = now;
        self.servers.insert(id, Known { said, heard_at });
        self.forget_ended();
        true
    }

    /// Notes that a backend server has left, by its id alone.
    pub fn leave(&mut self, now: MonoTime, id: &str) -> Option<Announcement> {
        let known = self.servers.get_mut(id)?;
        let mut said = known.said.clone();
        said.state = ServerState::Gone;
        said.sequence += 1;
        known.update(now, said.clone(), &mut self.ended);
        Some(said)
    }

    /// Returns a backend server.
    pub fn get(&self, id: &str) -> Option<&Known> {
        self.servers.get(id)
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

    fn end_at(&mut self, now: MonoTime, addr: SocketAddr) {
        let older = self
            .servers
            .values_mut()
            .filter(|k| k.said.addr == addr && k.said.state != ServerState::Gone);
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
    /// Takes a newer announcement and returns whether it tells anything new.
    fn update(&mut self, now: MonoTime, said: Announcement, ended: &mut usize) -> bool {
        let older = said.sequence <= self.said.sequence && said.state <= self.said.state;
        if self.said.state == ServerState::Gone || older {
            return false;
        }
        self.heard_at = now;
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
        !same
    }
}
