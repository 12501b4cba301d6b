//! Explanations of the decisions on recent requests, in bounded memory.

use std::time::Duration;

use indexmap::IndexMap;
use serde::{
    Deserialize,
    Serialize, //
};
use smol_str::{
    SmolStr,
    format_smolstr, //
};

use super::{
    event::{
        Arrival,
        AttemptReport,
        Dispatch,
        Ended, //
    },
    request::RunningAttempt,
    view::Availability, //
};
use crate::{
    ids::{
        MonoTime,
        OrgId,
        RequestId,
        ServerAddr, //
    },
    policy::{
        balance::Pick,
        exposure::Permit,
        plan::PlanChoice, //
    },
};

/// Maximum number of recorded steps per request.
const MAX_STEPS: usize = 32;

/// A decision or event.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Step {
    /// Time since the request arrived.
    pub at: Duration,
    /// Description.
    pub what: SmolStr,
    /// Details, one line each.
    pub details: Vec<SmolStr>,
}

/// Decisions and events of one request.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Explanation {
    /// Organisation of the caller.
    pub org: OrgId,
    /// Arrival time on the entry's monotonic clock.
    pub arrived: MonoTime,
    /// Steps in order.
    pub steps: Vec<Step>,
    /// Versions that were not considered, with the reason.
    pub passed_over: Vec<SmolStr>,
    /// Backend server of the last attempt.
    pub server: Option<ServerAddr>,
}

/// Explanations of recent requests, in a ring buffer.
#[derive(Clone, Debug)]
pub struct Explain {
    ring: IndexMap<RequestId, Explanation>,
    cursor: usize,
    capacity: usize,
    now: MonoTime,
}

impl Explain {
    /// Creates a buffer for this number of requests.
    pub fn new(capacity: usize) -> Self {
        Self {
            ring: IndexMap::with_capacity(capacity),
            cursor: 0,
            capacity: capacity.max(1),
            now: MonoTime::ZERO,
        }
    }

    /// Finds the explanation of a request.
    pub fn find(&self, id: RequestId) -> Option<&Explanation> {
        self.ring.get(&id)
    }

    /// Sets the time for subsequent steps.
    pub(super) fn at(&mut self, now: MonoTime) {
        self.now = now;
    }

    pub(super) fn arrived(&mut self, now: MonoTime, id: RequestId, arrival: &Arrival) {
        let explanation = Explanation {
            org: arrival.org.clone(),
            arrived: now,
            ..Explanation::default()
        };
        if self.ring.len() < self.capacity {
            self.ring.insert(id, explanation);
            return;
        }
        // Puts the newest into the slot of the oldest, without moving the others.
        self.ring.swap_remove_index(self.cursor);
        let (at, _) = self.ring.insert_full(id, explanation);
        self.ring.swap_indices(self.cursor, at);
        self.cursor = (self.cursor + 1) % self.capacity;
    }

    pub(super) fn planned(&mut self, id: RequestId, planned: &PlanChoice) {
        self.step(id, || {
            let details = planned
                .scored
                .iter()
                .map(|s| {
                    format_smolstr!(
                        "{}: cost {:.3}, quality {:.3}, confidence {:.2}{}{}",
                        s.label(),
                        s.cost,
                        s.quality,
                        s.confidence,
                        if s.meets_target {
                            ", meets the target"
                        } else {
                            ""
                        },
                        if s.fits_deadline { "" } else { ", too slow" },
                    )
                })
                .collect();
            let what = format_smolstr!("plan {:?}: {:?}", planned.reason, planned.plan);
            (what, details)
        });
    }

    pub(super) fn passed_over(
        &mut self,
        id: RequestId,
        full: &str,
        usable: Availability,
        permit: Permit,
    ) {
        if let Some(explanation) = self.ring.get_mut(&id)
            && explanation.passed_over.len() < MAX_STEPS
        {
            let why = if permit.allows() {
                format_smolstr!("{full}: loaded nowhere ({usable:?})")
            } else {
                format_smolstr!("{full}: {permit:?} ({usable:?})")
            };
            explanation.passed_over.push(why);
        }
    }

    pub(super) fn picked(&mut self, id: RequestId, pick: &Pick) {
        self.step(id, || {
            let details = pick
                .considered
                .iter()
                .map(|l| {
                    format_smolstr!(
                        "{}: expected {:.0?}{}{}{}",
                        l.addr,
                        l.wait,
                        if l.cached { ", prefix cached" } else { "" },
                        if l.local {
                            ""
                        } else {
                            ", other failure domain"
                        },
                        if l.full { ", full" } else { "" },
                    )
                })
                .collect();
            (
                format_smolstr!("backend server {}", pick.server.addr),
                details,
            )
        });
    }

    pub(super) fn dispatched(&mut self, dispatch: &Dispatch) {
        let id = dispatch.request;
        self.step(id, || {
            let version = dispatch.version.as_deref().unwrap_or("plain service");
            let what = format_smolstr!(
                "{:?} on {} by {version}",
                dispatch.kind,
                dispatch.server.addr,
            );
            (what, Vec::new())
        });
        if let Some(explanation) = self.ring.get_mut(&id) {
            explanation.server = Some(dispatch.server.addr);
        }
    }

    pub(super) fn reported(&mut self, id: RequestId, run: &RunningAttempt, report: &AttemptReport) {
        self.step(id, || {
            let what = match report {
                AttemptReport::Finished(f) => format_smolstr!(
                    "whole from {}: status {}, {} tokens, first after {:.1?}",
                    run.server.addr,
                    f.answer.status,
                    f.usage.completion_tokens,
                    f.first,
                ),
                other => format_smolstr!("{other:?} from {}", run.server.addr),
            };
            (what, Vec::new())
        });
    }

    pub(super) fn ended(&mut self, ended: &Ended) {
        self.step(ended.request, || {
            let what = match &ended.refusal {
                None => format_smolstr!("whole answer after {:.1?}", ended.took),
                Some(refusal) => format_smolstr!(
                    "refused: {}, {}",
                    refusal.reason.name(),
                    refusal.outcome.name()
                ),
            };
            (what, Vec::new())
        });
    }

    pub(super) fn hung_up(&mut self, id: RequestId) {
        self.step(id, || ("the caller hung up".into(), Vec::new()));
    }

    pub(super) fn last_server(&self, id: RequestId) -> Option<ServerAddr> {
        self.ring.get(&id)?.server
    }

    fn step(&mut self, id: RequestId, make: impl FnOnce() -> (SmolStr, Vec<SmolStr>)) {
        let now = self.now;
        let Some(explanation) = self.ring.get_mut(&id) else {
            return;
        };
        if explanation.steps.len() >= MAX_STEPS {
            return;
        }
        let (what, details) = make();
        explanation.steps.push(Step {
            at: now.saturating_sub(explanation.arrived),
            what,
            details,
        });
    }
}
