//! Plain services: idempotent lookups, services that deduplicate by key, and calls that must not
//! be repeated.

use berylwheel_budget::OnceAnswer;
use berylwheel_http::Caller;
use berylwheel_http::ClientError;
use berylwheel_http::OutgoingRequest;
use berylwheel_route::Outcome;
use berylwheel_route::RouteQuery;
use berylwheel_settings::KindSettings;
use berylwheel_settings::Repeat;
use berylwheel_settings::Service;
use berylwheel_types::Code;
use berylwheel_types::Refusal;
use berylwheel_types::RequestId;
use berylwheel_types::Timestamp;
use http_types::Method;
use http_types::Request;
use http_types::Response;

use crate::calls::memory::BodyBytes;
use crate::calls::traffic::Body;
use crate::calls::traffic::Traffic;
use crate::control::command::AdmitRequest;
use crate::control::command::Placement;

/// The largest answer of a plain service, in bytes.
const ANSWER_LIMIT: u64 = 1 << 20;

/// A call to a plain service.
pub struct ServiceCall {
    /// What the tasks of the call log.
    pub id: RequestId,
    /// The kind of work.
    pub kind: KindSettings,
    /// The method.
    pub method: Method,
    /// Path and query at the service.
    pub path: String,
    /// Media type of the body.
    pub content_type: Option<String>,
    /// The caller's idempotency key.
    pub key: Option<String>,
    /// The body.
    pub body: Vec<u8>,
    /// When the caller stops waiting.
    pub deadline: Timestamp,
    /// When the service must have answered.
    pub end: Timestamp,
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
        let settings = snapshot.serving_settings()?;
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
        let ask = RouteQuery { kind: kind.id.clone(), model: None, prefix: 0, exclude: Vec::new() };
        let admit = call.admit(&kind, &body, kind.price, ask);
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
            Repeat::Idempotent | Repeat::ByKey | Repeat::Once => {
                self.call_recordless(admit, outgoing, caller).await
            }
        }
    }

    /// Serves a call that needs no record: one that may be repeated, or that is sent once.
    async fn call_recordless(
        &self,
        admit: AdmitRequest,
        call: ServiceCall,
        caller: Option<Caller>,
    ) -> Result<Response, Refusal> {
        let price = admit.amount;
        let repeatable = call.kind.repeat != Repeat::Once;
        let (mut ticket, mut start) = self.admit(admit, caller).await?;
        loop {
            match self.exchange(&call, &start, repeatable).await {
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
                    if !repeatable || self.clock.now() >= call.deadline {
                        ticket.finish(outcome, false);
                        return Err(refusal);
                    }
                    self.metrics.count_retry(&call.kind.id);
                    start = match ticket.retry(outcome).await {
                        Ok(start) => start,
                        Err(_) => return Err(refusal),
                    };
                }
            }
        }
    }

    /// Sends the call to a server and reads its whole answer.
    ///
    /// # Errors
    /// The client's error, which says whether the call was sent.
    pub(crate) async fn exchange(
        &self,
        call: &ServiceCall,
        start: &Placement,
        pooled: bool,
    ) -> Result<OnceAnswer, ClientError> {
        let now = self.clock.now();
        let mut outgoing = OutgoingRequest::new(call.method, call.path.clone())
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
        outgoing.head_timeout = limit;
        let fetched = self.client.fetch(start.server.address, &outgoing, ANSWER_LIMIT, limit).await;
        let (response, body) = fetched?;
        let status = u16::from(response.status());
        Ok(OnceAnswer { status, content_type: content_type(&response), body })
    }
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

pub(crate) fn respond(result: OnceAnswer) -> Response {
    let mut response = Response::new(result.status);
    response.set_body(result.body);
    response.insert_header("content-type", result.content_type.as_str());
    response
}

pub(crate) fn outcome_of(error: &ClientError) -> Outcome {
    if error.timed_out { Outcome::TimedOut } else { Outcome::Failed }
}

pub(crate) fn failure(error: &ClientError) -> Refusal {
    let code = if error.timed_out { Code::BackendTimeout } else { Code::BackendFailed };
    match error.sent {
        true => Refusal::unknown(code, error.to_string()),
        false => Refusal::not_run(code, error.to_string()),
    }
}
