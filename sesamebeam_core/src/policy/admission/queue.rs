//! The queue of one pool.

use std::{
    collections::{
        BTreeSet,
        VecDeque, //
    },
    time::Duration,
};

use indexmap::IndexMap;

use crate::{
    fleet::Priority,
    ids::{
        MonoTime,
        OrgId,
        RequestId, //
    },
    policy::virtual_times::VirtualTimes,
};

/// Weight of a new sample in the moving averages.
const AVERAGE_WEIGHT: f64 = 0.05;

/// Priorities in the order in which they are served.
const PRIORITY_ORDER: [Priority; 3] = [Priority::Urgent, Priority::Normal, Priority::Deferrable];

/// A queued request.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct QueuedRequest {
    pub(super) request: RequestId,
    pub(super) org: OrgId,
    pub(super) priority: Priority,
    pub(super) deadline: MonoTime,
    pub(super) expected_duration: Duration,
    pub(super) share: f64,
}

/// Queue of one organisation at one priority.
#[derive(Clone, Debug, Default)]
struct OrgQueue {
    waiting: VecDeque<QueuedRequest>,
    share: f64,
}

/// The queue of one pool.
#[derive(Clone, Debug, Default)]
pub(super) struct PoolQueue {
    pub(super) slots: u32,
    /// Queues by priority, then organisation.
    queues: [IndexMap<OrgId, OrgQueue>; 3],
    /// Number of queued requests by priority.
    queue_lens: [usize; 3],
    /// Virtual times of the organisations. Their clock is the largest value so far of
    /// the least virtual time among the queued organisations when a request was
    /// dequeued.
    virtual_times: VirtualTimes,
    /// Latest start times of the queued requests, earliest first.
    latest_starts: BTreeSet<(MonoTime, RequestId)>,
    started: IndexMap<RequestId, (OrgId, Duration, f64)>,
    /// Moving average of request run times, in seconds.
    mean_duration: Option<f64>,
    /// Drain rate of each priority's queue.
    drain_rates: [DrainRate; 3],
}

/// Drain rate of the queue of one priority.
#[derive(Clone, Copy, Debug, Default)]
struct DrainRate {
    /// Moving average of the interval between two starts while requests are
    /// queued, in seconds.
    mean_interval: Option<f64>,
    /// Time of the last start, or of the last arrival at an empty queue.
    last: MonoTime,
}

impl DrainRate {
    fn started(&mut self, now: MonoTime) {
        let interval = now.saturating_sub(self.last).as_secs_f64();
        let mean_interval = self.mean_interval.get_or_insert(interval);
        *mean_interval += AVERAGE_WEIGHT * (interval - *mean_interval);
        self.last = now;
    }
}

impl QueuedRequest {
    /// Returns the latest start time at which the request still meets its
    /// deadline.
    fn latest_start(&self) -> MonoTime {
        self.deadline.saturating_sub(self.expected_duration)
    }
}

impl PoolQueue {
    pub(super) fn len(&self) -> usize {
        self.queue_lens.iter().sum()
    }

    pub(super) fn running(&self) -> usize {
        self.started.len()
    }

    /// Returns whether a request of a priority may take a slot. The last slots
    /// are reserved for urgent requests, which would otherwise wait for a
    /// complete answer of another request whenever the pool is full.
    pub(super) fn has_free_slot(&self, priority: Priority, reserved: u32) -> bool {
        let reserved = if priority == Priority::Urgent {
            0
        } else {
            reserved
        };
        (self.started.len() as u64) < u64::from(self.slots.saturating_sub(reserved))
    }

    pub(super) fn queued_at_or_above(&self, priority: Priority) -> usize {
        self.queue_lens[..=priority_index(priority)].iter().sum()
    }

    pub(super) fn is_full_for(&self, org: &str, max_queue_len: usize, max_org_share: f64) -> bool {
        let queued_by_org: usize = self
            .queues
            .iter()
            .filter_map(|queues| queues.get(org))
            .map(|queue| queue.waiting.len())
            .sum();
        self.len() >= max_queue_len || queued_by_org as f64 >= max_queue_len as f64 * max_org_share
    }

