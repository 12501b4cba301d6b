//! Claims on requests that must run at most once.

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

/// Maximum dispatch window that a claim may request.
pub const MAX_DISPATCH_WINDOW: Duration = Duration::from_secs(60);

/// The kept claims.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub(super) struct Claims {
    /// Claims by key.
    records: BTreeMap<ClaimKey, Record>,
    /// Keys by the time at which their retention starts, oldest first.
    due: BTreeSet<(Duration, ClaimKey)>,
    /// Keys of the kept answer bodies, by the log index of the completion.
    bodies: BTreeMap<LogIndex, ClaimKey>,
    /// Total size of the kept answer bodies in bytes.
    body_bytes: u64,
    /// Number of open claims.
    open: u32,
}

/// Minimum time for which an ended claim is kept, even if the table is full.
const MIN_ENDED_AGE: Duration = Duration::from_secs(3600);

/// Maximum number of claims that are searched, oldest first, for one to evict.
const MAX_EVICTION_SCAN: usize = 64;

/// A claim with its retention and billing data.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
struct Record {
    view: ClaimView,
    class: ClassId,
    window: Duration,
    /// Log index of the last grant of the claim.
    granted_at: LogIndex,
    /// Log clock time at which retention starts.
    since: Duration,
    /// Sequence number of the billing entry.
    bill: Option<BillSeq>,
    /// Whether an operator declared that the request ran, if the billing entry
    /// was settled.
    settled: Option<bool>,
    /// Log index of the completion, if its answer body is kept.
    body_index: Option<LogIndex>,
}

/// Context of a command: its log index and the state that it may access besides
/// the claims.
pub(super) struct ApplyContext<'a> {
    pub(super) index: LogIndex,
    pub(super) clock: Duration,
    pub(super) retention: &'a Retention,
    pub(super) faults: &'a Faults,
    pub(super) bills: &'a mut Bills,
}

/// The last grant of a claim. The leader uses it to determine whether the
/// dispatch window is over.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ClaimGrant {
    /// Log index of the last grant of the claim.
    pub granted_at: LogIndex,
    /// Dispatch window of the grant.
    pub window: Duration,
}

impl Claims {
    /// Applies a claim request.
    pub(super) fn claim(&mut self, cx: &mut ApplyContext<'_>, req: &ClaimRequest) -> Outcome {
        if req.window > MAX_DISPATCH_WINDOW {
            return Outcome::Denied(Denial::WindowTooLong);
        }
        let Some(record) = self.records.get_mut(&req.key) else {
            return self.claim_first(cx, req);
        };
        if record.view.digest != req.digest {
            return Outcome::Claim(ClaimReply::Conflict);
        }
        if record.is_resend_of(req) {
            // The claimant may measure its window from this second request. The
            // new log index makes replicas restart the window, too.
            record.granted_at = cx.index;
            record.window = record.window.max(req.window);
            return Outcome::Claim(ClaimReply::Granted(record.view.generation));
        }
        let replaced = req.replaces == record.view.generation;
        if replaced && record.view.state == ClaimState::Abandoned {
            return self.replace(cx, req);
        }
        Outcome::Claim(ClaimReply::Existing(record.view.clone()))
    }

    /// Applies a claim that replaces an open claim whose claimant is gone.
    ///
    /// Two entries that both find the claimant gone would both send the
    /// request. The claim is therefore replaced by compare-and-set: its
    /// generation and its last grant must be those that the leader evaluated.
    pub(super) fn retake(&mut self, cx: &mut ApplyContext<'_>, retake: &Retake) -> Outcome {
        let req = &retake.claim;
        let Some(record) = self.records.get(&req.key) else {
            return Outcome::Denied(Denial::ClaimExpired);
        };
        let unchanged = req.replaces == record.view.generation
            && (retake.granted_at == record.granted_at || cx.faults.retake_any_grant);
        let same_body = record.view.digest == req.digest;
        if unchanged && same_body && record.view.state == ClaimState::Open {
            self.replace(cx, req)
        } else {
            self.claim(cx, req)
        }
    }

