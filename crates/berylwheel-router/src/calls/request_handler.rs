//! Authentication and dispatch of caller requests.

use std::net::TcpListener;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use async_channel::Sender;
use async_executor::Executor;
use async_io::Async;
use berylwheel_http::ActiveRequests;
use berylwheel_http::Caller;
use berylwheel_http::Client;
use berylwheel_http::ServerLimits;
use berylwheel_http::problem_response;
use berylwheel_http::read_body;
use berylwheel_http::serve;
use berylwheel_route::RouteQuery;
use berylwheel_settings::KindSettings;
use berylwheel_settings::Service;
use berylwheel_settings::Settings;
use berylwheel_store::Store;
use berylwheel_types::BillKey;
use berylwheel_types::BudgetId;
use berylwheel_types::ByteSize;
use berylwheel_types::Clock;
use berylwheel_types::Code;
use berylwheel_types::Incarnation;
use berylwheel_types::Millis;
use berylwheel_types::ModelId;
use berylwheel_types::Refusal;
use berylwheel_types::RequestId;
use berylwheel_types::Timestamp;
use berylwheel_types::Tokens;
use berylwheel_types::WorkspaceId;
use berylwheel_types::stable_hash;
use futures_lite::FutureExt;
use futures_lite::future;
use http_types::Method;
use http_types::Request;
use http_types::Response;
use serde_json::json;

use crate::calls::memory::BodyMemory;
use crate::calls::memory::MemoryReservation;
use crate::calls::request_guard::RequestGuard;
use crate::control::command::AdmitRequest;
use crate::control::command::Placement;
use crate::control::event::Event;
use crate::control::snapshot::SharedSnapshot;
use crate::metrics::Metrics;

/// Maximum length of an idempotency key, in bytes. The key becomes part of a store key.
const MAX_KEY_BYTES: usize = 128;

/// Handles the requests of callers. Clones share their state.
#[derive(Clone)]
pub struct RequestHandler {
    /// The clock.
    pub clock: Clock,
    /// HTTP client for backend servers.
    pub client: Client,
    /// Sends events to the control thread.
    pub events: Sender<Event>,
    /// The configuration in force.
    pub snapshot: SharedSnapshot,
    /// The store of the idempotency records.
    pub store: Arc<dyn Store>,
    /// The incarnation of this router.
    pub incarnation: Incarnation,
    /// Runs the tasks that outlive the handler of a request.
    pub executor: Arc<Executor<'static>>,
    /// Metrics.
    pub metrics: Metrics,
    /// Number of requests so far, for request ids.
    pub request_count: Arc<AtomicU64>,
    /// Memory for the bodies of chat completion requests.
    pub engine_memory: BodyMemory,
    /// Memory for the bodies of plain service calls.
    pub service_memory: BodyMemory,
}

/// The body of a request and its memory reservation.
pub struct RequestBody {
    /// The bytes.
    pub bytes: Vec<u8>,
    /// The reservation, to be kept until the request has ended.
    pub reservation: MemoryReservation,
}

/// The authenticated caller of a request and the values of its headers.
pub struct Call {
    /// The request id.
    pub id: RequestId,
    /// The caller's workspace.
    pub workspace: WorkspaceId,
    /// The budget that is charged.
    pub budget: BudgetId,
    /// The caller's idempotency key.
    pub key: Option<String>,
    /// Arrival time of the request.
    pub arrived: Timestamp,
    /// The caller's limit on the time until the response starts.
    pub start_timeout: Option<Millis>,
}

impl Call {
    /// Returns the key that identifies the request for billing across retries, if the caller sent
    /// an idempotency key.
    pub fn bill_key(&self) -> Option<BillKey> {
        self.key.as_deref().map(|key| BillKey::new(&self.workspace, key))
    }

    /// Returns the admission request for this call, without a claim on its key.
    pub fn admit(
        &self,
        kind: &KindSettings,
        body: &[u8],
        amount: Tokens,
        query: RouteQuery,
    ) -> AdmitRequest {
        AdmitRequest {
            request: self.id.clone(),
            workspace: self.workspace.clone(),
            budget: self.budget.clone(),
            kind: kind.id.clone(),
            rank: kind.rank,
            bill_key: self.bill_key(),
            digest: stable_hash(&[&String::from_utf8_lossy(body)]),
            needs_claim: false,
            amount,
            size: ByteSize(body.len() as u64),
            deadline: self.deadline(kind),
            query,
            parts: Vec::new(),
        }
    }

