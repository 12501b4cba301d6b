//! Backend servers whose connections ended: whether they crashed, and what their requests are
//! then suspected of.

use std::time::Duration;

use super::{
    Choice,
    Plan,
    Router, //
};
use crate::{
    gateway::{
        crash_watch::{
            ConnectionEnd,
            CrashSign,
            EndedSend,
            Finding, //
            Settled,
        },
        directory::ServerIncarnation,
        request::AnswerStage,
    },
    ids::MonoTime,
};

/// Maximum number of outcomes that wait to be logged.
const MAX_UNLOGGED: usize = 64;

/// What a check of a backend server whose connections ended has come to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CrashCheck {
    /// The backend server.
    pub server: ServerIncarnation,
    /// What shows that it crashed; none if nothing does.
    pub sign: Option<CrashSign>,
    /// Time since the first of the connections ended.
    pub age: Duration,
    /// Number of sends that ended with it.
    pub sends: usize,
}

/// A send that ended with its connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Ended {
    /// When it was sent.
    pub sent_at: MonoTime,
    /// How far its answer had come.
    pub stage: AnswerStage,
    /// What the end of the connection says about the answer.
    pub end: ConnectionEnd,
}

impl Router {
    /// Records a send that ended with its connection. Returns whether the caller is to look at
    /// the backend server while [`Router::is_crash_open`].
    pub fn record_connection_end(
        &mut self,
        now: MonoTime,
        plan: &Plan,
        choice: &Choice,
        ended: Ended,
    ) -> bool {
        let send = EndedSend {
            at: now,
            sent_at: ended.sent_at,
            stage: ended.stage,
            end: ended.end,
            subject: plan.subject.clone(),
        };
        let server = choice.incarnation();
        let (is_new, dropped) = self.crash_watch.add(server, choice.addr, send);
        self.settle(now, dropped);
        if !is_new {
            return false;
        }
        self.settle_replaced(now);
        self.is_crash_open(choice)
    }

    /// Returns whether nothing shows yet whether a backend server with a broken connection
    /// crashed.
    pub fn is_crash_open(&self, choice: &Choice) -> bool {
        self.crash_watch.is_open(&choice.incarnation())
    }

    /// Records that a backend server accepted a connection after another one had ended.
    pub fn record_accepted_since(&mut self, choice: &Choice, round_trip: Duration) {
        self.crash_watch
            .record_accepted(&choice.incarnation(), round_trip);
    }

    /// Records that a backend server refused a connection, and how long that took if that is
    /// known.
    pub fn record_refused(&mut self, now: MonoTime, choice: &Choice, round_trip: Option<Duration>) {
        let server = choice.incarnation();
        let settled = self.crash_watch.record_refused(&server, round_trip);
        self.settle(now, settled);
    }

    /// Records that a backend server answered a request that was sent at a certain time.
    pub fn record_answered_since(&mut self, now: MonoTime, choice: &Choice, sent_at: MonoTime) {
        let server = choice.incarnation();
        let complete = self.crash_watch.record_answer(now, &server, sent_at);
        self.record_complete(complete);
    }

    /// Records that a backend server left a request without an answer for long.
    pub(super) fn record_silent(&mut self, now: MonoTime, choice: &Choice) {
        let last = self.balancer.last_response_at(&choice.id);
        let settled = self.crash_watch.record_silent(&choice.incarnation(), last);
        self.settle(now, settled);
    }

    /// Records that another process answered in place of a backend server.
    pub(super) fn record_replaced(&mut self, now: MonoTime, choice: &Choice) {
        let settled = self.crash_watch.record_replaced(&choice.incarnation());
        self.settle(now, settled);
    }

    /// Ends the checks of backend servers for which others have announced themselves.
    pub(super) fn settle_replaced(&mut self, now: MonoTime) {
        let directory = &self.directory;
        let is_replaced = |server: &ServerIncarnation, addr| directory.is_replaced(server, addr);
        let settled = self.crash_watch.settle_replaced(is_replaced);
        self.settle(now, settled);
    }

    /// Takes what the checks since the last call have come to, for the log.
    pub fn take_crash_checks(&mut self, now: MonoTime) -> Vec<CrashCheck> {
        let expired = self.crash_watch.expire(now);
        self.settle(now, expired);
        std::mem::take(&mut self.crash_checks)
    }

    fn settle(&mut self, now: MonoTime, settled: impl IntoIterator<Item = Settled>) {
        for watch in settled {
            let sign = match watch.finding {
                Finding::Crashed { sign, .. } => Some(sign),
                Finding::Lives => None,
            };
            if (watch.is_broken || sign.is_some()) && self.crash_checks.len() < MAX_UNLOGGED {
                self.crash_checks.push(CrashCheck {
                    server: watch.server.clone(),
                    sign,
                    age: now.saturating_sub(watch.since),
                    sends: watch.sends.len(),
                });
            }
            match watch.finding {
                Finding::Crashed { round_trip, .. } => {
                    for send in &watch.sends {
                        let (server, failed) = (watch.server.clone(), send.failed(round_trip));
                        self.quarantine
                            .record_crash(send.at, &send.subject, server, failed);
                    }
                }
                Finding::Lives => self.record_complete(watch.sends),
            }
        }
    }

    /// Records the answers that their backend servers outlived as complete.
    fn record_complete(&mut self, sends: Vec<EndedSend>) {
        let complete = sends
            .iter()
            .filter(|s| s.end == ConnectionEnd::MaybeComplete);
        for send in complete {
            self.quarantine.record_completion(send.at, &send.subject);
        }
    }
}
