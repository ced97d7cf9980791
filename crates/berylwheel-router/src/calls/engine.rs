//! Model work: forwarding to an engine and relaying its answer.

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
use crate::calls::memory::BodyBytes;
use crate::calls::ticket::Ticket;
use crate::calls::traffic::Body;
use crate::calls::traffic::Call;
use crate::calls::traffic::Traffic;
use crate::calls::traffic::kind_of_model;
use crate::control::command::AdmitRequest;
use crate::control::command::Placement;
use crate::control::event::Event;

/// The largest answer that is not streamed, in bytes.
const ANSWER_LIMIT: u64 = 8 << 20;
/// Time that a cancellation at an engine may take.
const CANCEL_TIME: Millis = Millis(2_000);

/// What the tasks of one model request share.
pub struct Job {
    /// The caller's request.
    pub call: Call,
    /// What it asks for.
    pub chat: ChatRequest,
    /// Its kind of work.
    pub kind: KindSettings,
    /// Bound on generated tokens.
    pub max_tokens: u64,
    /// When the answer must have started.
    pub deadline: Timestamp,
    /// When the answer must have ended.
    pub end: Timestamp,
    _memory: BodyBytes,
}

/// A stream whose first event has arrived.
pub struct Opened {
    /// Where it runs.
    pub start: Placement,
    /// Id of the attempt.
    pub id: RequestId,
    /// The events that follow.
    pub reader: EventReader<ResponseStream>,
    /// The first event.
    pub first: String,
}

/// How an attempt at a server went wrong before the caller was sent anything.
enum Attempt {
    Preempted,
    Failed(Outcome, String),
}

impl Traffic {
    /// Serves a chat-completions request.
    ///
    /// # Errors
    /// A refusal, as long as the caller has not been sent the start of an answer.
    pub async fn chat(
        &self,
        mut request: Request,
        id: RequestId,
        arrived: Timestamp,
    ) -> Result<Response, Refusal> {
        let snapshot = self.snapshot.load_full();
        let settings = snapshot.serving_settings()?;
        let call = self.call(&request, settings, id, arrived)?;
        let caller = request.ext().get::<Caller>().cloned();
        let Body { bytes, memory } = self.body(&mut request, settings, &self.engine_memory).await?;
        let chat = ChatRequest::parse(&bytes)?;
        let kind = kind_of_model(settings, &call.workspace, &chat.model)?;
        let max_tokens = chat.max_tokens.unwrap_or(kind.max_tokens.0);
        if max_tokens > kind.max_tokens.0 {
            let detail = format!("max_tokens: expected at most {}", kind.max_tokens);
            return Err(Refusal::not_run(Code::InvalidField, detail));
        }
        let ask = RouteQuery {
            kind: kind.id.clone(),
            model: Some(chat.model.clone()),
            prefix: chat.prefix,
            exclude: Vec::new(),
        };
        let amount = chat.prompt + Tokens(max_tokens);
        let admit = AdmitRequest {
            needs_claim: call.key.is_some(),
            ..call.admit(&kind, &bytes, amount, ask)
        };
        let (deadline, end) = (admit.deadline, arrived + settings.fleet().request_limit);
        let (ticket, start) = self.admit(admit, caller).await?;
        let job = Job { call, chat, kind, max_tokens, deadline, end, _memory: memory };
        if job.chat.stream {
            return Box::pin(self.stream(job, ticket, start)).await;
        }
        Box::pin(self.whole(job, ticket, start)).await
    }

    pub(crate) fn outgoing(&self, job: &Job, start: &Placement, id: &RequestId) -> OutgoingRequest {
        let left = job.end.since(self.clock.now());
        let mut outgoing = OutgoingRequest::new(Method::Post, "/v1/chat/completions")
            .header("content-type", "application/json")
            .header("x-request-id", id.as_str())
            .header("x-request-owner", self.me.to_string())
            .header("x-budget", job.call.budget.as_str())
            .header("x-prefix", job.chat.prefix.to_string())
            .body(job.chat.engine_body(job.max_tokens, job.kind.rank));
        if let Some(tag) = &start.usage_tag {
            outgoing = outgoing.header("x-usage-tag", tag.clone());
        }
        outgoing.head_timeout = left;
        outgoing
    }

