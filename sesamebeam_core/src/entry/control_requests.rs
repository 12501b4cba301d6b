//! Pending requests to the control group.

use std::{
    collections::BTreeMap,
    time::Duration, //
};

use super::{
    EntryCore,
    event::{
        ControlRequestId,
        EntryAction, //
    },
};
use crate::{
    ids::{
        MonoTime,
        RequestId, //
    },
    message::{
        control::{
            ControlReply,
            ControlRequest, //
        },
        record::{
            ClaimReply,
            ClaimRequest,
            ClaimState,
            CompleteReply,
            CompleteRequest, //
        }, //
    },
};

/// Initial delay before the completion of a claim is retried.
const COMPLETION_RETRY_MIN: Duration = Duration::from_millis(200);

/// Maximum delay before the completion of a claim is retried.
const COMPLETION_RETRY_MAX: Duration = Duration::from_secs(5);

/// Purpose of a pending request to the control group.
#[derive(Clone, Debug, PartialEq)]
pub(super) enum ControlPurpose {
    /// Renews the configuration lease; holds the time at which it was requested.
    Renew(MonoTime),
    /// Claims the idempotency key of a request.
    Claim(RequestId),
    /// Looks up the state of a claim before a refusal.
    LookUpClaim(RequestId),
    /// Pins the version of a session.
    Pin(RequestId),
    /// Completes a claim; holds the number of the pending completion.
    Complete(u64),
    /// Repeats a claim whose reply was lost; holds its number.
    RepeatClaim(u64),
    /// Releases the lease at the end of a planned stop.
    ReleaseLease,
    /// Sends a report whose reply is ignored.
    Report,
}

/// Claim completions that the control group has not yet recorded.
///
/// The caller receives its response before the completion is recorded. Without
/// retries, a change of leader at that moment would leave the request unbilled.
/// The control group deduplicates repeated completions.
#[derive(Clone, Debug, Default)]
pub(super) struct PendingCompletions {
    next: u64,
    completions: BTreeMap<u64, PendingCompletion>,
    lost_claims: BTreeMap<u64, ClaimRequest>,
}

#[derive(Clone, Debug)]
struct PendingCompletion {
    req: CompleteRequest,
    /// Request that waits until the completion is recorded, if any.
    waiter: Option<RequestId>,
    retry_at: MonoTime,
    retry_delay: Duration,
    in_flight: bool,
}

impl PendingCompletions {
    /// Returns whether all completions are recorded.
    pub(super) fn is_empty(&self) -> bool {
        self.completions.is_empty()
    }

    /// Returns whether the reply to the claim of this request id was lost.
    pub(super) fn is_claim_lost(&self, request: RequestId) -> bool {
        self.lost_claims.values().any(|req| req.request == request)
    }

    /// Finds a completion that is not yet recorded.
    pub(super) fn find(&self, key: &crate::message::record::ClaimKey) -> Option<&CompleteRequest> {
        self.completions
            .values()
            .map(|completion| &completion.req)
            .find(|req| req.key == *key)
    }
}

impl EntryCore {
    /// Sends a request to the control group.
    pub(super) fn send_control(
        &mut self,
        purpose: ControlPurpose,
        req: ControlRequest,
        timeout: Duration,
    ) {
        self.next_control_request += 1;
        let ask = self.next_control_request;
        self.control_requests.insert(ask, purpose);
        self.actions.push(EntryAction::SendToControl {
            ask,
            req: Box::new(req),
            timeout,
        });
    }

    /// Handles a reply of the control group; `None` if the request timed out.
    pub(super) fn handle_control_reply(
        &mut self,
        now: MonoTime,
        ask: ControlRequestId,
        reply: Option<ControlReply>,
    ) {
        let Some(purpose) = self.control_requests.remove(&ask) else {
            return;
        };
        match (purpose, reply) {
            (ControlPurpose::Renew(asked), reply) => self.handle_renewal(now, asked, reply),
            (ControlPurpose::Claim(id), Some(ControlReply::Claim(reply))) => {
                self.handle_claim_reply(now, id, reply)
            }
            (ControlPurpose::Claim(id), _) => self.claim_lost(now, id),
            (ControlPurpose::LookUpClaim(id), Some(ControlReply::Claimed(view))) => {
                self.handle_claim_view(now, id, Some(view));
            }
            (ControlPurpose::LookUpClaim(id), _) => self.handle_claim_view(now, id, None),
            (ControlPurpose::Pin(id), Some(ControlReply::Pin(pin))) => {
                self.handle_pin_reply(now, id, Some(pin))
            }
            (ControlPurpose::Pin(id), _) => self.handle_pin_reply(now, id, None),
            (ControlPurpose::Complete(n), reply) => self.handle_completion_reply(now, n, reply),
            (ControlPurpose::RepeatClaim(n), reply) => self.handle_repeat_reply(now, n, reply),
            (ControlPurpose::ReleaseLease, _) => {
                self.drained = true;
                self.actions.push(EntryAction::Drained);
            }
            (ControlPurpose::Report, _) => {}
        }
    }

