//! From arrival to the queue: checks, session, plan.

use super::{
    EntryCore,
    ask::AskFor,
    event::{
        Arrival,
        EntryAction,
        SessionRef,
        SessionToken,
        Wanted, //
    },
    refusal::{
        Reason,
        Refusal,
        RunOutcome, //
    },
    request::{
        Phase,
        Request, //
    },
    view::Usable, //
};
use crate::{
    ids::{
        ANY_MODEL,
        ModelId,
        MonoTime,
        RequestId,
        SessionId,
        VersionId, //
    },
    message::{
        control::ControlRequest,
        record::{
            PinKey,
            PinRequest,
            PinView, //
        }, //
    },
    policy::plan::Plan,
};

impl EntryCore {
    /// Takes a caller's request.
    pub(super) fn arrive(&mut self, now: MonoTime, arrival: Arrival) {
        let id = arrival.request;
        match self.admit(now, arrival) {
            Ok(req) => {
                self.requests.insert(id, req);
                self.explain.arrived(now, id, &self.requests[&id].arrival);
                self.plan(now, id);
            }
            // Nothing was claimed or sent under this id, and for a key that
            // may be in use the refusals of `admit` say nothing of the key.
            Err(refusal) => self.out.push(EntryAction::Refuse {
                request: id,
                refusal,
            }),
        }
    }

    fn admit(&mut self, now: MonoTime, arrival: Arrival) -> Result<Request, Refusal> {
        let keyed = arrival.key.is_some();
        if self.stopping {
            return Err(early(Reason::Stopping, keyed, Some(self.cfg.retry_after)));
        }
        if self.requests.len() >= self.cfg.max_in_flight {
            return Err(early(Reason::Overloaded, keyed, Some(self.cfg.retry_after)));
        }
        if self.view.revision() == 0 {
            let after = Some(self.cfg.retry_after);
            return Err(early(Reason::NoConfiguration, keyed, after));
        }
        if self.view.organisation(&arrival.org).is_none() {
            return Err(early(Reason::UnknownOrganisation, keyed, None));
        }
        let service = match &arrival.wanted {
            Wanted::Service(pool) => Some(pool.as_str()),
            _ => None,
        };
        let Some(class) = self.view.class(arrival.class.as_deref(), service) else {
            return Err(early(Reason::UnknownClass, keyed, None));
        };
        if class.service.as_deref() != service {
            return Err(early(Reason::UnknownClass, keyed, None));
        }
        let safe = service.is_some() && arrival.safe_method;
        let once = !class.idempotent && !safe;
        if once && !keyed {
            return Err(early(Reason::KeyMissing, false, None));
        }
        if service.is_some_and(|pool| self.view.service(pool).is_none()) {
            return Err(early(Reason::UnknownService, keyed, None));
        }
        self.retries.request(&arrival.org);
        self.hedges.request(class);
        let mut req = Request::new(now, arrival, class, once);
        if let Wanted::Service(pool) = &req.arrival.wanted {
            req.pool = pool.clone();
        }
        Ok(req)
    }

    /// Chooses the versions of a request, with the session's own first.
    pub(super) fn plan(&mut self, now: MonoTime, id: RequestId) {
        let Some(req) = self.requests.get(&id) else {
            return;
        };
        if self.fingerprint_blocked(req.arrival.digest) {
            return self.give_up(now, id, Reason::Quarantined, None);
        }
        if matches!(req.arrival.wanted, Wanted::Service(_)) {
            return self.enqueue(now, id);
        }
        match self.session_version(now, id) {
            Session::Pinned(version) => self.take_plan(now, id, Plan::Single(version)),
            Session::None => match self.choose(now, id) {
                Ok(plan) => self.take_plan(now, id, plan),
                Err(reason) => self.give_up(now, id, reason, None),
            },
            Session::Fresh(name) => self.begin_session(now, id, name),
            Session::Wanted(key, replaces) => self.propose_pin(now, id, key, replaces),
            Session::Unreachable => {
                let after = Some(self.cfg.retry_after);
                self.give_up(now, id, Reason::SessionUnreachable, after);
            }
        }
    }

    /// Takes a plan and waits for a slot.
    pub(super) fn take_plan(&mut self, now: MonoTime, id: RequestId, plan: Plan) {
        let Some(req) = self.requests.get_mut(&id) else {
            return;
        };
        req.plan = Some(plan);
        req.second = false;
        self.enter_step(now, id);
    }

