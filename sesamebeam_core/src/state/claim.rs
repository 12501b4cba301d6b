//! Claims on requests that must run at most once, and how they end.

use std::{
    collections::{
        BTreeMap,
        BTreeSet, //
    },
    time::Duration,
};

use serde::{
    Deserialize,
    Serialize, //
};

use super::{
    Faults,
    bill::Bills, //
};
use crate::{
    ids::{
        BillSeq,
        ClassId,
        LogIndex,
        UnixMillis, //
    },
    message::{
        command::{
            Denial,
            Outcome,
            Retake,
            Retention, //
        },
        record::{
            Bill,
            BillState,
            ClaimEnd,
            ClaimKey,
            ClaimReply,
            ClaimRequest,
            ClaimState,
            ClaimView,
            CompleteReply,
            CompleteRequest,
            Completed,
            SettleRequest,
            Usage, //
        },
    },
};

/// Longest dispatch window that a claim may ask for.
pub const MAX_WINDOW: Duration = Duration::from_secs(60);

/// The claims that are kept.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub(super) struct Claims {
    /// Claims by key.
    records: BTreeMap<ClaimKey, Record>,
    /// Keys by the time from which their retention counts, the oldest first.
    due: BTreeSet<(Duration, ClaimKey)>,
    /// Keys of kept answer bodies by the position of their completion.
    bodies: BTreeMap<LogIndex, ClaimKey>,
    /// Bytes of the kept answer bodies.
    body_bytes: u64,
    /// Claims that have not ended.
    open: u32,
}

/// Shortest time that an ended claim is kept, also when the table is full.
const LEAST_KEPT: Duration = Duration::from_secs(3600);

/// Oldest claims that are looked at for one that may go.
const MOST_LOOKED_AT: usize = 64;

/// One claim.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
struct Record {
    view: ClaimView,
    class: ClassId,
    window: Duration,
    /// Log position at which the claim was granted last.
    opened: LogIndex,
    /// Time on the log's clock from which retention counts.
    since: Duration,
    /// Position of its billing entry.
    bill: Option<BillSeq>,
    /// How an operator settled the billing entry.
    settled: Option<bool>,
    /// Position of the completion whose answer body is kept.
    body_at: Option<LogIndex>,
}

/// Where in the log a command stands, with what it may touch besides claims.
pub(super) struct Cx<'a> {
    pub(super) index: LogIndex,
    pub(super) clock: Duration,
    pub(super) retention: &'a Retention,
    pub(super) faults: &'a Faults,
    pub(super) bills: &'a mut Bills,
}

/// An open claim, as the leader needs it to judge its window.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Opening {
    /// Log position at which the claim was granted last.
    pub opened: LogIndex,
    /// Dispatch window that it was granted with.
    pub window: Duration,
}

impl Claims {
    /// Applies a claim.
    pub(super) fn claim(&mut self, cx: &mut Cx<'_>, req: &ClaimRequest) -> Outcome {
        if req.window > MAX_WINDOW {
            return Outcome::Denied(Denial::WindowTooLong);
        }
        let Some(record) = self.records.get_mut(&req.key) else {
            return self.first(cx, req);
        };
        if record.view.digest != req.digest {
            return Outcome::Claim(ClaimReply::Conflict);
        }
        if record.granted_to(req) {
            // The asker may count its window from this second request. The
            // position moves, so that a replica counts the window anew too.
            record.opened = cx.index;
            record.window = record.window.max(req.window);
            return Outcome::Claim(ClaimReply::Granted(record.view.generation));
        }
        let replaced = req.replaces == record.view.generation;
        if replaced && record.view.state == ClaimState::Abandoned {
            return self.renew(cx, req);
        }
        Outcome::Claim(ClaimReply::Existing(record.view.clone()))
    }

