//! Chat completion requests, which are sent to an engine.

use berylwheel_http::Caller;
use berylwheel_http::ClientError;
use berylwheel_http::EventReader;
use berylwheel_http::OutgoingRequest;
use berylwheel_http::ResponseStream;
use berylwheel_http::channel_body;
use berylwheel_http::timeout;
use berylwheel_route::Outcome;
use berylwheel_route::RouteQuery;
use berylwheel_settings::KindSettings;
use berylwheel_types::Code;
use berylwheel_types::Millis;
use berylwheel_types::Refusal;
use berylwheel_types::RequestId;
use berylwheel_types::Timestamp;
use berylwheel_types::Tokens;
use futures_lite::FutureExt;
use futures_lite::future;
use http_types::Method;
use http_types::Request;
use http_types::Response;
use serde_json::Value;

use crate::calls::chat::ChatRequest;
use crate::calls::chat::EngineEvent;
use crate::calls::memory::MemoryReservation;
use crate::calls::request_guard::RequestGuard;
use crate::calls::request_handler::Call;
use crate::calls::request_handler::RequestBody;
use crate::calls::request_handler::RequestHandler;
use crate::calls::request_handler::kind_of_model;
use crate::control::command::AdmitRequest;
use crate::control::command::Placement;
use crate::control::command::Usage;
use crate::control::event::Event;

/// Maximum size of a response that is not streamed, in bytes.
const MAX_RESPONSE_BYTES: u64 = 8 << 20;
/// Timeout of a cancellation request to an engine.
const CANCEL_TIMEOUT: Millis = Millis(2_000);

/// A chat completion request and its limits.
pub struct ChatJob {
    /// The caller's request.
    pub call: Call,
    /// The parsed body.
    pub chat: ChatRequest,
    /// The kind of work.
    pub kind: KindSettings,
    /// Limit on generated tokens.
    pub max_tokens: u64,
    /// Deadline for the start of the response.
    pub start_deadline: Timestamp,
    /// Deadline for the end of the response.
    pub end_deadline: Timestamp,
    _reservation: MemoryReservation,
}

/// A stream whose first event has arrived.
pub struct OpenStream {
    /// The backend server that runs the attempt.
    pub placement: Placement,
    /// The attempt id.
    pub id: RequestId,
    /// Reads the remaining events.
    pub reader: EventReader<ResponseStream>,
    /// The first event.
    pub first: String,
}

/// Why an attempt failed before any data was sent to the caller.
enum AttemptError {
    Preempted,
    Failed(Outcome, String),
}

impl RequestHandler {
    /// Handles a chat completion request.
    ///
    /// # Errors
    /// Fails if the request is refused before any data is sent to the caller.
    pub async fn handle_chat(
        &self,
        mut request: Request,
        id: RequestId,
        arrived: Timestamp,
    ) -> Result<Response, Refusal> {
        let snapshot = self.snapshot.load_full();
        let settings = snapshot.serving_settings()?;
        let call = self.parse_call(&request, settings, id, arrived)?;
        let caller = request.ext().get::<Caller>().cloned();
        let RequestBody { bytes, reservation } =
            self.receive_body(&mut request, settings, &self.engine_memory).await?;
        let chat = ChatRequest::parse(&bytes)?;
        let kind = kind_of_model(settings, &call.workspace, &chat.model)?;
        let max_tokens = chat.max_tokens.unwrap_or(kind.max_tokens.0);
        if max_tokens > kind.max_tokens.0 {
            let detail = format!("max_tokens: expected at most {}", kind.max_tokens);
            return Err(Refusal::not_run(Code::InvalidField, detail));
        }
        let query = RouteQuery {
            kind: kind.id.clone(),
            model: Some(chat.model.clone()),
            prefix: chat.prefix_hash,
            exclude: Vec::new(),
            prompt_tokens: chat.prompt_tokens,
        };
        let amount = chat.prompt_tokens + Tokens(max_tokens);
        let admit = AdmitRequest {
            needs_claim: call.key.is_some(),
            ..call.admit(&kind, &bytes, amount, query)
        };
        let (start_deadline, end_deadline) =
            (admit.deadline, arrived + settings.fleet().request_limit);
        let (mut guard, placement) = self.admit(admit, caller).await?;
        guard.set_usage(Usage::NoResult);
        let job = ChatJob {
            call,
            chat,
            kind,
            max_tokens,
            start_deadline,
            end_deadline,
            _reservation: reservation,
        };
        if job.chat.stream {
            return Box::pin(self.respond_streaming(job, guard, placement)).await;
        }
        Box::pin(self.respond_complete(job, guard, placement)).await
    }

