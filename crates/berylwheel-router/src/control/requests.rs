//! Lifecycle of a request on the control thread: claim, reservation, queue and backend server.

use async_channel::Sender;
use berylwheel_budget::ReserveRequest;
use berylwheel_route::Outcome;
use berylwheel_schedule::WorkItem;
use berylwheel_types::BackendId;
use berylwheel_types::Code;
use berylwheel_types::Millis;
use berylwheel_types::Refusal;
use berylwheel_types::RequestId;
use berylwheel_types::Timestamp;
use berylwheel_types::Tokens;

use crate::control::command::AdmissionNumber;
use crate::control::command::AdmitRequest;
use crate::control::command::Command;
use crate::control::command::Finish;
use crate::control::command::Placement;
use crate::control::command::PlacementResult;
use crate::control::command::Usage;
use crate::control::core::Control;
use crate::control::quarantine::hold_refusal;
use crate::control::snapshot::RECONNECT_DELAY;
use crate::fleet::claims::ClaimResponse;

/// Time that the home router of a key has to answer a claim. Without a response the request runs
/// unclaimed, and its bill key still ensures that it is billed once. The value leaves time for the
/// first token within the target of 0.79 s. A home router that has failed causes this delay for 5 s
/// at most, until it is suspected.
const CLAIM_TIMEOUT: Millis = Millis(400);
/// Cost of a service call in the scheduler, in tokens.
const SERVICE_CALL_COST: Tokens = Tokens(50);

/// Stage of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Stage {
    /// Waits for the response to its claim, at most until the given time.
    Claiming(Timestamp),
    /// Waits for a reservation of tokens.
    Reserving,
    /// Waits in the queue of the scheduler.
    Queued,
    /// Runs on a backend server.
    Running,
}

/// A request on the control thread.
#[derive(Debug)]
pub struct RequestState {
    /// The request as the traffic thread submitted it.
    pub admit: AdmitRequest,
    /// Number of its admission.
    admission: AdmissionNumber,
    /// Current stage.
    pub stage: Stage,
    /// The backend server that runs it.
    pub server: Option<BackendId>,
    pub(super) reply: Option<Sender<PlacementResult>>,
    pub(super) preempt: Option<Sender<()>>,
    /// Whether a server had begun with the request before it was queued again.
    pub(super) has_begun: bool,
}

impl Control {
    /// Handles a message from a traffic thread.
    pub fn handle_command(&mut self, now: Timestamp, command: Command) {
        match command {
            Command::Admit(admit, admission, reply) => self.admit(now, *admit, admission, reply),
            Command::FirstToken(request) => self.scheduler.record_first_token(now, &request),
            Command::Retry(request, outcome, maybe_ran, reply) => {
                self.retry(now, &request, outcome, maybe_ran, reply);
            }
            Command::Relocate(request, outcome, reply) => {
                self.relocate(now, &request, outcome, reply);
            }
            Command::Requeue(request, reply) => self.requeue(now, &request, reply),
            Command::PauseDelay(request, reply) => {
                // Nobody receives this if the caller has disconnected.
                let _ = reply.try_send(self.pause_delay(now, &request));
            }
            Command::Finish(finish) => self.finish(now, &finish),
        }
    }

    fn admit(
        &mut self,
        now: Timestamp,
        admit: AdmitRequest,
        admission: AdmissionNumber,
        reply: Sender<PlacementResult>,
    ) {
        if self.draining {
            let detail = "running streams complete, new requests are refused";
            let refusal = Refusal::not_run(Code::Draining, detail).retry_after(RECONNECT_DELAY);
            let _ = reply.try_send(Err(refusal));
            return;
        }
        if let Some(refused) = self.quarantine.check(now, &admit.parts) {
            let _ = reply.try_send(Err(hold_refusal(&refused)));
            return;
        }
        let request = admit.request.clone();
        if self.requests.contains_key(&request) {
            let detail = "another request with this id is running at this router";
            let _ = reply.try_send(Err(Refusal::not_run(Code::RequestRunning, detail)));
            return;
        }
        let state = RequestState {
            admit,
            admission,
            stage: Stage::Claiming(now + CLAIM_TIMEOUT),
            server: None,
            reply: Some(reply),
            preempt: None,
            has_begun: false,
        };
        let claim_key = state.admit.needs_claim.then_some(state.admit.bill_key).flatten();
        let digest = state.admit.digest;
        self.requests.insert(request.clone(), state);
        match claim_key {
            Some(key) => self.claim(now, key, request, digest),
            None => self.reserve(now, &request),
        }
    }

