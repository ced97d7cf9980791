//! Sends a request to one backend server and decides whether a failed attempt is retried.

use async_channel::TrySendError;
use berylwheel_http::PooledConnection;
use berylwheel_http::SendError;
use berylwheel_http::SendOptions;
use berylwheel_route::LoadReport;
use berylwheel_route::Outcome;
use berylwheel_route::PauseRequest;
use berylwheel_route::ServerSignal;
use berylwheel_settings::Repeat;
use berylwheel_types::BackendId;
use berylwheel_types::ExecutionState;
use berylwheel_types::Millis;
use berylwheel_types::Refusal;
use http::Request;
use http::response::Parts;
use http_body_util::Full;
use hyper::body::Incoming;

use super::call::Call;
use super::classify::AttemptFailure;
use super::classify::MISDIRECTED;
use super::classify::ResponseClass;
use super::classify::classify_response;
use super::classify::is_repeatable;
use super::classify::may_pass_on;
use super::classify::may_retry;
use super::link::connect_timeout;
use super::listen::Forwarder;
use super::platform::ForwardedRequest;
use super::platform::ReportedLoad;
use super::platform::ResponseHeaders;
use super::signal::response_signal;
use super::trace::AnswerProgress;
use super::trace::PartList;
use crate::calls::request_guard::RequestGuard;
use crate::control::command::Placement;
use crate::control::event::Event;
use crate::control::quarantine::BreakCertainty;
use crate::control::quarantine::BrokenAttempt;

/// Maximum idle time of a reused connection for a request that must not run twice. The server may
/// close an idle connection just as the request is sent, and then it is unknown whether the request
/// ran.
const SINGLE_RUN_IDLE: Millis = Millis(1_000);
/// Maximum idle time of a reused connection for a request that may run more than once.
const REPEATABLE_IDLE: Millis = Millis(30_000);
/// An answer whose first event arrived longer ago is not the one that its server was beginning when
/// the server ended.
pub(crate) const ANSWER_START: Millis = Millis(250);
/// Retry delay for a caller whose request no server has run.
const RETRY_AFTER: Millis = Millis(100);

/// A server's response whose head has arrived and whose body has not been read.
pub(crate) struct ServerResponse {
    pub head: Parts,
    pub decoded: ResponseHeaders,
    pub class: ResponseClass,
    pub body: Incoming,
    pub connection: PooledConnection,
}

impl ServerResponse {
    /// Returns the connection to the pool; call it once the body has been read to its end. A server
    /// that did not name the request may still send the response to it.
    pub(crate) fn release(self) {
        if !self.decoded.close && self.decoded.id.is_some() {
            self.connection.release(self.decoded.idle_timeout);
        }
    }
}

/// The attempts of a request so far.
#[derive(Debug, Default)]
pub(crate) struct RetryState {
    /// Number of servers that the request was sent to.
    pub sent: u32,
    /// Whether the request may have run on one of them.
    pub maybe_ran: bool,
}

impl Forwarder {
    /// Sends the request to the server of `placement` and returns the response once its head has
    /// arrived.
    pub(crate) async fn send_attempt(
        &self,
        call: &Call,
        placement: &Placement,
        last_event: Option<u64>,
        timeout: Millis,
    ) -> Result<ServerResponse, AttemptFailure> {
        let now = self.clock.now();
        let server = &placement.server;
        let mut headers = call.headers.clone();
        let forwarded = ForwardedRequest {
            server: &server.id,
            workspace: call.workspace.as_ref(),
            time_left: call.time_left(now),
            rank: (call.prompt_tokens.0 > 0).then_some(call.rank),
            last_event,
        };
        self.platform.encode_request(&mut headers, &forwarded);
        let mut request = Request::new(Full::new(call.body.clone()));
        *request.method_mut() = call.method.clone();
        *request.uri_mut() = call.target.clone();
        *request.headers_mut() = headers;
        let options = SendOptions {
            max_idle: if is_repeatable(&call.kind) {
                REPEATABLE_IDLE
            } else {
                single_run_idle(call)
            },
            connect_timeout: connect_timeout(self.link.is_full(now), forwarded.time_left),
            head_timeout: timeout,
        };
        log::debug!(
            request = call.id.as_str(), server = server.id.as_str(), kind = call.kind.id.as_str(),
            left = forwarded.time_left.0; "sending request to server"
        );
        self.link.record_send(now, call.body.len());
        call.trace.record_send(now);
        let sending = self.upstream.send(server.address, request, options).await;
        if let Err(SendError { refused: true, .. }) = &sending {
            self.send_event(Event::ServerRefused(server.id.clone()));
        }
        let (raw, connection) = sending.map_err(|error| self.send_failure(error))?;
        call.trace.record_head(self.clock.now());
        let (head, body) = raw.into_parts();
        let decoded = self.platform.decode_response(&head.headers);
        if let Some(load) = decoded.load {
            self.report_load(&server.id, load);
            call.trace.record_stated_time(load.work_time.unwrap_or_default());
        }
        let (status, reused) = (head.status.as_u16(), connection.is_reused());
        let signal = response_signal(call.id.as_str(), status, &decoded, server.address, now);
        if let Some(signal) = signal {
            self.report_signal(&server.id, signal);
        }
        let class = classify_response(call.id.as_str(), status, &decoded, reused);
        let response = ServerResponse { head, decoded, class, body, connection };
        match class {
            ResponseClass::Failure if !may_pass_on(&call.kind, status) => {
                let detail = format!(
                    "{} responded {} without stating whether the request ran",
                    server.id, response.head.status
                );
                Err(AttemptFailure::Unknown { timed_out: false, detail })
            }
            ResponseClass::Success | ResponseClass::Failure => Ok(response),
            ResponseClass::NotRun => {
                let detail = format!(
                    "{} responded {} without running the request",
                    server.id, response.head.status
                );
                Err(AttemptFailure::NotRun { misdirected: status == MISDIRECTED, detail })
            }
            ResponseClass::Unverified => {
                let detail =
                    format!("{}: response not verified as the answer to this request", server.id);
                Err(AttemptFailure::Unknown { timed_out: false, detail })
            }
        }
    }

