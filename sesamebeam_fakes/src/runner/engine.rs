//! The model engine of one life: slots, waiting queue and batched steps.

use std::{
    collections::{
        BTreeMap,
        BTreeSet,
        HashMap,
        HashSet,
        VecDeque, //
    },
    sync::{
        Arc,
        Mutex,
        MutexGuard, //
    },
    time::Duration, //
};

use sesamebeam_core::{
    fleet::Priority,
    ids::{
        Fencing,
        RequestId,
        VersionId, //
    },
    message::server::Load, //
};
use tokio::{
    sync::Notify,
    time::Instant, //
};

use super::{
    books::{
        Books,
        Step, //
    },
    cache::PrefixCache,
    config::RunnerConfig,
    knobs::Knobs,
    load::LoadHistory,
    orders::Role,
    script::Usage,
    stream::{
        End,
        Job,
        Stream, //
    }, //
};
use crate::{
    answer::prompt_tokens,
    site::Life, //
};

/// Ended requests that are remembered without their events.
const MAX_GONE: usize = 65_536;

/// Why a request is not taken in. Each of them means "not run".
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Refusal {
    /// The version is not loaded.
    NotLoaded,
    /// The id was cancelled before.
    Cancelled,
    /// Slots and waiting queue are full.
    Full,
}

/// What is known of a request id.
#[derive(Clone, Debug)]
pub(crate) enum Found {
    /// It waits, runs, or is still kept.
    Kept(Arc<Stream>),
    /// It ended and is no longer kept.
    Gone,
    /// This life never had it.
    Never,
}

/// A model engine.
#[derive(Debug)]
pub(crate) struct Engine {
    pub(crate) cfg: Arc<RunnerConfig>,
    pub(crate) life: Life,
    books: Arc<Books>,
    knobs: Arc<Mutex<Knobs>>,
    state: Mutex<State>,
    /// Something runs that takes time.
    work: Notify,
    /// The test has changed the speed: a long pause must not go on.
    speed: Notify,
}

/// What an engine forgets when it crashes.
#[derive(Debug)]
pub(crate) struct State {
    pub(crate) cache: PrefixCache,
    pub(crate) versions: BTreeSet<VersionId>,
    pub(crate) loading: BTreeSet<VersionId>,
    pub(crate) role: Role,
    /// Highest fencing number of an order.
    pub(crate) fencing: Fencing,
    pub(crate) leaving: bool,
    running: Vec<Arc<Stream>>,
    /// KV tokens that the running requests take.
    busy_tokens: u32,
    waiting: BTreeMap<(Priority, u64), Arc<Stream>>,
    arrivals: u64,
    streams: HashMap<RequestId, Arc<Stream>>,
    /// Ended requests with the time of their end, oldest first.
    ended: VecDeque<(Instant, Arc<Stream>)>,
    gone: HashMap<RequestId, End>,
    gone_order: VecDeque<RequestId>,
    tombstones: HashSet<RequestId>,
    loads: LoadHistory,
}

impl Engine {
    /// Makes an engine that has forgotten everything.
    pub(crate) fn new(
        cfg: Arc<RunnerConfig>,
        life: Life,
        books: Arc<Books>,
        knobs: Arc<Mutex<Knobs>>,
    ) -> Arc<Self> {
        let seed = cfg.seed ^ life.incarnation;
        let state = State {
            cache: PrefixCache::new(cfg.kv_tokens, cfg.cache_lag, cfg.cache_loss, seed),
            versions: cfg.versions.iter().cloned().collect(),
            loading: BTreeSet::new(),
            role: Role::default(),
            fencing: 0,
            leaving: false,
            running: Vec::new(),
            busy_tokens: 0,
            waiting: BTreeMap::new(),
            arrivals: 0,
            streams: HashMap::new(),
            ended: VecDeque::new(),
            gone: HashMap::new(),
            gone_order: VecDeque::new(),
            tombstones: HashSet::new(),
            loads: LoadHistory::new(cfg.load_lag),
        };
        Arc::new(Self {
            cfg,
            life,
            books,
            knobs,
            state: Mutex::new(state),
            work: Notify::new(),
            speed: Notify::new(),
        })
    }

