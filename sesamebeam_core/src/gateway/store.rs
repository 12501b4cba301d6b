//! The state that the control group replicates: the newest configuration, the
//! roll-outs and the failure domains that are evacuated.

use std::{
    collections::BTreeSet,
    time::Duration, //
};

use bytes::Bytes;
use serde::{
    Deserialize,
    Serialize, //
};
use smol_str::SmolStr;

use super::{
    config::{
        ConfigVersion,
        ServiceId, //
    },
    rollout::{
        Phase,
        Rollout,
        Rollouts, //
    },
};
use crate::ids::{
    DomainId,
    LogIndex, //
};

/// Most failure domains that may be evacuated at once: several times as many as a
/// deployment has. A caller that makes names up must not fill the state.
const MAX_EVACUATED: usize = 256;

/// A configuration as its operator sent it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Document {
    /// Its number.
    pub version: ConfigVersion,
    /// Its bytes.
    pub bytes: Bytes,
}

/// A change of the state.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Command {
    /// Puts a configuration in force, unless one as high already is.
    Apply(Document),
    /// Starts a roll-out.
    Start {
        /// Service.
        service: ServiceId,
        /// Version that is brought in.
        target: SmolStr,
        /// Time in which it should be done.
        duration: Duration,
    },
    /// Moves a roll-out on.
    Move {
        /// Service.
        service: ServiceId,
        /// Version that is brought in.
        target: SmolStr,
        /// The phase that it enters.
        phase: Phase,
    },
    /// Has nothing more sent to the backend servers of a failure domain.
    Evacuate(DomainId),
    /// Lets requests go there again.
    Readmit(DomainId),
}

/// What operators have ordered beside the configuration.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Orders {
    /// Roll-outs, ended ones included.
    pub rollouts: Rollouts,
    /// Failure domains to whose backend servers nothing is sent.
    pub evacuated: BTreeSet<DomainId>,
}

impl Orders {
    /// Returns whether requests may go to the backend servers of a failure domain.
    pub fn admit(&self, domain: &DomainId) -> bool {
        !self.evacuated.contains(domain)
    }
}

/// The replicated state.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Store {
    /// Last change that was applied.
    index: LogIndex,
    /// The newest configuration.
    config: Option<Document>,
    /// What else was ordered. Snapshots of versions before evacuations end within
    /// it; see [`Store::decode`].
    orders: Orders,
}

impl Store {
    /// Reads a snapshot.
    ///
    /// One that was written before there were evacuations lacks the last field, an
    /// empty set of which is written as one zero. Without this a replica with a new
    /// program starts with no state until the leader sends it.
    ///
    /// # Errors
    ///
    /// Fails if it cannot be read in either way.
    pub fn decode(snapshot: &[u8]) -> Result<Self, postcard::Error> {
        postcard::from_bytes(snapshot).or_else(|_| postcard::from_bytes(&[snapshot, &[0]].concat()))
    }

    /// Applies a change and returns whether the state is another now.
    pub fn apply(&mut self, index: LogIndex, command: Command) -> bool {
        self.index = index;
        match command {
            Command::Apply(document) => self.apply_config(document),
            Command::Start {
                service,
                target,
                duration,
            } => self.start(service, target, duration),
            Command::Move {
                service,
                target,
                phase,
            } => self.advance(&service, &target, phase),
            Command::Evacuate(domain) => {
                self.may_evacuate(&domain) && self.orders.evacuated.insert(domain)
            }
            Command::Readmit(domain) => self.orders.evacuated.remove(&domain),
        }
    }

    /// Returns the last change that was applied.
    pub fn index(&self) -> LogIndex {
        self.index
    }

    /// Returns the newest configuration.
    pub fn config(&self) -> Option<&Document> {
        self.config.as_ref()
    }

    /// Returns the roll-outs.
    pub fn rollouts(&self) -> &Rollouts {
        &self.orders.rollouts
    }

    /// Returns what was ordered beside the configuration.
    pub fn orders(&self) -> &Orders {
        &self.orders
    }

    /// Returns whether a roll-out order changes nothing.
    pub fn has_started(&self, service: &str, target: &str) -> bool {
        self.orders
            .rollouts
            .get(service)
            .is_some_and(|r| r.target == target)
    }

    /// Returns whether one more failure domain may be evacuated.
    pub fn may_evacuate(&self, domain: &DomainId) -> bool {
        let evacuated = &self.orders.evacuated;
        evacuated.len() < MAX_EVACUATED || evacuated.contains(domain)
    }

    fn apply_config(&mut self, document: Document) -> bool {
        let newer = self
            .config
            .as_ref()
            .is_none_or(|held| document.version > held.version);
        if newer {
            self.config = Some(document);
        }
        newer
    }

    fn start(&mut self, service: ServiceId, target: SmolStr, duration: Duration) -> bool {
        if self.has_started(&service, &target) {
            return false;
        }
        let phase = Phase::Canary;
        let rollout = Rollout {
            target,
            duration,
            phase,
        };
        self.orders.rollouts.insert(service, rollout);
        true
    }

    /// Moves a roll-out on; one that has ended stays as it is.
    fn advance(&mut self, service: &str, target: &str, phase: Phase) -> bool {
        let Some(rollout) = self.orders.rollouts.get_mut(service) else {
            return false;
        };
        let ended = matches!(rollout.phase, Phase::Completed | Phase::RolledBack);
        if rollout.target != target || ended || rollout.phase == phase {
            return false;
        }
        rollout.phase = phase;
        true
    }
}
