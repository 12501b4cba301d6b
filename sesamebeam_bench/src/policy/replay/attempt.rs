//! Attempts: a request sent to one backend server.

use std::time::Duration;

use sesamebeam_core::{
    ids::{
        MonoTime,
        VersionId, //
    },
    message::record::ServerIncarnation,
    policy::{
        balance::{
            PickInput,
            Route, //
        },
        suspects::SuspectStatus,
    },
};

use crate::policy::{
    replay::{
        Replay,
        event::Event, //
    },
    result::{
        Outcome,
        Refusal, //
    },
    world::{
        AttemptId,
        Job,
        Sent, //
    },
};

/// Time in which a broken engine fails a request.
const FAILS_AFTER: Duration = Duration::from_millis(50);

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Step {
    Only,
    First,
    Redo,
}

pub(super) struct Attempt {
    pub(super) request: usize,
    pub(super) version: Option<VersionId>,
    pub(super) step: Step,
    pub(super) server: usize,
    pub(super) life: ServerIncarnation,
    pub(super) sent: MonoTime,
    pub(super) runs: Option<(MonoTime, MonoTime)>,
    /// Counts changes of the end, so that an older event is known as stale.
    pub(super) epoch: u32,
    pub(super) open: bool,
    pub(super) silent: bool,
    pub(super) alone: bool,
}

impl Replay<'_> {
    pub(super) fn send(&mut self, at: usize, step: Step, version: Option<VersionId>) {
        let class = self.class(at);
        let pool = self.pool(at);
        let request = &self.requests[at];
        let suspect = self.router.suspects.status(request.fingerprint) == SuspectStatus::Suspect;
        let mut exclude = request.tried.clone();
        if self.setting.strategy.is_guarded() {
            let occupied = self.router.suspects.occupied_servers(request.fingerprint);
            exclude.extend(occupied.iter().map(|life| life.addr));
        }
        let input = PickInput {
            route: match &version {
                Some(version) => Route::Version(version),
                None => Route::Service(&pool),
            },
            prefix: request.prefix,
            prompt_tokens: request.prompt as u32,
            max_tokens: request.tokens as u32,
            priority: class.priority,
            exclude: &exclude,
            isolated: suspect,
        };
        let picked = self
            .router
            .pick(self.now, &input, &self.servers, version.is_some());
        let Some(server) = picked else {
            return self.end(at, Outcome::Refused(Refusal::NoServer));
        };
        self.send_to(at, step, version, server, suspect);
    }

    pub(super) fn hedge(&mut self, at: usize) {
        let class = self.class(at);
        if self.requests[at].ended || self.requests[at].open.len() != 1 {
            return;
        }
        if !self.router.hedges.try_hedge(class) {
            return;
        }
        let first = &self.attempts[self.requests[at].open[0]];
        let (version, addr) = (first.version.clone(), first.life.addr);
        self.requests[at].tried.push(addr);
        self.run.hedges += 1;
        let before = self.attempts.len();
        let (pool, prefix) = (self.pool(at), self.requests[at].prefix);
        let exclude = self.requests[at].tried.clone();
        let input = PickInput {
            route: match &version {
                Some(version) => Route::Version(version),
                None => Route::Service(&pool),
            },
            prefix,
            prompt_tokens: self.requests[at].prompt as u32,
            max_tokens: self.requests[at].tokens as u32,
            priority: class.priority,
            exclude: &exclude,
            isolated: false,
        };
        if let Some(server) = self
            .router
            .pick(self.now, &input, &self.servers, version.is_some())
        {
            self.send_to(at, Step::Only, version, server, false);
        }
        debug_assert!(self.attempts.len() <= before + 2);
    }

    pub(super) fn resume(&mut self, id: AttemptId) {
        if !self.attempts[id].open {
            return;
        }
        self.attempts[id].silent = false;
        let Some((_, until)) = self.attempts[id].runs else {
            return;
        };
        let epoch = self.attempts[id].epoch;
        self.push(until.max(self.now), Event::Finish(id, epoch));
    }

    fn send_to(
        &mut self,
        at: usize,
        step: Step,
        version: Option<VersionId>,
        server: usize,
        alone: bool,
    ) {
        let id = self.attempts.len();
        let class = self.class(at);
        let request = &mut self.requests[at];
        request.attempts += 1;
        request.sent_first.get_or_insert(self.now);
        request.open.push(id);
        let (prefix, fingerprint) = (request.prefix, request.fingerprint);
        let job = Job {
            attempt: id,
            priority: class.priority,
            tokens: request.tokens,
            prompt: request.prompt,
            prefix,
        };
        let life = self.servers[server].life();
        let addr = life.addr;
        self.attempts.push(Attempt {
            request: at,
            version,
            step,
            server,
            life,
            sent: self.now,
            runs: None,
            epoch: 0,
            open: true,
            silent: false,
            alone,
        });
        self.router.balance.started(addr, prefix, alone);
        self.router.suspects.started(fingerprint, life);
        // The second step of a cascade is planned work, not another attempt.
        if self.requests[at].arrived >= self.setting.warm_up && step != Step::Redo {
            let in_fault = self.in_fault();
            let first = self.requests[at].attempts == 1;
            self.run.sent(self.servers[server].leaving, in_fault, first);
        }
        match self.servers[server].send(job) {
            Sent::Runs(length) => self.runs(id, length),
            Sent::Waits => {}
            Sent::Full => {
                self.router.balance.refused(self.now, addr);
                self.refused(id);
            }
            Sent::Down => {
                self.router.balance.avoid(self.now, addr);
                self.refused(id);
            }
        }
    }

    pub(super) fn runs(&mut self, id: AttemptId, length: Duration) {
        let server = self.attempts[id].server;
        if self.servers[server].broken {
            return self.after(FAILS_AFTER, Event::Fail(id));
        }
        let request = self.attempts[id].request;
        if self.requests[request].killer {
            return self.after(Duration::from_millis(200), Event::Die(server));
        }
        self.attempts[id].runs = Some((self.now, self.now + length));
        let epoch = self.attempts[id].epoch;
        self.after(length, Event::Finish(id, epoch));
    }

    /// Closes an attempt at the entry and frees its slot at the backend server.
    pub(super) fn close(&mut self, id: AttemptId, whole: bool) {
        let attempt = &mut self.attempts[id];
        if !attempt.open {
            return;
        }
        attempt.open = false;
        attempt.epoch += 1;
        let (at, server, life, alone) =
            (attempt.request, attempt.server, attempt.life, attempt.alone);
        let took = whole.then(|| self.now - attempt.sent);
        self.charge(id);
        self.requests[at].open.retain(|open| *open != id);
        self.router.balance.finished(life.addr, alone, took);
        let fingerprint = self.requests[at].fingerprint;
        self.router.suspects.finished(fingerprint, life, whole);
        for (started, length) in self.servers[server].leave(id) {
            self.runs(started, length);
        }
    }

    /// Charges for the part that ran.
    fn charge(&mut self, id: AttemptId) {
        let attempt = &self.attempts[id];
        let Some(version) = &attempt.version else {
            return;
        };
        let cost = self
            .deployment
            .fleet
            .version(version)
            .map_or(0.0, |(_, v)| v.cost);
        let Some((from, until)) = attempt.runs else {
            return;
        };
        let part = (self.now - from).as_secs_f64() / (until - from).as_secs_f64().max(1e-9);
        let request = &mut self.requests[attempt.request];
        request.cost += cost * request.tokens / 1000.0 * part.min(1.0);
    }
}
