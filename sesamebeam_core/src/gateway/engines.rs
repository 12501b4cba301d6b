//! Scheduling by engine time.
//!
//! Engines of one service may differ in speed by a factor of several, slow down for
//! moments while other work runs on their instances, and serve models of very different
//! cost. A count of requests then says little about how long the next one takes. This
//! module predicts the first and the last event of a request at an engine from the speed
//! that the engine states, the work that it has left and the costs learned from own
//! streams.
//!
//! It is in force only for services with engines, and there only where the settings state
//! that callers compete for capacity, or where an engine has stated its speed. All other
//! services are balanced by [`balance`](super::balance) alone.

pub mod admission;
mod costs;
pub mod escalation;
pub mod fairness;
pub mod progress;
pub mod selection;
mod slowdown;
mod work;

use std::{
    collections::{
        HashMap,
        HashSet, //
    },
    time::Duration,
};

use rustc_hash::FxHashMap;

pub use self::{
    costs::Demand,
    slowdown::Slowdown, //
};
use self::{
    costs::{
        EventTimes,
        ServiceCosts, //
    },
    slowdown::Speed,
    work::Work, //
};
use super::{
    config::{
        EngineConfig,
        ServiceId, //
    },
    directory::ServerId,
    loads::ServerLoad,
    request::Load, //
};
use crate::ids::{
    ModelId,
    MonoTime, //
};

/// Longest time that is predicted. Lengths and speeds are stated by others.
const MAX_FORECAST: Duration = Duration::from_secs(3600);

/// Predicted times of one request at one engine, counted from the send.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Forecast {
    /// Time to the first event.
    pub first_event: Duration,
    /// Time to the last event.
    pub completion: Duration,
    /// Time that the engine needs to prefill the part of the prompt that is not shared.
    pub prefill: Duration,
    /// Time that it would need for the shared part if that is not cached.
    pub shared_prefill: Duration,
    /// Factor by which work takes longer than usual there.
    pub slowdown: f64,
    /// Number of requests that run or wait there.
    pub requests: f64,
    /// Whether requests wait there, or would.
    pub has_queue: bool,
}

/// A send to an engine.
#[derive(Clone, Copy, Debug)]
pub struct EngineSend<'a> {
    /// Service of the engine.
    pub service: &'a ServiceId,
    /// The engine.
    pub id: &'a ServerId,
    /// Work of the request.
    pub demand: &'a Demand,
    /// What was predicted when it was sent.
    pub forecast: &'a Forecast,
}

/// State of one engine.
#[derive(Clone, Debug, Default)]
struct EngineState {
    service: ServiceId,
    speed: Speed,
    work: Work,
}

/// Predictor for one request of a service, at any of its engines.
#[derive(Clone, Copy, Debug)]
pub struct Forecaster<'a> {
    engines: &'a Engines,
    /// Time of the send, and how far it is ahead of the last event known.
    now: MonoTime,
    delay: Duration,
    /// Slowdown assumed for unknown engines.
    median: f64,
    /// Time to the first event without queueing. This and the following times are those of
    /// an engine with the usual speed.
    first_event: Duration,
    prefill: Duration,
    shared_prefill: Duration,
    mean_prefill: Duration,
    duration: Duration,
    event_times: EventTimes,
    /// Expected number of events.
    events: f64,
}

/// Engine model of one entry.
#[derive(Debug, Default)]
pub struct Engines {
    /// Whether the settings state that callers compete for engine capacity.
    contention: bool,
    /// Services with an engine that has stated its speed.
    stated: HashSet<ServiceId>,
    /// Services of which the loads that other entries have seen were passed on.
    shared: HashSet<ServiceId>,
    costs: HashMap<ServiceId, ServiceCosts>,
    servers: FxHashMap<ServerId, EngineState>,
    /// Median slowdown of the known engines of each service.
    medians: HashMap<ServiceId, f64>,
}

impl Engines {
    /// Creates a model without observations.
    pub fn new(contention: bool) -> Self {
        Self {
            contention,
            ..Self::default()
        }
    }

    /// Returns whether the settings state that callers compete for engine capacity.
    pub fn has_contention(&self) -> bool {
        self.contention
    }

    /// Returns whether a service with engines is scheduled by engine time.
    pub fn is_on(&self, service: &str) -> bool {
        self.contention || self.stated.contains(service)
    }

    /// Returns whether loads of a service that other entries have seen were received.
    pub fn has_shared_loads(&self, service: &str) -> bool {
        self.shared.contains(service)
    }

    /// Records the load stated in a response to this entry.
    pub fn record_load(&mut self, now: MonoTime, service: &ServiceId, id: &ServerId, load: Load) {
        self.record_speed(now, service, id, load.slowdown);
        if self.is_on(service) {
            let engine = self.engine_mut(service, id);
            engine
                .work
                .stated(now, load.running, load.waiting, Duration::ZERO);
        }
    }

