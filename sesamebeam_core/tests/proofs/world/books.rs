//! Books of the world: what callers asked and were told, what really ran.

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
    Event,
    Life,
    World,
    edge::{
        Edge,
        EdgeEvent, //
    },
    server::CHUNKS, //
};

/// Time after which what was sent under a lease has arrived.
pub(crate) const UNDER_WAY: Duration = Duration::from_millis(250);

/// What a caller asks.
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

/// What a caller was told in the end.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Told {
    Whole,
    Refused(Refusal),
    /// Its connection was lost, or it hung up.
    Lost,
}

/// One call.
#[derive(Clone, Debug)]
pub(crate) struct Call {
    pub(crate) request: RequestId,
    pub(crate) entry: EntryNo,
    pub(crate) spec: Spec,
    pub(crate) told: Option<Told>,
    pub(crate) version: Option<VersionId>,
    pub(crate) token: Option<SessionToken>,
    life: Life,
    arrived: MonoTime,
    /// Whether the entry's process has taken it up.
    pub(crate) taken: bool,
    /// When it was told "not run", unless another call with its key was open.
    not_run: Option<MonoTime>,
    got: u64,
}

/// One run at a backend server.
#[derive(Clone, Debug)]
pub(crate) struct Run {
    pub(crate) at: MonoTime,
    pub(crate) call: usize,
    pub(crate) version: Option<VersionId>,
}

/// All books.
#[derive(Default)]
pub(crate) struct Books {
    pub(crate) calls: Vec<Call>,
    pub(crate) runs: Vec<Run>,
    /// When each revision was first told to be in force.
    pub(crate) in_force: BTreeMap<Revision, MonoTime>,
    /// Fleet files accepted, by revision, and when.
    pub(crate) accepted: BTreeMap<Revision, (MonoTime, Fleet)>,
    /// Who asked the control group under which ticket.
    pub(crate) tickets: BTreeMap<u64, (EntryNo, Life, ControlRequestId)>,
    /// Bodies that crash backend servers.
    pub(crate) killers: BTreeSet<Digest>,
    /// Messages on the interfaces, if they are wanted.
    pub(crate) seen: Option<Vec<(MonoTime, EntryNo, EntryAction)>>,
    faults: Vec<String>,
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

    fn once(&self) -> bool {
        matches!(self.class, "confirmation" | "booking")
    }

    fn body(&self) -> Vec<u8> {
        format!("answer to {} {:x}", self.org, self.digest).into_bytes()
    }

    fn same_key(&self, other: &Self) -> bool {
        self.key.is_some() && self.org == other.org && self.key == other.key
    }
}

impl World {
    /// Lets a caller ask an entry. Returns the number of the call.
    pub(crate) fn call(&mut self, entry: EntryNo, spec: Spec) -> usize {
        let at = self.books.calls.len();
        let request = RequestId::try_from(at + 1).unwrap() << 32;
        let edge = &self.entries[entry];
        let up = edge.core.is_some();
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
        self.books.calls.push(Call {
            request,
            entry,
            spec,
            told: (!up).then_some(Told::Lost),
            version: None,
            token: None,
            life: edge.life,
            arrived: self.now,
            taken: false,
            not_run: None,
            got: 0,
        });
        let life = edge.life;
        let event = EdgeEvent::Core(EntryEvent::Arrived(Box::new(arrival)));
        self.later(Duration::ZERO, Event::Edge(entry, life, event));
        at
    }

    /// Lets a caller hang up.
    pub(crate) fn hang_up(&mut self, call: usize) {
        let call = &mut self.books.calls[call];
        if call.told.is_none() {
            call.told = Some(Told::Lost);
            let (entry, life, request) = (call.entry, call.life, call.request);
            let event = EdgeEvent::Core(EntryEvent::CallerGone { request });
            self.later(Duration::ZERO, Event::Edge(entry, life, event));
        }
    }

