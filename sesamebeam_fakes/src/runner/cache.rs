//! Prefix cache in limited memory, and its late and gappy events.

use std::{
    collections::{
        BTreeMap,
        VecDeque, //
    },
    time::Duration, //
};

use rand::{
    RngExt,
    SeedableRng,
    rngs::StdRng, //
};
use sesamebeam_core::message::server::CacheEvent;
use tokio::time::Instant;

/// Events kept while nobody takes them; older ones are lost.
const MAX_EVENTS: usize = 4096;

/// Prefixes held by a runner, the least recently used dropped first.
#[derive(Debug)]
pub(crate) struct PrefixCache {
    held: BTreeMap<u64, Held>,
    /// Prefixes by their last use.
    by_use: BTreeMap<u64, u64>,
    uses: u64,
    tokens: u32,
    capacity: u32,
    events: VecDeque<(Instant, CacheEvent)>,
    lag: Duration,
    loss: f64,
    rng: StdRng,
}

#[derive(Debug)]
struct Held {
    tokens: u32,
    used: u64,
}

impl PrefixCache {
    /// Makes an empty cache.
    pub(crate) fn new(capacity: u32, lag: Duration, loss: f64, seed: u64) -> Self {
        Self {
            held: BTreeMap::new(),
            by_use: BTreeMap::new(),
            uses: 0,
            tokens: 0,
            capacity,
            events: VecDeque::new(),
            lag,
            loss,
            rng: StdRng::seed_from_u64(seed),
        }
    }

    /// Tokens held.
    pub(crate) fn tokens(&self) -> u32 {
        self.tokens
    }

    /// Tokens held of one prefix.
    pub(crate) fn get(&self, prefix: u64) -> Option<u32> {
        self.held.get(&prefix).map(|held| held.tokens)
    }

    /// Uses a prefix and gives the tokens that it covered; from then on it is
    /// held with `tokens`, if the memory takes it at all.
    pub(crate) fn touch(&mut self, prefix: u64, tokens: u32) -> u32 {
        let covered = self.get(prefix).map_or(0, |held| held.min(tokens));
        self.put(prefix, tokens.max(self.get(prefix).unwrap_or(0)));
        covered
    }

    /// Holds a prefix.
    pub(crate) fn put(&mut self, prefix: u64, tokens: u32) {
        if tokens > self.capacity {
            return;
        }
        let known = self.remove(prefix).is_some();
        self.uses += 1;
        let used = self.uses;
        self.held.insert(prefix, Held { tokens, used });
        self.by_use.insert(used, prefix);
        self.tokens += tokens;
        if !known {
            self.publish(prefix, true);
        }
        self.shrink();
    }

    /// Takes the events whose lag is over.
    pub(crate) fn take_events(&mut self, now: Instant) -> Vec<CacheEvent> {
        let lag = self.lag;
        let due = self.events.partition_point(|(at, _)| *at + lag <= now);
        self.events.drain(..due).map(|(_, event)| event).collect()
    }

    fn shrink(&mut self) {
        while self.tokens > self.capacity
            && let Some((_, &oldest)) = self.by_use.first_key_value()
        {
            self.remove(oldest);
            self.publish(oldest, false);
        }
    }

    fn remove(&mut self, prefix: u64) -> Option<u32> {
        let held = self.held.remove(&prefix)?;
        self.by_use.remove(&held.used);
        self.tokens -= held.tokens;
        Some(held.tokens)
    }

    fn publish(&mut self, prefix: u64, held: bool) {
        if self.rng.random_bool(self.loss.clamp(0.0, 1.0)) {
            return;
        }
        if self.events.len() == MAX_EVENTS {
            self.events.pop_front();
        }
        let event = CacheEvent { prefix, held };
        self.events.push_back((Instant::now(), event));
    }
}