    /// Records the load stated in a response to another entry.
    pub fn apply_load(
        &mut self,
        now: MonoTime,
        service: &ServiceId,
        id: &ServerId,
        load: &ServerLoad,
    ) {
        if !self.shared.contains(service) {
            self.shared.insert(service.clone());
        }
        self.record_speed(now, service, id, load.slowdown());
        if self.is_on(service) {
            let engine = self.engine_mut(service, id);
            engine
                .work
                .stated(now, load.running, load.waiting, load.prefill_time());
        }
    }

    /// Records a send.
    pub fn record_send(&mut self, now: MonoTime, send: &EngineSend<'_>) {
        let costs = self.costs.entry(send.service.clone()).or_default();
        costs.record_send(send.demand);
        self.engine_mut(send.service, send.id)
            .work
            .sent(now, send.forecast.prefill);
    }

    /// Records the first event of a send, which came after `wait`.
    pub fn record_first_event(&mut self, now: MonoTime, send: &EngineSend<'_>, wait: Duration) {
        let factor = self.slowdown(now, send.service, send.id);
        let costs = self.costs.entry(send.service.clone()).or_default();
        costs.record_first_event(send.demand, wait.as_secs_f64() / factor);
        self.engine_mut(send.service, send.id)
            .work
            .started(now, send.forecast.prefill);
    }

    /// Records that a send ended before its first event.
    pub fn record_aborted(&mut self, now: MonoTime, id: &ServerId, forecast: &Forecast) {
        if let Some(engine) = self.servers.get_mut(id) {
            engine.work.started(now, forecast.prefill);
        }
    }

    /// Records that a send ended.
    pub fn record_end(&mut self, id: &ServerId) {
        if let Some(engine) = self.servers.get_mut(id) {
            engine.work.ended();
        }
    }

    /// Records a complete stream that came from one engine: the number of its events, and
    /// the time from the first to the last.
    pub fn record_stream(
        &mut self,
        now: MonoTime,
        cfg: &EngineConfig,
        send: &EngineSend<'_>,
        events: u64,
        duration: Duration,
    ) {
        let factor = self.typical_slowdown(send.service, send.id);
        let running = self.requests(now, send.service, send.id);
        let predicted = costs::predicted_events(send.demand.response_tokens, cfg.tokens_per_event);
        let costs = self.costs.entry(send.service.clone()).or_default();
        let duration = duration.as_secs_f64() / factor;
        costs.record_stream(predicted, events, duration, running);
    }

    /// Removes the state of an engine that has restarted, including own sends: these ended
    /// with the earlier incarnation, and the caller records nothing more about them.
    pub fn reset(&mut self, id: &ServerId) {
        self.servers.remove(id);
    }

    /// Removes the state of services that are no longer configured to run models.
    pub fn retain_services(&mut self, is_configured: impl Fn(&ServiceId) -> bool) {
        self.stated.retain(&is_configured);
        self.costs.retain(|service, _| is_configured(service));
        self.medians.retain(|service, _| is_configured(service));
        self.servers
            .retain(|_, engine| is_configured(&engine.service) || engine.work.has_own());
    }

    /// Removes the state of engines that are gone, and updates the median speeds.
    pub fn retain(&mut self, is_known: impl Fn(&ServerId) -> bool) {
        self.servers
            .retain(|id, engine| is_known(id) || engine.work.has_own());
        let mut factors: HashMap<ServiceId, Vec<f64>> = HashMap::new();
        for engine in self.servers.values() {
            if let Some(typical) = engine.speed.typical() {
                factors
                    .entry(engine.service.clone())
                    .or_default()
                    .push(typical);
            }
        }
        self.medians = factors
            .into_iter()
            .map(|(service, mut factors)| {
                factors.sort_unstable_by(f64::total_cmp);
                (service, factors[factors.len() / 2])
            })
            .collect();
    }

    /// Returns the number of engines with state.
    pub fn count(&self) -> usize {
        self.servers.len()
    }