    /// Returns the expected wait of one more request of an organisation.
    ///
    /// The request waits for its organisation's own queue, drained at that
    /// organisation's share of the pool, but never longer than for all requests
    /// at or above its priority. The drain rate of its priority is measured
    /// rather than derived from the slots. An estimate from the slots alone
    /// ignores requests of higher priority that are still to arrive, so
    /// requests would be queued and time out after a long wait instead of being
    /// refused on arrival.
    pub(super) fn expected_wait(
        &self,
        now: MonoTime,
        org: &str,
        share: f64,
        priority: Priority,
    ) -> Duration {
        let mean_duration = self.mean_duration.unwrap_or(1.0);
        let interval_by_slots = mean_duration.max(1e-3) / f64::from(self.slots.max(1));
        let index = priority_index(priority);
        let drain_rate = &self.drain_rates[index];
        let interval = match drain_rate.mean_interval {
            Some(mean_interval) if self.queue_lens[index] > 0 => {
                let since_last_start = now.saturating_sub(drain_rate.last).as_secs_f64();
                mean_interval.max(interval_by_slots).max(since_last_start)
            }
            _ => interval_by_slots,
        };
        let queued_above: usize = self.queue_lens[..index].iter().sum();
        let queues = &self.queues[index];
        let own = queues.get(org).map_or(0, |queue| queue.waiting.len()) as f64 + 1.0;
        let queued = self.queue_lens[index] as f64 + 1.0;
        let other_shares: f64 = queues
            .iter()
            .filter(|(name, queue)| *name != org && !queue.waiting.is_empty())
            .map(|(_, queue)| queue.share)
            .sum();
        let requests_ahead = own * (other_shares + share) / share;
        let seconds =
            queued_above as f64 * interval_by_slots + requests_ahead.min(queued) * interval;
        Duration::from_secs_f64(seconds.min(86_400.0))
    }

    pub(super) fn push(&mut self, now: MonoTime, waiting: QueuedRequest) {
        let index = priority_index(waiting.priority);
        if self.queue_lens[index] == 0 {
            self.drain_rates[index].last = now;
        }
        self.latest_starts
            .insert((waiting.latest_start(), waiting.request));
        let queue = self.queues[index].entry(waiting.org.clone()).or_default();
        queue.share = waiting.share;
        queue.waiting.push_back(waiting);
        self.queue_lens[index] += 1;
    }

    /// Takes a slot for a request that starts and charges its expected run time
    /// to its organisation.
    pub(super) fn start(
        &mut self,
        org: &OrgId,
        share: f64,
        request: RequestId,
        expected_duration: Duration,
    ) {
        self.virtual_times
            .charge(org, expected_duration.as_secs_f64() / share);
        self.started
            .insert(request, (org.clone(), expected_duration, share));
    }

    /// Releases a slot and corrects the charge by the actual run time.
    pub(super) fn finish(&mut self, request: RequestId, ran: Duration) {
        let Some((org, expected_duration, share)) = self.started.swap_remove(&request) else {
            return;
        };
        let difference = (ran.as_secs_f64() - expected_duration.as_secs_f64()) / share;
        self.virtual_times.correct(&org, difference);
        let seconds = ran.as_secs_f64();
        let mean_duration = self.mean_duration.get_or_insert(seconds);
        *mean_duration += AVERAGE_WEIGHT * (seconds - *mean_duration);
    }

    /// Removes and returns the request that starts next, if there is a free
    /// slot for it.
    pub(super) fn pop(
        &mut self,
        now: MonoTime,
        reserved: u32,
        fair: bool,
        deadline_margin: f64,
    ) -> Option<QueuedRequest> {
        let found = PRIORITY_ORDER
            .into_iter()
            .filter(|&priority| self.has_free_slot(priority, reserved))
            .find_map(|priority| self.next_queue(now, priority, fair, deadline_margin))?;
        self.drain_rates[found.0].started(now);
        self.dequeue(found.0, &found.1)
    }

