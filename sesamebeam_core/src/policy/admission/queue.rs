//! The queue before one pool.

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
};

/// Weight of a new time in the average time of a request.
const LEARN: f64 = 0.05;

/// Priorities from the first served to the last.
const ORDER: [Priority; 3] = [Priority::Urgent, Priority::Normal, Priority::Deferrable];

/// A request that waits.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct Waiting {
    pub(super) request: RequestId,
    pub(super) org: OrgId,
    pub(super) priority: Priority,
    pub(super) deadline: MonoTime,
    pub(super) takes: Duration,
    pub(super) share: f64,
}

/// Queue of one organisation at one priority.
#[derive(Clone, Debug, Default)]
struct Line {
    waiting: VecDeque<Waiting>,
    share: f64,
}

/// The queue before one pool.
#[derive(Clone, Debug, Default)]
pub(super) struct PoolQueue {
    pub(super) slots: u32,
    /// Lines by priority, then organisation.
    lines: [IndexMap<OrgId, Line>; 3],
    /// Waiting requests by priority.
    sizes: [usize; 3],
    /// Virtual time up to which each organisation has been served.
    served: IndexMap<OrgId, f64>,
    /// Virtual time of the pool: the start of what was served last.
    clock: f64,
    /// Last times to start, with priority and organisation.
    due: BTreeSet<(MonoTime, RequestId)>,
    started: IndexMap<RequestId, (OrgId, Duration, f64)>,
    /// Average time of a request, in seconds.
    usual: Option<f64>,
    /// How fast each priority's queue drains.
    drains: [Drain; 3],
}

/// How fast one priority's queue drains.
#[derive(Clone, Copy, Debug, Default)]
struct Drain {
    /// Average time between two starts while requests wait, in seconds.
    gap: Option<f64>,
    /// Last start, or arrival at an empty queue.
    last: MonoTime,
}

impl Drain {
    fn started(&mut self, now: MonoTime) {
        let gap = now.saturating_sub(self.last).as_secs_f64();
        let usual = self.gap.get_or_insert(gap);
        *usual += LEARN * (gap - *usual);
        self.last = now;
    }
}

impl Waiting {
    /// Gives the last time at which it can start and still be in time.
    fn last_start(&self) -> MonoTime {
        self.deadline.saturating_sub(self.takes)
    }
}

impl PoolQueue {
    pub(super) fn len(&self) -> usize {
        self.sizes.iter().sum()
    }

    pub(super) fn running(&self) -> usize {
        self.started.len()
    }

    /// Tells whether a request of a priority may take a slot. The last slots
    /// are kept for urgent work, which would else wait for a whole answer of
    /// other work whenever the pool is full.
    pub(super) fn has_room(&self, priority: Priority, kept: u32) -> bool {
        let kept = if priority == Priority::Urgent {
            0
        } else {
            kept
        };
        (self.started.len() as u64) < u64::from(self.slots.saturating_sub(kept))
    }

    pub(super) fn waiting_at_or_above(&self, priority: Priority) -> usize {
        self.sizes[..=place(priority)].iter().sum()
    }

    pub(super) fn is_crowded(&self, org: &str, longest: usize, most_of_one: f64) -> bool {
        let of_org: usize = self
            .lines
            .iter()
            .filter_map(|lines| lines.get(org))
            .map(|line| line.waiting.len())
            .sum();
        self.len() >= longest || of_org as f64 >= longest as f64 * most_of_one
    }

    /// Gives the expected wait of one more request of an organisation.
    ///
    /// It waits for its own line at the organisation's share of the pool, but
    /// never longer than for everything at or above its priority. How fast its
    /// priority drains is measured: counted from the slots alone, the work of
    /// higher priority still to come would be left out, and requests would be
    /// given up after a long wait in place of a refusal at once.
    pub(super) fn wait(
        &self,
        now: MonoTime,
        org: &str,
        share: f64,
        priority: Priority,
    ) -> Duration {
        let usual = self.usual.unwrap_or(1.0);
        let by_slots = usual.max(1e-3) / f64::from(self.slots.max(1));
        let at = place(priority);
        let drain = &self.drains[at];
        let gap = match drain.gap {
            Some(gap) if self.sizes[at] > 0 => {
                let since = now.saturating_sub(drain.last).as_secs_f64();
                gap.max(by_slots).max(since)
            }
            _ => by_slots,
        };
        let above: usize = self.sizes[..at].iter().sum();
        let lines = &self.lines[at];
        let own = lines.get(org).map_or(0, |line| line.waiting.len()) as f64 + 1.0;
        let all = self.sizes[at] as f64 + 1.0;
        let others: f64 = lines
            .iter()
            .filter(|(name, line)| *name != org && !line.waiting.is_empty())
            .map(|(_, line)| line.share)
            .sum();
        let by_share = own * (others + share) / share;
        let seconds = above as f64 * by_slots + by_share.min(all) * gap;
        Duration::from_secs_f64(seconds.min(86_400.0))
    }

    pub(super) fn push(&mut self, now: MonoTime, waiting: Waiting) {
        let at = place(waiting.priority);
        if self.sizes[at] == 0 {
            self.drains[at].last = now;
        }
        self.due.insert((waiting.last_start(), waiting.request));
        let line = self.lines[at].entry(waiting.org.clone()).or_default();
        line.share = waiting.share;
        line.waiting.push_back(waiting);
        self.sizes[at] += 1;
    }

