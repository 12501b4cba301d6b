//! The sends of one request, up to the answer.

use std::{
    sync::Arc,
    time::{
        Duration,
        Instant, //
    },
};

use http_body_util::{
    BodyExt,
    Limited, //
};
use hyper::{
    Response,
    StatusCode,
    body::Incoming, //
};
use sesamebeam_core::gateway::{
    balance::Outcome,
    cascade::Decision,
    directory::ServerId,
    request::ResponseHead,
    router::{
        Choice,
        ChooseError,
        Plan, //
    },
};
use tokio::time::timeout_at;

use super::{
    Gateway,
    answer::{
        self,
        Answer, //
    },
    arrival::start_wait,
    flight::Flight,
    head::strip_hop_by_hop,
    send::{
        Received,
        Sent, //
    },
    stream::Relay,
};
use crate::{
    exposition::RequestEnd,
    http::client::{
        ClientError,
        ConnectionGuard, //
    },
};

/// Most bytes of an answer that is not a stream.
const MAX_ANSWER: usize = 8 << 20;

/// Most sends that never left: each costs a wait for a connection.
const MAX_UNSENT: usize = 4;

/// Most connections that were refused, each of which costs a round trip. When 31 backend
/// servers of a failure domain went down together, the entries there tried four of them
/// and gave 62 callers up within a second, while those of another domain had room.
const MAX_REFUSED: usize = 64;

/// The sends of one request.
pub(super) struct Attempt {
    /// The entry.
    pub(super) gateway: Arc<Gateway>,
    /// The request.
    pub(super) req: Received,
    /// What was decided about it.
    pub(super) plan: Arc<Plan>,
    /// Model that is asked.
    pub(super) model: Option<sesamebeam_core::ids::ModelId>,
    /// Backend servers that had their turn.
    pub(super) tried: Vec<ServerId>,
    /// Sends that left.
    pub(super) sends: u32,
    /// Sends that did not.
    unsent: usize,
    /// Connections that were refused, beside these.
    refused: usize,
    /// Whether it may have run.
    may_have_run: bool,
    /// Whether a backend server had no room for it.
    found_full: bool,
}

/// What follows after a send.
enum Next {
    /// The caller gets this.
    Give(Box<Answer>),
    /// Another backend server may be asked; if none is, the caller gets this.
    Again(Option<Box<Answer>>),
    /// A larger model is asked; the budget is spent already.
    Larger,
    /// The caller gets this stream.
    Stream(Box<Arrived>),
}

/// An answer whose head has come.
pub(super) struct Arrived {
    /// The send that it answers.
    pub(super) choice: Flight,
    /// Its head and body.
    pub(super) response: Response<Incoming>,
    /// What its head says.
    pub(super) head: ResponseHead,
    /// The connection that it comes on.
    pub(super) lease: ConnectionGuard,
}

impl Attempt {
    /// Starts with nothing sent.
    pub(super) fn new(gateway: Arc<Gateway>, req: Received, plan: Plan) -> Self {
        Self {
            model: plan.model.clone(),
            plan: Arc::new(plan),
            req,
            gateway,
            tried: Vec::new(),
            sends: 0,
            unsent: 0,
            refused: 0,
            may_have_run: false,
            found_full: false,
        }
    }

    /// Sends a request until it is answered or given up.
    pub(super) async fn run(mut self) -> Answer {
        let mut spare = None;
        let mut paid = true;
        loop {
            if !self.has_attempts_left() || !paid && !self.may_repeat_in_budget() {
                break;
            }
            let choice = match self.choose_soon().await {
                Ok(choice) => choice,
                Err(why) => {
                    log::info!(id:% = self.req.head.id, why:% = why; "not sent");
                    break;
                }
            };
            let model = self.model.clone();
            let watch = self.may_repeat() && self.could_go_on(self.sends + 1, &choice);
            let resume = self.req.head.resume_after;
            let sent = self
                .gateway
                .send(
                    &self.req,
                    &self.plan,
                    &choice,
                    model.as_deref(),
                    resume,
                    watch,
                )
                .await;
            match self.judge(choice, sent).await {
                Next::Give(answer) => return *answer,
                Next::Stream(arrived) => return Relay::answer(self, *arrived),
                Next::Again(kept) => {
                    spare = kept.or(spare);
                    paid = self.sends == 0;
                }
                Next::Larger => paid = true,
            }
        }
        self.give_up(spare)
    }