    /// Applies the end of a claim and writes its billing entry in the same
    /// command.
    pub(super) fn complete(
        &mut self,
        cx: &mut ApplyContext<'_>,
        req: &CompleteRequest,
    ) -> CompleteReply {
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

    /// Settles an open billing entry as declared by an operator. The claim
    /// stays unknown, so that the declaration cannot cause a second run.
    pub(super) fn settle(&mut self, cx: &mut ApplyContext<'_>, req: &SettleRequest) -> bool {
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

    /// Ends open claims whose retention has ended as unknown, and removes ended
    /// ones.
    pub(super) fn expire(&mut self, cx: &mut ApplyContext<'_>) {
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

    /// Returns a claim. The fields that depend on the leader's clock are
    /// `false`.
    pub(super) fn view(&self, key: &ClaimKey) -> Option<&ClaimView> {
        self.records.get(key).map(|record| &record.view)
    }

    /// Returns the last grant of a claim.
    pub(super) fn grant(&self, key: &ClaimKey) -> Option<ClaimGrant> {
        self.records.get(key).map(|record| ClaimGrant {
            granted_at: record.granted_at,
            window: record.window,
        })
    }

    /// Returns the number of claims.
    pub(super) fn len(&self) -> usize {
        self.records.len()
    }

    /// Returns the total size of the kept answer bodies in bytes.
    pub(super) fn body_bytes(&self) -> u64 {
        self.body_bytes
    }

    fn claim_first(&mut self, cx: &mut ApplyContext<'_>, req: &ClaimRequest) -> Outcome {
        if req.replaces != 0 {
            return Outcome::Denied(Denial::ClaimExpired);
        }
        if self.records.len() >= cx.retention.max_claims as usize {
            self.evict_oldest_ended(cx);
        }
        // Every open claim may still need a billing entry.
        let bills = cx.bills.len() + self.open as usize;
        if self.records.len() >= cx.retention.max_claims as usize
            || bills >= cx.retention.max_bills as usize
        {
            return Outcome::Denied(Denial::ClaimsFull);
        }
        self.open(cx, req, 1, None)
    }

    /// Evicts the oldest ended claim, if it ended long enough ago.
    ///
    /// Otherwise a busy day would fill the table, and new claims would be
    /// denied in order to keep answers that nobody requests any more. Callers
    /// resend within minutes, so no resend finds its claim evicted.
    fn evict_oldest_ended(&mut self, cx: &ApplyContext<'_>) {
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
            .take(MAX_EVICTION_SCAN)
            .find(|(since, key)| *since + MIN_ENDED_AGE <= cx.clock && ended(key));
        if let Some(key) = oldest.map(|(_, key)| key.clone()) {
            self.remove(&key);
        }
    }

    /// Replaces a claim by its next generation.
    fn replace(&mut self, cx: &mut ApplyContext<'_>, req: &ClaimRequest) -> Outcome {
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
        cx: &ApplyContext<'_>,
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
            granted_at: cx.index,
            since: cx.clock,
            bill,
            settled: None,
            body_index: None,
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

    /// Ends an open claim whose retention has ended.
    ///
    /// The entry may have crashed after it sent the request, so the request may
    /// have run. If the claim were removed, a run would never be billed; the
    /// open billing entry asks an operator to decide.
    fn end_as_unknown(&mut self, cx: &mut ApplyContext<'_>, key: &ClaimKey) {
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

    fn end(&mut self, cx: &mut ApplyContext<'_>, req: &CompleteRequest) {
        let Some(record) = self.records.get_mut(&req.key) else {
            return;
        };
        if record.view.state == ClaimState::Open {
            self.open -= 1;
        }
        self.due.remove(&(record.since, req.key.clone()));
        // While its billing entry is open, the claim does not expire.
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

    /// Accounts for the answer body of a completion, or drops it if it
    /// exceeds the size limit. The oldest bodies are dropped if the total size
    /// exceeds its limit.
    fn keep_body(&mut self, cx: &ApplyContext<'_>, key: &ClaimKey) {
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
        record.body_index = Some(cx.index);
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
        if let Some(at) = record.body_index.take() {
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

    /// Returns whether this claim was granted to the same request.
    ///
    /// The reply to a claim can be lost when the leader fails, and the entry
    /// then asks the next leader. Without this check, the entry would be told
    /// of its own claim and take it for the claim of another entry. The
    /// generation must match, too: a delayed copy of an earlier request names a
    /// backend server that is no longer the target of the claim.
    fn is_resend_of(&self, req: &ClaimRequest) -> bool {
        self.view.state == ClaimState::Open
            && self.view.generation == req.replaces + 1
            && self.view.request == req.request
            && self.view.claimant == req.claimant
            && self.view.target == req.target
    }

    fn bill(
        &mut self,
        cx: &mut ApplyContext<'_>,
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
        self.bill = Some(cx.bills.append(cx.clock, replaces, bill));
    }
}

fn settled_state(ran: bool) -> BillState {
    if ran {
        BillState::Charged
    } else {
        BillState::Void
    }
}
