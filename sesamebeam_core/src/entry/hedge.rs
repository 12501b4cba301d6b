//! Hedging: a second attempt at an urgent idempotent request that is late.

use super::{
    EntryCore,
    event::DispatchKind,
    request::Phase, //
};
use crate::ids::{
    MonoTime,
    RequestId, //
};

impl EntryCore {
    /// Hedges requests whose first attempt has not responded within the hedge
    /// delay.
    pub(super) fn tick_hedges(&mut self, now: MonoTime) {
        let late: Vec<RequestId> = self
            .requests
            .iter()
            .filter(|(_, req)| matches!(req.phase, Phase::Running) && !req.at_most_once)
            .filter(|(_, req)| req.running.len() == 1 && !req.running[0].responded)
            .filter(|(_, req)| req.running[0].kind == DispatchKind::Run)
            .filter(|(_, req)| {
                let delay = self
                    .view
                    .class(Some(&req.class), None)
                    .and_then(|class| self.hedges.delay(class));
                delay.is_some_and(|delay| now.saturating_sub(req.running[0].since) > delay)
            })
            .map(|(id, _)| *id)
            .collect();
        for id in late {
            self.hedge(now, id);
        }
    }

    fn hedge(&mut self, now: MonoTime, id: RequestId) {
        // The version may have been withdrawn or held since the first attempt
        // started, and a hedge would be new work for it.
        if !self.step_allowed(now, id) && !self.cfg.faults.hedge_unchecked {
            return;
        }
        let Some(req) = self.requests.get_mut(&id) else {
            return;
        };
        let first = req.running[0].server;
        let allowed = self
            .view
            .class(Some(&req.class), None)
            .is_some_and(|class| self.hedges.try_hedge(class));
        if !allowed {
            return;
        }
        req.avoid.push(first);
        req.attempts += 1;
        let at = req.attempt_id();
        let version = req.version().cloned();
        if let Some(server) = self.pick_server(now, id) {
            self.dispatch(now, id, server, at, version, DispatchKind::Hedge);
        }
    }
}
