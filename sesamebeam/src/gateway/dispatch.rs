//! Dispatch of one request: sends it to backend servers until one responds.

use std::{
    ops::ControlFlow,
    sync::Arc,
    time::{
        Duration,
        Instant, //
    },
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
    engines::{
        escalation::Judgement,
        progress::Progress, //
    },
    request::{
        AnswerStage,
        ResponseHead, //
    },
    request_sends::Declined,
    router::{
        Choice,
        ChooseError,
        Elsewhere,
        Plan, //
    },
};
use tokio::time::timeout_at;

use super::{
    Gateway,
    admission::{
        Origin,
        startup_wait_deadline, //
    },
    forwarding::{
        self,
        Decline, //
    },
    hop_by_hop::strip_hop_by_hop,
    in_flight::InFlightSend,
    response::{
        self,
        CallerResponse, //
    },
    retries::Retries,
    send::{
        BufferedRequest,
        SendResult,
        SendTerms, //
    },
    stream::Relay,
};
use crate::{
    exposition::{
        RequestEnd,
        RetryReason, //
    },
    http::{
        client::{
            ClientError,
            ConnectionGuard, //
        },
        received::{
            is_success_until_closed,
            read_whole, //
        },
    },
};

/// Maximum size of a buffered response.
pub(super) const MAX_RESPONSE_BYTES: usize = 8 << 20;

/// Maximum number of sends for which no connection was made. Each costs a connect
/// timeout.
const MAX_UNSENT: usize = 4;

/// Maximum number of refused connections, each of which costs a round trip. With a limit
/// of 4, when 31 backend servers of a failure domain went down together, the entries
/// there rejected 62 requests within a second although another domain had capacity.
const MAX_REFUSED_CONNECTIONS: usize = 64;

/// A request that is sent to one backend server after another until one responds.
pub(super) struct Dispatch {
    /// Shared state of the entry.
    pub(super) gateway: Arc<Gateway>,
    /// The buffered request.
    pub(super) req: BufferedRequest,
    /// Routing decisions made for it.
    pub(super) plan: Arc<Plan>,
    /// Model that the next send asks for.
    pub(super) model: Option<sesamebeam_core::ids::ModelId>,
    /// Backend servers already tried.
    pub(super) tried: Vec<ServerId>,
    /// Number of sends that reached a backend server.
    pub(super) sends: u32,
    /// Retries among them that were made from here.
    pub(super) retries: Retries,
    /// Who sent the request to this entry.
    pub(super) origin: Origin,
    /// Number of sends for which no connection was made.
    pub(super) unsent: usize,
    /// Number of refused connections, not included in `unsent`.
    pub(super) refused: usize,
    /// Whether a backend server may have run the request.
    pub(super) may_have_run: bool,
    /// Whether a backend server rejected it because all its slots were taken.
    pub(super) found_full_server: bool,
    /// Whether no slot of a leased backend server is left for it here.
    pub(super) lacks_slot: bool,
    /// Progress by which a delayed request is moved to another engine.
    pub(super) progress: Progress,
}

/// What to do after a send.
enum NextStep {
    /// Return this response to the caller.
    Respond(Box<CallerResponse>),
    /// Try another backend server for this reason; if none is available, return this
    /// response.
    TryNextServer(Option<Box<CallerResponse>>, RetryReason),
    /// Ask a larger model; the retry budget was already charged.
    EscalateModel,
    /// Send the request to this engine; the retry budget was already charged.
    Move(Box<InFlightSend>),
    /// Relay this stream to the caller.
    Stream(Box<PendingResponse>),
}

/// How a send ended.
enum Sending {
    /// The send has a result.
    Ended(SendResult),
    /// The request moves to this engine.
    Moved(InFlightSend),
}

/// A response whose head was received and whose body was not read yet.
pub(super) struct PendingResponse {
    /// The send that it belongs to.
    pub(super) choice: InFlightSend,
    /// The response as received.
    pub(super) response: Response<Incoming>,
    /// Parsed response head.
    pub(super) head: ResponseHead,
    /// Connection on which it is received.
    pub(super) lease: ConnectionGuard,
}