    /// Waits until a call has its final answer.
    pub(crate) fn answer(&mut self, call: usize) -> Told {
        self.wait(|world| world.books.calls[call].told.clone())
    }

    /// Whether another call with the same key may still go on.
    pub(crate) fn open_elsewhere(&self, request: RequestId) -> bool {
        let me = &self.books.calls[number(request)];
        self.books.calls.iter().any(|call| {
            let edge = &self.entries[call.entry];
            let alive = edge.life == call.life && edge.core.is_some();
            let open = call.told.is_none()
                || edge.frozen.is_some()
                || edge
                    .core
                    .as_ref()
                    .is_some_and(|core| core.has(call.request));
            call.request != request && call.spec.same_key(&me.spec) && alive && open
        })
    }

    /// Checks what holds once every fault is over, and that all came to an end.
    pub(crate) fn settle(&mut self) {
        self.heal();
        for _ in 0..30 {
            self.run(Duration::from_secs(3));
            let open = self.books.calls.iter().any(|call| call.told.is_none());
            let busy = self.entries.iter().any(Edge::is_busy);
            if !open && !busy {
                break;
            }
        }
        self.run(Duration::from_secs(6));
        for at in 0..self.entries.len() {
            let core = self.entries[at].core();
            let (left, slots) = (core.in_flight(), core.slots_held());
            if left > 0 || slots > 0 {
                let fault = format!("entry {at} holds {left} requests, {slots} slots");
                self.books.fault(fault);
            }
        }
        for at in 0..self.books.calls.len() {
            if self.books.calls[at].told.is_none() {
                self.books.fault(format!("call {at} never ended"));
            }
        }
        self.check_bills();
        self.books.check_sessions();
    }

    /// Checks the billing entries against what ran and what callers were told.
    fn check_bills(&mut self) {
        let leader = self.wait(|world| world.leader());
        let state = self.nodes[&leader].core.as_ref().unwrap().state();
        let mut faults = Vec::new();
        let keys: BTreeSet<ClaimKey> = self.books.keys();
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
            // A claim whose entry died ends when its key is used again, or as
            // unknown when its retention is over.
            let owner = state.claim(&key).map(|view| &view.claimant);
            let alive = self.entries.iter().any(|edge| {
                owner.is_some_and(|o| o.instance == edge.cfg.instance && o.incarnation == edge.life)
            });
            let whole = self.books.was_whole(&key);
            let charged = states == [BillState::Charged];
            let unbilled = whole && !charged && alive;
            let unfounded = charged && !self.books.ran_key(&key);
            if !good || unbilled || unfounded {
                let fault = format!("{key:?}: {claim:?}, {states:?}, whole {whole}");
                faults.push(fault);
            }
            if alive && claim == Some(&ClaimState::Open) {
                faults.push(format!("{key:?}: its claim never ended"));
            }
        }
        faults.into_iter().for_each(|f| self.books.fault(f));
    }
}

impl Books {
    pub(crate) fn fault(&mut self, fault: String) {
        self.faults.push(fault);
    }

    /// Promises that were broken so far.
    pub(crate) fn broken(&self) -> &[String] {
        &self.faults
    }

    /// Runs of one key.
    pub(crate) fn runs_of(&self, key: &str) -> usize {
        let of = |r: &&Run| self.calls[r.call].spec.key.as_deref() == Some(key);
        self.runs.iter().filter(of).count()
    }

    pub(crate) fn accept(&mut self, now: MonoTime, revision: Revision, fleet: &Fleet) {
        self.accepted
            .entry(revision)
            .or_insert((now, fleet.clone()));
    }

    pub(crate) fn body(&self, request: RequestId) -> Vec<u8> {
        self.calls[number(request)].spec.body()
    }

    pub(crate) fn kills(&self, request: RequestId) -> bool {
        self.killers
            .contains(&self.calls[number(request)].spec.digest)
    }

