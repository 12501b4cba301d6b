//! The fault of a replay, from its start to its end.

use std::time::Duration;

use sesamebeam_core::ids::VersionId;

use crate::policy::{
    replay::{
        Replay,
        event::Event, //
    },
    world::Fault,
};

/// Time without progress after which a stream is probed and resumed.
const PROGRESS_TIMEOUT: Duration = Duration::from_secs(2);

impl Replay<'_> {
    pub(super) fn fault_start(&mut self) {
        self.fault_on = true;
        let settled = |v: &VersionId| Some(v) != self.rolling.as_ref();
        let most = self
            .used
            .iter()
            .filter(|(v, _)| settled(v))
            .max_by_key(|(_, n)| **n);
        if let Some((version, _)) = most {
            self.victim = version.clone();
        }
        let near = self.near_engines();
        let lost = near.len() * 2 / 3;
        match self.setting.fault {
            Fault::Killer => self.killer(6),
            Fault::PoolLoss => {
                for at in near.into_iter().take(lost) {
                    self.die(at);
                }
            }
            Fault::Outage => self
                .servers
                .iter_mut()
                .filter(|s| s.engine)
                .for_each(|s| s.broken = true),
            Fault::Silent => self.silence(&near[..lost]),
            Fault::Leaving => {
                for (nth, at) in near.into_iter().enumerate() {
                    self.after(Duration::from_secs(70 * nth as u64), Event::Leave(at));
                }
            }
            Fault::Cut => self.cut(),
            _ => {}
        }
    }

    pub(super) fn fault_end(&mut self) {
        self.fault_on = false;
        self.servers
            .iter_mut()
            .for_each(|server| server.broken = false);
        if self.setting.fault == Fault::Cut {
            for server in self.servers.iter_mut().filter(|server| !server.near) {
                server.up = true;
            }
        }
        self.router.rater_answers = true;
    }

    /// Open streams to these engines bring nothing any more; new connections
    /// work and find the stream still running.
    fn silence(&mut self, engines: &[usize]) {
        for id in 0..self.attempts.len() {
            if self.attempts[id].open && engines.contains(&self.attempts[id].server) {
                self.attempts[id].silent = true;
                if self.setting.strategy.is_guarded() {
                    self.after(PROGRESS_TIMEOUT, Event::Resume(id));
                }
            }
        }
    }

    fn cut(&mut self) {
        for at in 0..self.servers.len() {
            if self.servers[at].near {
                continue;
            }
            let (ran, waited) = self.servers[at].die();
            for id in ran {
                self.fail_with(id, true, None);
            }
            for id in waited {
                self.fail_with(id, false, None);
            }
        }
    }

    fn near_engines(&self) -> Vec<usize> {
        (0..self.servers.len())
            .filter(|&at| self.servers[at].near && self.servers[at].engine)
            .collect()
    }
}
