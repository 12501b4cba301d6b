//! The replicated state of the control group: the latest configuration, the rollouts and
//! the evacuated failure domains.

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

/// Maximum number of evacuated failure domains, several times as many as a deployment
/// has. It bounds the state against a caller that makes up names.
const MAX_EVACUATED: usize = 256;

/// A configuration document as uploaded by the operator.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Document {
    /// Version of the configuration.
    pub version: ConfigVersion,
    /// Content of the document.
    pub bytes: Bytes,
}

/// A command in the replicated log.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Command {
    /// Activates a configuration, unless the current version is the same or higher.
    Apply(Document),
    /// Starts a rollout.
    StartRollout {
        /// Name of the service.
        service: ServiceId,
        /// Version that is rolled out.
        target: SmolStr,
        /// Time in which the rollout should complete.
        duration: Duration,
    },
    /// Moves a rollout to another phase.
    SetRolloutPhase {
        /// Name of the service.
        service: ServiceId,
        /// Version that is rolled out.
        target: SmolStr,
        /// The new phase.
        phase: Phase,
    },
    /// Stops sending requests to the backend servers of a failure domain.
    Evacuate(DomainId),
    /// Allows requests to an evacuated failure domain again.
    Readmit(DomainId),
}

/// Orders that operators have given besides the configuration.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Orders {
    /// Rollouts, including finished ones.
    pub rollouts: Rollouts,
    /// Failure domains to whose backend servers no requests are sent.
    pub evacuated: BTreeSet<DomainId>,
}

impl Orders {
    /// Returns whether requests may go to the backend servers of a failure domain.
    pub fn admits(&self, domain: &DomainId) -> bool {
        !self.evacuated.contains(domain)
    }
}

/// The replicated state machine.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Store {
    /// Log index of the last applied command.
    index: LogIndex,
    /// The latest configuration.
    config: Option<Document>,
    /// All other orders. Snapshots from before the introduction of evacuations end within
    /// this field; see [`Store::decode`].
    orders: Orders,
}

impl Store {
    /// Decodes a snapshot.
    ///
    /// Snapshots from before the introduction of evacuations lack the last field. An
    /// empty set is encoded as a single zero byte, which is appended for them. Otherwise
    /// an upgraded replica would start without state until the leader sends it a
    /// snapshot.
    ///
    /// # Errors
    ///
    /// Returns an error if the snapshot can be decoded in neither format.
    pub fn decode(snapshot: &[u8]) -> Result<Self, postcard::Error> {
        postcard::from_bytes(snapshot).or_else(|_| postcard::from_bytes(&[snapshot, &[0]].concat()))
    }

    /// Applies a command and returns whether it changed the state.
    pub fn apply(&mut self, index: LogIndex, command: Command) -> bool {
        self.index = index;
        match command {
            Command::Apply(document) => self.apply_config(document),
            Command::StartRollout {
                service,
                target,
                duration,
            } => self.start_rollout(service, target, duration),
            Command::SetRolloutPhase {
                service,
                target,
                phase,
            } => self.set_rollout_phase(&service, &target, phase),
            Command::Evacuate(domain) => {
                self.can_evacuate(&domain) && self.orders.evacuated.insert(domain)
            }
            Command::Readmit(domain) => self.orders.evacuated.remove(&domain),
        }
    }

    /// Returns the log index of the last applied command.
    pub fn index(&self) -> LogIndex {
        self.index
    }

    /// Returns the latest configuration.
    pub fn config(&self) -> Option<&Document> {
        self.config.as_ref()
    }

    /// Returns the rollouts.
    pub fn rollouts(&self) -> &Rollouts {
        &self.orders.rollouts
    }

    /// Returns the orders that operators have given besides the configuration.
    pub fn orders(&self) -> &Orders {
        &self.orders
    }

    /// Returns whether the latest rollout of a service already has this target, so that
    /// starting it again changes nothing.
    pub fn has_started(&self, service: &str, target: &str) -> bool {
        self.orders
            .rollouts
            .get(service)
            .is_some_and(|r| r.target == target)
    }

    /// Returns whether the limit on evacuated failure domains allows this one.
    pub fn can_evacuate(&self, domain: &DomainId) -> bool {
        let evacuated = &self.orders.evacuated;
        evacuated.len() < MAX_EVACUATED || evacuated.contains(domain)
    }

    fn apply_config(&mut self, document: Document) -> bool {
        let is_newer = self
            .config
            .as_ref()
            .is_none_or(|current| document.version > current.version);
        if is_newer {
            self.config = Some(document);
        }
        is_newer
    }

    fn start_rollout(&mut self, service: ServiceId, target: SmolStr, duration: Duration) -> bool {
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

    /// Moves a rollout to another phase. Finished rollouts don't change.
    fn set_rollout_phase(&mut self, service: &str, target: &str, phase: Phase) -> bool {
        let Some(rollout) = self.orders.rollouts.get_mut(service) else {
            return false;
        };
        let is_finished = matches!(rollout.phase, Phase::Completed | Phase::RolledBack);
        if rollout.target != target || is_finished || rollout.phase == phase {
            return false;
        }
        rollout.phase = phase;
        true
    }
}
