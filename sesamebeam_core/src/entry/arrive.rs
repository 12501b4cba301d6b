//! Handling of new requests up to the queue: validation, session and plan.

use super::{
    EntryCore,
    control_requests::ControlPurpose,
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
    view::Availability, //
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
    /// Handles a new request.
    pub(super) fn handle_arrival(&mut self, now: MonoTime, arrival: Arrival) {
        let id = arrival.request;
        match self.admit(now, arrival) {
            Ok(req) => {
                self.requests.insert(id, req);
                self.explain.arrived(now, id, &self.requests[&id].arrival);
                self.plan(now, id);
            }
            // Nothing was claimed or sent under this id. If the request has a
            // key, the refusals of `admit` do not claim that it did not run.
            Err(refusal) => self.actions.push(EntryAction::Refuse {
                request: id,
                refusal,
            }),
        }
    }

    fn admit(&mut self, now: MonoTime, arrival: Arrival) -> Result<Request, Refusal> {
        let keyed = arrival.key.is_some();
        if self.stopping {
            return Err(refusal_on_arrival(
                Reason::Stopping,
                keyed,
                Some(self.cfg.retry_after),
            ));
        }
        if self.requests.len() >= self.cfg.max_in_flight {
            return Err(refusal_on_arrival(
                Reason::Overloaded,
                keyed,
                Some(self.cfg.retry_after),
            ));
        }
        if self.view.revision() == 0 {
            let after = Some(self.cfg.retry_after);
            return Err(refusal_on_arrival(Reason::NoConfiguration, keyed, after));
        }
        if self.view.organisation(&arrival.org).is_none() {
            return Err(refusal_on_arrival(Reason::UnknownOrganisation, keyed, None));
        }
        let service = match &arrival.wanted {
            Wanted::Service(pool) => Some(pool.as_str()),
            _ => None,
        };
        let Some(class) = self.view.class(arrival.class.as_deref(), service) else {
            return Err(refusal_on_arrival(Reason::UnknownClass, keyed, None));
        };
        if class.service.as_deref() != service {
            return Err(refusal_on_arrival(Reason::UnknownClass, keyed, None));
        }
        let safe = service.is_some() && arrival.safe_method;
        let at_most_once = !class.idempotent && !safe;
        if at_most_once && !keyed {
            return Err(refusal_on_arrival(Reason::KeyMissing, false, None));
        }
        if service.is_some_and(|pool| self.view.service(pool).is_none()) {
            return Err(refusal_on_arrival(Reason::UnknownService, keyed, None));
        }
        self.retries.request(&arrival.org);
        self.hedges.request(class);
        let mut req = Request::new(now, arrival, class, at_most_once);
        if let Wanted::Service(pool) = &req.arrival.wanted {
            req.pool = pool.clone();
        }
        Ok(req)
    }

    /// Chooses the versions of a request; a session's pinned version has priority.
    pub(super) fn plan(&mut self, now: MonoTime, id: RequestId) {
        let Some(req) = self.requests.get(&id) else {
            return;
        };
        if self.is_quarantined(req.arrival.digest) {
            return self.give_up(now, id, Reason::Quarantined, None);
        }
        if matches!(req.arrival.wanted, Wanted::Service(_)) {
            return self.enqueue(now, id);
        }
        match self.resolve_session(now, id) {
            SessionState::Pinned(version) => self.set_plan(now, id, Plan::Single(version)),
            SessionState::None => match self.choose_plan(now, id) {
                Ok(plan) => self.set_plan(now, id, plan),
                Err(reason) => self.give_up(now, id, reason, None),
            },
            SessionState::New(name) => self.start_session(now, id, name),
            SessionState::NeedsPin(key, replaces) => self.request_pin(now, id, key, replaces),
            SessionState::Unreachable => {
                let after = Some(self.cfg.retry_after);
                self.give_up(now, id, Reason::SessionUnreachable, after);
            }
        }
    }

    /// Sets the plan and starts its first step.
    pub(super) fn set_plan(&mut self, now: MonoTime, id: RequestId, plan: Plan) {
        let Some(req) = self.requests.get_mut(&id) else {
            return;
        };
        req.plan = Some(plan);
        req.second_step = false;
        self.start_step(now, id);
    }

    /// Starts the current step of the plan.
    pub(super) fn start_step(&mut self, now: MonoTime, id: RequestId) {
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

    /// Handles the reply to a pin request; `None` if there was none.
    pub(super) fn handle_pin_reply(&mut self, now: MonoTime, id: RequestId, pin: Option<PinView>) {
        let Some(req) = self.requests.get(&id) else {
            return;
        };
        let Some(SessionRef::Name(session)) = req.arrival.session.clone().map(session_name) else {
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
        // The pinned version may have been withdrawn since; planning again
        // then requests the next generation.
        match self.pin_status(now, &org, &pin.version) {
            PinStatus::Valid => {}
            PinStatus::Unavailable => {
                let after = Some(self.cfg.retry_after);
                return self.give_up(now, id, Reason::SessionUnreachable, after);
            }
            PinStatus::Ended => return self.plan(now, id),
        }
        if let Some(req) = self.requests.get_mut(&id) {
            req.session = Some(SessionToken {
                org,
                session,
                version: pin.version.clone(),
                generation: pin.generation,
            });
        }
        self.set_plan(now, id, Plan::Single(pin.version));
    }

    fn resolve_session(&mut self, now: MonoTime, id: RequestId) -> SessionState {
        let req = &self.requests[&id];
        let org = req.arrival.org.clone();
        let (token, session) = match &req.arrival.session {
            None => return SessionState::None,
            Some(SessionRef::Token(token)) if token.org == org => {
                (Some(token.clone()), token.session.clone())
            }
            // The version in a token of another organisation is ignored.
            Some(SessionRef::Token(token)) => (None, token.session.clone()),
            Some(SessionRef::Name(name)) => (None, name.clone()),
            Some(SessionRef::New(name)) => return SessionState::New(name.clone()),
        };
        let wanted_model = self.wanted_model(&req.arrival.wanted);
        if let Some(token) = token
            && self.version_matches(&req.arrival.wanted, &token.version)
        {
            return match self.pin_status(now, &org, &token.version) {
                PinStatus::Valid => {
                    let version = token.version.clone();
                    self.set_session(id, token);
                    SessionState::Pinned(version)
                }
                PinStatus::Unavailable => SessionState::Unreachable,
                PinStatus::Ended => self.renew_pin(id, token, wanted_model),
            };
        }
        let Some(model) = wanted_model else {
            return SessionState::None;
        };
        let key = PinKey {
            org: org.clone(),
            session: session.clone(),
            model,
        };
        if self.cfg.faults.pin_when_cut && !self.view.lease_held(now) {
            self.pin_locally(now, id, &key);
        }
        let Some(pin) = self.pins.get(&key).cloned() else {
            return if self.view.lease_held(now) {
                SessionState::NeedsPin(key, 0)
            } else {
                // Another entry may have pinned this name without this one
                // knowing, so pinning it here could give the session a second
                // version. Requests with a token are still served.
                SessionState::Unreachable
            };
        };
        match self.pin_status(now, &org, &pin.version) {
            PinStatus::Valid => {}
            PinStatus::Unavailable => return SessionState::Unreachable,
            PinStatus::Ended => return SessionState::NeedsPin(key, pin.generation),
        }
        let token = SessionToken {
            org,
            session,
            version: pin.version.clone(),
            generation: pin.generation,
        };
        self.set_session(id, token);
        SessionState::Pinned(pin.version)
    }

    /// Pins an unknown session name without the control group. Only used by
    /// tests, with `pin_when_cut`.
    fn pin_locally(&mut self, now: MonoTime, id: RequestId, key: &PinKey) {
        if !self.pins.contains_key(key)
            && let Ok(version) = self.choose_pinned_version(now, id, &key.model)
        {
            let generation = 1;
            let pin = PinView {
                generation,
                version,
            };
            self.pins.insert(key.clone(), pin);
        }
    }

    /// Requests a new pin after the pinned version was withdrawn. The next
    /// generation is written to the same record, so that all entries agree.
    fn renew_pin(
        &mut self,
        id: RequestId,
        token: SessionToken,
        model: Option<ModelId>,
    ) -> SessionState {
        let old = crate::ids::split_version(&token.version).map(|(m, _)| m.into());
        let Some(model) = model.or(old) else {
            return SessionState::None;
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
        SessionState::NeedsPin(key, token.generation.max(known))
    }

    fn request_pin(&mut self, now: MonoTime, id: RequestId, key: PinKey, replaces: u32) {
        let version = match self.choose_pinned_version(now, id, &key.model) {
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
        self.send_control(ControlPurpose::Pin(id), ask, self.cfg.claim_timeout);
    }

    /// Starts a session under a system-generated name. Its token is the only
    /// record of its version, so no quorum is required.
    fn start_session(&mut self, now: MonoTime, id: RequestId, session: SessionId) {
        let auto = ModelId::new_static(ANY_MODEL);
        let version = match self.choose_pinned_version(now, id, &auto) {
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
        self.set_plan(now, id, Plan::Single(version));
    }

    fn set_session(&mut self, id: RequestId, token: SessionToken) {
        if let Some(req) = self.requests.get_mut(&id) {
            req.session = Some(token);
        }
    }

    /// Returns the model whose pin a request needs; `auto` has a pin of its own.
    fn wanted_model(&self, wanted: &Wanted) -> Option<ModelId> {
        match wanted {
            Wanted::Model(model) => Some(model.clone()),
            Wanted::Version(full) => crate::ids::split_version(full).map(|(m, _)| m.into()),
            // With `auto` the version may be of any model, so its pin is stored
            // under this reserved name.
            Wanted::Auto => Some(ModelId::new_static(ANY_MODEL)),
            Wanted::Service(_) => None,
        }
    }

    fn version_matches(&self, wanted: &Wanted, version: &VersionId) -> bool {
        match wanted {
            Wanted::Auto => true,
            Wanted::Model(model) => {
                crate::ids::split_version(version).is_some_and(|(m, _)| m == model)
            }
            Wanted::Version(full) => full == version,
            Wanted::Service(_) => false,
        }
    }

    /// Returns whether a session stays on its version.
    ///
    /// Sessions stay on a held version, but not on one that is withdrawn or no
    /// longer allowed. While the lease is not held, a version that is still
    /// rolling out is not run, but the session is not moved off it either.
    pub(super) fn pin_status(&self, now: MonoTime, org: &str, version: &str) -> PinStatus {
        match self.view.availability(now, org, version) {
            Availability::Settled | Availability::Rolling(_) | Availability::Held => {
                PinStatus::Valid
            }
            Availability::CutOff => PinStatus::Unavailable,
            Availability::Withdrawn | Availability::NotAllowed => PinStatus::Ended,
        }
    }
}

/// Validity of a session's pin.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum PinStatus {
    /// The session stays on its version.
    Valid,
    /// The session stays on its version, which cannot be run at the moment.
    Unavailable,
    /// The version was withdrawn or is no longer allowed.
    Ended,
}

/// State of a request's session.
enum SessionState {
    /// The request has no session.
    None,
    /// The version of the session is known.
    Pinned(VersionId),
    /// The system generated the name, so no other entry can have pinned it.
    New(SessionId),
    /// A pin must be requested from the control group, replacing this
    /// generation.
    NeedsPin(PinKey, u32),
    /// The version of the session cannot be determined at the moment.
    Unreachable,
}

fn session_name(session: SessionRef) -> SessionRef {
    match session {
        SessionRef::Token(token) => SessionRef::Name(token.session),
        name => name,
    }
}

/// Creates a refusal of a request that was not admitted.
///
/// Another entry may have run a request under the same key, so the outcome of a
/// request with a key is unknown.
fn refusal_on_arrival(
    reason: Reason,
    keyed: bool,
    retry_after: Option<std::time::Duration>,
) -> Refusal {
    let outcome = if keyed {
        RunOutcome::Unknown
    } else {
        RunOutcome::NotRun
    };
    Refusal {
        reason,
        outcome,
        retry_after,
        detail: reason.description().into(),
    }
}
