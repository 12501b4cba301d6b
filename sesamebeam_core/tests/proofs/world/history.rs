//! History of the simulation: calls, their results, and runs at backend servers.

use std::{
    collections::{
        BTreeMap,
        BTreeSet, //
    },
    time::Duration, //
};

use sesamebeam_core::{
    entry::{
        event::{
            Arrival,
            ControlRequestId,
            Dispatch,
            DispatchKind,
            EntryAction,
            EntryEvent,
            SessionRef,
            SessionToken,
            Wanted, //
        },
        refusal::{
            Refusal,
            RunOutcome, //
        },
    },
    fleet::{
        Fleet,
        VersionState, //
    },
    ids::{
        Digest,
        IdempotencyKey,
        MonoTime,
        OrgId,
        RequestId,
        Revision,
        SessionId,
        VersionId, //
    },
    message::record::{
        BillState,
        ClaimKey,
        ClaimState,
        Completed, //
    },
};

use super::{
    EntryNo,
    Epoch,
    Event,
    World,
    entry_process::{
        EntryProcess,
        ProcessEvent, //
    },
    server::CHUNKS, //
};

/// Maximum transit time of a request that was sent under a lease.
pub(crate) const MAX_TRANSIT: Duration = Duration::from_millis(250);

/// Parameters of a call.
#[derive(Clone, Debug)]
pub(crate) struct Spec {
    pub(crate) org: OrgId,
    pub(crate) class: &'static str,
    pub(crate) key: Option<IdempotencyKey>,
    pub(crate) digest: Digest,
    pub(crate) session: Option<SessionRef>,
    pub(crate) wanted: Wanted,
    pub(crate) streamed: bool,
}

/// Final result of a call, as seen by the caller.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum CallResult {
    Complete,
    Refused(Refusal),
    /// The connection was lost, or the caller hung up.
    Lost,
}

/// A call.
#[derive(Clone, Debug)]
pub(crate) struct Call {
    pub(crate) request: RequestId,
    pub(crate) entry: EntryNo,
    pub(crate) spec: Spec,
    pub(crate) result: Option<CallResult>,
    pub(crate) version: Option<VersionId>,
    pub(crate) token: Option<SessionToken>,
    epoch: Epoch,
    arrived: MonoTime,
    /// Whether the entry's core has received it.
    pub(crate) received_by_entry: bool,
    /// When it was refused as not run, unless another call with its key was open.
    not_run: Option<MonoTime>,
    received: u64,
}

/// A run at a backend server.
#[derive(Clone, Debug)]
pub(crate) struct Run {
    pub(crate) at: MonoTime,
    pub(crate) call: usize,
    pub(crate) version: Option<VersionId>,
}

/// Everything recorded for checks of the guarantees.
#[derive(Default)]
pub(crate) struct History {
    pub(crate) calls: Vec<Call>,
    pub(crate) runs: Vec<Run>,
    /// When each revision was first reported as in force.
    pub(crate) in_force: BTreeMap<Revision, MonoTime>,
    /// Accepted fleet files by revision, with the time.
    pub(crate) accepted: BTreeMap<Revision, (MonoTime, Fleet)>,
    /// Sender of each request to the control group, by ticket.
    pub(crate) tickets: BTreeMap<u64, (EntryNo, Epoch, ControlRequestId)>,
    /// Digests of bodies that crash backend servers.
    pub(crate) crashing_bodies: BTreeSet<Digest>,
    /// Actions of the entries, if they are recorded.
    pub(crate) actions: Option<Vec<(MonoTime, EntryNo, EntryAction)>>,
    violations: Vec<String>,
}

impl Spec {
    pub(crate) fn new(org: &str, class: &'static str, digest: Digest) -> Self {
        Self {
            org: org.into(),
            class,
            key: None,
            digest,
            session: None,
            wanted: match class {
                "booking" => Wanted::Service("dispatch-api".into()),
                _ => Wanted::Model("beam".into()),
            },
            streamed: class != "booking",
        }
    }