    /// Ends a request that no backend server answered.
    fn give_up(&self, spare: Option<Box<Answer>>) -> Answer {
        if let Some(answer) = spare {
            return *answer;
        }
        let late = Instant::now() >= self.req.until;
        let status = match (self.may_have_run, late) {
            (true, true) => StatusCode::GATEWAY_TIMEOUT,
            (true, false) => StatusCode::BAD_GATEWAY,
            (false, _) => StatusCode::SERVICE_UNAVAILABLE,
        };
        let taken = self
            .gateway
            .router()
            .utilization(self.gateway.now(), &self.plan);
        log::info!(
            id:% = self.req.head.id, status = status.as_u16(), sends = self.sends,
            unsent = self.unsent, refused = self.refused, taken = taken, tried:? = self.tried;
            "request given up"
        );
        if self.may_have_run {
            self.count(RequestEnd::Unknown);
            return answer::own(status);
        }
        if self.found_full && !self.plan.route.streaming {
            self.gateway.router().record_rejected(&self.plan);
        }
        self.count(RequestEnd::Refused);
        match self.retry_after() {
            Some(after) => answer::come_back_in(status, after),
            None => answer::come_back(status),
        }
    }

    /// Returns after which time a backend server takes the request, if all have named one.
    fn retry_after(&self) -> Option<Duration> {
        let now = self.gateway.now();
        let patience = self.req.until.saturating_duration_since(Instant::now());
        let mut router = self.gateway.router();
        let after = router.retry_after(now, &self.plan, patience)?;
        log::info!(
            id:% = self.req.head.id, after_ms = after.as_millis() as u64,
            limited = router.limited_count(), backed_off = router.backed_off_count(now);
            "told when to come back"
        );
        Some(after)
    }

    /// Chooses a backend server, waiting for the first to be known.
    async fn choose_soon(&self) -> Result<Flight, ChooseError> {
        loop {
            let learned = self.gateway.learned.notified();
            let chosen = self.choose();
            let until = start_wait(&self.req.head, self.req.came);
            if !matches!(chosen, Err(ChooseError::Unknown))
                || !self.tried.is_empty()
                || timeout_at(until.into(), learned).await.is_err()
            {
                return chosen;
            }
        }
    }

    pub(super) fn choose(&self) -> Result<Flight, ChooseError> {
        let now = self.gateway.now();
        let mut router = self.gateway.router();
        let choice = router.choose(now, &self.plan, self.model.as_deref(), &self.tried)?;
        drop(router);
        let gateway = Arc::clone(&self.gateway);
        Ok(Flight::new(gateway, Arc::clone(&self.plan), choice))
    }

    /// Returns whether the route and the time allow another send.
    pub(super) fn has_attempts_left(&self) -> bool {
        self.sends < self.plan.route.max_attempts
            && self.unsent < MAX_UNSENT
            && self.refused < MAX_REFUSED
            && Instant::now() < self.req.until
    }

    /// Returns whether, after the last of some sends, which is under way, there
    /// could be another.
    ///
    /// A busy backend server is silent for seconds. Given up as the last one, a
    /// request that it would have finished ends as a failure.
    pub(super) fn could_go_on(&self, sends: u32, under_way: &Choice) -> bool {
        let router = self.gateway.router();
        sends < self.plan.route.max_attempts
            && router.has_alternative(self.gateway.now(), &self.plan, &self.tried, &under_way.id)
    }

    /// Returns whether the budget allows another send, and spends it.
    pub(super) fn may_repeat_in_budget(&self) -> bool {
        let now = self.gateway.now();
        self.gateway.router().try_retry(now, &self.plan)
    }

