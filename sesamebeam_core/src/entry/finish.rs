//! Ends of requests, and what is learnt from them.

use super::{
    EntryCore,
    ask::AskFor,
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
        Running, //
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

/// Score from which a held answer is passed on.
const GOOD_SCORE: f64 = 0.5;

/// Answers sent for rating that are remembered with their organisation.
const MAX_SAMPLED: usize = 8192;

impl EntryCore {
    /// Whether the answer of a request goes to the rating service.
    pub(super) fn samples(&self, id: RequestId) -> bool {
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

    /// The first event of an attempt arrived.
    pub(super) fn first_event(&mut self, now: MonoTime, run: &Running) {
        self.balance.answered(run.server.addr);
        self.servers.renew_lease(now, run.server.addr);
    }

    /// Learns from a whole answer.
    pub(super) fn answered_well(
        &mut self,
        now: MonoTime,
        id: RequestId,
        run: &Running,
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
            self.ask(
                AskFor::Report,
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
        if self.samples(id) && finished.answer.body.is_some() {
            if self.requests[&id].second {
                self.quality
                    .await_escalated_rating(now, id, &class, &version);
            } else {
                self.quality.await_rating(now, id, &class, &version);
            }
            if self.sampled.len() >= MAX_SAMPLED {
                self.sampled.shift_remove_index(0);
            }
            self.sampled.insert(id, (org, class.clone()));
            self.out.push(EntryAction::Sample {
                request: id,
                class,
                version,
            });
        }
    }

    /// Learns from a late rating.
    pub(super) fn rated(&mut self, now: MonoTime, rating: &Rating) {
        match self.quality.rate(now, rating) {
            RatingOutcome::Counted {
                good,
                escalated: redo,
            } => {
                if let Some((org, class)) = self.sampled.swap_remove(&rating.request) {
                    self.burn.record_rating(now, &org, &class, good);
                }
                // Second answers are of hard requests only and are measured by
                // a level of their own.
                let seen = if redo {
                    Observation::Escalated { good }
                } else {
                    Observation::Rated { good }
                };
                self.observe(now, &rating.version, &rating.class, seen);
            }
            RatingOutcome::Ignored(why) => {
                let why = smol_str::format_smolstr!("rating: {why:?}");
                self.out.push(EntryAction::Notice(Notice::Ignored { why }));
            }
        }
    }

    /// Whether a held answer is good enough; learns from its score.
    pub(super) fn good_enough(
        &mut self,
        now: MonoTime,
        id: RequestId,
        score: Option<f64>,
        version: &VersionId,
    ) -> bool {
        let Some(score) = score else {
            self.rater_silent_until = now + self.cfg.rater_rest;
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
        score.is_finite() && score >= GOOD_SCORE
    }

    /// Learns that an attempt failed by the fault of its version or server.
    pub(super) fn failed(&mut self, now: MonoTime, id: RequestId, run: &Running) {
        let Some(class) = self.requests.get(&id).map(|req| req.class.clone()) else {
            return;
        };
        if let Some(version) = &run.version {
            self.observe(now, version, &class, Observation::Failed);
        }
    }

    /// Ends a request whose caller has the whole answer.
    pub(super) fn end(
        &mut self,
        now: MonoTime,
        id: RequestId,
        whole: bool,
        finished: Option<&Finished>,
    ) {
        let usage = finished.map_or_else(Usage::default, |f| f.usage);
        self.close(now, id, whole, None, usage);
    }

    /// Ends a request that was refused.
    pub(super) fn end_refused(&mut self, now: MonoTime, id: RequestId, refusal: Refusal) {
        self.close(now, id, false, Some(refusal), Usage::default());
    }

    /// The caller hung up. A request that runs at most once goes on: its
    /// caller will ask for the answer again.
    pub(super) fn caller_gone(&mut self, now: MonoTime, id: RequestId) {
        let Some(req) = self.requests.get(&id) else {
            return;
        };
        let queued = matches!(req.phase, Phase::Queued);
        if req.once && !queued {
            return;
        }
        let pool = req.pool.clone();
        self.admission.cancel(&pool, id);
        self.drop_others(now, id, 0);
        self.release_slot(now, id);
        self.requests.swap_remove(&id);
        self.explain.hung_up(id);
        self.check_drained();
    }

    fn close(
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
        self.out.push(EntryAction::Notice(Notice::Ended(ended)));
        self.check_drained();
    }

    /// Gives the lease back, once, when nothing is left after a stop began; the
    /// answer to that, or its absence, ends the stop.
    pub(super) fn check_drained(&mut self) {
        if self.stopping && !self.leaving && self.requests.is_empty() && self.pending.is_empty() {
            self.leaving = true;
            self.leave_lease();
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
        self.out.push(EntryAction::Notice(Notice::Held {
            version: version.clone(),
        }));
        // The control group holds it fleet-wide; the other entries hear of it
        // at once, since they may be cut off from it.
        self.tell(
            super::event::Audience::All,
            crate::message::peer::PeerMessage::Alarm {
                held: vec![version.clone()],
                suspects: Vec::new(),
            },
        );
        self.report_evidence(now);
    }
}
