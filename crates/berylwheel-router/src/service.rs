//! Plain services: idempotent lookups, services that deduplicate by key, and calls that must not
//! be repeated.

use berylwheel_budget::OnceAnswer;
use berylwheel_budget::OnceDecision;
use berylwheel_budget::OnceRecord;
use berylwheel_budget::OnceState;
use berylwheel_budget::decide_once;
use berylwheel_http::Caller;
use berylwheel_http::ClientError;
use berylwheel_http::Outgoing;
use berylwheel_http::timeout;
use berylwheel_route::Ask;
use berylwheel_route::Outcome;
use berylwheel_settings::KindSettings;
use berylwheel_settings::Repeat;
use berylwheel_settings::Service;
use berylwheel_types::ByteSize;
use berylwheel_types::Code;
use berylwheel_types::Incarnation;
use berylwheel_types::Millis;
use berylwheel_types::Refusal;
use berylwheel_types::RequestId;
use berylwheel_types::Timestamp;
use http_types::Method;
use http_types::Request;
use http_types::Response;

use crate::command::Admit;
use crate::command::Start;
use crate::engine::digest;
use crate::memory::BodyBytes;
use crate::once::OnceStore;
use crate::once::RecordError;
use crate::once::done;
use crate::ticket::Ticket;
use crate::traffic::Body;
use crate::traffic::Call;
use crate::traffic::Traffic;

/// The largest answer of a plain service, in bytes.
const ANSWER_LIMIT: u64 = 1 << 20;
/// Time to write the result of a call before the caller is answered; it is retried afterwards.
const RESULT_TIME: Millis = Millis(500);
/// Interval at which a service is asked for the outcome of an unknown call.
const LOOKUP_INTERVAL: Millis = Millis(1_000);
/// Times that a service is asked for the outcome of an unknown call.
const LOOKUP_LIMIT: u32 = 60;
/// Time after which a caller asks again about an unknown call.
const UNKNOWN_RETRY: Millis = Millis(2_000);
/// Time after which a caller tries again when the store is not reachable.
const STORE_RETRY: Millis = Millis(5_000);
/// Time that one lookup may take.
const LOOKUP_TIME: Millis = Millis(2_000);

/// A call to a plain service.
pub struct ServiceCall {
    /// What the tasks of the call log.
    pub id: RequestId,
    /// The kind of work.
    pub kind: KindSettings,
    method: Method,
    path: String,
    content_type: Option<String>,
    key: Option<String>,
    body: Vec<u8>,
    deadline: Timestamp,
    end: Timestamp,
    _memory: BodyBytes,
}

impl Traffic {
    /// Serves a call of a plain service, `/services/KIND/PATH`.
    ///
    /// # Errors
    /// A refusal that says whether the call ran.
    pub async fn service(
        &self,
        mut request: Request,
        id: RequestId,
        arrived: Timestamp,
    ) -> Result<Response, Refusal> {
        let snapshot = self.snapshot.load_full();
        let settings = snapshot.open()?;
        let call = self.call(&request, settings, id, arrived)?;
        let caller = request.ext().get::<Caller>().cloned();
        let Body { bytes: body, memory } =
            self.body(&mut request, settings, &self.service_memory).await?;
        let (name, path) = split_path(&request);
        let unknown = || Refusal::not_run(Code::UnknownKind, name.to_owned());
        let kind = name.parse().ok().and_then(|kind| settings.kind_of(&call.workspace, &kind));
        let kind = kind.filter(|kind| kind.service == Service::Plain).ok_or_else(unknown)?;
        if kind.repeat == Repeat::Never && call.key.is_none() {
            return Err(Refusal::not_run(Code::KeyRequired, format!("kind {name}")));
        }
        let admit = Admit {
            request: call.id.clone(),
            workspace: call.workspace.clone(),
            budget: call.budget.clone(),
            kind: kind.id.clone(),
            rank: kind.rank,
            key: call.bill_key(),
            digest: digest(&body),
            claim: false,
            amount: kind.price,
            size: ByteSize(body.len() as u64),
            deadline: call.deadline(&kind),
            ask: Ask { kind: kind.id.clone(), model: None, prefix: 0, exclude: Vec::new() },
        };
        let outgoing = ServiceCall {
            id: call.id.clone(),
            method: request.method(),
            path,
            content_type: request.header("content-type").map(|values| values.last().to_string()),
            key: call.key.clone(),
            body,
            deadline: admit.deadline,
            end: arrived + settings.fleet().request_limit,
            _memory: memory,
            kind,
        };
        match outgoing.kind.repeat {
            Repeat::Never => self.call_once(call, admit, outgoing, caller).await,
            Repeat::Idempotent | Repeat::ByKey => {
                self.call_repeatable(admit, outgoing, caller).await
            }
        }
    }