    /// Locks the state.
    pub(crate) fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no panic under the lock")
    }

    /// Copies what the test has turned.
    pub(crate) fn knobs(&self) -> Knobs {
        self.knobs.lock().expect("no panic under the lock").clone()
    }

    /// Takes a request in, to run or to wait.
    ///
    /// # Errors
    ///
    /// A refusal means that the request was not run and will not be.
    pub(crate) fn submit(&self, job: Job, priority: Priority) -> Result<Arc<Stream>, Refusal> {
        let mut state = self.lock();
        self.prune(&mut state, Instant::now());
        if state.tombstones.contains(&job.id) {
            return Err(Refusal::Cancelled);
        }
        if !state.versions.contains(&job.version) {
            return Err(Refusal::NotLoaded);
        }
        let free = state.running.len() < self.cfg.slots;
        if !free && state.waiting.len() >= self.cfg.max_waiting {
            return Err(Refusal::Full);
        }
        self.books.note(&job, Step::Accepted);
        let stream = Stream::new(job);
        state.streams.insert(stream.job.id, Arc::clone(&stream));
        if free {
            self.start(&mut state, Arc::clone(&stream));
        } else {
            state.arrivals += 1;
            let place = (priority, state.arrivals);
            state.waiting.insert(place, Arc::clone(&stream));
        }
        self.sample(&mut state);
        Ok(stream)
    }

    /// Looks a request up.
    pub(crate) fn find(&self, id: RequestId) -> Found {
        let mut state = self.lock();
        self.prune(&mut state, Instant::now());
        if let Some(stream) = state.streams.get(&id) {
            return Found::Kept(Arc::clone(stream));
        }
        if state.gone.contains_key(&id) {
            return Found::Gone;
        }
        Found::Never
    }

    /// Cancels a request and refuses its id from now on. Tells how the request
    /// stands, or nothing if it was never here.
    pub(crate) fn cancel(&self, id: RequestId) -> Option<End> {
        let mut state = self.lock();
        state.tombstones.insert(id);
        let Some(stream) = state.streams.get(&id).cloned() else {
            return state.gone.get(&id).copied();
        };
        if let Some(end) = stream.end() {
            return Some(end);
        }
        stream.cancel();
        self.books.note(&stream.job, Step::Cancelled);
        if let Some(at) = state.running.iter().position(|s| Arc::ptr_eq(s, &stream)) {
            state.running.swap_remove(at);
            state.busy_tokens -= kv_of(&stream);
        }
        state
            .waiting
            .retain(|_, other| !Arc::ptr_eq(other, &stream));
        state.ended.push_back((Instant::now(), stream));
        self.fill(&mut state);
        self.sample(&mut state);
        Some(End::Cancelled)
    }

    /// Draws an id for a request that came without one.
    pub(crate) fn draw_id(&self) -> RequestId {
        let mut state = self.lock();
        state.arrivals += 1;
        (RequestId::from(self.life.incarnation) << 64) | RequestId::from(state.arrivals)
    }

    /// Load as it was a lag ago.
    pub(crate) fn load(&self) -> Load {
        let mut state = self.lock();
        self.sample(&mut state);
        state.loads.report(Instant::now())
    }

    /// Load of this moment.
    pub(crate) fn load_now(&self) -> Load {
        let state = self.lock();
        self.measure(&state)
    }

    /// Takes over a changed speed.
    pub(crate) fn change_speed(&self) {
        self.speed.notify_one();
    }

    /// Steps through the running requests until the life ends.
    pub(crate) async fn run(self: Arc<Self>) {
        loop {
            let wake = self.work.notified();
            let Some(pause) = self.pause() else {
                wake.await;
                continue;
            };
            tokio::select! {
                () = tokio::time::sleep(pause) => self.step(),
                () = self.speed.notified() => {}
            }
        }
    }

    /// Time until the next step, if anything runs.
    fn pause(&self) -> Option<Duration> {
        let delay = self.knobs().token_delay;
        let state = self.lock();
        let others = state.running.len().checked_sub(1)?;
        if delay.is_zero() {
            // Only prompts are still being read: sleep until the first is through.
            let first = state.running.iter().filter_map(|s| s.prefilled()).min()?;
            return Some(first.saturating_duration_since(Instant::now()));
        }
        let slowdown = 1.0 + self.cfg.batch_slowdown * others as f64;
        Some(delay.mul_f64(slowdown * state.role.token_factor()))
    }

    fn step(&self) {
        let now = Instant::now();
        let tokens = self.tokens_per_step();
        let mut state = self.lock();
        let running = std::mem::take(&mut state.running);
        for stream in running {
            if stream.advance(now, tokens) {
                state.busy_tokens -= kv_of(&stream);
                self.finish(&mut state, stream);
            } else {
                state.running.push(stream);
            }
        }
        self.fill(&mut state);
        self.sample(&mut state);
    }

    fn tokens_per_step(&self) -> u32 {
        if self.knobs().token_delay.is_zero() {
            return u32::MAX;
        }
        self.cfg.tokens_per_step.max(1)
    }

    /// Starts waiting requests while slots are free, the most urgent first.
    fn fill(&self, state: &mut State) {
        while state.running.len() < self.cfg.slots
            && let Some((_, stream)) = state.waiting.pop_first()
        {
            self.start(state, stream);
        }
    }

    fn start(&self, state: &mut State, stream: Arc<Stream>) {
        let job = &stream.job;
        self.books
            .note_start(job, self.life.incarnation, state.leaving);
        let knobs = self.knobs();
        if knobs.kills(&job.prompt) {
            self.books.note_crash();
            self.life.token.cancel();
            return;
        }
        let prompt = prompt_tokens(&job.prompt);
        let cached = job.prefix.map_or(0, |p| state.cache.touch(p, prompt));
        let unread = prompt - cached;
        let prefill = self.cfg.prefill_delay.mul_f64(state.role.prefill_factor()) * unread;
        let now = Instant::now();
        let usage = Usage {
            prompt,
            cached,
            completion: job.answer.tokens(),
        };
        stream.start(usage, now + prefill);
        if knobs.token_delay.is_zero() && stream.advance(now, u32::MAX) {
            self.finish(state, stream);
            return;
        }
        state.busy_tokens = state.busy_tokens.saturating_add(kv_of(&stream));
        state.running.push(stream);
        self.work.notify_one();
    }

    fn finish(&self, state: &mut State, stream: Arc<Stream>) {
        self.books.note(&stream.job, Step::Finished);
        state.ended.push_back((Instant::now(), stream));
    }

    /// Forgets the events of requests that ended long enough ago.
    fn prune(&self, state: &mut State, now: Instant) {
        while let Some((at, _)) = state.ended.front()
            && *at + self.cfg.retention <= now
            && let Some((_, stream)) = state.ended.pop_front()
        {
            state.forget(&stream);
        }
    }

    fn sample(&self, state: &mut State) {
        let load = self.measure(state);
        state.loads.push(Instant::now(), load);
    }

    fn measure(&self, state: &State) -> Load {
        let used = f64::from(state.cache.tokens()) + f64::from(state.busy_tokens);
        Load {
            running: count(state.running.len()),
            waiting: count(state.waiting.len()),
            kv_used: (used / f64::from(self.cfg.kv_tokens.max(1))).min(1.0) as f32,
            age_ms: 0,
        }
    }
}

impl State {
    fn forget(&mut self, stream: &Arc<Stream>) {
        let id = stream.job.id;
        // The same id may have been run again since.
        if self
            .streams
            .get(&id)
            .is_some_and(|kept| Arc::ptr_eq(kept, stream))
        {
            self.streams.remove(&id);
        }
        let end = stream.end().unwrap_or(End::Finished);
        if self.gone.insert(id, end).is_none() {
            self.gone_order.push_back(id);
        }
        if self.gone_order.len() > MAX_GONE
            && let Some(oldest) = self.gone_order.pop_front()
        {
            self.gone.remove(&oldest);
        }
    }
}

/// KV tokens that a running request takes.
fn kv_of(stream: &Arc<Stream>) -> u32 {
    let usage = stream.usage();
    usage.prompt.saturating_add(usage.completion)
}

fn count(len: usize) -> u32 {
    u32::try_from(len).unwrap_or(u32::MAX)
}