    pub(crate) fn key(mut self, key: &str) -> Self {
        self.key = Some(key.into());
        self
    }

    fn at_most_once(&self) -> bool {
        matches!(self.class, "confirmation" | "booking")
    }

    fn body(&self) -> Vec<u8> {
        format!("answer to {} {:x}", self.org, self.digest).into_bytes()
    }

    fn has_same_key(&self, other: &Self) -> bool {
        self.key.is_some() && self.org == other.org && self.key == other.key
    }
}

impl World {
    /// Sends a call to an entry. Returns the index of the call.
    pub(crate) fn call(&mut self, entry: EntryNo, spec: Spec) -> usize {
        let at = self.history.calls.len();
        let request = RequestId::try_from(at + 1).unwrap() << 32;
        let process = &self.entries[entry];
        let up = process.core.is_some();
        let arrival = Arrival {
            request,
            org: spec.org.clone(),
            class: Some(spec.class.into()),
            wanted: spec.wanted.clone(),
            session: spec.session.clone(),
            key: spec.key.clone(),
            digest: spec.digest,
            safe_method: false,
            streamed: spec.streamed,
            prefix: 0,
            prompt_tokens: 10,
            max_tokens: 40,
        };
        self.history.calls.push(Call {
            request,
            entry,
            spec,
            result: (!up).then_some(CallResult::Lost),
            version: None,
            token: None,
            epoch: process.epoch,
            arrived: self.now,
            received_by_entry: false,
            not_run: None,
            received: 0,
        });
        let epoch = process.epoch;
        let event = ProcessEvent::Core(EntryEvent::Arrived(Box::new(arrival)));
        self.schedule(Duration::ZERO, Event::Entry(entry, epoch, event));
        at
    }

    /// Makes a caller hang up.
    pub(crate) fn hang_up(&mut self, call: usize) {
        let call = &mut self.history.calls[call];
        if call.result.is_none() {
            call.result = Some(CallResult::Lost);
            let (entry, epoch, request) = (call.entry, call.epoch, call.request);
            let event = ProcessEvent::Core(EntryEvent::CallerGone { request });
            self.schedule(Duration::ZERO, Event::Entry(entry, epoch, event));
        }
    }

    /// Runs until a call has its result.
    pub(crate) fn wait_result(&mut self, call: usize) -> CallResult {
        self.wait(|world| world.history.calls[call].result.clone())
    }

    /// Returns whether another call with the same key may still be in progress.
    pub(crate) fn has_open_duplicate(&self, request: RequestId) -> bool {
        let me = &self.history.calls[call_index(request)];
        self.history.calls.iter().any(|call| {
            let process = &self.entries[call.entry];
            let alive = process.epoch == call.epoch && process.core.is_some();
            let open = call.result.is_none()
                || process.frozen.is_some()
                || process
                    .core
                    .as_ref()
                    .is_some_and(|core| core.has(call.request));
            call.request != request && call.spec.has_same_key(&me.spec) && alive && open
        })
    }

    /// Ends all faults, waits for all calls to end, and checks the guarantees.
    pub(crate) fn settle_and_check(&mut self) {
        self.end_faults();
        for _ in 0..30 {
            self.run(Duration::from_secs(3));
            let open = self.history.calls.iter().any(|call| call.result.is_none());
            let busy = self.entries.iter().any(EntryProcess::is_busy);
            if !open && !busy {
                break;
            }
        }
        self.run(Duration::from_secs(6));
        for at in 0..self.entries.len() {
            let core = self.entries[at].core();
            let (left, slots) = (core.in_flight(), core.slots_held());
            if left > 0 || slots > 0 {
                let violation = format!("entry {at} holds {left} requests, {slots} slots");
                self.history.record_violation(violation);
            }
        }
        for at in 0..self.history.calls.len() {
            if self.history.calls[at].result.is_none() {
                self.history
                    .record_violation(format!("call {at} has no result"));
            }
        }
        self.check_bills();
        self.history.check_sessions();
    }