    /// Sends the request until a server's first event arrives.
    async fn stream(
        &self,
        job: Job,
        ticket: Ticket,
        mut start: Placement,
    ) -> Result<Response, Refusal> {
        let mut number = 0;
        let opened = loop {
            let id = attempt_id(&job.call.id, number);
            number += 1;
            match self.open(&job, &start, &id).await {
                Ok((reader, first)) => break Opened { start, id, reader, first },
                Err(Attempt::Preempted) => {
                    self.cancel(&start, &id).await;
                    start = ticket.requeue().await?;
                }
                Err(Attempt::Failed(outcome, detail)) => {
                    self.note_failure(&job, &start, outcome, &detail);
                    if outcome == Outcome::TimedOut {
                        // What the engine has generated by now was not delivered.
                        self.cancel(&start, &id).await;
                    }
                    start = match self.next_server(&job, &ticket, outcome, detail).await {
                        Ok(next) => next,
                        Err(refusal) => {
                            // Without an outcome the server's failure would not count.
                            ticket.finish(outcome, false);
                            return Err(refusal);
                        }
                    };
                }
            }
        };
        ticket.first_token();
        self.metrics.record_first_token(&job.kind.id, self.clock.now().since(job.call.arrived));
        let (sender, body) = channel_body();
        let mut response = Response::new(200);
        response.set_body(body);
        response.insert_header("content-type", "text/event-stream");
        response.insert_header("cache-control", "no-store");
        let traffic = self.clone();
        self.executor
            .spawn(async move { traffic.relay(job, ticket, opened, sender).await })
            .detach();
        Ok(response)
    }

    /// Sends the request and waits for the first event.
    async fn open(
        &self,
        job: &Job,
        start: &Placement,
        id: &RequestId,
    ) -> Result<(EventReader<ResponseStream>, String), Attempt> {
        let limit = job.deadline.since(self.clock.now());
        let opening = async {
            let mut outgoing = self.outgoing(job, start, id);
            outgoing.head_timeout = outgoing.head_timeout.min(limit);
            let sent = self.client.send(start.server.address, &outgoing).await;
            let (response, stream) = sent.map_err(|error| failed(&error))?;
            if response.status() != 200 {
                if response.header("x-draining").is_some_and(|value| value == "true") {
                    let _ = self.events.try_send(Event::ServerDraining(start.server.id.clone()));
                }
                let detail = format!("{} answered {}", start.server.id, response.status());
                return Err(Attempt::Failed(Outcome::Failed, detail));
            }
            let mut reader = EventReader::new(stream);
            match reader.next().await {
                Ok(Some(first)) => Ok((reader, first)),
                Ok(None) => Err(broken("the stream ended before its first event")),
                Err(error) => Err(broken(&error.to_string())),
            }
        };
        let timed = async {
            timeout(limit, opening).await.unwrap_or_else(|| {
                Err(Attempt::Failed(Outcome::TimedOut, format!("no first token in {limit}")))
            })
        };
        timed.or(preempted(start)).await
    }

    async fn next_server(
        &self,
        job: &Job,
        ticket: &Ticket,
        outcome: Outcome,
        detail: String,
    ) -> Result<Placement, Refusal> {
        let (code, timed_out) = match outcome {
            Outcome::TimedOut => (Code::BackendTimeout, true),
            _ => (Code::BackendFailed, false),
        };
        if timed_out || self.clock.now() >= job.deadline {
            return Err(Refusal::unknown(code, detail));
        }
        self.metrics.count_retry(&job.kind.id);
        ticket.retry(outcome).await.map_err(|refusal| match refusal.code {
            Code::NoBackend => Refusal::unknown(code, detail),
            _ => refusal,
        })
    }

    pub(crate) fn note_failure(
        &self,
        job: &Job,
        start: &Placement,
        outcome: Outcome,
        detail: &str,
    ) {
        log::warn!(
            request = job.call.id.as_str(), server = start.server.id.as_str(), outcome:? = outcome;
            "attempt failed: {detail}"
        );
    }