    pub(crate) fn lose(&mut self, entry: EntryNo) {
        for call in self.calls.iter_mut().filter(|c| c.entry == entry) {
            call.told.get_or_insert(Told::Lost);
        }
    }

    pub(crate) fn open_at(&self, entry: EntryNo) -> Option<usize> {
        self.calls
            .iter()
            .position(|c| c.entry == entry && c.taken && c.told.is_none())
    }

    pub(crate) fn take(&mut self, event: &EntryEvent) {
        if let EntryEvent::Arrived(arrival) = event {
            self.calls[number(arrival.request)].taken = true;
        }
    }

    pub(crate) fn seen(&mut self, now: MonoTime, at: EntryNo, action: &EntryAction) {
        if let Some(seen) = &mut self.seen {
            seen.push((now, at, action.clone()));
        }
    }

    /// A request, or a resume, is sent.
    pub(crate) fn dispatched(&mut self, dispatch: &Dispatch) {
        let call = &mut self.calls[number(dispatch.request)];
        if dispatch.headers.session.is_some() {
            call.token.clone_from(&dispatch.headers.session);
        }
        call.version.clone_from(&dispatch.version);
        let anew = !matches!(dispatch.kind, DispatchKind::Resume { events } if events > 0);
        if anew && !dispatch.hold {
            if call.spec.streamed && call.got > 0 && call.told.is_none() {
                let fault = format!("request {:x} got parts of two answers", call.request);
                self.faults.push(fault);
            }
            call.got = 0;
        }
    }

    pub(crate) fn chunk(&mut self, request: RequestId, n: u64, hold: bool) {
        let call = &mut self.calls[number(request)];
        if hold {
            return;
        }
        if n != call.got + 1 {
            self.faults.push(format!(
                "request {request:x} got part {n} after {}",
                call.got
            ));
        }
        call.got = n;
    }

    pub(crate) fn released(&mut self, request: RequestId) {
        self.calls[number(request)].got = CHUNKS;
    }

    pub(crate) fn finish(&mut self, now: MonoTime, request: RequestId) {
        let call = &self.calls[number(request)];
        let engine = !matches!(call.spec.wanted, Wanted::Service(_));
        if engine && call.got != CHUNKS {
            self.fault(format!("request {request:x} finished truncated"));
        }
        self.tell(now, request, Told::Whole, false);
    }

    pub(crate) fn replayed(&mut self, request: RequestId, answer: &Completed) {
        self.check_body(request, answer);
        self.tell(MonoTime::ZERO, request, Told::Whole, false);
    }

    pub(crate) fn check_body(&mut self, request: RequestId, answer: &Completed) {
        if answer
            .body
            .as_ref()
            .is_some_and(|body| *body != self.body(request))
        {
            self.fault(format!("request {request:x} got another's answer"));
        }
    }

    /// A caller is told how its call ends. "Not run" is checked at once, and
    /// against every later run.
    pub(crate) fn tell(&mut self, now: MonoTime, request: RequestId, told: Told, others: bool) {
        let at = number(request);
        if matches!(self.calls[at].told, Some(Told::Whole | Told::Refused(_))) {
            self.fault(format!("call {at} ended twice"));
        }
        if matches!(&told, Told::Refused(r) if r.outcome == RunOutcome::NotRun) {
            let ran = self.runs.iter().any(|run| self.same_work(at, run.call));
            if ran {
                self.fault(format!("call {at} was told not run, but ran: {told:?}"));
            }
            if !others {
                self.calls[at].not_run = Some(now);
            }
        }
        self.calls[at].told.get_or_insert(told);
    }