    /// Applies a claim that replaces an open one whose claimant is gone.
    ///
    /// Two entries that both find the claimant gone would both send. Replacing
    /// by compare-and-set lets one of them through: the generation and the
    /// opening must be those that the leader judged.
    pub(super) fn retake(&mut self, cx: &mut Cx<'_>, retake: &Retake) -> Outcome {
        let req = &retake.claim;
        let Some(record) = self.records.get(&req.key) else {
            return Outcome::Denied(Denial::ClaimExpired);
        };
        let judged = req.replaces == record.view.generation
            && (retake.opened == record.opened || cx.faults.retake_any_opening);
        let same_body = record.view.digest == req.digest;
        if judged && same_body && record.view.state == ClaimState::Open {
            self.renew(cx, req)
        } else {
            self.claim(cx, req)
        }
    }

    /// Applies the end of a claim, with its billing entry in the same step.
    pub(super) fn complete(&mut self, cx: &mut Cx<'_>, req: &CompleteRequest) -> CompleteReply {
        let Some(record) = self.records.get_mut(&req.key) else {
            return CompleteReply::Superseded;
        };
        let view = &record.view;
        if view.generation != req.generation || view.request != req.request {
            return CompleteReply::Superseded;
        }
        match (&view.state, &req.end) {
            (ClaimState::Completed(old), ClaimEnd::Completed(new)) if old.digest == new.digest => {
                if cx.faults.bill_resends {
                    record.bill(cx, &req.key, None, BillState::Charged, req.usage, req.at);
                }
                return CompleteReply::Recorded;
            }
            (ClaimState::Abandoned, ClaimEnd::Abandoned)
            | (ClaimState::Unknown, ClaimEnd::Unknown) => return CompleteReply::Recorded,
            (ClaimState::Completed(_) | ClaimState::Abandoned, _) => {
                return CompleteReply::Superseded;
            }
            (ClaimState::Open | ClaimState::Unknown, _) => {}
        }
        self.end(cx, req);
        CompleteReply::Recorded
    }

    /// Applies an operator's settling of an open billing entry. The claim stays
    /// unknown: an operator's word starts no second run.
    pub(super) fn settle(&mut self, cx: &mut Cx<'_>, req: &SettleRequest) -> bool {
        let Some(record) = self.records.get_mut(&req.key) else {
            return false;
        };
        if record.settled == Some(req.ran) {
            return true;
        }
        let open = record.bill.and_then(|seq| cx.bills.get(seq));
        let Some(bill) = open.filter(|bill| bill.state == BillState::Open) else {
            return false;
        };
        let at = bill.at;
        let state = settled_state(req.ran);
        let usage = if req.ran { req.usage } else { Usage::default() };
        record.settled = Some(req.ran);
        record.since = cx.clock;
        record.bill(cx, &req.key, record.bill, state, usage, at);
        self.due.insert((cx.clock, req.key.clone()));
        true
    }

    /// Ends open claims over their time as unknown, and drops ended ones.
    pub(super) fn expire(&mut self, cx: &mut Cx<'_>) {
        while let Some((since, key)) = self.due.first() {
            if *since + cx.retention.claims > cx.clock {
                return;
            }
            let key = key.clone();
            if self.is_open(&key) {
                self.end_as_unknown(cx, &key);
            } else {
                self.remove(&key);
            }
        }
    }

    /// Views a claim. What only a leader's clock tells is false.
    pub(super) fn view(&self, key: &ClaimKey) -> Option<&ClaimView> {
        self.records.get(key).map(|record| &record.view)
    }

    /// Finds the opening of a claim.
    pub(super) fn opening(&self, key: &ClaimKey) -> Option<Opening> {
        self.records.get(key).map(|record| Opening {
            opened: record.opened,
            window: record.window,
        })
    }

    /// Counts the claims.
    pub(super) fn len(&self) -> usize {
        self.records.len()
    }

    /// Counts the bytes of kept answer bodies.
    pub(super) fn body_bytes(&self) -> u64 {
        self.body_bytes
    }