    /// Enters the present step of the plan.
    pub(super) fn enter_step(&mut self, now: MonoTime, id: RequestId) {
        let Some(req) = self.requests.get(&id) else {
            return;
        };
        let pool = req
            .version()
            .and_then(|version| self.view.version(version))
            .map(|(_, pool)| pool.clone());
        let Some(pool) = pool else {
            return self.give_up(now, id, Reason::NotAllowed, None);
        };
        if let Some(req) = self.requests.get_mut(&id) {
            req.pool = pool;
            req.avoid.clear();
        }
        self.enqueue(now, id);
    }

    /// Answer to a pin.
    pub(super) fn pinned(&mut self, now: MonoTime, id: RequestId, pin: Option<PinView>) {
        let Some(req) = self.requests.get(&id) else {
            return;
        };
        let Some(SessionRef::Name(session)) = req.arrival.session.clone().map(as_name) else {
            return;
        };
        let Some(pin) = pin else {
            let after = Some(self.cfg.retry_after);
            return self.give_up(now, id, Reason::SessionUnreachable, after);
        };
        let org = req.arrival.org.clone();
        if let Some(model) = self.wanted_model(&req.arrival.wanted) {
            let key = PinKey {
                org: org.clone(),
                session: session.clone(),
                model,
            };
            self.pins.insert(key, pin.clone());
        }
        // The record may name a version that was withdrawn since; the planner
        // then asks for the next generation.
        match self.keeps(now, &org, &pin.version) {
            Keeps::Yes => {}
            Keeps::NotNow => {
                let after = Some(self.cfg.retry_after);
                return self.give_up(now, id, Reason::SessionUnreachable, after);
            }
            Keeps::Ended => return self.plan(now, id),
        }
        if let Some(req) = self.requests.get_mut(&id) {
            req.session = Some(SessionToken {
                org,
                session,
                version: pin.version.clone(),
                generation: pin.generation,
            });
        }
        self.take_plan(now, id, Plan::Single(pin.version));
    }

    fn session_version(&mut self, now: MonoTime, id: RequestId) -> Session {
        let req = &self.requests[&id];
        let org = req.arrival.org.clone();
        let (token, session) = match &req.arrival.session {
            None => return Session::None,
            Some(SessionRef::Token(token)) if token.org == org => {
                (Some(token.clone()), token.session.clone())
            }
            // A token of another organisation says nothing here.
            Some(SessionRef::Token(token)) => (None, token.session.clone()),
            Some(SessionRef::Name(name)) => (None, name.clone()),
            Some(SessionRef::New(name)) => return Session::Fresh(name.clone()),
        };
        let wanted_model = self.wanted_model(&req.arrival.wanted);
        if let Some(token) = token
            && self.fits(&req.arrival.wanted, &token.version)
        {
            return match self.keeps(now, &org, &token.version) {
                Keeps::Yes => {
                    let version = token.version.clone();
                    self.set_session(id, token);
                    Session::Pinned(version)
                }
                Keeps::NotNow => Session::Unreachable,
                Keeps::Ended => self.renewal(id, token, wanted_model),
            };
        }
        let Some(model) = wanted_model else {
            return Session::None;
        };
        let key = PinKey {
            org: org.clone(),
            session: session.clone(),
            model,
        };
        if self.cfg.faults.pin_when_cut && !self.view.lease_held(now) {
            self.pin_here(now, id, &key);
        }
        let Some(pin) = self.pins.get(&key).cloned() else {
            return if self.view.lease_held(now) {
                Session::Wanted(key, 0)
            } else {
                // Another entry may have pinned this name while it was cut off
                // from here: a pin of our own could give the session a second
                // version. Callers with a token are served.
                Session::Unreachable
            };
        };
        match self.keeps(now, &org, &pin.version) {
            Keeps::Yes => {}
            Keeps::NotNow => return Session::Unreachable,
            Keeps::Ended => return Session::Wanted(key, pin.generation),
        }
        let token = SessionToken {
            org,
            session,
            version: pin.version.clone(),
            generation: pin.generation,
        };
        self.set_session(id, token);
        Session::Pinned(pin.version)
    }

    /// Pins a name that is not known here by this entry's own choice: what
    /// tests see go wrong with `pin_when_cut`.
    fn pin_here(&mut self, now: MonoTime, id: RequestId, key: &PinKey) {
        if !self.pins.contains_key(key)
            && let Ok(version) = self.choose_pin(now, id, &key.model)
        {
            let generation = 1;
            let pin = PinView {
                generation,
                version,
            };
            self.pins.insert(key.clone(), pin);
        }
    }