    /// Returns the deadline for the start of the response.
    pub fn deadline(&self, kind: &KindSettings) -> Timestamp {
        let limit = self.start_timeout.map_or(kind.deadline, |limit| limit.min(kind.deadline));
        self.arrived + limit
    }
}

impl RequestHandler {
    /// Accepts connections of callers until the listener fails.
    ///
    /// # Errors
    /// Returns the error of the listener.
    pub async fn listen(
        self,
        listener: Async<TcpListener>,
        limits: ServerLimits,
        active: ActiveRequests,
    ) -> std::io::Result<()> {
        let executor = self.executor.clone();
        serve(listener, executor, limits, active, move |request| {
            let handler = self.clone();
            async move { handler.handle(request).await }
        })
        .await
    }

    async fn handle(&self, request: Request) -> Response {
        let id = self.next_id();
        let arrived = self.clock.now();
        let method = request.method();
        let path = request.url().path().to_owned();
        let mut response = match self.dispatch(request, &id, arrived).await {
            Ok(response) => response,
            Err(refusal) => {
                self.metrics.count_refusal(refusal.code);
                log::info!(
                    request = id.as_str(), code = refusal.code.number(), ran = refusal.ran.name(),
                    path = path.as_str(); "refused: {}", refusal.detail
                );
                problem_response(&refusal, id.as_str())
            }
        };
        response.insert_header("x-request-id", id.as_str());
        log::debug!(
            request = id.as_str(), method:% = method, path = path.as_str(),
            status:% = response.status(), ms = self.clock.now().since(arrived).0; "answered"
        );
        response
    }

    async fn dispatch(
        &self,
        request: Request,
        id: &RequestId,
        arrived: Timestamp,
    ) -> Result<Response, Refusal> {
        let path = request.url().path().to_owned();
        match (request.method(), path.as_str()) {
            (Method::Get, "/healthz") => Ok(Response::new(200)),
            (Method::Get, "/readyz") => {
                self.snapshot.load().serving_settings()?;
                Ok(Response::new(200))
            }
            (Method::Get, "/v1/models") => self.list_models(&request),
            (Method::Post, "/v1/chat/completions") =>
            // The futures of the handlers are large and overflow the stack of an unoptimised build
            // unless they are boxed.
            {
                Box::pin(self.handle_chat(request, id.clone(), arrived)).await
            }
            (_, path) if path.starts_with("/services/") => {
                Box::pin(self.handle_service(request, id.clone(), arrived)).await
            }
            _ => Err(Refusal::not_run(Code::UnknownKind, format!("no such path: {path}"))),
        }
    }

    fn next_id(&self) -> RequestId {
        let n = self.request_count.fetch_add(1, Ordering::Relaxed);
        let text = format!("{}-{:x}-{n:x}", self.incarnation.router, self.incarnation.number);
        text.parse().expect("request id is a valid name")
    }

    /// Authenticates the caller and parses the common request headers.
    ///
    /// # Errors
    /// A refusal for an unknown API key, a closed workspace or an invalid header.
    pub fn parse_call(
        &self,
        request: &Request,
        settings: &Settings,
        id: RequestId,
        arrived: Timestamp,
    ) -> Result<Call, Refusal> {
        let (workspace, budget) = self.authenticate(request)?;
        let is_open = settings.workspaces().iter().any(|w| w.id == workspace && !w.closed);
        if !is_open {
            return Err(Refusal::not_run(Code::UnknownWorkspace, workspace.to_string()));
        }
        let key = last_header(request, "idempotency-key").map(str::to_owned);
        if key.as_deref().is_some_and(|key| !is_valid_key(key)) {
            let detail = "Idempotency-Key: expected 1 to 128 letters, digits or any of - _ . :";
            return Err(Refusal::not_run(Code::InvalidField, detail));
        }
        let start_timeout = match last_header(request, "x-deadline-ms") {
            None => None,
            Some(text) => Some(Millis(text.parse().map_err(|_| {
                let detail = "X-Deadline-Ms: expected milliseconds as a non-negative integer";
                Refusal::not_run(Code::InvalidField, detail)
            })?)),
        };
        Ok(Call { id, workspace, budget, key, arrived, start_timeout })
    }