impl Dispatch {
    /// Creates the dispatch of a request that was not sent yet.
    pub(super) fn new(
        gateway: Arc<Gateway>,
        req: BufferedRequest,
        plan: Plan,
        origin: Origin,
    ) -> Self {
        let plan = Arc::new(plan);
        Self {
            model: plan.model.clone(),
            retries: Retries::new(
                Arc::clone(&gateway),
                Arc::clone(&plan),
                origin.request_sends(),
            ),
            plan,
            req,
            gateway,
            tried: Vec::new(),
            sends: origin.sends(),
            origin,
            unsent: 0,
            refused: 0,
            may_have_run: false,
            found_full_server: false,
            lacks_slot: false,
            progress: Progress::default(),
        }
    }

    /// Sends the request until a backend server responds or no further send is possible.
    pub(super) async fn run(mut self) -> CallerResponse {
        let mut fallback = None;
        let mut reason = RetryReason::Forwarded;
        let mut moved_to = None;
        let mut is_forwardable = true;
        loop {
            if is_forwardable && fallback.is_none() && self.prefers_peer() {
                is_forwardable = false;
                self = match self.forward().await {
                    ControlFlow::Break(response) => return response,
                    ControlFlow::Continue(dispatch) => dispatch,
                };
            }
            if !self.has_attempts_left() || !self.try_spend_retry(reason) {
                break;
            }
            let mut chosen = match moved_to.take() {
                Some(choice) => Ok(choice),
                None => self.choose_in_turn().await,
            };
            if matches!(chosen, Err(ChooseError::NoFreeSlot))
                && is_forwardable
                && fallback.is_none()
                && self.needs_peer()
            {
                chosen = self.wait_for_slot(Elsewhere::Peer).await;
                if matches!(chosen, Err(ChooseError::NoFreeSlot)) {
                    is_forwardable = false;
                    self.lacks_slot = true;
                    self = match self.forward().await {
                        ControlFlow::Break(response) => return response,
                        ControlFlow::Continue(dispatch) => dispatch,
                    };
                    // Other entries may have used up its sends, or the one that was paid for.
                    continue;
                }
            }
            if matches!(chosen, Err(ChooseError::NoFreeSlot)) {
                chosen = self.wait_for_slot(Elsewhere::Nowhere).await;
            }
            let choice = match chosen {
                Ok(choice) if self.gateway.send_outlasts_shutdown(&choice) => {
                    log::info!(id:% = self.req.head.id; "not sent while stopping");
                    break;
                }
                Ok(choice) => choice,
                Err(error) => {
                    log::info!(id:% = self.req.head.id, why:% = error; "not sent");
                    self.lacks_slot = matches!(error, ChooseError::NoFreeSlot);
                    break;
                }
            };
            let next_step = match self.send_or_move(&choice).await {
                Sending::Ended(sent) => self.handle_send_result(choice, sent).await,
                Sending::Moved(next) => self.handle_move(choice, next),
            };
            match next_step {
                NextStep::Respond(response) => return *response,
                NextStep::Stream(pending) => return self.relay(*pending),
                NextStep::TryNextServer(response, why) => {
                    reason = why;
                    fallback = response.or(fallback);
                }
                NextStep::EscalateModel => {
                    self.retries.record_charge();
                    self.record_judged_retry(RetryReason::LargerModel, true);
                }
                NextStep::Move(next) => {
                    self.retries.record_charge();
                    self.record_judged_retry(RetryReason::Moved, true);
                    moved_to = Some(*next);
                }
            }
        }
        if is_forwardable && fallback.is_none() {
            self = match self.forward().await {
                ControlFlow::Break(response) => return response,
                ControlFlow::Continue(dispatch) => dispatch,
            };
        }
        self.reject_or_fail(fallback)
    }

    /// Returns the response that relays a stream.
    fn relay(self, pending: PendingResponse) -> CallerResponse {
        let (sends, is_caller) = (self.sends, self.origin.is_caller());
        let mut response = Relay::response(self, pending);
        if !is_caller {
            forwarding::set_sends(&mut response, sends);
        }
        response
    }

