//! Session pins: the version that a session keeps.

use std::{
    collections::{
        BTreeMap,
        BTreeSet, //
    },
    time::Duration,
};

use serde::{
    Deserialize,
    Serialize, //
};

use super::config::Config;
use crate::{
    ids::{
        ANY_MODEL,
        split_version, //
    },
    message::{
        command::{
            Denial,
            Outcome,
            Retention, //
        },
        record::{
            PinKey,
            PinRequest,
            PinView, //
        },
    },
};

/// The pins that are kept.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub(super) struct Pins {
    /// Pins by key.
    records: BTreeMap<PinKey, Record>,
    /// Keys by the time of their last use, the oldest first.
    due: BTreeSet<(Duration, PinKey)>,
}

/// One pin.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
struct Record {
    view: PinView,
    used: Duration,
}

impl Pins {
    /// Applies a request for a pin.
    ///
    /// The first proposal wins, and so does the first after the version of the
    /// pin was withdrawn. An entry that proposes to replace a pin on a version
    /// in use acts on a configuration that is not the group's: with its proposal
    /// taken, a session would change version although nothing was withdrawn.
    pub(super) fn pin(
        &mut self,
        config: &Config,
        clock: Duration,
        retention: &Retention,
        req: &PinRequest,
        any_version: bool,
    ) -> Outcome {
        let key = &req.key;
        let found = self.records.get(key).map(|record| record.view.clone());
        if let Some(view) = &found
            && (any_version || config.usable(&key.org, &view.version).is_ok())
        {
            self.touch(key, clock);
            return Outcome::Pin(view.clone());
        }
        if let Err(denial) = check(config, req)
            && !any_version
        {
            return Outcome::Denied(denial);
        }
        if found.is_none() && self.records.len() >= retention.max_pins as usize {
            return Outcome::Denied(Denial::PinsFull);
        }
        let view = PinView {
            generation: found.map_or(0, |view| view.generation) + 1,
            version: req.version.clone(),
        };
        self.touch(key, clock);
        let record = Record {
            view: view.clone(),
            used: clock,
        };
        self.records.insert(key.clone(), record);
        self.due.insert((clock, key.clone()));
        Outcome::Pin(view)
    }

    /// Drops pins that were not used for their time.
    pub(super) fn expire(&mut self, clock: Duration, kept: Duration) {
        while let Some((used, _)) = self.due.first() {
            if *used + kept > clock {
                return;
            }
            if let Some((_, key)) = self.due.pop_first() {
                self.records.remove(&key);
            }
        }
    }

    /// Finds a pin.
    pub(super) fn view(&self, key: &PinKey) -> Option<&PinView> {
        self.records.get(key).map(|record| &record.view)
    }

    /// Counts the pins.
    pub(super) fn len(&self) -> usize {
        self.records.len()
    }

    fn touch(&mut self, key: &PinKey, clock: Duration) {
        if let Some(record) = self.records.get_mut(key) {
            self.due.remove(&(record.used, key.clone()));
            self.due.insert((clock, key.clone()));
            record.used = clock;
        }
    }
}

fn check(config: &Config, req: &PinRequest) -> Result<(), Denial> {
    let (model, _) = split_version(&req.version).ok_or(Denial::NotAllowed)?;
    if model != req.key.model && req.key.model != ANY_MODEL {
        return Err(Denial::OtherModel);
    }
    config.usable(&req.key.org, &req.version)
}