    /// Keeps a connection for the next request, for as long as its server says.
    pub(super) fn give_back(&self, lease: ConnectionGuard, head: &ResponseHead) {
        if !head.closing {
            let most_idle = self.gateway.router().max_idle_connections(&self.plan);
            lease.release_with_limits(head.keep_alive, most_idle);
        }
    }

    /// Counts the request as ended.
    pub(super) fn count(&self, end: RequestEnd) {
        let took = self.req.came.elapsed();
        self.gateway.meters.request(end, took);
    }

    /// Returns whether a request that may have run may be sent again.
    fn may_repeat(&self) -> bool {
        !self.plan.route.runs_at_most_once()
    }

    /// Decides what follows after a send.
    async fn judge(&mut self, mut choice: Flight, sent: Sent) -> Next {
        let outcome = match sent {
            Sent::Unsent(e) => {
                log::info!(id:% = self.req.head.id, server:% = choice.id, error:% = e; "not sent");
                let outcome = unsent(&e);
                match outcome {
                    Outcome::Down => self.refused += 1,
                    _ => self.unsent += 1,
                }
                self.tried.push(choice.id.clone());
                choice.end(outcome);
                return Next::Again(None);
            }
            Sent::Answered(response, head, lease) => {
                self.sends += 1;
                let arrived = Arrived {
                    choice,
                    response: *response,
                    head,
                    lease,
                };
                return self.take_answer(arrived).await;
            }
            Sent::Broken(why) => {
                log::info!(
                    id:% = self.req.head.id, server:% = choice.id, why = why;
                    "send broke off"
                );
                self.gateway.suspect_crash(&self.req, &choice);
                Outcome::Failed
            }
            Sent::Dark => {
                log::info!(id:% = self.req.head.id, server:% = choice.id; "backend server silent");
                self.gateway.client.retire(choice.addr);
                if !self.plan.route.streaming {
                    let now = self.gateway.now();
                    self.gateway.router().record_overdue(now, &choice.id);
                }
                Outcome::Silent
            }
            Sent::Late => {
                log::info!(id:% = self.req.head.id, server:% = choice.id; "no answer in time");
                Outcome::Dropped
            }
        };
        self.sends += 1;
        choice.end(outcome);
        self.after_failure(&choice)
    }

    /// Goes on after a send whose request may have run.
    fn after_failure(&mut self, choice: &Choice) -> Next {
        self.may_have_run = true;
        self.tried.push(choice.id.clone());
        if self.may_repeat() {
            return Next::Again(None);
        }
        Next::Give(Box::new(self.give_up(None)))
    }

    async fn take_answer(&mut self, arrived: Arrived) -> Next {
        let head = &arrived.head;
        if head.misdirected || head.not_run {
            return self.take_refusal(arrived);
        }
        let success = head.is_success();
        if success && !head.sealed {
            let mut choice = arrived.choice;
            choice.end(Outcome::Failed);
            return self.after_failure(&choice);
        }
        if success && self.plan.route.streaming {
            return self.take_stream(arrived);
        }
        self.take_whole(arrived).await
    }

    /// Goes on after the word of a backend server that it did not run the
    /// request.
    fn take_refusal(&mut self, arrived: Arrived) -> Next {
        let Arrived {
            mut choice,
            head,
            lease,
            ..
        } = arrived;
        log::info!(
            id:% = self.req.head.id, server:% = choice.id, status = head.status,
            limit:? = head.limit, retry_after:? = head.retry_after, leaving = head.leaving;
            "backend server refused"
        );
        if head.misdirected {
            let now = self.gateway.now();
            self.gateway.router().mark_replaced(now, &choice);
        }
        self.found_full |= head.load.is_some_and(|load| load.is_full());
        self.give_back(lease, &head);
        self.tried.push(choice.id.clone());
        choice.end(Outcome::Refused);
        Next::Again(None)
    }