    /// Serves a request whose answer is not streamed.
    async fn whole(
        &self,
        job: Job,
        mut ticket: Ticket,
        mut start: Placement,
    ) -> Result<Response, Refusal> {
        let mut number = 0;
        loop {
            let id = attempt_id(&job.call.id, number);
            number += 1;
            let left = job.end.since(self.clock.now());
            let outgoing = self.outgoing(&job, &start, &id);
            let fetch = async {
                self.client
                    .fetch(start.server.address, &outgoing, ANSWER_LIMIT, left)
                    .await
                    .map_err(|error| failed(&error))
            };
            let attempt = match fetch.or(preempted(&start)).await {
                Ok((response, bytes)) => check_whole(response.status(), &bytes, &id)
                    .map(|usage| (bytes, usage))
                    .map_err(|detail| Attempt::Failed(Outcome::Failed, detail)),
                Err(attempt) => Err(attempt),
            };
            match attempt {
                Ok((bytes, usage)) => {
                    ticket.set_used(usage);
                    self.metrics
                        .record_first_token(&job.kind.id, self.clock.now().since(job.call.arrived));
                    self.metrics.count_billed(&job.kind.id, ticket.used().0);
                    ticket.finish(Outcome::Ok, true);
                    let mut response = Response::new(200);
                    response.set_body(bytes);
                    response.insert_header("content-type", "application/json");
                    return Ok(response);
                }
                Err(Attempt::Preempted) => {
                    self.cancel(&start, &id).await;
                    start = ticket.requeue().await?;
                }
                Err(Attempt::Failed(outcome, detail)) => {
                    self.note_failure(&job, &start, outcome, &detail);
                    self.cancel(&start, &id).await;
                    start = match self.next_server(&job, &ticket, outcome, detail).await {
                        Ok(next) => next,
                        Err(refusal) => {
                            // Without an outcome the server's failure would not count.
                            ticket.finish(outcome, false);
                            return Err(refusal);
                        }
                    };
                }
            }
        }
    }

    /// Cancels an attempt at its engine, and returns the usage that the engine reports. It may be
    /// gone, and then there is none.
    pub(crate) async fn cancel(&self, start: &Placement, id: &RequestId) -> Option<Tokens> {
        let outgoing = OutgoingRequest::new(Method::Delete, format!("/v1/requests/{id}"));
        let done = self.client.fetch(start.server.address, &outgoing, 4_096, CANCEL_TIME).await;
        match done {
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

/// Waits until the request has to give its place to more urgent work.
async fn preempted<T>(start: &Placement) -> Result<T, Attempt> {
    match start.preempt.recv().await {
        Ok(()) => Err(Attempt::Preempted),
        Err(_) => future::pending().await,
    }
}

fn check_whole(
    status: http_types::StatusCode,
    bytes: &[u8],
    id: &RequestId,
) -> Result<Tokens, String> {
    if status != 200 {
        return Err(format!("the engine answered {status}"));
    }
    let text = std::str::from_utf8(bytes).map_err(|error| error.to_string())?;
    let event = EngineEvent::parse(text).ok_or("the answer is not a JSON object")?;
    if !event.is_for(id) {
        return Err("the answer belongs to another request".to_owned());
    }
    event.usage.ok_or_else(|| "the answer has no usage".to_owned())
}

fn failed(error: &ClientError) -> Attempt {
    let outcome = if error.timed_out { Outcome::TimedOut } else { Outcome::Failed };
    Attempt::Failed(outcome, error.to_string())
}

fn broken(detail: &str) -> Attempt {
    Attempt::Failed(Outcome::Failed, detail.to_owned())
}

/// Returns the id of one attempt. Each attempt has its own, so that late events of an abandoned
/// attempt cannot be taken for the present one's.
fn attempt_id(id: &RequestId, number: u32) -> RequestId {
    match number {
        0 => id.clone(),
        n => format!("{id}.{n}").parse().expect("the parts are names"),
    }
}
