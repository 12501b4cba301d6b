//! Completion of requests, and the observations derived from them.

use super::{
    EntryCore,
    control_requests::ControlPurpose,
    event::{
        DispatchKind,
        Ended,
        EntryAction,
        Finished,
        Notice, //
    },
    refusal::Refusal,
    request::{
        Phase,
        RunningAttempt, //
    }, //
};
use crate::{
    ids::{
        MonoTime,
        RequestId,
        VersionId, //
    },
    message::{
        control::ControlRequest,
        record::Usage,
        server::Rating, //
    },
    policy::{
        exposure::Observation,
        hash,
        quality::RatingOutcome,
        suspects::SuspectStatus, //
    },
};

/// Minimum score at which a held response is released, if its rating is not
/// counted.
const MIN_RELEASE_SCORE: f64 = 0.5;

/// Maximum number of responses with a pending rating.
const MAX_PENDING_RATINGS: usize = 8192;

impl EntryCore {
    /// Returns whether the response of a request is sampled for rating.
    pub(super) fn is_sampled(&self, id: RequestId) -> bool {
        let Some(req) = self.requests.get(&id) else {
            return false;
        };
        let Some(version) = req.version() else {
            return false;
        };
        let usual = self.exposure.sample_share(version);
        let share = self.quality.sample_share(&req.class, version, usual);
        self.cfg.has_rater && hash::unit(&id.to_le_bytes(), "sample") < share
    }

    /// Records that the backend server of an attempt is responsive.
    pub(super) fn server_responded(&mut self, now: MonoTime, run: &RunningAttempt) {
        self.balance.answered(run.server.addr);
        self.servers.renew_lease(now, run.server.addr);
    }

    /// Records the observations from a complete response.
    pub(super) fn observe_response(
        &mut self,
        now: MonoTime,
        id: RequestId,
        run: &RunningAttempt,
        finished: &Finished,
    ) {
        let Some(req) = self.requests.get(&id) else {
            return;
        };
        let digest = req.arrival.digest;
        let (class, org) = (req.class.clone(), req.arrival.org.clone());
        let suspected = self.suspects.status(digest) != SuspectStatus::Clear;
        self.suspects.finished(digest, run.server, true);
        if suspected {
            self.send_control(
                ControlPurpose::Report,
                ControlRequest::Cleared(vec![digest]),
                self.cfg.claim_timeout,
            );
        }
        let Some(version) = run.version.clone() else {
            return;
        };
        if run.kind == DispatchKind::Run {
            let took = now.saturating_sub(run.since);
            let tokens = finished.usage.completion_tokens;
            self.observe(now, &version, &class, Observation::Whole { took, tokens });
        }
        if self.is_sampled(id) && finished.answer.body.is_some() {
            if self.requests[&id].second_step {
                self.quality
                    .await_escalated_rating(now, id, &class, &version);
            } else {
                self.quality.await_rating(now, id, &class, &version);
            }
            if self.sampled.len() >= MAX_PENDING_RATINGS {
                self.sampled.shift_remove_index(0);
            }
            self.sampled.insert(id, (org, class.clone()));
            self.actions.push(EntryAction::Sample {
                request: id,
                class,
                version,
            });
        }
    }

    /// Handles the rating of a sampled response.
    pub(super) fn handle_rating(&mut self, now: MonoTime, rating: &Rating) {
        match self.quality.rate(now, rating) {
            RatingOutcome::Counted { good, escalated } => {
                if let Some((org, class)) = self.sampled.swap_remove(&rating.request) {
                    self.burn.record_rating(now, &org, &class, good);
                }
                // The second step of a cascade only gets hard requests, so it is
                // compared with a baseline of its own.
                let seen = if escalated {
                    Observation::Escalated { good }
                } else {
                    Observation::Rated { good }
                };
                self.observe(now, &rating.version, &rating.class, seen);
            }
            RatingOutcome::Ignored(why) => {
                let why = smol_str::format_smolstr!("rating: {why:?}");
                self.actions
                    .push(EntryAction::Notice(Notice::Ignored { why }));
            }
        }
    }