    /// Keeps a stream, or drops it for that of a larger model.
    fn take_stream(&mut self, mut arrived: Arrived) -> Next {
        let (choice, head) = (&mut arrived.choice, &arrived.head);
        let now = self.gateway.now();
        let model = self.model.clone().unwrap_or_default();
        let waited = choice.since();
        choice.begin(Some(&model));
        let (step, keep_from) = {
            let mut router = self.gateway.router();
            router.record_first_byte(&self.plan, choice, Some(&model), waited);
            // Dropped where no other takes the request, the answer would be lost.
            let left = self.sends < self.plan.route.max_attempts
                && router.has_capacity(now, &self.plan, &self.tried);
            let step = match self.model {
                Some(_) => router.judge_confidence(now, &self.plan, &model, head, left),
                None => Decision::Keep,
            };
            (step, router.confidence_threshold(now, &self.plan))
        };
        log::info!(
            id:% = self.req.head.id, server:% = choice.id, model:% = model,
            confidence:? = head.confidence, step:? = step, load:? = head.load,
            limit:? = head.limit, leaving = head.leaving, keep_from = keep_from,
            waited_ms = waited.as_millis() as u64,
            since_ms = self.req.came.elapsed().as_millis() as u64, sends = self.sends, tokens = self.req.head.prompt_tokens,
            prompt:? = self.req.head.prompt, session:? = self.req.head.session,
            route:% = self.plan.route.name, rank = self.plan.engine_rank,
            org:? = self.plan.organisation,
            config = self.plan.table.config().version;
            "stream began"
        );
        if let Decision::Ask(larger) = step {
            choice.end(Outcome::Dropped);
            // Closing the connection ends the run, which has begun all the same.
            drop(arrived);
            self.may_have_run = true;
            self.model = Some(larger);
            return Next::Larger;
        }
        Next::Stream(Box::new(arrived))
    }

    /// Reads an answer that is not a stream before any of it goes on.
    async fn take_whole(&mut self, arrived: Arrived) -> Next {
        let Arrived {
            mut choice,
            response,
            head,
            lease,
        } = arrived;
        let (mut parts, body) = response.into_parts();
        let reading = Limited::new(body, MAX_ANSWER).collect();
        let body = match timeout_at(self.req.until.into(), reading).await {
            Ok(Ok(body)) => body.to_bytes(),
            read => {
                let outcome = if read.is_err() {
                    Outcome::Dropped
                } else {
                    Outcome::Failed
                };
                log::info!(id:% = self.req.head.id, server:% = choice.id; "answer broke off");
                choice.end(outcome);
                return self.after_failure(&choice);
            }
        };
        let took = choice.since();
        self.gateway
            .router()
            .record_answer(&self.plan, took, head.load);
        self.give_back(lease, &head);
        let failed = head.status >= 500;
        let outcome = if failed {
            Outcome::Failed
        } else {
            Outcome::Good
        };
        if !failed {
            let mut router = self.gateway.router();
            router.record_first_byte(&self.plan, &choice, None, choice.since());
            router.record_completion(self.req.fingerprint);
        }
        choice.end(outcome);
        log::info!(
            id:% = self.req.head.id, server:% = choice.id, candidates = choice.candidates,
            status = head.status, sends = self.sends, limit:? = head.limit,
            retry_after:? = head.retry_after, leaving = head.leaving,
            config = self.plan.table.config().version;
            "answered"
        );
        self.count(RequestEnd::Answered);
        strip_hop_by_hop(&mut parts.headers);
        let answer = Box::new(Response::from_parts(parts, answer::full(body)));
        if failed && self.may_repeat() {
            self.may_have_run = true;
            self.tried.push(choice.id.clone());
            return Next::Again(Some(answer));
        }
        Next::Give(answer)
    }
}

/// Returns what a send that never left says of the backend server.
pub(super) fn unsent(error: &ClientError) -> Outcome {
    match error {
        ClientError::Refused(_) => Outcome::Down,
        _ => Outcome::Unreachable,
    }
}