    /// Returns the queue that is served next at a priority.
    fn next_queue(
        &self,
        now: MonoTime,
        priority: Priority,
        fair: bool,
        deadline_margin: f64,
    ) -> Option<(usize, OrgId)> {
        let index = priority_index(priority);
        if priority == Priority::Normal
            && let Some(org) = self.next_due_deferrable(now, fair, deadline_margin)
        {
            return Some((priority_index(Priority::Deferrable), org));
        }
        let waiting = self.queues[index]
            .iter()
            .filter(|(_, queue)| !queue.waiting.is_empty());
        let next = match fair {
            true => {
                waiting.min_by(|a, b| self.virtual_time(a.0).total_cmp(&self.virtual_time(b.0)))?
            }
            false => waiting.min_by_key(|(_, queue)| queue.waiting.front().map(|w| w.deadline))?,
        };
        Some((index, next.0.clone()))
    }

    /// Returns the queue that is served next among those whose first deferrable
    /// request is near its latest start. Here too the organisation with the
    /// least virtual time goes first, because under overload every long queue
    /// is near its latest start all the time.
    fn next_due_deferrable(
        &self,
        now: MonoTime,
        fair: bool,
        deadline_margin: f64,
    ) -> Option<OrgId> {
        let queues = &self.queues[priority_index(Priority::Deferrable)];
        let heads = queues
            .iter()
            .filter_map(|(org, queue)| queue.waiting.front().map(|head| (org, head)))
            .filter(|(_, head)| {
                now + head.expected_duration.mul_f64(1.0 + deadline_margin) >= head.latest_start()
            });
        let next = match fair {
            true => heads.min_by(|a, b| self.virtual_time(a.0).total_cmp(&self.virtual_time(b.0))),
            false => heads.min_by_key(|(_, head)| head.latest_start()),
        };
        next.map(|(org, _)| org.clone())
    }

    fn virtual_time(&self, org: &str) -> f64 {
        self.virtual_times.start_time(org)
    }

    fn dequeue(&mut self, index: usize, org: &OrgId) -> Option<QueuedRequest> {
        let queued = self.queues.iter().flat_map(|queues| queues.keys());
        self.virtual_times.advance(queued);
        let queue = self.queues[index].get_mut(org)?;
        let waiting = queue.waiting.pop_front()?;
        if queue.waiting.is_empty() {
            self.queues[index].swap_remove(org);
        }
        self.queue_lens[index] -= 1;
        self.latest_starts
            .remove(&(waiting.latest_start(), waiting.request));
        Some(waiting)
    }

    pub(super) fn cancel(&mut self, request: RequestId) -> bool {
        self.remove(|waiting| waiting.request == request).is_some()
    }

    /// Removes and returns the requests that can no longer be answered in time.
    pub(super) fn remove_late(&mut self, now: MonoTime) -> Vec<QueuedRequest> {
        let mut late = Vec::new();
        while let Some((latest_start, request)) = self.latest_starts.first().copied() {
            if latest_start >= now {
                break;
            }
            match self.remove(|waiting| waiting.request == request) {
                Some(waiting) => late.push(waiting),
                None => {
                    self.latest_starts.pop_first();
                }
            }
        }
        late
    }

    pub(super) fn next_late_at(&self) -> Option<MonoTime> {
        self.latest_starts
            .first()
            .map(|(latest_start, _)| *latest_start)
    }

    fn remove(&mut self, predicate: impl Fn(&QueuedRequest) -> bool) -> Option<QueuedRequest> {
        for index in 0..self.queues.len() {
            for queue in self.queues[index].values_mut() {
                let Some(position) = queue.waiting.iter().position(&predicate) else {
                    continue;
                };
                let waiting = queue.waiting.remove(position)?;
                self.queue_lens[index] -= 1;
                self.latest_starts
                    .remove(&(waiting.latest_start(), waiting.request));
                self.queues[index].retain(|_, queue| !queue.waiting.is_empty());
                return Some(waiting);
            }
        }
        None
    }
}

fn priority_index(priority: Priority) -> usize {
    match priority {
        Priority::Urgent => 0,
        Priority::Normal => 1,
        Priority::Deferrable => 2,
    }
}