    fn first(&mut self, cx: &mut Cx<'_>, req: &ClaimRequest) -> Outcome {
        if req.replaces != 0 {
            return Outcome::Denied(Denial::ClaimExpired);
        }
        if self.records.len() >= cx.retention.max_claims as usize {
            self.make_room(cx);
        }
        // Each open claim may still need a billing entry.
        let bills = cx.bills.len() + self.open as usize;
        if self.records.len() >= cx.retention.max_claims as usize
            || bills >= cx.retention.max_bills as usize
        {
            return Outcome::Denied(Denial::ClaimsFull);
        }
        self.open(cx, req, 1, None)
    }

    /// Forgets the oldest ended claim, if it ended long enough ago.
    ///
    /// A busy day would else fill the table and the next sheet be denied, to
    /// keep answers that nobody asks for any more. Callers send again within
    /// minutes; none that does finds its claim gone.
    fn make_room(&mut self, cx: &Cx<'_>) {
        let ended = |key: &ClaimKey| {
            self.records.get(key).is_some_and(|record| {
                matches!(
                    record.view.state,
                    ClaimState::Completed(_) | ClaimState::Abandoned
                )
            })
        };
        let oldest = self
            .due
            .iter()
            .take(MOST_LOOKED_AT)
            .find(|(since, key)| *since + LEAST_KEPT <= cx.clock && ended(key));
        if let Some(key) = oldest.map(|(_, key)| key.clone()) {
            self.remove(&key);
        }
    }

    /// Opens the next generation of a claim.
    fn renew(&mut self, cx: &mut Cx<'_>, req: &ClaimRequest) -> Outcome {
        let Some(old) = self.records.get(&req.key) else {
            return Outcome::Denied(Denial::ClaimExpired);
        };
        let generation = old.view.generation + 1;
        let bill = old.bill;
        self.remove(&req.key);
        self.open(cx, req, generation, bill)
    }

    fn open(
        &mut self,
        cx: &Cx<'_>,
        req: &ClaimRequest,
        generation: u32,
        bill: Option<BillSeq>,
    ) -> Outcome {
        let view = ClaimView {
            generation,
            digest: req.digest,
            request: req.request,
            claimant: req.claimant.clone(),
            target: req.target,
            version: req.version.clone(),
            state: ClaimState::Open,
            window_over: false,
            claimant_gone: false,
        };
        let record = Record {
            view,
            class: req.class.clone(),
            window: req.window,
            opened: cx.index,
            since: cx.clock,
            bill,
            settled: None,
            body_at: None,
        };
        self.open += 1;
        self.due.insert((cx.clock, req.key.clone()));
        self.records.insert(req.key.clone(), record);
        Outcome::Claim(ClaimReply::Granted(generation))
    }

    fn is_open(&self, key: &ClaimKey) -> bool {
        let record = self.records.get(key);
        record.is_some_and(|record| record.view.state == ClaimState::Open)
    }

    /// Ends a claim that nobody ended.
    ///
    /// Its entry may have died after sending, so the request may have run. With
    /// the claim simply dropped, a run would never be billed; the open entry
    /// asks an operator instead.
    fn end_as_unknown(&mut self, cx: &mut Cx<'_>, key: &ClaimKey) {
        let Some(record) = self.records.get(key) else {
            return;
        };
        let req = CompleteRequest {
            key: key.clone(),
            generation: record.view.generation,
            request: record.view.request,
            end: ClaimEnd::Unknown,
            usage: Usage::default(),
            at: 0,
        };
        self.end(cx, &req);
    }

