//! When a caller who found no backend server is to come back.

use std::time::Duration;

use super::{
    Plan,
    Router, //
};
use crate::{
    gateway::{
        backoff::Backoff,
        directory::ServerId, //
    },
    ids::MonoTime,
    policy::{
        hash, //
    },
};

/// Time after which a caller is asked to come back if none can be foreseen at which a
/// backend server takes a request.
const NOT_FORESEEN: Duration = Duration::from_secs(30);

/// Steps in which a caller is told a time.
const TOLD_IN: Duration = Duration::from_millis(10);

impl Router {
    /// Returns after which time a caller can be served here, if all backend servers that
    /// may run its request have named when they take one again; none if one of them has
    /// not, and may have room at any moment, or if all of them leave.
    ///
    /// By limits, each caller is given a time of its own. Asked to come back at the same
    /// one, all but the first would be rejected again; and as all entries do so, callers
    /// come back to any of them no faster than they can be served.
    /// After a pause they are spread (see [`RequestedPause::spread`]).
    pub fn retry_after(
        &mut self,
        now: MonoTime,
        plan: &Plan,
        patience: Duration,
    ) -> Option<Duration> {
        let allowed = self.allowed(plan);
        let may_run = self.open(&plan.service);
        let may_run = may_run
            .filter(|k| allowed.has(&k.announcement.version))
            .map(|k| &k.announcement.id);
        let mut stays = may_run
            .filter(|id| !self.backoffs.is_leaving(id))
            .peekable();
        stays.peek()?;
        let mut first: Option<(MonoTime, &ServerId)> = None;
        for id in stays {
            if self.takes(now, id) {
                return None;
            }
            let opens = self.opens_at(now, id).map(|at| (at, id));
            first = first.into_iter().chain(opens).min();
        }
        let Some((at, id)) = first else {
            return Some(NOT_FORESEEN);
        };
        let id = id.clone();
        let at = at + self.spread(now, plan, &id);
        // Who gives up before does not take it.
        if at < now + patience {
            self.limits.promise(&id, at);
        }
        Some(round_up(at.saturating_sub(now)))
    }

    /// Returns when a backend server takes a request, by its limit and the pause that it
    /// asks for; none if that cannot be foreseen.
    fn opens_at(&self, now: MonoTime, id: &ServerId) -> Option<MonoTime> {
        let from = match self.backoffs.get(now, id) {
            Some(Backoff::Leaving) => return None,
            Some(Backoff::Pause(pause)) => pause.until(),
            None => now,
        };
        self.limits.next_opening(from, id)
    }

    /// Returns how long after a pause a caller is to come back. A limit spreads callers by
    /// itself.
    fn spread(&self, now: MonoTime, plan: &Plan, id: &ServerId) -> Duration {
        match self.backoffs.get(now, id) {
            Some(Backoff::Pause(pause)) if !self.limits.names(id) => {
                let place = plan.seed ^ now.as_nanos() as u64;
                pause.spread(hash::unit(&place.to_le_bytes(), "retry-after"))
            }
            _ => Duration::ZERO,
        }
    }
}

/// Rounds up to what a caller is told: one that comes back a moment early is rejected again.
fn round_up(after: Duration) -> Duration {
    let steps = after.as_nanos().div_ceil(TOLD_IN.as_nanos());
    u32::try_from(steps).map_or(after, |steps| TOLD_IN * steps)
}