    /// Records the score of a held response and returns whether to release it.
    pub(super) fn score_held(
        &mut self,
        now: MonoTime,
        id: RequestId,
        score: Option<f64>,
        version: &VersionId,
    ) -> bool {
        let Some(score) = score else {
            self.rater_disabled_until = now + self.cfg.rater_rest;
            return false;
        };
        let Some(req) = self.requests.get(&id) else {
            return false;
        };
        let class = req.class.clone();
        if let RatingOutcome::Counted { good, .. } =
            self.quality.rate_now(now, &class, version, score)
        {
            self.observe(now, version, &class, Observation::Rated { good });
            return good;
        }
        score.is_finite() && score >= MIN_RELEASE_SCORE
    }

    /// Records an attempt that failed because of its version or backend server.
    pub(super) fn observe_failure(&mut self, now: MonoTime, id: RequestId, run: &RunningAttempt) {
        let Some(class) = self.requests.get(&id).map(|req| req.class.clone()) else {
            return;
        };
        if let Some(version) = &run.version {
            self.observe(now, version, &class, Observation::Failed);
        }
    }

    /// Ends a request whose response is complete.
    pub(super) fn end_answered(
        &mut self,
        now: MonoTime,
        id: RequestId,
        whole: bool,
        finished: Option<&Finished>,
    ) {
        let usage = finished.map_or_else(Usage::default, |f| f.usage);
        self.end_request(now, id, whole, None, usage);
    }

    /// Ends a request that was refused.
    pub(super) fn end_refused(&mut self, now: MonoTime, id: RequestId, refusal: Refusal) {
        self.end_request(now, id, false, Some(refusal), Usage::default());
    }

    /// Handles a caller that hung up. A request that must run at most once
    /// continues unless it is still queued, since its caller may ask for the
    /// response again.
    pub(super) fn handle_hang_up(&mut self, now: MonoTime, id: RequestId) {
        let Some(req) = self.requests.get(&id) else {
            return;
        };
        let queued = matches!(req.phase, Phase::Queued);
        if req.at_most_once && !queued {
            return;
        }
        let pool = req.pool.clone();
        self.admission.cancel(&pool, id);
        self.drop_other_attempts(now, id, 0);
        self.release_slot(now, id);
        self.requests.swap_remove(&id);
        self.explain.hung_up(id);
        self.check_drained();
    }

    fn end_request(
        &mut self,
        now: MonoTime,
        id: RequestId,
        whole: bool,
        refusal: Option<Refusal>,
        usage: Usage,
    ) {
        self.release_slot(now, id);
        let Some(req) = self.requests.swap_remove(&id) else {
            return;
        };
        self.admission.cancel(&req.pool, id);
        let took = now.saturating_sub(req.arrived);
        let in_time = whole && now <= req.deadline;
        self.burn
            .record_request(now, &req.arrival.org, &req.class, in_time.then_some(took));
        if whole {
            self.hedges.answered(&req.class, took);
        }
        let ended = Ended {
            request: id,
            org: req.arrival.org.clone(),
            class: req.class.clone(),
            version: req.version().cloned(),
            server: self.explain.last_server(id),
            whole,
            refusal,
            attempts: req.attempts,
            took,
            usage,
        };
        self.explain.ended(&ended);
        self.actions.push(EntryAction::Notice(Notice::Ended(ended)));
        self.check_drained();
    }

    /// Releases the lease once all requests have ended after a planned stop. The
    /// reply, or its timeout, ends the stop.
    pub(super) fn check_drained(&mut self) {
        if self.stopping
            && !self.releasing_lease
            && self.requests.is_empty()
            && self.pending.is_empty()
        {
            self.releasing_lease = true;
            self.release_lease();
        }
    }

    pub(super) fn observe(
        &mut self,
        now: MonoTime,
        version: &VersionId,
        class: &str,
        seen: Observation,
    ) {
        let held = self
            .exposure
            .observe(now, version, class, seen, &self.quality);
        if held.is_none() {
            return;
        }
        self.actions.push(EntryAction::Notice(Notice::Held {
            version: version.clone(),
        }));
        // The control group holds the version fleet-wide. The other entries are
        // informed directly, since a network partition may separate them from
        // the control group.
        self.send_to_entries(
            super::event::Recipients::All,
            crate::message::peer::PeerMessage::Alarm {
                held: vec![version.clone()],
                suspects: Vec::new(),
            },
        );
        self.report_evidence(now);
    }
}
