//! Backend servers: what they announce, how they die and leave.

use std::{
    cmp::Ordering,
    time::Duration, //
};

use rand::RngExt;
use sesamebeam_core::{
    ids::{
        Digest,
        VersionId, //
    },
    policy::{
        exposure::Observation,
        suspects::SuspectStatus, //
    },
};

use crate::policy::{
    replay::{
        Replay,
        event::Event, //
    },
    world::{
        AttemptId,
        Fault, //
    },
};

/// Time between two changes of other entries' work on one engine.
const BACKGROUND: Duration = Duration::from_millis(250);

impl Replay<'_> {
    pub(super) fn announce(&mut self, at: usize) {
        if self.now < self.end_at() + Duration::from_secs(30) {
            let jitter = self.rng.random_range(950..1050);
            self.after(Duration::from_millis(jitter), Event::Announce(at));
        }
        let server = &mut self.servers[at];
        let cut = self.setting.fault == Fault::Cut && self.fault_on && !server.near;
        if !server.up || cut {
            return;
        }
        let lose = self.rng.random::<f64>() < 0.1;
        let announcement = server.announce(&self.all_versions, lose);
        self.router.announce(self.now, &announcement);
    }

    /// Other entries keep the other failure domains as busy as this one is:
    /// slots there are taken and freed one by one.
    pub(super) fn background(&mut self) {
        if self.going_on() {
            self.after(BACKGROUND, Event::Background);
        }
        for at in 0..self.servers.len() {
            let server = &mut self.servers[at];
            if server.near || !server.up {
                continue;
            }
            let wanted = server.slots as f64 * self.setting.load + self.rng.random_range(-3.0..3.0);
            let wanted = (wanted.max(0.0) as usize).min(server.slots);
            match wanted.cmp(&server.background) {
                Ordering::Less => server.background -= 1,
                Ordering::Greater => server.background += 1,
                Ordering::Equal => {}
            }
            for (started, length) in server.fill() {
                self.runs(started, length);
            }
        }
    }

    pub(super) fn die(&mut self, at: usize) {
        if !self.servers[at].up {
            return;
        }
        let life = self.servers[at].life();
        let (ran, waited) = self.servers[at].die();
        self.run.crashes += 1;
        self.after(Duration::from_secs(10), Event::Restart(at));
        let prints = |ids: &[AttemptId]| -> Vec<Digest> {
            ids.iter()
                .map(|id| self.requests[self.attempts[*id].request].fingerprint)
                .collect()
        };
        let on_board = prints(&ran);
        if self.setting.strategy.is_guarded() {
            self.router.suspects.record_crash(self.now, life, &on_board);
            let killer = SuspectStatus::Quarantined;
            let innocent = self.requests.iter().filter(|r| !r.killer && !r.ended);
            let wrongly = innocent.filter(|r| self.router.suspects.status(r.fingerprint) == killer);
            self.run.innocents += wrongly.count() as u64;
        }
        self.router.balance.avoid(self.now, life.addr);
        let mut blamed: Vec<VersionId> = Vec::new();
        for id in ran {
            let version = self.attempts[id].version.clone();
            let once = version.filter(|version| !blamed.contains(version));
            blamed.extend(once.clone());
            self.fail_with(id, true, once.map(|_| Observation::Crashed));
        }
        for id in waited {
            self.fail_with(id, false, None);
        }
    }

    pub(super) fn leave(&mut self, at: usize) {
        self.servers[at].leaving = true;
        let announcement = self.servers[at].announce(&self.all_versions, false);
        self.router.announce(self.now, &announcement);
        self.after(Duration::from_secs(60), Event::Restart(at));
    }
}