    fn send_failure(&self, error: SendError) -> AttemptFailure {
        if error.timed_out && !error.sent && self.link.is_full(self.clock.now()) {
            return AttemptFailure::LinkFull { detail: error.detail };
        }
        error.into()
    }

    /// Handles a failed attempt: returns another server for a retry, or the refusal that ends the
    /// request.
    pub(crate) async fn next_server(
        &self,
        call: &Call,
        guard: &RequestGuard,
        placement: &Placement,
        retry_state: &mut RetryState,
        failure: AttemptFailure,
    ) -> Result<Placement, Refusal> {
        let outcome = failure.outcome();
        retry_state.sent += u32::from(failure.was_sent());
        retry_state.maybe_ran |= failure.may_have_run();
        let now = self.clock.now();
        let progress = call.trace.progress(now);
        log::info!(
            request = call.id.as_str(), server = placement.server.id.as_str(), outcome:? = outcome,
            sent = retry_state.sent, ran = retry_state.maybe_ran, answer = progress.name(),
            ms = call.trace.age(now).0, parts:% = PartList(&call.parts);
            "attempt failed: {}", failure.detail()
        );
        if failure.may_have_run() {
            self.metrics.count_broken_attempt(progress.name());
        }
        self.report_break(call, placement, &failure);
        let refusal = failure.refusal(retry_state.maybe_ran, RETRY_AFTER);
        if self.clock.now() >= call.deadline || !may_retry(&call.kind, &failure, retry_state.sent) {
            return Err(with_pause(guard, refusal).await);
        }
        self.metrics.count_retry(&call.kind.id);
        match guard.retry(outcome, failure.may_have_run()).await {
            Ok(next) => Ok(next),
            Err(_) => Err(with_pause(guard, refusal).await),
        }
    }

    /// Reports an attempt whose connection ended before its answer began, or just after. Its server
    /// may have ended because of it.
    pub(crate) fn report_break(
        &self,
        call: &Call,
        placement: &Placement,
        failure: &AttemptFailure,
    ) {
        if matches!(failure, AttemptFailure::Unknown { timed_out: false, .. }) {
            self.report_end_of_connection(call, placement, BreakCertainty::Certain);
        }
    }

    /// Reports an answer that ended with its connection, just after it began. It has no length or
    /// chunks, so that it is complete unless its server ended then, which the quarantine finds out.
    pub(crate) fn report_suspected_break(&self, call: &Call, placement: &Placement) {
        self.report_end_of_connection(call, placement, BreakCertainty::Suspected);
    }

    fn report_end_of_connection(
        &self,
        call: &Call,
        placement: &Placement,
        certainty: BreakCertainty,
    ) {
        let now = self.clock.now();
        let has_begun = match call.trace.progress(now) {
            AnswerProgress::Nothing | AnswerProgress::Head => false,
            AnswerProgress::Events(age) => age >= ANSWER_START,
        };
        if has_begun || call.parts.is_empty() {
            return;
        }
        self.send_event(Event::AttemptBroken(BrokenAttempt {
            certainty,
            server: placement.server.id.clone(),
            ran_for: call.trace.age(now),
            parts: call.parts.clone(),
        }));
    }

    /// Reports what a server said about itself. The report precedes the requests of callers that
    /// have received the response.
    fn report_signal(&self, server: &BackendId, signal: ServerSignal) {
        if signal.pause != PauseRequest::None {
            self.metrics.count_signal("pause");
        }
        if signal.leaving {
            self.metrics.count_signal("leaving");
            self.upstream.close_idle(signal.address);
        }
        if signal.cold.is_some_and(|remaining| remaining > Millis(0)) {
            self.metrics.count_signal("cold");
        }
        self.send_event(Event::ServerSignal(server.clone(), signal));
    }

    fn report_load(&self, server: &BackendId, load: ReportedLoad) {
        let report = LoadReport {
            at: self.clock.now(),
            in_flight: load.running,
            queued: load.queued,
            draining: false,
            loaded: None,
        };
        self.send_event(Event::LoadReported(server.clone(), report));
    }

    fn send_event(&self, event: Event) {
        // The channel is unbounded, so sending fails only after the control thread has stopped.
        if let Err(TrySendError::Closed(_)) = self.events.try_send(event) {
            log::debug!("event dropped: the control thread has stopped");
        }
    }
}

/// Sets the retry delay of a request that did not run to the end of its servers' pause, if all of
/// them have asked for one.
async fn with_pause(guard: &RequestGuard, refusal: Refusal) -> Refusal {
    if refusal.ran != ExecutionState::NotRun {
        return refusal;
    }
    match guard.pause_delay().await {
        Some(delay) => refusal.retry_after(delay),
        None => refusal,
    }
}

fn single_run_idle(call: &Call) -> Millis {
    match call.kind.repeat {
        Repeat::Once | Repeat::Never if call.prompt_tokens.0 == 0 => Millis(0),
        _ => SINGLE_RUN_IDLE,
    }
}

/// Returns the outcome that a completed response counts as for its server.
pub(crate) fn response_outcome(class: ResponseClass, status: u16) -> Outcome {
    match class {
        ResponseClass::Success => Outcome::Ok,
        ResponseClass::Failure if status >= 500 => Outcome::Failed,
        _ => Outcome::Ok,
    }
}