    /// Returns a predictor for one request of a service.
    pub fn forecaster<'a>(
        &'a self,
        now: MonoTime,
        cfg: &EngineConfig,
        service: &str,
        demand: &Demand,
    ) -> Forecaster<'a> {
        let unknown = ServiceCosts::default();
        let costs = self.costs.get(service).unwrap_or(&unknown);
        Forecaster {
            engines: self,
            now,
            delay: Duration::ZERO,
            median: self.median_slowdown(service),
            first_event: costs.first_event_time(demand),
            prefill: costs.prefill_time(demand, demand.uncached_tokens),
            shared_prefill: costs.prefill_time(demand, demand.shared_tokens),
            mean_prefill: costs.mean_prefill(),
            duration: costs.mean_duration(),
            event_times: costs.event_times(),
            events: costs.events(demand.response_tokens, cfg.tokens_per_event),
        }
    }

    /// Returns the work of a mean request of a service to a model.
    pub fn mean_demand(&self, service: &str, model: Option<ModelId>) -> Demand {
        let unknown = ServiceCosts::default();
        self.costs
            .get(service)
            .unwrap_or(&unknown)
            .mean_demand(model)
    }

    /// Returns the factor by which work takes longer than usual at an engine now.
    pub fn slowdown(&self, now: MonoTime, service: &str, id: &ServerId) -> f64 {
        let engine = self.servers.get(id);
        let known = engine.and_then(|engine| engine.speed.factor(now));
        known.unwrap_or_else(|| self.median_slowdown(service))
    }

    /// Returns the factor that an engine has last stated, if it has stated any.
    pub fn stated_slowdown(&self, id: &ServerId) -> Option<f64> {
        self.servers.get(id)?.speed.stated()
    }

    /// Returns the factor by which work typically takes longer than usual at an engine.
    pub fn typical_slowdown(&self, service: &str, id: &ServerId) -> f64 {
        let known = self.known_slowdown(id);
        known.unwrap_or_else(|| self.median_slowdown(service))
    }

    /// Returns the typical factor of an engine that has stated any.
    pub fn known_slowdown(&self, id: &ServerId) -> Option<f64> {
        self.servers.get(id)?.speed.typical()
    }

    fn median_slowdown(&self, service: &str) -> f64 {
        self.medians.get(service).copied().unwrap_or(1.0)
    }

    /// Returns the expected number of requests that run or wait at an engine.
    fn requests(&self, now: MonoTime, service: &ServiceId, id: &ServerId) -> f64 {
        let unknown = ServiceCosts::default();
        let costs = self.costs.get(service).unwrap_or(&unknown);
        let duration = costs
            .mean_duration()
            .mul_f64(self.typical_slowdown(service, id));
        let engine = self.servers.get(id);
        engine.map_or(0.0, |engine| engine.work.requests(now, duration))
    }

    fn record_speed(
        &mut self,
        now: MonoTime,
        service: &ServiceId,
        id: &ServerId,
        slowdown: Option<Slowdown>,
    ) {
        let Some(slowdown) = slowdown else {
            return;
        };
        if !self.stated.contains(service) {
            self.stated.insert(service.clone());
        }
        let median = self.median_slowdown(service);
        let engine = self.engine_mut(service, id);
        engine.speed.record(now, slowdown, median);
    }

    fn engine_mut(&mut self, service: &ServiceId, id: &ServerId) -> &mut EngineState {
        self.servers
            .entry(id.clone())
            .or_insert_with(|| EngineState {
                service: service.clone(),
                ..EngineState::default()
            })
    }
}

impl Forecaster<'_> {
    /// Returns a predictor for the same request if it is sent after a delay and no other
    /// request is sent until then.
    #[must_use]
    pub fn delayed(&self, delay: Duration) -> Self {
        Self {
            now: self.now + delay,
            delay: self.delay + delay,
            ..*self
        }
    }

    /// Returns the engine time of the request: its prefill and its events, without queueing
    /// and beside no other request.
    pub fn engine_time(&self) -> Duration {
        let streaming = self.event_times.beside(0.0) * (self.events - 1.0);
        let streaming = Duration::try_from_secs_f64(streaming).unwrap_or(MAX_FORECAST);
        self.first_event.saturating_add(streaming).min(MAX_FORECAST)
    }

    /// Returns whether a prediction for an engine rests on observations: the engine has
    /// stated its load, and streams of its service were measured.
    pub fn is_informed(&self, id: &ServerId) -> bool {
        let engine = self.engines.servers.get(id);
        self.event_times.is_measured() && engine.is_some_and(|e| e.work.is_stated())
    }

    /// Predicts how long the request would take at an engine if it were sent now.
    pub fn forecast(&self, id: &ServerId, slots: u32) -> Forecast {
        let engine = self.engines.servers.get(id);
        let typical = engine
            .and_then(|e| e.speed.typical())
            .unwrap_or(self.median);
        let factor = engine
            .and_then(|e| e.speed.factor(self.now))
            .unwrap_or(typical);
        let work = engine.map(|e| e.work).unwrap_or_default();
        let duration = self.duration.mul_f64(typical);
        let slots = f64::from(slots.max(1));
        let ended = work.own_ended_after(self.delay, duration, slots);
        let requests = work.requests(self.now, duration) - ended;
        let backlog = work.prefill_left(self.now, self.mean_prefill.mul_f64(factor));
        let excess = (requests + 1.0 - slots).max(0.0);
        let slot_wait = match excess > 0.0 {
            true => duration.mul_f64(excess / slots),
            false => Duration::ZERO,
        };
        let first_event = self.first_event.mul_f64(factor) + backlog + slot_wait;
        let first_event = first_event.min(MAX_FORECAST);
        // Requests beyond the slots wait and don't slow down those that run.
        let event_time = self.event_times.beside(requests.min(slots)) * typical;
        let streaming = event_time * (self.events - 1.0);
        let streaming = Duration::try_from_secs_f64(streaming).unwrap_or(MAX_FORECAST);
        Forecast {
            first_event,
            completion: first_event.saturating_add(streaming).min(MAX_FORECAST),
            prefill: self.prefill.mul_f64(factor).min(MAX_FORECAST),
            shared_prefill: self.shared_prefill.mul_f64(factor).min(MAX_FORECAST),
            slowdown: factor,
            requests,
            has_queue: work.has_queue(self.now) || requests + 1.0 > slots,
        }
    }
}