    fn end(&mut self, cx: &mut Cx<'_>, req: &CompleteRequest) {
        let Some(record) = self.records.get_mut(&req.key) else {
            return;
        };
        if record.view.state == ClaimState::Open {
            self.open -= 1;
        }
        self.due.remove(&(record.since, req.key.clone()));
        // With an open billing entry the claim stays until that is settled.
        if req.end != ClaimEnd::Unknown {
            self.due.insert((cx.clock, req.key.clone()));
        }
        record.since = cx.clock;
        let replaces = record.bill;
        match &req.end {
            ClaimEnd::Completed(done) => {
                record.bill(
                    cx,
                    &req.key,
                    replaces,
                    BillState::Charged,
                    req.usage,
                    req.at,
                );
                record.view.state = ClaimState::Completed(done.clone());
            }
            ClaimEnd::Unknown => {
                record.bill(cx, &req.key, replaces, BillState::Open, req.usage, req.at);
                record.view.state = ClaimState::Unknown;
            }
            ClaimEnd::Abandoned => {
                if replaces.is_some() {
                    record.bill(
                        cx,
                        &req.key,
                        replaces,
                        BillState::Void,
                        Usage::default(),
                        req.at,
                    );
                }
                record.view.state = ClaimState::Abandoned;
            }
        }
        self.keep_body(cx, &req.key);
    }

    /// Counts the body of a completion, or drops it if it is over the cap.
    fn keep_body(&mut self, cx: &Cx<'_>, key: &ClaimKey) {
        let Some(record) = self.records.get_mut(key) else {
            return;
        };
        let Some(done) = record.completed_mut() else {
            return;
        };
        let Some(length) = done.body.as_ref().map(Vec::len) else {
            return;
        };
        if length > cx.retention.body_cap as usize {
            done.body = None;
            return;
        }
        record.body_at = Some(cx.index);
        self.bodies.insert(cx.index, key.clone());
        self.body_bytes += length as u64;
        while self.body_bytes > cx.retention.bodies_cap
            && let Some((_, oldest)) = self.bodies.first_key_value()
        {
            let oldest = oldest.clone();
            self.drop_body(&oldest);
        }
    }

    fn drop_body(&mut self, key: &ClaimKey) {
        let Some(record) = self.records.get_mut(key) else {
            return;
        };
        if let Some(at) = record.body_at.take() {
            self.bodies.remove(&at);
        }
        let body = record.completed_mut().and_then(|done| done.body.take());
        if let Some(body) = body {
            self.body_bytes -= body.len() as u64;
        }
    }

    fn remove(&mut self, key: &ClaimKey) {
        self.drop_body(key);
        if let Some(record) = self.records.remove(key) {
            self.due.remove(&(record.since, key.clone()));
            if record.view.state == ClaimState::Open {
                self.open -= 1;
            }
        }
    }
}

impl Record {
    fn completed_mut(&mut self) -> Option<&mut Completed> {
        match &mut self.view.state {
            ClaimState::Completed(done) => Some(done),
            ClaimState::Open | ClaimState::Abandoned | ClaimState::Unknown => None,
        }
    }

    /// Tells whether this claim was granted to the very same request.
    ///
    /// The answer to a claim can be lost with its leader, and the entry asks the
    /// next one. Without this the entry would find a claim of its own and take
    /// it for somebody else's. The generation must fit too: a late copy of an
    /// earlier request names a backend server that is no longer the claim's.
    fn granted_to(&self, req: &ClaimRequest) -> bool {
        self.view.state == ClaimState::Open
            && self.view.generation == req.replaces + 1
            && self.view.request == req.request
            && self.view.claimant == req.claimant
            && self.view.target == req.target
    }

    fn bill(
        &mut self,
        cx: &mut Cx<'_>,
        key: &ClaimKey,
        replaces: Option<BillSeq>,
        state: BillState,
        usage: Usage,
        at: UnixMillis,
    ) {
        let bill = Bill {
            seq: 0,
            key: key.clone(),
            request: self.view.request,
            class: self.class.clone(),
            version: self.view.version.clone(),
            usage,
            state,
            at,
        };
        self.bill = Some(cx.bills.write(cx.clock, replaces, bill));
    }
}

fn settled_state(ran: bool) -> BillState {
    if ran {
        BillState::Charged
    } else {
        BillState::Void
    }
}