    /// Reads the request body within the limits of `settings`, with memory reserved in `pool`.
    ///
    /// # Errors
    /// A refusal for a body that is too large, too slow or incomplete, or if `pool` is exhausted.
    pub async fn receive_body(
        &self,
        request: &mut Request,
        settings: &Settings,
        pool: &BodyMemory,
    ) -> Result<RequestBody, Refusal> {
        let fleet = settings.fleet();
        let size = request.len().map_or(fleet.body_limit.0, |n| n as u64);
        let reservation = pool.reserve(size.min(fleet.body_limit.0))?;
        let bytes = read_body(request.take_body(), fleet.body_limit, fleet.receive_time).await?;
        Ok(RequestBody { bytes, reservation })
    }

    /// Requests admission, and withdraws the request if the caller disconnects first.
    ///
    /// # Errors
    /// The refusal of the control thread.
    pub async fn admit(
        &self,
        admit: AdmitRequest,
        caller: Option<Caller>,
    ) -> Result<(RequestGuard, Placement), Refusal> {
        let disconnected = async {
            match caller {
                Some(caller) => caller.disconnected().await,
                None => future::pending().await,
            }
            Err(Refusal::not_run(
                Code::WorkspaceLimit,
                "the caller disconnected before the request was started",
            ))
        };
        RequestGuard::admit(&self.events, admit).or(disconnected).await
    }

    fn authenticate(&self, request: &Request) -> Result<(WorkspaceId, BudgetId), Refusal> {
        let denied = |detail| Refusal::not_run(Code::UnknownKey, detail);
        let value = last_header(request, "authorization")
            .ok_or_else(|| denied("missing Authorization header"))?;
        let key = value
            .strip_prefix("Bearer ")
            .ok_or_else(|| denied("Authorization: expected Bearer KEY"))?;
        self.snapshot.load().access.caller(key).ok_or_else(|| denied("unknown API key"))
    }

    fn list_models(&self, request: &Request) -> Result<Response, Refusal> {
        let snapshot = self.snapshot.load();
        let settings = snapshot.serving_settings()?;
        self.authenticate(request)?;
        let models: Vec<&ModelId> = settings.kinds().iter().flat_map(|kind| &kind.models).collect();
        let data: Vec<_> =
            models.iter().map(|id| json!({ "id": id.as_str(), "object": "model" })).collect();
        Ok(json_response(&json!({ "object": "list", "data": data })))
    }
}

/// Returns whether a key is safe to use in a store key and in a URL path without escaping. Other
/// characters could address the record of another workspace or another resource of a service.
fn is_valid_key(key: &str) -> bool {
    let allowed = |b: u8| b.is_ascii_alphanumeric() || matches!(b, b'-' | b'_' | b'.' | b':');
    let has_alphanumeric = key.bytes().any(|b| b.is_ascii_alphanumeric());
    has_alphanumeric && key.len() <= MAX_KEY_BYTES && key.bytes().all(allowed)
}

/// Returns the last value of a header.
pub fn last_header<'a>(request: &'a Request, name: &str) -> Option<&'a str> {
    request.header(name).map(|values| values.last().as_str())
}

/// Returns a response with a JSON body.
pub fn json_response(value: &serde_json::Value) -> Response {
    let mut response = Response::new(200);
    response.set_body(value.to_string());
    response.insert_header("content-type", "application/json");
    response
}

/// Returns the kind of work that serves `model`, as `workspace` sees it.
///
/// # Errors
/// [`Code::UnknownModel`].
pub fn kind_of_model(
    settings: &Settings,
    workspace: &WorkspaceId,
    model: &ModelId,
) -> Result<KindSettings, Refusal> {
    settings
        .kinds()
        .iter()
        .find(|kind| kind.service == Service::Engine && kind.models.contains(model))
        .and_then(|kind| settings.kind_of(workspace, &kind.id))
        .ok_or_else(|| Refusal::not_run(Code::UnknownModel, model.to_string()))
}