    async fn call_repeatable(
        &self,
        admit: Admit,
        call: ServiceCall,
        caller: Option<Caller>,
    ) -> Result<Response, Refusal> {
        let price = admit.amount;
        let (mut ticket, mut start) = self.admit(admit, caller).await?;
        loop {
            match self.exchange(&call, &start, true).await {
                Ok(answer) => {
                    ticket.set_used(price);
                    ticket.finish(Outcome::Ok, true);
                    return Ok(respond(answer));
                }
                Err(error) => {
                    let outcome = outcome_of(&error);
                    log::warn!(
                        request = call.id.as_str(), server = start.server.id.as_str();
                        "attempt failed: {error}"
                    );
                    let refusal = failure(&error);
                    if self.clock.now() >= call.deadline {
                        ticket.finish(outcome, false);
                        return Err(refusal);
                    }
                    self.metrics.retried(&call.kind.id);
                    start = match ticket.retry(outcome).await {
                        Ok(start) => start,
                        Err(_) => return Err(refusal),
                    };
                }
            }
        }
    }

    /// Runs a call at most once: its record is in the store before its first byte is sent.
    async fn call_once(
        &self,
        call: Call,
        admit: Admit,
        outgoing: ServiceCall,
        caller: Option<Caller>,
    ) -> Result<Response, Refusal> {
        let key = call.key.clone().unwrap_or_default();
        let records = OnceStore::new(self.store.clone(), &call.workspace, &key);
        let (price, digest) = (admit.amount, admit.digest);
        // A caller that asks again for a finished call needs neither budget nor server.
        if let Some(answer) = self.existing(&records, &outgoing, digest, admit.deadline).await? {
            return Ok(answer);
        }
        let (ticket, start) = self.admit(admit, caller).await?;
        let record = OnceRecord {
            attempt: call.id.clone(),
            owner: self.me.clone(),
            digest,
            state: OnceState::Sent,
        };
        let wait = outgoing.deadline.since(self.clock.now());
        let revision = match timeout(wait, records.create(&record)).await {
            Some(Ok(revision)) => revision,
            Some(Err(RecordError::Exists(found))) => {
                drop(ticket);
                return self.decide(&records, &outgoing, digest, Some(&found)).await;
            }
            Some(Err(RecordError::Unavailable)) | None => {
                let cleanup = (records, record);
                self.executor.spawn(async move { cleanup.0.withdraw(&cleanup.1).await }).detach();
                let detail = "the store does not answer; nothing was sent";
                return Err(
                    Refusal::not_run(Code::RecordUnavailable, detail).retry_after(STORE_RETRY)
                );
            }
        };
        // The task goes on when the caller leaves: an answer that comes late is still recorded.
        let (sender, receiver) = async_channel::bounded(1);
        let traffic = self.clone();
        let limit = outgoing.deadline.since(self.clock.now());
        self.executor
            .spawn(async move {
                let run = OnceRun { records, record, revision, call: outgoing };
                let result = traffic.run_once(run, ticket, start, price).await;
                let _ = sender.send(result).await;
            })
            .detach();
        match timeout(limit, receiver.recv()).await {
            Some(Ok(result)) => result,
            Some(Err(_)) => Err(unknown("the call's task ended")),
            None => Err(unknown("no answer within the deadline")),
        }
    }