    /// Checks the billing entries against the runs and the results of calls.
    fn check_bills(&mut self) {
        let leader = self.wait(|world| world.leader());
        let state = self.nodes[&leader].core.as_ref().unwrap().state();
        let mut violations = Vec::new();
        let keys: BTreeSet<ClaimKey> = self.history.keys();
        let bills = state.bills(1, 10_000);
        for key in keys {
            let of_key: Vec<_> = bills.iter().filter(|b| b.key == key).collect();
            let states: Vec<BillState> = of_key.iter().map(|b| b.state).collect();
            let claim = state.claim(&key).map(|view| &view.state);
            let good = match claim {
                None | Some(ClaimState::Open) => states.is_empty(),
                Some(ClaimState::Completed(_)) => states == [BillState::Charged],
                Some(ClaimState::Unknown) => states == [BillState::Open],
                Some(ClaimState::Abandoned) => matches!(states[..], [] | [BillState::Void]),
            };
            // A claim whose entry is down ends when its key is used again, or as
            // unknown after its retention.
            let owner = state.claim(&key).map(|view| &view.claimant);
            let alive = self.entries.iter().any(|process| {
                owner.is_some_and(|o| {
                    o.instance == process.cfg.instance && o.incarnation == process.epoch
                })
            });
            let whole = self.history.was_complete(&key);
            let charged = states == [BillState::Charged];
            let unbilled = whole && !charged && alive;
            let unfounded = charged && !self.history.has_run(&key);
            if !good || unbilled || unfounded {
                let violation = format!("{key:?}: {claim:?}, {states:?}, whole {whole}");
                violations.push(violation);
            }
            if alive && claim == Some(&ClaimState::Open) {
                violations.push(format!("{key:?}: its claim is still open"));
            }
        }
        violations
            .into_iter()
            .for_each(|f| self.history.record_violation(f));
    }
}

impl History {
    pub(crate) fn record_violation(&mut self, violation: String) {
        self.violations.push(violation);
    }

    /// Violations of guarantees so far.
    pub(crate) fn violations(&self) -> &[String] {
        &self.violations
    }

    /// Returns the number of runs of a key.
    pub(crate) fn runs_of(&self, key: &str) -> usize {
        let of = |r: &&Run| self.calls[r.call].spec.key.as_deref() == Some(key);
        self.runs.iter().filter(of).count()
    }

    pub(crate) fn record_accepted(&mut self, now: MonoTime, revision: Revision, fleet: &Fleet) {
        self.accepted
            .entry(revision)
            .or_insert((now, fleet.clone()));
    }

    pub(crate) fn body(&self, request: RequestId) -> Vec<u8> {
        self.calls[call_index(request)].spec.body()
    }

    pub(crate) fn is_crashing(&self, request: RequestId) -> bool {
        self.crashing_bodies
            .contains(&self.calls[call_index(request)].spec.digest)
    }

    pub(crate) fn drop_calls(&mut self, entry: EntryNo) {
        for call in self.calls.iter_mut().filter(|c| c.entry == entry) {
            call.result.get_or_insert(CallResult::Lost);
        }
    }

    pub(crate) fn open_at(&self, entry: EntryNo) -> Option<usize> {
        self.calls
            .iter()
            .position(|c| c.entry == entry && c.received_by_entry && c.result.is_none())
    }

    pub(crate) fn record_event(&mut self, event: &EntryEvent) {
        if let EntryEvent::Arrived(arrival) = event {
            self.calls[call_index(arrival.request)].received_by_entry = true;
        }
    }

    pub(crate) fn record_action(&mut self, now: MonoTime, at: EntryNo, action: &EntryAction) {
        if let Some(actions) = &mut self.actions {
            actions.push((now, at, action.clone()));
        }
    }

    /// Records that an attempt is sent.
    pub(crate) fn record_dispatch(&mut self, dispatch: &Dispatch) {
        let call = &mut self.calls[call_index(dispatch.request)];
        if dispatch.headers.session.is_some() {
            call.token.clone_from(&dispatch.headers.session);
        }
        call.version.clone_from(&dispatch.version);
        let restarted = !matches!(dispatch.kind, DispatchKind::Resume { events } if events > 0);
        if restarted && !dispatch.hold {
            if call.spec.streamed && call.received > 0 && call.result.is_none() {
                let violation =
                    format!("request {:x} received parts of two responses", call.request);
                self.violations.push(violation);
            }
            call.received = 0;
        }
    }