    pub(crate) fn engine_request(
        &self,
        job: &ChatJob,
        placement: &Placement,
        id: &RequestId,
    ) -> OutgoingRequest {
        let remaining = job.end_deadline.since(self.clock.now());
        let mut outgoing = OutgoingRequest::new(Method::Post, "/v1/chat/completions")
            .header("content-type", "application/json")
            .header("x-request-id", id.as_str())
            .header("x-request-owner", self.incarnation.to_string())
            .header("x-budget", job.call.budget.as_str())
            .header("x-prefix", job.chat.prefix_hash.to_string())
            .body(job.chat.engine_body(job.max_tokens, job.kind.rank));
        if let Some(tag) = &placement.usage_tag {
            outgoing = outgoing.header("x-usage-tag", tag.clone());
        }
        outgoing.head_timeout = remaining;
        outgoing
    }

    /// Tries backend servers until one sends its first event, then relays its stream.
    async fn respond_streaming(
        &self,
        job: ChatJob,
        guard: RequestGuard,
        mut placement: Placement,
    ) -> Result<Response, Refusal> {
        let mut attempt_number = 0;
        let opened = loop {
            let id = attempt_id(&job.call.id, attempt_number);
            attempt_number += 1;
            match self.open_stream(&job, &placement, &id).await {
                Ok((reader, first)) => break OpenStream { placement, id, reader, first },
                Err(AttemptError::Preempted) => {
                    self.cancel(&placement, &id).await;
                    placement = guard.requeue().await?;
                }
                Err(AttemptError::Failed(outcome, detail)) => {
                    self.log_failure(&job, &placement, outcome, &detail);
                    if outcome == Outcome::TimedOut {
                        // The engine may still be generating, and its events are no longer read.
                        self.cancel(&placement, &id).await;
                    }
                    placement = match self.next_server(&job, &guard, outcome, detail).await {
                        Ok(next) => next,
                        Err(refusal) => {
                            // Reports the outcome, so that it counts as a failure of the server.
                            guard.finish(outcome, false);
                            return Err(refusal);
                        }
                    };
                }
            }
        };
        guard.first_token();
        self.metrics.record_first_token(&job.kind.id, self.clock.now().since(job.call.arrived));
        let (sender, body) = channel_body();
        let mut response = Response::new(200);
        response.set_body(body);
        response.insert_header("content-type", "text/event-stream");
        response.insert_header("cache-control", "no-store");
        let handler = self.clone();
        self.executor
            .spawn(async move { handler.relay(job, guard, opened, sender).await })
            .detach();
        Ok(response)
    }

    /// Sends the request and waits for the first event.
    async fn open_stream(
        &self,
        job: &ChatJob,
        placement: &Placement,
        id: &RequestId,
    ) -> Result<(EventReader<ResponseStream>, String), AttemptError> {
        let limit = job.start_deadline.since(self.clock.now());
        let opening = async {
            let mut outgoing = self.engine_request(job, placement, id);
            outgoing.head_timeout = outgoing.head_timeout.min(limit);
            let result = self.client.send(placement.server.address, &outgoing).await;
            let (response, stream) = result.map_err(|error| client_failure(&error))?;
            if response.status() != 200 {
                if response.header("x-draining").is_some_and(|value| value == "true") {
                    let _ =
                        self.events.try_send(Event::ServerDraining(placement.server.id.clone()));
                }
                let detail =
                    format!("{} responded with status {}", placement.server.id, response.status());
                return Err(AttemptError::Failed(Outcome::Failed, detail));
            }
            let mut reader = EventReader::new(stream);
            match reader.next().await {
                Ok(Some(first)) => Ok((reader, first)),
                Ok(None) => Err(stream_failure("the stream ended before its first event")),
                Err(error) => Err(stream_failure(&error.to_string())),
            }
        };
        let timed = async {
            timeout(limit, opening).await.unwrap_or_else(|| {
                Err(AttemptError::Failed(
                    Outcome::TimedOut,
                    format!("no first event within {limit}"),
                ))
            })
        };
        timed.or(preempted(placement)).await
    }

    async fn next_server(
        &self,
        job: &ChatJob,
        guard: &RequestGuard,
        outcome: Outcome,
        detail: String,
    ) -> Result<Placement, Refusal> {
        let (code, timed_out) = match outcome {
            Outcome::TimedOut => (Code::BackendTimeout, true),
            _ => (Code::BackendFailed, false),
        };
        if timed_out || self.clock.now() >= job.start_deadline {
            return Err(Refusal::unknown(code, detail));
        }
        self.metrics.count_retry(&job.kind.id);
        guard.retry(outcome, true).await.map_err(|refusal| match refusal.code {
            Code::NoBackend => Refusal::unknown(code, detail),
            _ => refusal,
        })
    }