    /// Completes a claim, with retries until the completion is recorded.
    pub(super) fn complete_claim(
        &mut self,
        now: MonoTime,
        req: CompleteRequest,
        waiter: Option<RequestId>,
    ) {
        let n = self.pending.next;
        self.pending.next += 1;
        self.pending.completions.insert(
            n,
            PendingCompletion {
                req,
                waiter,
                retry_at: now,
                retry_delay: COMPLETION_RETRY_MIN,
                in_flight: false,
            },
        );
        self.send_completion(n);
    }

    /// Retries the completions that are due.
    pub(super) fn retry_completions(&mut self, now: MonoTime) {
        let due: Vec<u64> = self
            .pending
            .completions
            .iter()
            .filter(|(_, completion)| !completion.in_flight && completion.retry_at <= now)
            .map(|(n, _)| *n)
            .collect();
        for n in due {
            self.send_completion(n);
        }
    }

    /// Abandons a claim whose reply was lost. It may have been committed, but
    /// this entry never sends a request under it.
    ///
    /// A look-up is not sufficient: the original claim may still be in transit
    /// and be committed after it. It would then stay open for the lifetime of
    /// this entry, and every resend would be refused as in progress. Repeating
    /// the claim and then abandoning it makes the late one a duplicate.
    pub(super) fn resolve_lost_claim(&mut self, req: ClaimRequest) {
        let n = self.pending.next;
        self.pending.next += 1;
        self.pending.lost_claims.insert(n, req.clone());
        self.send_control(
            ControlPurpose::RepeatClaim(n),
            ControlRequest::Claim(req),
            self.cfg.claim_timeout,
        );
    }

    /// Repeats claims whose replies were lost.
    pub(super) fn repeat_lost_claims(&mut self) {
        let asked: Vec<u64> = self
            .control_requests
            .values()
            .filter_map(|purpose| match purpose {
                ControlPurpose::RepeatClaim(n) => Some(*n),
                _ => None,
            })
            .collect();
        let due: Vec<(u64, ClaimRequest)> = self
            .pending
            .lost_claims
            .iter()
            .filter(|(n, _)| !asked.contains(n))
            .map(|(n, req)| (*n, req.clone()))
            .collect();
        for (n, req) in due {
            self.send_control(
                ControlPurpose::RepeatClaim(n),
                ControlRequest::Claim(req),
                self.cfg.claim_timeout,
            );
        }
    }

    fn send_completion(&mut self, n: u64) {
        let Some(completion) = self.pending.completions.get_mut(&n) else {
            return;
        };
        completion.in_flight = true;
        let req = ControlRequest::Complete(completion.req.clone());
        self.send_control(ControlPurpose::Complete(n), req, self.cfg.claim_timeout);
    }

    fn handle_completion_reply(&mut self, now: MonoTime, n: u64, reply: Option<ControlReply>) {
        let Some(completion) = self.pending.completions.get_mut(&n) else {
            return;
        };
        let recorded = match reply {
            Some(ControlReply::Complete(reply)) => reply,
            _ => {
                completion.in_flight = false;
                completion.retry_at = now + completion.retry_delay;
                completion.retry_delay = (completion.retry_delay * 2).min(COMPLETION_RETRY_MAX);
                return;
            }
        };
        let waiter = completion.waiter;
        self.pending.completions.remove(&n);
        if let Some(id) = waiter {
            self.handle_abandonment(now, id, recorded == CompleteReply::Recorded);
        }
    }

    fn handle_repeat_reply(&mut self, now: MonoTime, n: u64, reply: Option<ControlReply>) {
        let generation = match reply {
            Some(ControlReply::Claim(ClaimReply::Granted(generation))) => Some(generation),
            Some(ControlReply::Claim(ClaimReply::Existing(view))) => {
                let mine = self.pending.is_claim_lost(view.request);
                (mine && view.state == ClaimState::Open).then_some(view.generation)
            }
            Some(ControlReply::Claim(ClaimReply::Conflict) | ControlReply::Denied(_)) => None,
            _ => return,
        };
        let Some(req) = self.pending.lost_claims.remove(&n) else {
            return;
        };
        if let Some(generation) = generation {
            let completion = self.abandonment(&req.key, generation, req.request);
            self.complete_claim(now, completion, None);
        }
    }
}