    async fn run_once(
        &self,
        run: OnceRun,
        mut ticket: Ticket,
        mut start: Start,
        price: berylwheel_types::Tokens,
    ) -> Result<Response, Refusal> {
        loop {
            let error = match self.exchange(&run.call, &start, false).await {
                Ok(answer) => {
                    ticket.set_used(price);
                    ticket.finish(Outcome::Ok, true);
                    self.record_result(&run, answer.clone()).await;
                    return Ok(respond(answer));
                }
                Err(error) => error,
            };
            log::warn!(
                request = run.call.id.as_str(), server = start.server.id.as_str(),
                sent = error.sent; "non-idempotent call failed: {error}"
            );
            if error.sent {
                // It may have run: the price is charged, and the record stays without a result.
                ticket.set_used(price);
                ticket.finish(outcome_of(&error), false);
                let traffic = self.clone();
                self.executor.spawn(async move { traffic.look_up(run, start).await }).detach();
                return Err(unknown("the connection failed after the call was sent"));
            }
            let retried = match self.clock.now() < run.call.deadline {
                true => ticket.retry(Outcome::Failed).await,
                false => Err(failure(&error)),
            };
            match retried {
                Ok(next) => start = next,
                Err(_) => {
                    run.records.withdraw(&run.record).await;
                    return Err(Refusal::not_run(Code::NoBackend, error.to_string()));
                }
            }
        }
    }

    /// Writes the result of a call. If the store does not take it in time the writing goes on
    /// behind the answer.
    async fn record_result(&self, run: &OnceRun, answer: OnceAnswer) {
        let done = done(run.record.clone(), answer);
        let (records, revision) = (run.records.clone(), run.revision);
        let (sender, receiver) = async_channel::bounded::<()>(1);
        self.executor
            .spawn(async move {
                records.complete(&done, revision).await;
                drop(sender);
            })
            .detach();
        let _ = timeout(RESULT_TIME, receiver.recv()).await;
    }

    /// Asks the service for the outcome of a call whose answer was lost.
    async fn look_up(&self, run: OnceRun, start: Start) {
        if !run.call.kind.lookup {
            return;
        }
        for _ in 0..LOOKUP_LIMIT {
            async_io::Timer::after(LOOKUP_INTERVAL.duration()).await;
            let asked = self.ask_service(&run.call, &start).await;
            if let Some(answer) = asked {
                log::info!(request = run.call.id.as_str(); "outcome of unknown call found");
                self.record_result(&run, answer).await;
                return;
            }
        }
    }

    /// Returns the answer that the service keeps for the call's key, if it ran.
    async fn ask_service(&self, call: &ServiceCall, start: &Start) -> Option<OnceAnswer> {
        let key = call.key.as_deref()?;
        let mut outgoing = Outgoing::new(Method::Get, format!("/calls/{key}"));
        outgoing.head_time = LOOKUP_TIME;
        let fetched =
            self.client.fetch(start.server.address, &outgoing, ANSWER_LIMIT, LOOKUP_TIME).await;
        let (response, body) = fetched.ok()?;
        let content_type = content_type(&response);
        (response.status() == 200).then_some(OnceAnswer { status: 200, content_type, body })
    }

    /// OnceAnswers from the record that is there before the call, if any.
    async fn existing(
        &self,
        records: &OnceStore,
        call: &ServiceCall,
        digest: u64,
        deadline: Timestamp,
    ) -> Result<Option<Response>, Refusal> {
        let wait = deadline.since(self.clock.now());
        match timeout(wait, records.read()).await {
            Some(Ok(None)) => Ok(None),
            Some(Ok(Some(found))) => {
                self.decide(records, call, digest, Some(&found)).await.map(Some)
            }
            Some(Err(_)) | None => {
                let detail = "the store does not answer; nothing was sent";
                Err(Refusal::not_run(Code::RecordUnavailable, detail).retry_after(STORE_RETRY))
            }
        }
    }

    async fn decide(
        &self,
        records: &OnceStore,
        call: &ServiceCall,
        digest: u64,
        found: Option<&OnceRecord>,
    ) -> Result<Response, Refusal> {
        let owner_gone = found.is_some_and(|record| self.is_gone(&record.owner));
        match decide_once(found, &call.id, digest, owner_gone, call.kind.lookup) {
            OnceDecision::Replay(answer) => Ok(respond(answer)),
            OnceDecision::KeyReused => {
                Err(Refusal::not_run(Code::KeyReused, "the body differs from the first call's"))
            }
            OnceDecision::AskService => self.resolve(records, call).await,
            OnceDecision::Create | OnceDecision::Proceed | OnceDecision::Unknown => {
                Err(unknown("an earlier attempt was recorded and has no result yet"))
            }
        }
    }