    /// Sends the request, and gives the send up if it moves to another engine.
    async fn send_or_move(&self, choice: &InFlightSend) -> Sending {
        let detect_silence =
            self.is_repeatable() && self.has_alternative_after(self.sends + 1, choice);
        let sending = self.gateway.send(
            &self.req,
            &self.plan,
            &self.retries,
            choice,
            SendTerms {
                model: self.model.as_deref(),
                resume_after: self.req.head.resume_after,
                detect_silence,
            },
        );
        if !self.may_move_wait(choice) {
            return Sending::Ended(sending.await);
        }
        // An answer that has arrived takes precedence. Dropping the send closes its
        // connection.
        tokio::select! {
            biased;
            sent = sending => Sending::Ended(sent),
            next = self.wait_for_move(choice) => Sending::Moved(next),
        }
    }

    /// Ends a send that is given up for one to another engine.
    fn handle_move(&mut self, mut choice: InFlightSend, next: InFlightSend) -> NextStep {
        self.progress.record_move();
        self.record_send();
        self.may_have_run = true;
        self.tried.push(choice.id.clone());
        choice.record_outcome(Outcome::Dropped);
        NextStep::Move(Box::new(next))
    }

    /// Builds the response to a request that no backend server answered.
    pub(super) fn reject_or_fail(&self, fallback: Option<Box<CallerResponse>>) -> CallerResponse {
        if let Some(response) = fallback {
            return *response;
        }
        let late = Instant::now() >= self.req.deadline;
        let status = match (self.may_have_run, late) {
            (true, true) => StatusCode::GATEWAY_TIMEOUT,
            (true, false) => StatusCode::BAD_GATEWAY,
            (false, _) => StatusCode::SERVICE_UNAVAILABLE,
        };
        let utilization = self
            .gateway
            .router()
            .utilization(self.gateway.now(), &self.plan);
        log::info!(
            id:% = self.req.head.id, status = status.as_u16(), sends = self.sends,
            unsent = self.unsent, refused = self.refused, taken = utilization, tried:? = self.tried;
            "request given up"
        );
        if self.may_have_run {
            self.record_end(RequestEnd::Unknown);
            return response::empty(status);
        }
        if !self.gateway.router().may_run(&self.plan) {
            self.gateway.metrics.record_quarantine_refusal();
            self.record_end(RequestEnd::Refused);
            return response::quarantined();
        }
        if self.lacks_slot {
            self.gateway.metrics.record_slot_refusal();
        }
        if !self.origin.is_caller() {
            // Leased backend servers that were down are leased anew once they are back.
            if self.lacks_slot || self.gateway.router().is_leased(&self.plan.service) {
                return self.decline(Decline::Busy);
            }
            if self.unsent + self.refused > 0 && !self.found_full_server {
                return self.decline(Decline::Isolated);
            }
            if self.sends == self.origin.sends() && !self.retries.is_paid() {
                return self.decline(Decline::OverBudget);
            }
        }
        if self.found_full_server && !self.plan.route.streaming {
            self.gateway.router().record_rejected(&self.plan);
        }
        self.record_end(RequestEnd::Refused);
        match self.retry_after() {
            Some(after) => response::retry_after(status, after),
            None => response::retry_later(status),
        }
    }

    /// Declines the request, which another entry has sent.
    fn decline(&self, why: Decline) -> CallerResponse {
        let declined = Declined {
            sends: self.sends,
            is_counted: self.retries.is_counted(),
        };
        forwarding::decline(&self.gateway, Some(&self.req.head.id), why, declined)
    }

    /// Returns after what time a backend server is expected to accept the request, if all
    /// have announced such a time.
    fn retry_after(&self) -> Option<Duration> {
        let now = self.gateway.now();
        let remaining = self.req.deadline.saturating_duration_since(Instant::now());
        let mut router = self.gateway.router();
        let after = router.retry_after(now, &self.plan, remaining)?;
        log::info!(
            id:% = self.req.head.id, after_ms = after.as_millis() as u64,
            limited = router.limited_count(), backed_off = router.backed_off_count(now);
            "told when to come back"
        );
        Some(after)
    }

