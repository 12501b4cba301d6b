//! The state that the control group replicates: the newest configuration and
//! the roll-outs.

use bytes::Bytes;
use serde::{
    Deserialize,
    Serialize, //
};
use smol_str::SmolStr;
use std::time::Duration;

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
use crate::ids::LogIndex;

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
}

/// The replicated state.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Store {
    /// Last change that was applied.
    index: LogIndex,
    /// The newest configuration.
    config: Option<Document>,
    /// Roll-outs, ended ones included.
    rollouts: Rollouts,
}

impl Store {
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
        &self.rollouts
    }

    /// Returns whether a roll-out order changes nothing.
    pub fn has_started(&self, service: &str, target: &str) -> bool {
        self.rollouts
            .get(service)
            .is_some_and(|r| r.target == target)
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
        self.rollouts.insert(service, rollout);
        true
    }

    /// Moves a roll-out on; one that has ended stays as it is.
    fn advance(&mut self, service: &str, target: &str, phase: Phase) -> bool {
        let Some(rollout) = self.rollouts.get_mut(service) else {
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
