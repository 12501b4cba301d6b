//! Small in-process fakes in virtual time: backend servers and the rater.

use std::{
    collections::VecDeque,
    time::Duration, //
};

use sesamebeam_core::{
    fleet::Priority,
    ids::{
        DomainId,
        MonoTime,
        PoolId,
        ServerAddr,
        VersionId, //
    },
    message::{
        record::ServerIncarnation,
        server::{
            Announcement,
            CacheEvent,
            Load, //
        },
    },
};

/// Tokens a second of one stream on an idle engine.
pub(crate) const SPEED: f64 = 60.0;

/// Prefill speed in prompt tokens a second.
pub(crate) const PREFILL: f64 = 4000.0;

/// Slowdown of a stream on an engine whose slots are all taken.
pub(crate) const SLOWDOWN: f64 = 0.5;

/// Prefixes that one engine keeps.
const CACHE: usize = 64;

/// Lag of a load report: that of the last announcement is sent.
const LOAD_LAG: Duration = Duration::from_secs(1);

/// Number of an attempt in the replay.
pub(crate) type AttemptId = usize;

/// An attempt waiting or running at a backend server.
#[derive(Clone, Debug)]
pub(crate) struct Job {
    pub(crate) attempt: AttemptId,
    pub(crate) priority: Priority,
    pub(crate) tokens: f64,
    pub(crate) prompt: f64,
    pub(crate) prefix: Option<u64>,
}

/// A fake backend server.
#[derive(Debug)]
pub(crate) struct Server {
    pub(crate) addr: ServerAddr,
    pub(crate) pool: PoolId,
    pub(crate) domain: DomainId,
    pub(crate) near: bool,
    pub(crate) engine: bool,
    pub(crate) slots: usize,
    pub(crate) incarnation: u64,
    pub(crate) up: bool,
    /// Whether it fails every request it takes.
    pub(crate) broken: bool,
    pub(crate) leaving: bool,
    /// Slots taken by other entries.
    pub(crate) background: usize,
    pub(crate) running: Vec<AttemptId>,
    pub(crate) queue: VecDeque<Job>,
    /// Requests it lets wait; more are refused, not run.
    pub(crate) longest: usize,
    seq: u64,
    cache: VecDeque<u64>,
    events: Vec<CacheEvent>,
    measured: Load,
}

/// What a backend server does with a request that is sent to it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Sent {
    /// It runs, until then if nothing happens.
    Runs(Duration),
    /// It waits inside.
    Waits,
    /// It was refused, not run.
    Full,
    /// The connection was refused.
    Down,
}

impl Server {
    pub(crate) fn new(
        addr: ServerAddr,
        pool: PoolId,
        domain: DomainId,
        near: bool,
        engine: bool,
    ) -> Self {
        Self {
            addr,
            pool,
            domain,
            near,
            engine,
            slots: 8,
            incarnation: 1,
            up: true,
            broken: false,
            leaving: false,
            background: 0,
            running: Vec::new(),
            queue: VecDeque::new(),
            longest: 8,
            seq: 0,
            cache: VecDeque::new(),
            events: Vec::new(),
            measured: Load::default(),
        }
    }

    pub(crate) fn life(&self) -> ServerIncarnation {
        ServerIncarnation {
            addr: self.addr,
            incarnation: self.incarnation,
        }
    }

    pub(crate) fn send(&mut self, job: Job) -> Sent {
        if !self.up {
            return Sent::Down;
        }
        if self.running.len() + self.background < self.slots {
            return Sent::Runs(self.run(&job));
        }
        if self.queue.len() >= self.longest {
            return Sent::Full;
        }
        let at = self
            .queue
            .partition_point(|waiting| waiting.priority <= job.priority);
        self.queue.insert(at, job);
        Sent::Waits
    }

    fn run(&mut self, job: &Job) -> Duration {
        self.running.push(job.attempt);
        if !self.engine {
            return Duration::from_secs_f64(job.tokens * 0.01);
        }
        let cached = self.touch(job.prefix);
        let prompt = if cached { job.prompt * 0.1 } else { job.prompt };
        let busy = (self.running.len() + self.background) as f64 / self.slots as f64;
        let decode = job.tokens / SPEED * (1.0 + SLOWDOWN * busy.min(1.0));
        Duration::from_secs_f64(prompt / PREFILL + decode)
    }

    /// Frees the slot of an attempt and starts what waits.
    pub(crate) fn leave(&mut self, attempt: AttemptId) -> Vec<(AttemptId, Duration)> {
        self.running.retain(|other| *other != attempt);
        self.queue.retain(|job| job.attempt != attempt);
        self.fill()
    }