    pub(crate) fn record_chunk(&mut self, request: RequestId, n: u64, hold: bool) {
        let call = &mut self.calls[call_index(request)];
        if hold {
            return;
        }
        if n != call.received + 1 {
            self.violations.push(format!(
                "request {request:x} received part {n} after {}",
                call.received
            ));
        }
        call.received = n;
    }

    pub(crate) fn record_release(&mut self, request: RequestId) {
        self.calls[call_index(request)].received = CHUNKS;
    }

    pub(crate) fn record_finish(&mut self, now: MonoTime, request: RequestId) {
        let call = &self.calls[call_index(request)];
        let engine = !matches!(call.spec.wanted, Wanted::Service(_));
        if engine && call.received != CHUNKS {
            self.record_violation(format!("request {request:x} finished truncated"));
        }
        self.record_result(now, request, CallResult::Complete, false);
    }

    pub(crate) fn record_replay(&mut self, request: RequestId, answer: &Completed) {
        self.check_body(request, answer);
        self.record_result(MonoTime::ZERO, request, CallResult::Complete, false);
    }

    pub(crate) fn check_body(&mut self, request: RequestId, answer: &Completed) {
        if answer
            .body
            .as_ref()
            .is_some_and(|body| *body != self.body(request))
        {
            self.record_violation(format!(
                "request {request:x} received the response of another request"
            ));
        }
    }

    /// Records the result of a call. A refusal as not run is checked against all
    /// earlier and later runs.
    pub(crate) fn record_result(
        &mut self,
        now: MonoTime,
        request: RequestId,
        result: CallResult,
        has_duplicate: bool,
    ) {
        let at = call_index(request);
        if matches!(
            self.calls[at].result,
            Some(CallResult::Complete | CallResult::Refused(_))
        ) {
            self.record_violation(format!("call {at} has two results"));
        }
        if matches!(&result, CallResult::Refused(r) if r.outcome == RunOutcome::NotRun) {
            let ran = self.runs.iter().any(|run| self.is_same_work(at, run.call));
            if ran {
                self.record_violation(format!(
                    "call {at} was refused as not run, but ran: {result:?}"
                ));
            }
            if !has_duplicate {
                self.calls[at].not_run = Some(now);
            }
        }
        self.calls[at].result.get_or_insert(result);
    }

    /// Records the start of a run and checks it.
    pub(crate) fn record_run(&mut self, now: MonoTime, dispatch: &Dispatch, lease_held: bool) {
        let at = call_index(dispatch.request);
        let spec = self.calls[at].spec.clone();
        let later = self.calls.iter().enumerate().any(|(other, call)| {
            call.not_run
                .is_some_and(|told| self.calls[at].arrived < told)
                && self.is_same_work(other, at)
        });
        if later {
            self.record_violation(format!("call {at} ran after it was refused as not run"));
        }
        if spec.at_most_once() {
            let before = |run: &&Run| self.calls[run.call].spec.has_same_key(&spec);
            if let Some(run) = self.runs.iter().find(before).cloned() {
                self.record_violation(format!("call {at} ran again after {run:?}"));
            }
        }
        if let Some(version) = &dispatch.version {
            self.check_version(now, at, version, lease_held);
        }
        self.runs.push(Run {
            at: now,
            call: at,
            version: dispatch.version.clone(),
        });
    }

    /// Returns whether a run of one call contradicts "not run" for another.
    fn is_same_work(&self, told: usize, ran: usize) -> bool {
        let (a, b) = (&self.calls[told].spec, &self.calls[ran].spec);
        told == ran || a.at_most_once() && a.has_same_key(b) && a.digest == b.digest
    }