    /// A withdrawn version ends its pins. The next generation is written to
    /// the same record, so that every entry agrees on it.
    fn renewal(&mut self, id: RequestId, token: SessionToken, model: Option<ModelId>) -> Session {
        let old = crate::ids::split_version(&token.version).map(|(m, _)| m.into());
        let Some(model) = model.or(old) else {
            return Session::None;
        };
        if let Some(req) = self.requests.get_mut(&id) {
            req.pin_renewed = true;
        }
        let key = PinKey {
            org: token.org,
            session: token.session,
            model,
        };
        let known = self.pins.get(&key).map_or(0, |pin| pin.generation);
        Session::Wanted(key, token.generation.max(known))
    }

    fn propose_pin(&mut self, now: MonoTime, id: RequestId, key: PinKey, replaces: u32) {
        let version = match self.choose_pin(now, id, &key.model) {
            Ok(version) => version,
            Err(reason) => return self.give_up(now, id, reason, None),
        };
        let Some(req) = self.requests.get_mut(&id) else {
            return;
        };
        req.phase = Phase::Pinning;
        req.pin_renewed |= replaces > 0;
        let ask = ControlRequest::Pin(PinRequest {
            key,
            version,
            replaces,
        });
        self.ask(AskFor::Pin(id), ask, self.cfg.claim_timeout);
    }

    /// Starts a session under a name that was drawn here. Its token is the only
    /// record of its version, so that it needs no quorum.
    fn begin_session(&mut self, now: MonoTime, id: RequestId, session: SessionId) {
        let auto = ModelId::new_static(ANY_MODEL);
        let version = match self.choose_pin(now, id, &auto) {
            Ok(version) => version,
            Err(reason) => return self.give_up(now, id, reason, None),
        };
        let Some(req) = self.requests.get_mut(&id) else {
            return;
        };
        req.session = Some(SessionToken {
            org: req.arrival.org.clone(),
            session,
            version: version.clone(),
            generation: 0,
        });
        self.take_plan(now, id, Plan::Single(version));
    }

    fn set_session(&mut self, id: RequestId, token: SessionToken) {
        if let Some(req) = self.requests.get_mut(&id) {
            req.session = Some(token);
        }
    }

    /// Model whose pin a request needs; `auto` takes the first allowed one.
    fn wanted_model(&self, wanted: &Wanted) -> Option<ModelId> {
        match wanted {
            Wanted::Model(model) => Some(model.clone()),
            Wanted::Version(full) => crate::ids::split_version(full).map(|(m, _)| m.into()),
            // A session names one version whatever its model, so that `auto`
            // can choose among models. Its pin is kept under this name.
            Wanted::Auto => Some(ModelId::new_static(ANY_MODEL)),
            Wanted::Service(_) => None,
        }
    }

    fn fits(&self, wanted: &Wanted, version: &VersionId) -> bool {
        match wanted {
            Wanted::Auto => true,
            Wanted::Model(model) => {
                crate::ids::split_version(version).is_some_and(|(m, _)| m == model)
            }
            Wanted::Version(full) => full == version,
            Wanted::Service(_) => false,
        }
    }

    /// Whether a session stays on its version. A held one keeps its sessions,
    /// a withdrawn one and one that is no longer allowed do not. One that is
    /// still rolling out is neither run nor left while cut off.
    pub(super) fn keeps(&self, now: MonoTime, org: &str, version: &str) -> Keeps {
        match self.view.usable(now, org, version) {
            Usable::Settled | Usable::Rolling(_) | Usable::Held => Keeps::Yes,
            Usable::CutOff => Keeps::NotNow,
            Usable::Withdrawn | Usable::NotAllowed => Keeps::Ended,
        }
    }
}

/// Whether a session stays on its version.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Keeps {
    /// It does.
    Yes,
    /// It does, but the version may not be run now.
    NotNow,
    /// The version's withdrawal ended the pin.
    Ended,
}

/// What is known of a request's session.
enum Session {
    /// The request has none.
    None,
    /// Its version is known.
    Pinned(VersionId),
    /// The system names it; nobody else can have pinned it.
    Fresh(SessionId),
    /// Its version is asked of the control group, replacing a generation.
    Wanted(PinKey, u32),
    /// Its version cannot be learned now.
    Unreachable,
}

fn as_name(session: SessionRef) -> SessionRef {
    match session {
        SessionRef::Token(token) => SessionRef::Name(token.session),
        name => name,
    }
}

/// A refusal before anything was asked or sent.
///
/// For a request with a key, another entry may have run it under that key: so
/// this entry cannot say that it did not run.
fn early(reason: Reason, keyed: bool, retry_after: Option<std::time::Duration>) -> Refusal {
    let outcome = if keyed {
        RunOutcome::Unknown
    } else {
        RunOutcome::NotRun
    };
    Refusal {
        reason,
        outcome,
        retry_after,
        detail: reason.sentence().into(),
    }
}