    /// Chooses a backend server. If none is known yet, waits for the first announcement.
    pub(super) async fn choose_or_wait(&self) -> Result<InFlightSend, ChooseError> {
        loop {
            let changed = self.gateway.state_changed.notified();
            let chosen = self.choose();
            let deadline = startup_wait_deadline(&self.req.head, self.req.received_at);
            if !matches!(chosen, Err(ChooseError::Unknown))
                || !self.tried.is_empty()
                || timeout_at(deadline.into(), changed).await.is_err()
            {
                return chosen;
            }
        }
    }

    pub(super) fn choose(&self) -> Result<InFlightSend, ChooseError> {
        let now = self.gateway.now();
        let mut router = self.gateway.router();
        let choice = router.choose(now, &self.plan, self.model.as_deref(), &self.tried)?;
        drop(router);
        let gateway = Arc::clone(&self.gateway);
        Ok(InFlightSend::new(gateway, Arc::clone(&self.plan), choice))
    }

    /// Returns whether the limits of the route and the deadline permit another send.
    pub(super) fn has_attempts_left(&self) -> bool {
        self.unsent < MAX_UNSENT
            && self.refused < MAX_REFUSED_CONNECTIONS
            && self.has_time_and_sends_left()
    }

    /// Returns the same, however many backend servers could not be reached.
    pub(super) fn has_time_and_sends_left(&self) -> bool {
        self.sends < self.plan.route.max_attempts && Instant::now() < self.req.deadline
    }

    /// Returns whether another send could follow the current one, the last of `sends`.
    ///
    /// A busy backend server can be silent for seconds. Abandoning the last possible send
    /// would fail a request that the server would have finished.
    pub(super) fn has_alternative_after(&self, sends: u32, current: &Choice) -> bool {
        let router = self.gateway.router();
        sends < self.plan.route.max_attempts
            && router.has_alternative(self.gateway.now(), &self.plan, &self.tried, &current.id)
    }

    /// Returns a connection to the pool, for as long as its backend server keeps it open.
    pub(super) fn return_connection(&self, lease: ConnectionGuard, head: &ResponseHead) {
        if !head.closing {
            let max_idle = self.gateway.router().max_idle_connections(&self.plan);
            lease.release_with_limits(head.keep_alive, max_idle);
        }
    }

    /// Records the end of the request in the metrics.
    pub(super) fn record_end(&self, end: RequestEnd) {
        let elapsed = self.req.received_at.elapsed();
        self.gateway.metrics.record_request(end, elapsed);
    }

    /// Returns whether the request may be sent again although it may have run.
    pub(super) fn is_repeatable(&self) -> bool {
        !self.plan.route.runs_at_most_once()
    }

    /// Records that an answer to the request is complete.
    pub(super) fn record_completion(&self) {
        let now = self.gateway.now();
        self.gateway.router().record_completion(now, &self.plan);
    }

    /// Counts a send that was made.
    pub(super) fn record_send(&mut self) {
        self.sends += 1;
        self.retries.count_request();
    }

    /// Records the result of a send and decides how to continue.
    async fn handle_send_result(&mut self, mut choice: InFlightSend, sent: SendResult) -> NextStep {
        let outcome = match sent {
            SendResult::Unsent(e) => {
                self.record_unsent(&mut choice, &e);
                return NextStep::TryNextServer(None, RetryReason::Refused);
            }
            SendResult::Answered(response, head, lease) => {
                self.record_send();
                let pending = PendingResponse {
                    choice,
                    response: *response,
                    head: *head,
                    lease,
                };
                return self.handle_response_head(pending).await;
            }
            SendResult::ConnectionFailed(error) => {
                log::info!(
                    id:% = self.req.head.id, server:% = choice.id, why = error;
                    "send broke off"
                );
                self.check_for_crash(&choice, AnswerStage::Awaited);
                Outcome::Failed
            }
            SendResult::ServerSilent => {
                log::info!(id:% = self.req.head.id, server:% = choice.id; "backend server silent");
                self.gateway.client.retire(choice.addr);
                if !self.plan.route.streaming {
                    let now = self.gateway.now();
                    self.gateway.router().record_overdue(now, &choice.id);
                }
                Outcome::Silent
            }
            SendResult::TimedOut => {
                log::info!(id:% = self.req.head.id, server:% = choice.id; "no answer in time");
                Outcome::Dropped
            }
        };
        self.record_send();
        choice.record_outcome(outcome);
        let reason = match outcome {
            Outcome::Failed => RetryReason::BrokenOff,
            _ => RetryReason::Silent,
        };
        self.gateway.metrics.record_given_up(choice.elapsed());
        self.handle_possible_run(&choice, reason)
    }