    fn check_version(&mut self, now: MonoTime, at: usize, version: &VersionId, lease_held: bool) {
        let org = &self.calls[at].spec.org;
        let allowed = |(_, fleet): &(MonoTime, Fleet)| {
            let org = fleet.organisation(org);
            org.is_some_and(|org| org.allow.contains(version))
        };
        if !self.accepted.values().any(allowed) {
            self.record_violation(format!("call {at} ran on {version}, which is not allowed"));
        }
        let since = self
            .accepted
            .iter()
            .find(|(_, (_, fleet))| withdrawn(fleet, version));
        let Some((revision, _)) = since else { return };
        let in_force = self.in_force.range(revision..).map(|(_, at)| *at).min();
        // An entry without its lease serves settled versions, as documented; a
        // revision comes into force without the entries that have no lease.
        if lease_held && in_force.is_some_and(|from| from + MAX_TRANSIT < now) {
            self.record_violation(format!(
                "call {at} ran on {version}, withdrawn since {in_force:?}"
            ));
        }
    }

    /// Checks that each session keeps one version unless it is withdrawn.
    fn check_sessions(&mut self) {
        let mut by_session: BTreeMap<(OrgId, SessionId), Vec<(MonoTime, VersionId)>> =
            BTreeMap::new();
        for run in &self.runs {
            let call = &self.calls[run.call];
            let name = match &call.spec.session {
                Some(SessionRef::Name(name) | SessionRef::New(name)) => name.clone(),
                Some(SessionRef::Token(token)) => token.session.clone(),
                None => continue,
            };
            if let Some(version) = &run.version {
                let seen = by_session.entry((call.spec.org.clone(), name)).or_default();
                seen.push((run.at, version.clone()));
            }
        }
        for (session, seen) in by_session {
            let in_use: BTreeSet<&VersionId> = seen
                .iter()
                .filter(|(at, version)| self.withdrawn_at(version).is_none_or(|from| *at < from))
                .map(|(_, version)| version)
                .collect();
            let changed = in_use
                .iter()
                .filter(|v| self.withdrawn_at(v).is_none())
                .count();
            let early = seen.windows(2).any(|pair| {
                pair[0].1 != pair[1].1
                    && self
                        .withdrawn_at(&pair[0].1)
                        .is_none_or(|from| pair[1].0 < from)
                    && self.withdrawn_at(&pair[1].1).is_none()
            });
            if changed > 1 || early {
                self.violations
                    .push(format!("session {session:?} ran on {seen:?}"));
            }
        }
    }

    fn withdrawn_at(&self, version: &str) -> Option<MonoTime> {
        let found = self.accepted.values().find(|(_, f)| withdrawn(f, version));
        found.map(|(at, _)| *at)
    }

    fn keys(&self) -> BTreeSet<ClaimKey> {
        let once = self.calls.iter().filter(|call| call.spec.at_most_once());
        once.filter_map(|call| {
            Some(ClaimKey {
                org: call.spec.org.clone(),
                key: call.spec.key.clone()?,
            })
        })
        .collect()
    }

    fn of_key<'a>(&'a self, key: &ClaimKey) -> impl Iterator<Item = usize> + use<'a> {
        let key = key.clone();
        (0..self.calls.len()).filter(move |at| {
            let spec = &self.calls[*at].spec;
            spec.org == key.org && spec.key.as_ref() == Some(&key.key)
        })
    }

    fn was_complete(&self, key: &ClaimKey) -> bool {
        self.of_key(key)
            .any(|at| self.calls[at].result == Some(CallResult::Complete))
    }

    fn has_run(&self, key: &ClaimKey) -> bool {
        self.of_key(key)
            .any(|at| self.runs.iter().any(|run| run.call == at))
    }
}

/// Returns the index of the call that a request id belongs to.
fn call_index(request: RequestId) -> usize {
    usize::try_from((request >> 32) - 1).unwrap()
}

fn withdrawn(fleet: &Fleet, version: &str) -> bool {
    let found = fleet.version(version);
    found.is_none_or(|(_, v)| v.state == VersionState::Withdrawn)
}