    /// Takes the slot of a request that starts, and charges its organisation.
    pub(super) fn start(&mut self, org: &OrgId, share: f64, request: RequestId, takes: Duration) {
        let served = self.served.entry(org.clone()).or_insert(self.clock);
        let begin = served.max(self.clock);
        *served = begin + takes.as_secs_f64() / share;
        self.started.insert(request, (org.clone(), takes, share));
    }

    /// Gives a slot back and corrects the charge by the time it really ran.
    pub(super) fn finish(&mut self, request: RequestId, ran: Duration) {
        let Some((org, takes, share)) = self.started.swap_remove(&request) else {
            return;
        };
        if let Some(served) = self.served.get_mut(&org) {
            *served += (ran.as_secs_f64() - takes.as_secs_f64()) / share;
        }
        let seconds = ran.as_secs_f64();
        let usual = self.usual.get_or_insert(seconds);
        *usual += LEARN * (seconds - *usual);
    }

    /// Takes the request that starts next, if there is room for it.
    pub(super) fn pop(
        &mut self,
        now: MonoTime,
        kept: u32,
        fair: bool,
        spare: f64,
    ) -> Option<Waiting> {
        let found = ORDER
            .into_iter()
            .filter(|&priority| self.has_room(priority, kept))
            .find_map(|priority| self.head(now, priority, fair, spare))?;
        self.drains[found.0].started(now);
        self.take(found.0, &found.1)
    }

    /// Finds the line that is served next at a priority.
    fn head(
        &self,
        now: MonoTime,
        priority: Priority,
        fair: bool,
        spare: f64,
    ) -> Option<(usize, OrgId)> {
        let at = place(priority);
        if priority == Priority::Normal
            && let Some(org) = self.pressing(now, fair, spare)
        {
            return Some((place(Priority::Deferrable), org));
        }
        let waiting = self.lines[at]
            .iter()
            .filter(|(_, line)| !line.waiting.is_empty());
        let next = match fair {
            true => waiting.min_by(|a, b| self.served(a.0).total_cmp(&self.served(b.0)))?,
            false => waiting.min_by_key(|(_, line)| line.waiting.front().map(|w| w.deadline))?,
        };
        Some((at, next.0.clone()))
    }

    /// Finds the line that is served next among those whose deferrable head is
    /// near its last chance to start. The least served goes first here too:
    /// under overload every long line is near its last chance all the time.
    fn pressing(&self, now: MonoTime, fair: bool, spare: f64) -> Option<OrgId> {
        let lines = &self.lines[place(Priority::Deferrable)];
        let heads = lines
            .iter()
            .filter_map(|(org, line)| line.waiting.front().map(|head| (org, head)))
            .filter(|(_, head)| now + head.takes.mul_f64(1.0 + spare) >= head.last_start());
        let next = match fair {
            true => heads.min_by(|a, b| self.served(a.0).total_cmp(&self.served(b.0))),
            false => heads.min_by_key(|(_, head)| head.last_start()),
        };
        next.map(|(org, _)| org.clone())
    }

    fn served(&self, org: &str) -> f64 {
        self.served
            .get(org)
            .copied()
            .unwrap_or(self.clock)
            .max(self.clock)
    }

    fn take(&mut self, at: usize, org: &OrgId) -> Option<Waiting> {
        self.clock = self.clock.max(self.least_served());
        let line = self.lines[at].get_mut(org)?;
        let waiting = line.waiting.pop_front()?;
        if line.waiting.is_empty() {
            self.lines[at].swap_remove(org);
        }
        self.sizes[at] -= 1;
        self.due.remove(&(waiting.last_start(), waiting.request));
        Some(waiting)
    }

    /// Gives the least virtual time among the organisations that wait: an
    /// organisation that was idle does not bring old credit with it.
    fn least_served(&self) -> f64 {
        self.lines
            .iter()
            .flat_map(|lines| lines.keys())
            .map(|org| self.served.get(org).copied().unwrap_or(self.clock))
            .min_by(f64::total_cmp)
            .unwrap_or(self.clock)
    }

    pub(super) fn cancel(&mut self, request: RequestId) -> bool {
        self.remove(|waiting| waiting.request == request).is_some()
    }

    /// Takes out the requests that can no longer be answered in time.
    pub(super) fn take_late(&mut self, now: MonoTime) -> Vec<Waiting> {
        let mut late = Vec::new();
        while let Some((last_start, request)) = self.due.first().copied() {
            if last_start >= now {
                break;
            }
            match self.remove(|waiting| waiting.request == request) {
                Some(waiting) => late.push(waiting),
                None => {
                    self.due.pop_first();
                }
            }
        }
        late
    }

    pub(super) fn next_late(&self) -> Option<MonoTime> {
        self.due.first().map(|(last_start, _)| *last_start)
    }

    fn remove(&mut self, wanted: impl Fn(&Waiting) -> bool) -> Option<Waiting> {
        for at in 0..self.lines.len() {
            for line in self.lines[at].values_mut() {
                let Some(pos) = line.waiting.iter().position(&wanted) else {
                    continue;
                };
                let waiting = line.waiting.remove(pos)?;
                self.sizes[at] -= 1;
                self.due.remove(&(waiting.last_start(), waiting.request));
                self.lines[at].retain(|_, line| !line.waiting.is_empty());
                return Some(waiting);
            }
        }
        None
    }
}

fn place(priority: Priority) -> usize {
    match priority {
        Priority::Urgent => 0,
        Priority::Normal => 1,
        Priority::Deferrable => 2,
    }
}
