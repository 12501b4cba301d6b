//! Questions to the control group that are under way.

use std::{
    collections::BTreeMap,
    time::Duration, //
};

use super::{
    EntryCore,
    event::{
        AskId,
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

/// Shortest pause before an end of a claim is reported again.
const RETRY_END: Duration = Duration::from_millis(200);

/// Longest pause before an end of a claim is reported again.
const RETRY_END_MAX: Duration = Duration::from_secs(5);

/// What a question was asked for.
#[derive(Clone, Debug, PartialEq)]
pub(super) enum AskFor {
    /// The configuration lease, asked at this time.
    Renew(MonoTime),
    /// A claim.
    Claim(RequestId),
    /// The state of a claim, before a refusal.
    Look(RequestId),
    /// The version of a session.
    Pin(RequestId),
    /// The end of a claim, in `pending`.
    End(u64),
    /// A claim whose answer was lost, in `lost`, asked for once more.
    Lost(u64),
    /// The lease given back at the end of a stop.
    Leave,
    /// Something that needs no answer.
    Report,
}

/// Ends of claims that the control group has not yet recorded.
///
/// The caller has its answer before the record is written. If the record were
/// tried only once, a leader's change at that moment would leave the request
/// unbilled; so it is repeated until it is recorded, and the control group
/// takes repeats as one.
#[derive(Clone, Debug, Default)]
pub(super) struct PendingEnds {
    next: u64,
    ends: BTreeMap<u64, PendingEnd>,
    lost: BTreeMap<u64, ClaimRequest>,
}

#[derive(Clone, Debug)]
struct PendingEnd {
    req: CompleteRequest,
    /// Request that waits for the record, if one does.
    waiter: Option<RequestId>,
    retry_at: MonoTime,
    pause: Duration,
    asked: bool,
}

impl PendingEnds {
    /// Whether nothing is left to report.
    pub(super) fn is_empty(&self) -> bool {
        self.ends.is_empty()
    }

    /// Whether the answer to the claim of this request id was lost.
    pub(super) fn is_lost(&self, request: RequestId) -> bool {
        self.lost.values().any(|req| req.request == request)
    }

    /// Finds an end that is not yet recorded.
    pub(super) fn find(&self, key: &crate::message::record::ClaimKey) -> Option<&CompleteRequest> {
        self.ends
            .values()
            .map(|end| &end.req)
            .find(|req| req.key == *key)
    }
}

impl EntryCore {
    /// Asks the control group.
    pub(super) fn ask(&mut self, why: AskFor, req: ControlRequest, timeout: Duration) {
        self.next_ask += 1;
        let ask = self.next_ask;
        self.asks.insert(ask, why);
        self.out.push(EntryAction::Ask {
            ask,
            req: Box::new(req),
            timeout,
        });
    }

    /// Takes an answer of the control group.
    pub(super) fn answered(&mut self, now: MonoTime, ask: AskId, reply: Option<ControlReply>) {
        let Some(why) = self.asks.remove(&ask) else {
            return;
        };
        match (why, reply) {
            (AskFor::Renew(asked), reply) => self.renewed(now, asked, reply),
            (AskFor::Claim(id), Some(ControlReply::Claim(reply))) => self.claimed(now, id, reply),
            (AskFor::Claim(id), _) => self.claim_lost(now, id),
            (AskFor::Look(id), Some(ControlReply::Claimed(view))) => {
                self.looked(now, id, Some(view));
            }
            (AskFor::Look(id), _) => self.looked(now, id, None),
            (AskFor::Pin(id), Some(ControlReply::Pin(pin))) => self.pinned(now, id, Some(pin)),
            (AskFor::Pin(id), _) => self.pinned(now, id, None),
            (AskFor::End(n), reply) => self.end_answered(now, n, reply),
            (AskFor::Lost(n), reply) => self.lost_answered(now, n, reply),
            (AskFor::Leave, _) => {
                self.drained = true;
                self.out.push(EntryAction::Drained);
            }
            (AskFor::Report, _) => {}
        }
    }

    /// Reports the end of a claim until it is recorded.
    pub(super) fn end_claim(
        &mut self,
        now: MonoTime,
        req: CompleteRequest,
        waiter: Option<RequestId>,
    ) {
        let n = self.pending.next;
        self.pending.next += 1;
        self.pending.ends.insert(
            n,
            PendingEnd {
                req,
                waiter,
                retry_at: now,
                pause: RETRY_END,
                asked: false,
            },
        );
        self.report_end(n);
    }

    /// Reports once more what was not recorded.
    pub(super) fn retry_ends(&mut self, now: MonoTime) {
        let due: Vec<u64> = self
            .pending
            .ends
            .iter()
            .filter(|(_, end)| !end.asked && end.retry_at <= now)
            .map(|(n, _)| *n)
            .collect();
        for n in due {
            self.report_end(n);
        }
    }

    /// Remembers a claim whose answer was lost: it may have been written, and
    /// this entry never sends under it, so it says so when it can.
    ///
    /// The claim itself may still be under way, so a look that finds nothing
    /// proves nothing: written after it, the claim would stay open as long as
    /// this entry lives, and every resend be told to come back later. Claimed
    /// once more and then abandoned, the late one finds its place taken.
    pub(super) fn remember_lost(&mut self, req: ClaimRequest) {
        let n = self.pending.next;
        self.pending.next += 1;
        self.pending.lost.insert(n, req.clone());
        self.ask(
            AskFor::Lost(n),
            ControlRequest::Claim(req),
            self.cfg.claim_timeout,
        );
    }

    /// Asks once more about claims whose answers were lost.
    pub(super) fn retry_lost(&mut self) {
        let asked: Vec<u64> = self
            .asks
            .values()
            .filter_map(|why| match why {
                AskFor::Lost(n) => Some(*n),
                _ => None,
            })
            .collect();
        let due: Vec<(u64, ClaimRequest)> = self
            .pending
            .lost
            .iter()
            .filter(|(n, _)| !asked.contains(n))
            .map(|(n, req)| (*n, req.clone()))
            .collect();
        for (n, req) in due {
            self.ask(
                AskFor::Lost(n),
                ControlRequest::Claim(req),
                self.cfg.claim_timeout,
            );
        }
    }

    fn report_end(&mut self, n: u64) {
        let Some(end) = self.pending.ends.get_mut(&n) else {
            return;
        };
        end.asked = true;
        let req = ControlRequest::Complete(end.req.clone());
        self.ask(AskFor::End(n), req, self.cfg.claim_timeout);
    }

    fn end_answered(&mut self, now: MonoTime, n: u64, reply: Option<ControlReply>) {
        let Some(end) = self.pending.ends.get_mut(&n) else {
            return;
        };
        let recorded = match reply {
            Some(ControlReply::Complete(reply)) => reply,
            _ => {
                end.asked = false;
                end.retry_at = now + end.pause;
                end.pause = (end.pause * 2).min(RETRY_END_MAX);
                return;
            }
        };
        let waiter = end.waiter;
        self.pending.ends.remove(&n);
        if let Some(id) = waiter {
            self.abandoned(now, id, recorded == CompleteReply::Recorded);
        }
    }

    fn lost_answered(&mut self, now: MonoTime, n: u64, reply: Option<ControlReply>) {
        let generation = match reply {
            Some(ControlReply::Claim(ClaimReply::Granted(generation))) => Some(generation),
            Some(ControlReply::Claim(ClaimReply::Existing(view))) => {
                let mine = self.pending.is_lost(view.request);
                (mine && view.state == ClaimState::Open).then_some(view.generation)
            }
            Some(ControlReply::Claim(ClaimReply::Conflict) | ControlReply::Denied(_)) => None,
            _ => return,
        };
        let Some(req) = self.pending.lost.remove(&n) else {
            return;
        };
        if let Some(generation) = generation {
            let end = self.end_of(&req.key, generation, req.request);
            self.end_claim(now, end, None);
        }
    }
}
