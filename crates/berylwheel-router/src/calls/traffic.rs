//! Requests of callers: classification and dispatch.

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

use crate::calls::memory::BodyBytes;
use crate::calls::memory::BodyMemory;
use crate::calls::ticket::Ticket;
use crate::control::command::AdmitRequest;
use crate::control::command::Placement;
use crate::control::event::Event;
use crate::control::snapshot::SharedSnapshot;
use crate::metrics::Metrics;

/// The longest idempotency key, in bytes; it becomes part of a store key.
const KEY_LIMIT: usize = 128;

/// What the traffic tasks share.
#[derive(Clone)]
pub struct Traffic {
    /// Time.
    pub clock: Clock,
    /// Connections to backend servers.
    pub client: Client,
    /// Messages to the control thread.
    pub events: Sender<Event>,
    /// The configuration in force.
    pub snapshot: SharedSnapshot,
    /// Holds the idempotency records.
    pub store: Arc<dyn Store>,
    /// This run of this router.
    pub me: Incarnation,
    /// Runs the tasks that stream answers.
    pub executor: Arc<Executor<'static>>,
    /// Counters and timers.
    pub metrics: Metrics,
    /// Requests so far, for ids.
    pub counter: Arc<AtomicU64>,
    /// Memory for the bodies of model work.
    pub engine_memory: BodyMemory,
    /// Memory for the bodies of plain services' calls.
    pub service_memory: BodyMemory,
}

/// The body of a caller's request and the memory that it takes.
pub struct Body {
    /// The bytes.
    pub bytes: Vec<u8>,
    /// Given back when the request has ended.
    pub memory: BodyBytes,
}

/// A caller's request with what its headers say.
pub struct Call {
    /// Id of this attempt.
    pub id: RequestId,
    /// The caller's workspace.
    pub workspace: WorkspaceId,
    /// The budget that pays.
    pub budget: BudgetId,
    /// The caller's idempotency key.
    pub key: Option<String>,
    /// When the request arrived.
    pub arrived: Timestamp,
    /// The caller's limit on the time until the answer starts.
    pub patience: Option<Millis>,
}

impl Call {
    /// Returns the key under which the request is billed, if it may be sent again.
    pub fn bill_key(&self) -> Option<BillKey> {
        self.key.as_deref().map(|key| BillKey::new(&self.workspace, key))
    }

    /// Returns the request to start this call, without a claim of its key.
    pub fn admit(
        &self,
        kind: &KindSettings,
        body: &[u8],
        amount: Tokens,
        ask: RouteQuery,
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
            query: ask,
        }
    }

    /// Returns when the answer must have started.
    pub fn deadline(&self, kind: &KindSettings) -> Timestamp {
        let limit = self.patience.map_or(kind.deadline, |patience| patience.min(kind.deadline));
        self.arrived + limit
    }
}

impl Traffic {
    /// Accepts callers until the listener fails.
    ///
    /// # Errors
    /// Fails if the listener does.
    pub async fn listen(
        self,
        listener: Async<TcpListener>,
        limits: ServerLimits,
        active: ActiveRequests,
    ) -> std::io::Result<()> {
        let executor = self.executor.clone();
        serve(listener, executor, limits, active, move |request| {
            let traffic = self.clone();
            async move { traffic.answer(request).await }
        })
        .await
    }