    pub(crate) fn log_failure(
        &self,
        job: &ChatJob,
        placement: &Placement,
        outcome: Outcome,
        detail: &str,
    ) {
        log::warn!(
            request = job.call.id.as_str(), server = placement.server.id.as_str(), outcome:? = outcome;
            "attempt failed: {detail}"
        );
    }

    /// Handles a request whose response is not streamed.
    async fn respond_complete(
        &self,
        job: ChatJob,
        mut guard: RequestGuard,
        mut placement: Placement,
    ) -> Result<Response, Refusal> {
        let mut attempt_number = 0;
        loop {
            let id = attempt_id(&job.call.id, attempt_number);
            attempt_number += 1;
            let remaining = job.end_deadline.since(self.clock.now());
            let outgoing = self.engine_request(&job, &placement, &id);
            let fetch = async {
                self.client
                    .fetch(placement.server.address, &outgoing, MAX_RESPONSE_BYTES, remaining)
                    .await
                    .map_err(|error| client_failure(&error))
            };
            let result = match fetch.or(preempted(&placement)).await {
                Ok((response, bytes)) => check_response(response.status(), &bytes, &id)
                    .map(|usage| (bytes, usage))
                    .map_err(|detail| AttemptError::Failed(Outcome::Failed, detail)),
                Err(error) => Err(error),
            };
            match result {
                Ok((bytes, usage)) => {
                    guard.set_usage(Usage::Known(usage));
                    self.metrics
                        .record_first_token(&job.kind.id, self.clock.now().since(job.call.arrived));
                    self.metrics.count_billed(&job.kind.id, guard.billed().0);
                    guard.finish(Outcome::Ok, true);
                    let mut response = Response::new(200);
                    response.set_body(bytes);
                    response.insert_header("content-type", "application/json");
                    return Ok(response);
                }
                Err(AttemptError::Preempted) => {
                    self.cancel(&placement, &id).await;
                    placement = guard.requeue().await?;
                }
                Err(AttemptError::Failed(outcome, detail)) => {
                    self.log_failure(&job, &placement, outcome, &detail);
                    self.cancel(&placement, &id).await;
                    placement = match self.next_server(&job, &guard, outcome, detail).await {
                        Ok(next) => next,
                        Err(refusal) => {
                            // Reports the outcome, so that it counts as a failure of the server.
                            guard.finish(outcome, false);
                            return Err(refusal);
                        }
                    };
                }
            }
        }
    }

    /// Cancels an attempt at its engine and returns the usage that the engine reports. Returns
    /// `None` if the engine does not respond or reports no usage.
    pub(crate) async fn cancel(&self, placement: &Placement, id: &RequestId) -> Option<Tokens> {
        let outgoing = OutgoingRequest::new(Method::Delete, format!("/v1/requests/{id}"));
        let result =
            self.client.fetch(placement.server.address, &outgoing, 4_096, CANCEL_TIMEOUT).await;
        match result {
            Ok((_, bytes)) => {
                let value: Value = serde_json::from_slice(&bytes).ok()?;
                value.get("tokens").and_then(Value::as_u64).map(Tokens)
            }
            Err(error) => {
                log::debug!(request = id.as_str(); "cancellation failed: {error}");
                None
            }
        }
    }
}

/// Waits until the request is preempted by more urgent work.
async fn preempted<T>(placement: &Placement) -> Result<T, AttemptError> {
    match placement.preempt.recv().await {
        Ok(()) => Err(AttemptError::Preempted),
        Err(_) => future::pending().await,
    }
}

fn check_response(
    status: http_types::StatusCode,
    bytes: &[u8],
    id: &RequestId,
) -> Result<Tokens, String> {
    if status != 200 {
        return Err(format!("the engine responded with status {status}"));
    }
    let text = std::str::from_utf8(bytes).map_err(|error| error.to_string())?;
    let event = EngineEvent::parse(text).ok_or("the response is not a JSON object")?;
    if !event.belongs_to(id) {
        return Err("the response belongs to another request".to_owned());
    }
    event.usage.ok_or_else(|| "the response has no usage".to_owned())
}

fn client_failure(error: &ClientError) -> AttemptError {
    let outcome = if error.timed_out { Outcome::TimedOut } else { Outcome::Failed };
    AttemptError::Failed(outcome, error.to_string())
}

fn stream_failure(detail: &str) -> AttemptError {
    AttemptError::Failed(Outcome::Failed, detail.to_owned())
}

/// Returns the id of an attempt. Ids are unique per attempt, so that late events of an abandoned
/// attempt are not mistaken for events of the current one.
fn attempt_id(id: &RequestId, number: u32) -> RequestId {
    match number {
        0 => id.clone(),
        n => format!("{id}.{n}").parse().expect("attempt id is a valid name"),
    }
}