    /// Starts what waits, as far as there are slots.
    pub(crate) fn fill(&mut self) -> Vec<(AttemptId, Duration)> {
        let mut started = Vec::new();
        while self.up && self.running.len() + self.background < self.slots {
            let Some(job) = self.queue.pop_front() else {
                break;
            };
            started.push((job.attempt, self.run(&job)));
        }
        started
    }

    /// Dies; gives everything that was on board or waited.
    pub(crate) fn die(&mut self) -> (Vec<AttemptId>, Vec<AttemptId>) {
        self.up = false;
        self.cache.clear();
        self.events.clear();
        let waited = self.queue.drain(..).map(|job| job.attempt).collect();
        (std::mem::take(&mut self.running), waited)
    }

    /// Comes up in a new life.
    pub(crate) fn restart(&mut self) {
        self.up = true;
        self.leaving = false;
        self.incarnation += 1;
        self.seq = 0;
        self.measured = Load::default();
    }

    /// Announces itself. Load is that of the last announcement's time, and a
    /// part of the cache events is lost.
    pub(crate) fn announce(&mut self, versions: &[VersionId], lose_events: bool) -> Announcement {
        self.seq += 1;
        let cache = std::mem::take(&mut self.events);
        let load = self.measured;
        self.measure();
        Announcement {
            pool: self.pool.clone(),
            domain: self.domain.clone(),
            addr: self.addr,
            incarnation: self.incarnation,
            seq: self.seq,
            leaving: self.leaving,
            load,
            versions: if self.engine {
                versions.to_vec()
            } else {
                Vec::new()
            },
            cache: if lose_events { Vec::new() } else { cache },
            speed: SPEED as f32,
        }
    }

    fn measure(&mut self) {
        self.measured = Load {
            running: (self.running.len() + self.background) as u32,
            waiting: self.queue.len() as u32,
            kv_used: 0.5,
            age_ms: LOAD_LAG.as_millis() as u32,
        };
    }

    fn touch(&mut self, prefix: Option<u64>) -> bool {
        let Some(prefix) = prefix else {
            return false;
        };
        if let Some(at) = self.cache.iter().position(|held| *held == prefix) {
            self.cache.remove(at);
            self.cache.push_back(prefix);
            return true;
        }
        if self.cache.len() >= CACHE
            && let Some(prefix) = self.cache.pop_front()
        {
            self.events.push(CacheEvent {
                prefix,
                held: false,
            });
        }
        self.cache.push_back(prefix);
        self.events.push(CacheEvent { prefix, held: true });
        false
    }
}

/// What happens during a replay.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Fault {
    /// Nothing.
    None,
    /// A settled version turns bad in the middle.
    TurnsBad,
    /// The version that rolls out is bad.
    BadRollout,
    /// A request crashes each backend server that runs it, and is sent again.
    Killer,
    /// Most engines of the failure domain are lost for a third of the time.
    PoolLoss,
    /// Every engine fails its requests for a while.
    Outage,
    /// Open connections to a part of the engines go silent.
    Silent,
    /// The rating service is silent for a third of the time.
    RaterSilent,
    /// The rating service calls every answer bad for a third of the time.
    RaterWrong,
    /// The other failure domains are cut off for a third of the time.
    Cut,
    /// One engine after another leaves and comes back.
    Leaving,
}

impl Fault {
    pub(crate) const ALL: [Self; 11] = [
        Self::None,
        Self::TurnsBad,
        Self::BadRollout,
        Self::Killer,
        Self::PoolLoss,
        Self::Outage,
        Self::Silent,
        Self::RaterSilent,
        Self::RaterWrong,
        Self::Cut,
        Self::Leaving,
    ];

    pub(crate) fn name(self) -> &'static str {
        match self {
            Self::None => "none",
            Self::TurnsBad => "turns-bad",
            Self::BadRollout => "bad-rollout",
            Self::Killer => "killer",
            Self::PoolLoss => "pool-loss",
            Self::Outage => "outage",
            Self::Silent => "silent",
            Self::RaterSilent => "rater-silent",
            Self::RaterWrong => "rater-wrong",
            Self::Cut => "cut",
            Self::Leaving => "leaving",
        }
    }

    /// Gives the part of a replay during which the fault lasts.
    pub(crate) fn window(self, length: Duration) -> (MonoTime, MonoTime) {
        match self {
            Self::Outage => (length / 2, length / 2 + Duration::from_secs(60)),
            Self::BadRollout => (Duration::ZERO, length),
            Self::TurnsBad => (length / 3, length),
            _ => (length / 3, length * 2 / 3),
        }
    }
}
