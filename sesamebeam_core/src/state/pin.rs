//! Session pins, which keep a session on one version.

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

/// The kept pins.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub(super) struct Pins {
    /// Pins by key.
    records: BTreeMap<PinKey, Record>,
    /// Keys by the time of their last use, oldest first.
    due: BTreeSet<(Duration, PinKey)>,
}

/// A pin and the time of its last use.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
struct Record {
    view: PinView,
    last_used: Duration,
}

impl Pins {
    /// Applies a pin request.
    ///
    /// The first proposal wins, and likewise the first one after the pinned
    /// version was withdrawn. An entry that proposes to replace a pin whose
    /// version is still in use has a configuration that differs from that of
    /// the group. If its proposal were accepted, the session would change
    /// versions although none was withdrawn.
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
            && (any_version || config.check_usable(&key.org, &view.version).is_ok())
        {
            self.touch(key, clock);
            return Outcome::Pin(view.clone());
        }
        if let Err(denial) = check_proposal(config, req)
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
            last_used: clock,
        };
        self.records.insert(key.clone(), record);
        self.due.insert((clock, key.clone()));
        Outcome::Pin(view)
    }

    /// Removes pins that were not used for the time `kept`.
    pub(super) fn expire(&mut self, clock: Duration, kept: Duration) {
        while let Some((last_used, _)) = self.due.first() {
            if *last_used + kept > clock {
                return;
            }
            if let Some((_, key)) = self.due.pop_first() {
                self.records.remove(&key);
            }
        }
    }

    /// Returns a pin.
    pub(super) fn view(&self, key: &PinKey) -> Option<&PinView> {
        self.records.get(key).map(|record| &record.view)
    }

    /// Returns the number of pins.
    pub(super) fn len(&self) -> usize {
        self.records.len()
    }

    fn touch(&mut self, key: &PinKey, clock: Duration) {
        if let Some(record) = self.records.get_mut(key) {
            self.due.remove(&(record.last_used, key.clone()));
            self.due.insert((clock, key.clone()));
            record.last_used = clock;
        }
    }
}

fn check_proposal(config: &Config, req: &PinRequest) -> Result<(), Denial> {
    let (model, _) = split_version(&req.version).ok_or(Denial::NotAllowed)?;
    if model != req.key.model && req.key.model != ANY_MODEL {
        return Err(Denial::OtherModel);
    }
    config.check_usable(&req.key.org, &req.version)
}