    /// Continues or refuses a request according to the response to its claim.
    pub fn handle_claim_response(
        &mut self,
        now: Timestamp,
        request: &RequestId,
        response: ClaimResponse,
    ) {
        let is_claiming = self
            .requests
            .get(request)
            .is_some_and(|state| matches!(state.stage, Stage::Claiming(_)));
        if !is_claiming {
            return;
        }
        match response.refusal() {
            None => self.reserve(now, request),
            Some(refusal) => self.refuse(request, refusal),
        }
    }

    /// Continues the requests whose claim was not answered in time.
    pub fn expire_claims(&mut self, now: Timestamp) {
        let expired: Vec<RequestId> = self
            .requests
            .iter()
            .filter(|(_, state)| matches!(state.stage, Stage::Claiming(until) if until <= now))
            .map(|(request, _)| request.clone())
            .collect();
        for request in expired {
            self.reserve(now, &request);
        }
    }

    fn reserve(&mut self, now: Timestamp, request: &RequestId) {
        let Some(state) = self.requests.get_mut(request) else { return };
        if state.admit.amount == Tokens::ZERO {
            self.enqueue(now, request);
            return;
        }
        state.stage = Stage::Reserving;
        let reserve = ReserveRequest {
            request: request.clone(),
            budget: state.admit.budget.clone(),
            key: state.admit.bill_key,
            amount: state.admit.amount,
            deadline: state.admit.deadline,
        };
        self.holder.reserve(now, reserve);
    }

    /// Submits a request whose tokens are reserved to the scheduler.
    pub fn enqueue(&mut self, now: Timestamp, request: &RequestId) {
        if let Some(refusal) = self.pause_refusal(now, request) {
            self.refuse(request, refusal);
            return;
        }
        let Some(state) = self.requests.get_mut(request) else { return };
        state.stage = Stage::Queued;
        let admit = &state.admit;
        let work = WorkItem {
            request: request.clone(),
            workspace: admit.workspace.clone(),
            kind: admit.kind.clone(),
            model: admit.query.model.clone(),
            rank: admit.rank,
            cost: if admit.query.model.is_some() { admit.amount } else { SERVICE_CALL_COST },
            size: admit.size,
            deadline: admit.deadline,
        };
        if let Err(refusal) = self.scheduler.submit(now, work) {
            self.refuse(request, refusal);
        }
    }

    /// Starts queued requests for as long as the scheduler and the server capacity allow.
    pub fn start_queued(&mut self, now: Timestamp) {
        loop {
            let (requests, balancer) = (&self.requests, &self.balancer);
            let next = self.scheduler.start_next(now, &mut |work: &WorkItem| {
                requests
                    .get(&work.request)
                    .is_some_and(|state| balancer.can_start(now, &state.admit.query))
            });
            let Some(work) = next else { return };
            let Some(state) = self.requests.get_mut(&work.request) else {
                self.scheduler.finish(now, &work.request, Tokens::ZERO);
                continue;
            };
            state.stage = Stage::Running;
            let Some(placement) = self.place(now, &work.request) else {
                let refusal =
                    Refusal::not_run(Code::NoBackend, "no backend server has free capacity");
                self.refuse(&work.request, refusal);
                continue;
            };
            // If the caller has disconnected, nobody receives this. The traffic thread has then
            // dropped the request, which sends a finish that cleans up.
            let reply = self.requests.get_mut(&work.request).and_then(|state| state.reply.take());
            if let Some(reply) = reply {
                let _ = reply.try_send(Ok(placement));
            }
        }
    }

    /// Assigns a backend server to a request, or returns `None` if none has free capacity.
    fn place(&mut self, now: Timestamp, request: &RequestId) -> Option<Placement> {
        let state = self.requests.get_mut(request)?;
        let server = self.balancer.pick(now, &state.admit.query)?;
        let expected = self.balancer.expected_time(&server.id, &state.admit.query);
        self.balancer.request_started(now, &server.id);
        let (sender, receiver) = async_channel::bounded(1);
        state.server = Some(server.id.clone());
        state.preempt = Some(sender);
        let usage_tag = self.holder.usage_tag(request).map(|tag| tag.to_string());
        Some(Placement { server, preempt: receiver, expected, usage_tag })
    }

    /// Refuses queued requests whose deadline can no longer be met, and preempts batch requests in
    /// favour of urgent ones.
    pub fn refuse_and_preempt(&mut self, now: Timestamp) {
        for (request, refusal) in self.scheduler.take_dropped(now) {
            self.refuse(&request, refusal);
        }
        for request in self.scheduler.preempt(now) {
            self.cancel(&request);
        }
    }

