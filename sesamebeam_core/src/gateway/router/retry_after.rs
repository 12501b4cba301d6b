//! `Retry-After` times for requests that no backend server accepts.

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
    policy::hash,
};

/// `Retry-After` time if it cannot be computed when a backend server accepts requests
/// again.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_secs(30);

/// Granularity of `Retry-After` times.
const RETRY_AFTER_STEP: Duration = Duration::from_millis(10);

impl Router {
    /// Returns the time after which a caller can be served, or none if some eligible
    /// backend server has not announced when it accepts requests again and may do so at
    /// any time, or if all of them are shutting down.
    ///
    /// Under rate limits, each caller gets a time of its own. With a common time, all but
    /// the first would be rejected again. As all entries do the same, the rate of
    /// returning callers stays within the limits. After a requested pause, callers are
    /// spread at random (see
    /// [`RequestedPause::jitter`](crate::policy::backoff::RequestedPause::jitter)).
    pub fn retry_after(
        &mut self,
        now: MonoTime,
        plan: &Plan,
        max_wait: Duration,
    ) -> Option<Duration> {
        // Slots may become free at any time.
        if self.leases.is_leased(&plan.service) {
            return None;
        }
        let allowed = self.allowed_versions(plan);
        let may_run = self.open_servers(&plan.service);
        let may_run = may_run
            .filter(|k| allowed.includes(&k.announcement.version))
            .map(|k| &k.announcement.id);
        let mut staying = may_run
            .filter(|id| !self.backoffs.is_leaving(id))
            .peekable();
        staying.peek()?;
        let mut first: Option<(MonoTime, &ServerId)> = None;
        for id in staying {
            if self.accepts(now, id) {
                return None;
            }
            let accepts_at = self.accepts_at(now, id).map(|at| (at, id));
            first = first.into_iter().chain(accepts_at).min();
        }
        let Some((at, id)) = first else {
            return Some(DEFAULT_RETRY_AFTER);
        };
        let id = id.clone();
        let at = at + self.retry_spread(now, plan, &id);
        // A caller that gives up earlier will not use the reserved send.
        if at < now + max_wait {
            self.limits.reserve(&id, at);
        }
        Some(round_up(at.saturating_sub(now)))
    }

    /// Returns when a backend server accepts a request, considering its rate limit and
    /// requested pause; none if that cannot be computed.
    fn accepts_at(&self, now: MonoTime, id: &ServerId) -> Option<MonoTime> {
        let from = match self.backoffs.get(now, id) {
            Some(Backoff::Leaving) => return None,
            Some(Backoff::Pause(pause)) => pause.until(),
            None => now,
        };
        self.limits.next_allowed(from, id)
    }

    /// Returns the random delay that is added after a requested pause. Rate limits
    /// already give each caller a different time.
    fn retry_spread(&self, now: MonoTime, plan: &Plan, id: &ServerId) -> Duration {
        match self.backoffs.get(now, id) {
            Some(Backoff::Pause(pause)) if !self.limits.has_limit(id) => {
                let place = plan.seed ^ now.as_nanos() as u64;
                pause.jitter(hash::unit(&place.to_le_bytes(), "retry-after"))
            }
            _ => Duration::ZERO,
        }
    }
}

/// Rounds up to the granularity of `Retry-After`, as a caller that returns too early is
/// rejected again.
pub(super) fn round_up(after: Duration) -> Duration {
    let steps = after.as_nanos().div_ceil(RETRY_AFTER_STEP.as_nanos());
    u32::try_from(steps).map_or(after, |steps| RETRY_AFTER_STEP * steps)
}