    /// Asks every server of the kind about a call whose router is gone, and records what it finds.
    async fn resolve(&self, records: &OnceStore, call: &ServiceCall) -> Result<Response, Refusal> {
        let snapshot = self.snapshot.load_full();
        for server in snapshot.open()?.servers() {
            if !server.kinds.contains(&call.kind.id) {
                continue;
            }
            let key = call.key.as_deref().unwrap_or_default();
            let mut outgoing = Outgoing::new(Method::Get, format!("/calls/{key}"));
            outgoing.head_time = LOOKUP_TIME;
            let fetched =
                self.client.fetch(server.address, &outgoing, ANSWER_LIMIT, LOOKUP_TIME).await;
            let Ok((response, body)) = fetched else { continue };
            if response.status() != 200 {
                continue;
            }
            let content_type = content_type(&response);
            let result = OnceAnswer { status: 200, content_type, body };
            records.resolve(result.clone()).await;
            return Ok(respond(result));
        }
        Err(unknown("the router that sent the call is gone and no service knows the call"))
    }

    fn is_gone(&self, owner: &Incarnation) -> bool {
        self.snapshot.load().ended.contains(owner)
    }

    async fn exchange(
        &self,
        call: &ServiceCall,
        start: &Start,
        pooled: bool,
    ) -> Result<OnceAnswer, ClientError> {
        let now = self.clock.now();
        let mut outgoing = Outgoing::new(call.method, call.path.clone())
            .header("x-request-id", call.id.as_str())
            .header("x-deadline-ms", call.deadline.since(now).0.to_string())
            .body(call.body.clone());
        if let Some(kind) = &call.content_type {
            outgoing = outgoing.header("content-type", kind.clone());
        }
        if let Some(key) = &call.key {
            outgoing = outgoing.header("idempotency-key", key.clone());
        }
        outgoing.pooled = pooled;
        // A call that must not be repeated is waited for longer than its caller waits, so that a
        // late answer still settles its outcome.
        let limit = if pooled { call.deadline.since(now) } else { call.end.since(now) };
        outgoing.head_time = limit;
        let fetched = self.client.fetch(start.server.address, &outgoing, ANSWER_LIMIT, limit).await;
        let (response, body) = fetched?;
        let status = u16::from(response.status());
        Ok(OnceAnswer { status, content_type: content_type(&response), body })
    }
}

/// A recorded call in progress.
struct OnceRun {
    records: OnceStore,
    record: OnceRecord,
    revision: u64,
    call: ServiceCall,
}

fn split_path(request: &Request) -> (&str, String) {
    let url = request.url();
    let rest = url.path().trim_start_matches("/services/");
    let (name, path) = rest.split_once('/').unwrap_or((rest, ""));
    let query = url.query().map(|query| format!("?{query}")).unwrap_or_default();
    (name, format!("/{path}{query}"))
}

fn content_type(response: &Response) -> String {
    let value = response.header("content-type").map(|values| values.last().to_string());
    value.unwrap_or_else(|| "application/octet-stream".to_owned())
}

fn respond(result: OnceAnswer) -> Response {
    let mut response = Response::new(result.status);
    response.set_body(result.body);
    response.insert_header("content-type", result.content_type.as_str());
    response
}

fn outcome_of(error: &ClientError) -> Outcome {
    if error.timed_out { Outcome::TimedOut } else { Outcome::Failed }
}

fn failure(error: &ClientError) -> Refusal {
    let code = if error.timed_out { Code::BackendTimeout } else { Code::BackendFailed };
    match error.sent {
        true => Refusal::unknown(code, error.to_string()),
        false => Refusal::not_run(code, error.to_string()),
    }
}

fn unknown(detail: &str) -> Refusal {
    Refusal::unknown(Code::OutcomeUnknown, detail).retry_after(UNKNOWN_RETRY)
}