    fn retry(
        &mut self,
        now: Timestamp,
        request: &RequestId,
        outcome: Outcome,
        maybe_ran: bool,
        reply: Sender<PlacementResult>,
    ) {
        let Some(state) = self.requests.get_mut(request) else { return };
        if let Some(server) = state.server.take() {
            self.balancer.request_ended(now, &server, outcome);
            state.admit.query.exclude.push(server);
        }
        let no_backend = |detail| Err(Refusal::unknown(Code::NoBackend, detail));
        if let Some(reason) = self.second_server_refusal(now, request, maybe_ran) {
            let _ = reply.try_send(no_backend(reason));
            return;
        }
        let Some(state) = self.requests.get(request) else { return };
        if !self.scheduler.take_retry(now, &state.admit.kind) {
            let _ = reply.try_send(no_backend("the retry limit of this kind of work is reached"));
            return;
        }
        let placement = self.place(now, request);
        let _ = reply.try_send(
            placement.map_or_else(|| no_backend("no other backend server has free capacity"), Ok),
        );
    }

    /// Moves a request to another server if there is one; otherwise it stays where it is.
    fn relocate(
        &mut self,
        now: Timestamp,
        request: &RequestId,
        outcome: Outcome,
        reply: Sender<PlacementResult>,
    ) {
        let Some(state) = self.requests.get_mut(request) else { return };
        let Some(current) = state.server.clone() else { return };
        state.admit.query.exclude.push(current.clone());
        let suspected = self.second_server_refusal(now, request, false);
        let Some(state) = self.requests.get(request) else { return };
        let (query, kind) = (&state.admit.query, &state.admit.kind);
        let refusal = if suspected.is_some() {
            suspected
        } else if !self.balancer.can_start(now, query) {
            Some("no other backend server has free capacity")
        } else if !self.scheduler.take_retry(now, kind) {
            Some("the retry limit of this kind of work is reached")
        } else {
            None
        };
        let placement = match refusal {
            None => self.place(now, request),
            Some(_) => None,
        };
        if placement.is_some() {
            self.balancer.request_ended(now, &current, outcome);
        } else if let Some(state) = self.requests.get_mut(request) {
            state.admit.query.exclude.pop();
        }
        let detail = refusal.unwrap_or("no other backend server has free capacity");
        let refused = || Refusal::unknown(Code::NoBackend, detail);
        let _ = reply.try_send(placement.ok_or_else(refused));
    }

    /// Cancels a request whose answer has not begun.
    pub(super) fn cancel(&self, request: &RequestId) {
        if let Some(preempt) = self.requests.get(request).and_then(|state| state.preempt.as_ref()) {
            let _ = preempt.try_send(());
        }
    }

    /// Refuses a request and removes its state.
    pub fn refuse(&mut self, request: &RequestId, refusal: Refusal) {
        let now = self.clock.now();
        let Some(mut state) = self.requests.remove(request) else { return };
        log::debug!(
            request = request.as_str(), budget:% = state.admit.budget, amount = state.admit.amount.0,
            code = refusal.code.number(); "request refused: {}", refusal.detail
        );
        if let Some(reply) = state.reply.take() {
            let _ = reply.try_send(Err(refusal));
        }
        self.clean_up(now, request, &state, Usage::NotRun, false);
    }

    fn finish(&mut self, now: Timestamp, finish: &Finish) {
        let is_ended = |state: &RequestState| state.admission == finish.admission;
        if !self.requests.get(&finish.request).is_some_and(is_ended) {
            return;
        }
        let Some(state) = self.requests.remove(&finish.request) else { return };
        if let Some(server) = &state.server {
            self.balancer.request_ended(now, server, finish.outcome);
        }
        log::debug!(
            request = finish.request.as_str(), budget:% = state.admit.budget,
            kind = state.admit.kind.as_str(), amount = state.admit.amount.0,
            used = finish.usage.billed(state.admit.amount).0, usage:? = finish.usage,
            outcome:? = finish.outcome, delivered = finish.delivered; "request ended"
        );
        if finish.answered {
            self.quarantine.record_answer(now, &state.admit.parts);
        }
        self.clean_up(now, &finish.request, &state, finish.usage, finish.delivered);
    }

    fn clean_up(
        &mut self,
        now: Timestamp,
        request: &RequestId,
        state: &RequestState,
        usage: Usage,
        delivered: bool,
    ) {
        let used = match state.stage {
            Stage::Running => usage.billed(state.admit.amount),
            Stage::Claiming(_) | Stage::Reserving | Stage::Queued => Tokens::ZERO,
        };
        match state.stage {
            Stage::Queued => self.scheduler.cancel(request),
            Stage::Running => self.scheduler.finish(now, request, used),
            Stage::Claiming(_) | Stage::Reserving => {}
        }
        if used == Tokens::ZERO {
            self.holder.release(now, request);
        } else {
            self.holder.settle(now, request, used);
        }
        if state.admit.needs_claim
            && let Some(key) = state.admit.bill_key
        {
            self.end_claim(now, key, request, delivered);
        }
    }
}