    /// Records that nothing could be sent to a backend server.
    pub(super) fn record_unsent(&mut self, choice: &mut InFlightSend, error: &ClientError) {
        log::info!(id:% = self.req.head.id, server:% = choice.id, error:% = error; "not sent");
        let outcome = unsent_outcome(error);
        match outcome {
            Outcome::Down => self.refused += 1,
            _ => self.unsent += 1,
        }
        self.tried.push(choice.id.clone());
        choice.record_outcome(outcome);
    }

    /// Decides how to continue after a failed send whose request may have run.
    fn handle_possible_run(&mut self, choice: &Choice, reason: RetryReason) -> NextStep {
        self.may_have_run = true;
        self.tried.push(choice.id.clone());
        if self.is_repeatable() {
            return NextStep::TryNextServer(None, reason);
        }
        NextStep::Respond(Box::new(self.reject_or_fail(None)))
    }

    async fn handle_response_head(&mut self, pending: PendingResponse) -> NextStep {
        let head = &pending.head;
        if head.misdirected || head.not_run {
            return self.handle_not_run(pending);
        }
        let success = head.is_success();
        if success && !head.sealed {
            let mut choice = pending.choice;
            choice.record_outcome(Outcome::Failed);
            return self.handle_possible_run(&choice, RetryReason::BrokenOff);
        }
        if success && self.plan.route.streaming {
            return self.handle_stream(pending);
        }
        self.buffer_response(pending).await
    }

    /// Handles a response that says that the backend server did not run the request.
    fn handle_not_run(&mut self, pending: PendingResponse) -> NextStep {
        let PendingResponse {
            mut choice,
            head,
            lease,
            ..
        } = pending;
        log::info!(
            id:% = self.req.head.id, server:% = choice.id, status = head.status,
            limit:? = head.limit, retry_after:? = head.retry_after, leaving = head.leaving,
            max_rejections:? = head.max_rejections, load:? = head.load, sends = self.sends,
            waited_ms = choice.elapsed().as_millis() as u64;
            "backend server refused"
        );
        if head.misdirected {
            let now = self.gateway.now();
            self.gateway.router().mark_replaced(now, &choice);
        }
        self.found_full_server |= head.load.is_some_and(|load| load.is_full());
        self.return_connection(lease, &head);
        self.tried.push(choice.id.clone());
        choice.record_outcome(Outcome::Refused);
        NextStep::TryNextServer(None, RetryReason::Refused)
    }

