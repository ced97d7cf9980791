//! Calls to plain services, which are idempotent, deduplicated by key, or non-idempotent.

use berylwheel_budget::ServiceResponse;
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
use berylwheel_types::Tokens;
use http_types::Method;
use http_types::Request;
use http_types::Response;

use crate::calls::memory::MemoryReservation;
use crate::calls::request_handler::RequestBody;
use crate::calls::request_handler::RequestHandler;
use crate::control::command::AdmitRequest;
use crate::control::command::Placement;
use crate::control::command::Usage;

/// Maximum size of a response of a plain service, in bytes.
const MAX_RESPONSE_BYTES: u64 = 1 << 20;

/// A call to a plain service.
pub struct ServiceCall {
    /// The request id, for log lines.
    pub id: RequestId,
    /// The kind of work.
    pub kind: KindSettings,
    /// The HTTP method.
    pub method: Method,
    /// The path and query to request at the service.
    pub path: String,
    /// Media type of the body.
    pub content_type: Option<String>,
    /// The caller's idempotency key.
    pub key: Option<String>,
    /// The body.
    pub body: Vec<u8>,
    /// Deadline of the caller.
    pub deadline: Timestamp,
    /// Deadline for the response of the service, which may be later than the caller's.
    pub response_deadline: Timestamp,
    _reservation: MemoryReservation,
}

impl RequestHandler {
    /// Handles a call to a plain service at `/services/KIND/PATH`.
    ///
    /// # Errors
    /// A refusal that says whether the call was executed.
    pub async fn handle_service(
        &self,
        mut request: Request,
        id: RequestId,
        arrived: Timestamp,
    ) -> Result<Response, Refusal> {
        let snapshot = self.snapshot.load_full();
        let settings = snapshot.serving_settings()?;
        let call = self.parse_call(&request, settings, id, arrived)?;
        let caller = request.ext().get::<Caller>().cloned();
        let RequestBody { bytes: body, reservation } =
            self.receive_body(&mut request, settings, &self.service_memory).await?;
        let (name, path) = split_path(&request);
        let unknown_kind = || Refusal::not_run(Code::UnknownKind, name.to_owned());
        let kind = name.parse().ok().and_then(|kind| settings.kind_of(&call.workspace, &kind));
        let kind = kind.filter(|kind| kind.service == Service::Plain).ok_or_else(unknown_kind)?;
        if kind.repeat == Repeat::Never && call.key.is_none() {
            return Err(Refusal::not_run(Code::KeyRequired, format!("kind {name}")));
        }
        let query = RouteQuery {
            kind: kind.id.clone(),
            model: None,
            prefix: 0,
            exclude: Vec::new(),
            prompt_tokens: Tokens::ZERO,
        };
        let admit = call.admit(&kind, &body, kind.price, query);
        let service_call = ServiceCall {
            id: call.id.clone(),
            method: request.method(),
            path,
            content_type: request.header("content-type").map(|values| values.last().to_string()),
            key: call.key.clone(),
            body,
            deadline: admit.deadline,
            response_deadline: arrived + settings.fleet().request_limit,
            _reservation: reservation,
            kind,
        };
        match service_call.kind.repeat {
            Repeat::Never => self.call_at_most_once(call, admit, service_call, caller).await,
            Repeat::Idempotent | Repeat::ByKey | Repeat::Once => {
                self.call_unrecorded(admit, service_call, caller).await
            }
        }
    }

    /// Sends a call without a record: one that may be repeated, or one that is sent to one server
    /// and not retried.
    async fn call_unrecorded(
        &self,
        admit: AdmitRequest,
        call: ServiceCall,
        caller: Option<Caller>,
    ) -> Result<Response, Refusal> {
        let price = admit.amount;
        let repeatable = call.kind.repeat != Repeat::Once;
        let (mut guard, mut placement) = self.admit(admit, caller).await?;
        guard.set_usage(Usage::NoResult);
        let mut sent = false;
        loop {
            match self.send_call(&call, &placement, repeatable).await {
                Ok(response) => {
                    guard.set_usage(Usage::Known(price));
                    guard.finish(Outcome::Ok, true);
                    return Ok(http_response(response));
                }
                Err(error) => {
                    let outcome = failure_outcome(&error);
                    log::warn!(
                        request = call.id.as_str(), server = placement.server.id.as_str();
                        "attempt failed: {error}"
                    );
                    sent |= error.sent;
                    let refusal = failure_refusal(&error, sent);
                    if !repeatable || self.clock.now() >= call.deadline {
                        guard.finish(outcome, false);
                        return Err(refusal);
                    }
                    self.metrics.count_retry(&call.kind.id);
                    placement = match guard.retry(outcome, true).await {
                        Ok(placement) => placement,
                        Err(_) => return Err(refusal),
                    };
                }
            }
        }
    }

    /// Sends the call to a server and reads its complete response.
    ///
    /// # Errors
    /// A client error, which says whether the call was sent.
    pub(crate) async fn send_call(
        &self,
        call: &ServiceCall,
        placement: &Placement,
        pooled: bool,
    ) -> Result<ServiceResponse, ClientError> {
        let now = self.clock.now();
        let mut outgoing = OutgoingRequest::new(call.method, call.path.clone())
            .header("x-request-id", call.id.as_str())
            .header("x-deadline-ms", call.deadline.since(now).0.to_string())
            .body(call.body.clone());
        if let Some(media_type) = &call.content_type {
            outgoing = outgoing.header("content-type", media_type.clone());
        }
        if let Some(key) = &call.key {
            outgoing = outgoing.header("idempotency-key", key.clone());
        }
        outgoing.pooled = pooled;
        // The response of a call that must not be repeated is awaited beyond the caller's deadline,
        // so that its outcome is known even if the response is late.
        let limit =
            if pooled { call.deadline.since(now) } else { call.response_deadline.since(now) };
        outgoing.head_timeout = limit;
        let fetched =
            self.client.fetch(placement.server.address, &outgoing, MAX_RESPONSE_BYTES, limit).await;
        let (response, body) = fetched?;
        let status = u16::from(response.status());
        Ok(ServiceResponse { status, content_type: content_type(&response), body })
    }
}

fn split_path(request: &Request) -> (&str, String) {
    let url = request.url();
    let rest = url.path().strip_prefix("/services/").unwrap_or_default();
    let (name, path) = rest.split_once('/').unwrap_or((rest, ""));
    let query = url.query().map(|query| format!("?{query}")).unwrap_or_default();
    (name, format!("/{path}{query}"))
}

fn content_type(response: &Response) -> String {
    let value = response.header("content-type").map(|values| values.last().to_string());
    value.unwrap_or_else(|| "application/octet-stream".to_owned())
}

pub(crate) fn http_response(service_response: ServiceResponse) -> Response {
    let mut response = Response::new(service_response.status);
    response.set_body(service_response.body);
    response.insert_header("content-type", service_response.content_type.as_str());
    response
}

pub(crate) fn failure_outcome(error: &ClientError) -> Outcome {
    if error.timed_out { Outcome::TimedOut } else { Outcome::Failed }
}

/// Returns the refusal for a call whose last attempt failed with `error`. `sent` states whether any
/// attempt was sent.
pub(crate) fn failure_refusal(error: &ClientError, sent: bool) -> Refusal {
    let code = if error.timed_out { Code::BackendTimeout } else { Code::BackendFailed };
    match sent {
        true => Refusal::unknown(code, error.to_string()),
        false => Refusal::not_run(code, error.to_string()),
    }
}