    /// A backend server starts a run.
    pub(crate) fn ran(&mut self, now: MonoTime, dispatch: &Dispatch, leased: bool) {
        let at = number(dispatch.request);
        let spec = self.calls[at].spec.clone();
        let later = self.calls.iter().enumerate().any(|(other, call)| {
            call.not_run
                .is_some_and(|told| self.calls[at].arrived < told)
                && self.same_work(other, at)
        });
        if later {
            self.fault(format!("call {at} ran after its caller was told not run"));
        }
        if spec.once() {
            let before = |run: &&Run| self.calls[run.call].spec.same_key(&spec);
            if let Some(run) = self.runs.iter().find(before).cloned() {
                self.fault(format!("call {at} ran again after {run:?}"));
            }
        }
        if let Some(version) = &dispatch.version {
            self.check_version(now, at, version, leased);
        }
        self.runs.push(Run {
            at: now,
            call: at,
            version: dispatch.version.clone(),
        });
    }

    /// Whether a run of one call makes "not run" untrue for another.
    fn same_work(&self, told: usize, ran: usize) -> bool {
        let (a, b) = (&self.calls[told].spec, &self.calls[ran].spec);
        told == ran || a.once() && a.same_key(b) && a.digest == b.digest
    }

    fn check_version(&mut self, now: MonoTime, at: usize, version: &VersionId, leased: bool) {
        let org = &self.calls[at].spec.org;
        let allowed = |(_, fleet): &(MonoTime, Fleet)| {
            let org = fleet.organisation(org);
            org.is_some_and(|org| org.allow.contains(version))
        };
        if !self.accepted.values().any(allowed) {
            self.fault(format!("call {at} ran on {version}, which is not allowed"));
        }
        let since = self
            .accepted
            .iter()
            .find(|(_, (_, fleet))| withdrawn(fleet, version));
        let Some((revision, _)) = since else { return };
        let in_force = self.in_force.range(revision..).map(|(_, at)| *at).min();
        // An entry without its lease serves settled versions: it is told so in
        // the docs, and the lease is why the revision is in force elsewhere.
        if leased && in_force.is_some_and(|from| from + UNDER_WAY < now) {
            self.fault(format!(
                "call {at} ran on {version}, withdrawn since {in_force:?}"
            ));
        }
    }

    /// A session has one version, but for one whose version was withdrawn.
    fn check_sessions(&mut self) {
        let mut of: BTreeMap<(OrgId, SessionId), Vec<(MonoTime, VersionId)>> = BTreeMap::new();
        for run in &self.runs {
            let call = &self.calls[run.call];
            let name = match &call.spec.session {
                Some(SessionRef::Name(name) | SessionRef::New(name)) => name.clone(),
                Some(SessionRef::Token(token)) => token.session.clone(),
                None => continue,
            };
            if let Some(version) = &run.version {
                let seen = of.entry((call.spec.org.clone(), name)).or_default();
                seen.push((run.at, version.clone()));
            }
        }
        for (session, seen) in of {
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
                self.faults
                    .push(format!("session {session:?} ran on {seen:?}"));
            }
        }
    }

    fn withdrawn_at(&self, version: &str) -> Option<MonoTime> {
        let found = self.accepted.values().find(|(_, f)| withdrawn(f, version));
        found.map(|(at, _)| *at)
    }

    fn keys(&self) -> BTreeSet<ClaimKey> {
        let once = self.calls.iter().filter(|call| call.spec.once());
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

    fn was_whole(&self, key: &ClaimKey) -> bool {
        self.of_key(key)
            .any(|at| self.calls[at].told == Some(Told::Whole))
    }

    fn ran_key(&self, key: &ClaimKey) -> bool {
        self.of_key(key)
            .any(|at| self.runs.iter().any(|run| run.call == at))
    }
}

/// Number of the call that a request id belongs to.
fn number(request: RequestId) -> usize {
    usize::try_from((request >> 32) - 1).unwrap()
}

fn withdrawn(fleet: &Fleet, version: &str) -> bool {
    let found = fleet.version(version);
    found.is_none_or(|(_, v)| v.state == VersionState::Withdrawn)
}