    /// Accepts a stream, or drops it and escalates to a larger model.
    fn handle_stream(&mut self, mut pending: PendingResponse) -> NextStep {
        let (choice, head) = (&mut pending.choice, &pending.head);
        let now = self.gateway.now();
        let model = self.model.clone().unwrap_or_default();
        let waited = choice.elapsed();
        choice.record_first_event(Some(&model));
        let judgement = {
            let mut router = self.gateway.router();
            router.record_first_byte(&self.plan, choice, Some(&model), waited);
            // Without a server that can accept the escalated request, dropping this
            // stream would leave the caller without a response.
            let can_ask = self.sends < self.plan.route.max_attempts
                && router.has_capacity(now, &self.plan, &self.tried);
            match self.model {
                Some(_) => router.judge_answer(now, &self.plan, &model, head, &self.tried, can_ask),
                None => Judgement::kept(router.confidence_threshold(now, &self.plan), None),
            }
        };
        if let Some(step) = judgement.step {
            self.gateway.metrics.record_escalation(step);
        }
        if judgement.is_over_budget {
            self.record_judged_retry(RetryReason::LargerModel, false);
        }
        let forecast = choice.forecast;
        log::info!(
            id:% = self.req.head.id, server:% = choice.id, model:% = model,
            confidence:? = head.confidence, step:? = judgement.decision, load:? = head.load,
            limit:? = head.limit, leaving = head.leaving,
            max_rejections:? = head.max_rejections, keep_from = judgement.keep_from,
            waited_ms = waited.as_millis() as u64,
            since_ms = self.req.received_at.elapsed().as_millis() as u64, sends = self.sends,
            tokens = self.req.head.prompt_tokens,
            prompt:? = self.req.head.prompt, session:? = self.req.head.session,
            route:% = self.plan.route.name, rank = self.plan.engine_rank,
            org:? = self.plan.organisation, slowdown:? = forecast.map(|f| f.slowdown),
            forecast_ms:? = forecast.map(|f| f.first_event.as_millis()),
            complete_ms:? = forecast.map(|f| f.completion.as_millis()),
            candidates = choice.candidates,
            config = self.plan.table.config().version;
            "stream began"
        );
        if let Decision::Ask(larger_model) = judgement.decision {
            choice.record_outcome(Outcome::Dropped);
            // Closing the connection cancels the run, but the request has run in part.
            drop(pending);
            self.may_have_run = true;
            self.model = Some(larger_model);
            return NextStep::EscalateModel;
        }
        NextStep::Stream(Box::new(pending))
    }

    /// Reads a response that is not a stream to its end before any of it is forwarded.
    async fn buffer_response(&mut self, pending: PendingResponse) -> NextStep {
        let PendingResponse {
            mut choice,
            response,
            head,
            lease,
        } = pending;
        let (status, mut headers) = (response.status(), response.headers().clone());
        let is_until_closed = is_success_until_closed(&response);
        let reading = read_whole(response, MAX_RESPONSE_BYTES, lease.long_answers());
        let body = match timeout_at(self.req.deadline.into(), reading).await {
            Ok(Ok(body)) => body,
            read => {
                let outcome = if read.is_err() {
                    Outcome::Dropped
                } else {
                    Outcome::Failed
                };
                log::info!(id:% = self.req.head.id, server:% = choice.id; "answer broke off");
                if outcome == Outcome::Failed {
                    self.check_for_crash(&choice, AnswerStage::Begun);
                }
                choice.record_outcome(outcome);
                return self.handle_possible_run(&choice, RetryReason::BrokenOff);
            }
        };
        let elapsed = choice.elapsed();
        self.gateway
            .router()
            .record_answer(&self.plan, elapsed, head.load);
        self.return_connection(lease, &head);
        let failed = head.status >= 500;
        let outcome = if failed {
            Outcome::Failed
        } else {
            Outcome::Good
        };
        if !failed {
            let mut router = self.gateway.router();
            router.record_first_byte(&self.plan, &choice, None, choice.elapsed());
            drop(router);
            if head.is_success() && !is_until_closed {
                self.record_completion();
            }
        }
        if is_until_closed {
            self.record_until_closed(&choice, AnswerStage::Begun);
        }
        choice.record_outcome(outcome);
        log::info!(
            id:% = self.req.head.id, server:% = choice.id, candidates = choice.candidates,
            status = head.status, sends = self.sends, limit:? = head.limit,
            retry_after:? = head.retry_after, leaving = head.leaving,
            max_rejections:? = head.max_rejections, load:? = head.load,
            config = self.plan.table.config().version;
            "answered"
        );
        self.record_end(RequestEnd::Answered);
        self.gateway
            .router()
            .record_response_time(&self.plan, self.req.received_at.elapsed());
        strip_hop_by_hop(&mut headers);
        let response = Box::new(response::whole(status, headers, body));
        if failed && self.is_repeatable() {
            self.may_have_run = true;
            self.tried.push(choice.id.clone());
            return NextStep::TryNextServer(Some(response), RetryReason::Failed);
        }
        NextStep::Respond(response)
    }
}

/// Returns the outcome to record for a backend server to which nothing could be sent.
fn unsent_outcome(error: &ClientError) -> Outcome {
    match error {
        ClientError::Refused(_) => Outcome::Down,
        _ => Outcome::Unreachable,
    }
}