    async fn answer(&self, request: Request) -> Response {
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
            (Method::Get, "/v1/models") => self.models(&request),
            (Method::Post, "/v1/chat/completions") =>
            // The futures of whole requests are large, and unboxed they overflow the stack of an
            // unoptimised build.
            {
                Box::pin(self.chat(request, id.clone(), arrived)).await
            }
            (_, path) if path.starts_with("/services/") => {
                Box::pin(self.service(request, id.clone(), arrived)).await
            }
            _ => Err(Refusal::not_run(Code::UnknownKind, format!("no such path: {path}"))),
        }
    }

    fn next_id(&self) -> RequestId {
        let n = self.counter.fetch_add(1, Ordering::Relaxed);
        let text = format!("{}-{:x}-{n:x}", self.me.router, self.me.number);
        text.parse().expect("the parts are names")
    }

    /// Matches the caller's key and reads the headers that every call may have.
    ///
    /// # Errors
    /// A refusal for an unknown key, a closed workspace or a header out of bounds.
    pub fn call(
        &self,
        request: &Request,
        settings: &Settings,
        id: RequestId,
        arrived: Timestamp,
    ) -> Result<Call, Refusal> {
        let (workspace, budget) = self.authenticate(request)?;
        let open = settings.workspaces().iter().any(|w| w.id == workspace && !w.closed);
        if !open {
            return Err(Refusal::not_run(Code::UnknownWorkspace, workspace.to_string()));
        }
        let key = header(request, "idempotency-key").map(str::to_owned);
        if key.as_deref().is_some_and(|key| !is_key(key)) {
            let detail = "Idempotency-Key: expected 1 to 128 letters, digits or any of - _ . :";
            return Err(Refusal::not_run(Code::InvalidField, detail));
        }
        let patience = match header(request, "x-deadline-ms") {
            None => None,
            Some(text) => Some(Millis(text.parse().map_err(|_| {
                let detail = "X-Deadline-Ms: expected a whole number of milliseconds";
                Refusal::not_run(Code::InvalidField, detail)
            })?)),
        };
        Ok(Call { id, workspace, budget, key, arrived, patience })
    }

    /// Reads the request's body within the bounds of `settings`, into memory of `pool`.
    ///
    /// # Errors
    /// A refusal for a body that is too large, too slow, breaks off, or finds no memory.
    pub async fn body(
        &self,
        request: &mut Request,
        settings: &Settings,
        pool: &BodyMemory,
    ) -> Result<Body, Refusal> {
        let fleet = settings.fleet();
        let size = request.len().map_or(fleet.body_limit.0, |n| n as u64);
        let memory = pool.take(size.min(fleet.body_limit.0))?;
        let bytes = read_body(request.take_body(), fleet.body_limit, fleet.receive_time).await?;
        Ok(Body { bytes, memory })
    }

    /// Asks for a start for as long as the caller waits.
    ///
    /// # Errors
    /// The refusal of the control thread.
    pub async fn admit(
        &self,
        admit: AdmitRequest,
        caller: Option<Caller>,
    ) -> Result<(Ticket, Placement), Refusal> {
        let left = async {
            match caller {
                Some(caller) => caller.disconnected().await,
                None => future::pending().await,
            }
            Err(Refusal::not_run(Code::WorkspaceLimit, "the caller left before the start"))
        };
        Ticket::admit(&self.events, admit).or(left).await
    }

    fn authenticate(&self, request: &Request) -> Result<(WorkspaceId, BudgetId), Refusal> {
        let unknown = |detail| Refusal::not_run(Code::UnknownKey, detail);
        let value = header(request, "authorization").ok_or_else(|| unknown("no Authorization"))?;
        let key = value.strip_prefix("Bearer ").ok_or_else(|| unknown("expected Bearer KEY"))?;
        self.snapshot.load().access.caller(key).ok_or_else(|| unknown("no such key"))
    }

    fn models(&self, request: &Request) -> Result<Response, Refusal> {
        let snapshot = self.snapshot.load();
        let settings = snapshot.serving_settings()?;
        self.authenticate(request)?;
        let models: Vec<&ModelId> = settings.kinds().iter().flat_map(|kind| &kind.models).collect();
        let data: Vec<_> =
            models.iter().map(|id| json!({ "id": id.as_str(), "object": "model" })).collect();
        Ok(json_response(&json!({ "object": "list", "data": data })))
    }
}

/// Returns whether a key can be part of a store key and of a path as it is. Anything else could name
/// another workspace's record or another resource of a service.
fn is_key(key: &str) -> bool {
    let allowed = |b: u8| b.is_ascii_alphanumeric() || matches!(b, b'-' | b'_' | b'.' | b':');
    let named = key.bytes().any(|b| b.is_ascii_alphanumeric());
    named && key.len() <= KEY_LIMIT && key.bytes().all(allowed)
}

/// Returns the last value of a header.
pub fn header<'a>(request: &'a Request, name: &str) -> Option<&'a str> {
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
