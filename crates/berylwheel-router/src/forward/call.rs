//! Receives, authorizes and prepares a caller's request for admission.

use async_io::Timer;
use berylwheel_http::LeaveUnread;
use berylwheel_http::ResponseBody;
use berylwheel_http::local_timeout;
use berylwheel_route::RouteQuery;
use berylwheel_settings::Answer;
use berylwheel_settings::KindSettings;
use berylwheel_settings::Settings;
use berylwheel_types::BudgetId;
use berylwheel_types::ByteSize;
use berylwheel_types::Code;
use berylwheel_types::KindId;
use berylwheel_types::Millis;
use berylwheel_types::PromptPartId;
use berylwheel_types::Rank;
use berylwheel_types::Refusal;
use berylwheel_types::RequestId;
use berylwheel_types::Timestamp;
use berylwheel_types::Tokens;
use berylwheel_types::WorkspaceId;
use berylwheel_types::stable_hash;
use bytes::Bytes;
use http::HeaderMap;
use http::HeaderValue;
use http::Method;
use http::Uri;
use http::header;
use http::request::Parts;
use http_body_util::BodyExt;
use http_body_util::Limited;
use hyper::Request;
use hyper::Response;
use hyper::body::Incoming;

use super::caller_body::CallerBody;
use super::listen::Forwarder;
use super::platform::PromptPart;
use super::platform::RequestHeaders;
use super::respond::refusal_response;
use super::trace::AttemptTrace;
use crate::calls::memory::MemoryReservation;
use crate::control::command::AdmitRequest;
use crate::control::snapshot::RECONNECT_DELAY;
use crate::control::snapshot::Snapshot;

/// Workspace that requests of open kinds are accounted to.
const OPEN_WORKSPACE: &str = "open";

/// A request that is proxied to a backend server.
pub(crate) struct Call {
    pub id: RequestId,
    pub method: Method,
    pub target: Uri,
    /// The caller's headers without the hop-by-hop headers.
    pub headers: HeaderMap,
    pub body: Bytes,
    pub kind: KindSettings,
    pub rank: Rank,
    pub workspace: Option<WorkspaceId>,
    pub prompt_tokens: Tokens,
    /// The pool of servers that the request goes to.
    pub pool: KindId,
    /// Number of tokens in one event of the response stream.
    pub event_tokens: u64,
    /// Id of the last event that the caller received, if it resumes a stream.
    pub last_event: Option<u64>,
    pub arrived_at: Timestamp,
    /// The earlier of the caller's timeout and the deadline configured for the kind.
    pub deadline: Timestamp,
    /// Parts of the prompt that other requests can share, each once and in ascending order.
    pub parts: Vec<PromptPartId>,
    pub trace: AttemptTrace,
    _reservation: MemoryReservation,
}

/// Minimum body size, in bytes, that is rejected while the VM's link is full. Calls to plain
/// services are smaller and add little load.
const LARGE_BODY: u64 = 4 << 10;
/// How long a connection with an unread request body stays open so that the caller can read the
/// response.
const CLOSE_DELAY: Millis = Millis(300);

/// The kind, rank and accounts of a request whose caller is authorized.
struct Authorized {
    kind: KindSettings,
    rank: Rank,
    workspace: Option<WorkspaceId>,
    budget: Option<BudgetId>,
}

impl Forwarder {
    /// Handles one request and turns a refusal into a response.
    pub(crate) async fn handle(&self, request: Request<Incoming>) -> Response<ResponseBody> {
        let arrived_at = self.clock.now();
        let (parts, body) = request.into_parts();
        let mut body = CallerBody::Unread(body);
        let decoded = self.platform.decode_request(&parts.headers);
        let given_id = decoded.id.as_deref().and_then(|id| id.parse().ok());
        let id = given_id.unwrap_or_else(|| self.generate_id());
        let forwarding = self.forward(parts, &mut body, decoded, id.clone(), arrived_at);
        let result = Box::pin(forwarding).await;
        let mut response = match result {
            Ok(response) => response,
            Err(refusal) => {
                self.metrics.count_refusal(refusal.code);
                let ms = self.clock.now().since(arrived_at).0;
                log::info!(
                    request = id.as_str(), code = refusal.code.number(),
                    ran = refusal.ran.name(), ms; "refused: {}", refusal.detail
                );
                let mut response = refusal_response(self.platform.as_ref(), &refusal, id.as_str());
                if refusal.code == Code::LinkFull {
                    response.extensions_mut().insert(LeaveUnread);
                }
                response
            }
        };
        // `hyper` closes a connection whose request was not read to its end. A caller that is not
        // told sends its next request on it, and gets neither an answer nor a refusal.
        let ends_connection = !body.finish().await;
        // A router whose link is full reports itself as not ready, so the load balancer sends the
        // caller's next connection to another one.
        if ends_connection || self.link.is_full(self.clock.now()) {
            response.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
        }
        response
    }

    async fn forward(
        &self,
        parts: Parts,
        body: &mut CallerBody,
        decoded: RequestHeaders,
        id: RequestId,
        arrived_at: Timestamp,
    ) -> Result<Response<ResponseBody>, Refusal> {
        let snapshot = self.snapshot.load_full();
        let settings = snapshot.serving_settings()?;
        let (call, admit) = {
            let authorized = authorize(&parts, &decoded, &snapshot, settings)?;
            self.check_link(body)?;
            let bytes = self.read_body(body, settings).await?;
            build_call(parts, bytes, decoded, authorized, settings, id, arrived_at)?
        };
        match call.kind.answer {
            Answer::Whole => self.serve_whole(call, admit).await,
            Answer::Stream => self.serve_stream(call, admit).await,
        }
    }

    /// Rejects a large request while the VM's link is full. Its bytes would be queued twice,
    /// inbound and on the way to a backend server, while the caller's next connection goes to
    /// another router.
    fn check_link(&self, body: &mut CallerBody) -> Result<(), Refusal> {
        let size = body.least_size();
        if size < LARGE_BODY || self.link.admit(self.clock.now(), size) {
            return Ok(());
        }
        // Closing a connection with unread bytes resets it, and the caller may lose the response.
        // The body is held unread for a while instead: flow control then keeps the caller from
        // sending the rest.
        let unread = body.take();
        let keep_open = async move {
            Timer::after(CLOSE_DELAY.duration()).await;
            drop(unread);
        };
        self.executor.spawn(keep_open).detach();
        let detail = "the network link of this router is full";
        Err(Refusal::not_run(Code::LinkFull, detail).retry_after(RECONNECT_DELAY))
    }

    async fn read_body(
        &self,
        body: &mut CallerBody,
        settings: &Settings,
    ) -> Result<(Bytes, MemoryReservation), Refusal> {
        let fleet = settings.fleet();
        let declared_size = body.stated_size();
        if declared_size.is_some_and(|size| size > fleet.body_limit.0) {
            let detail = format!("the limit is {}", fleet.body_limit);
            return Err(Refusal::not_run(Code::BodyTooLarge, detail));
        }
        let reservation = self.body_memory.reserve(declared_size.unwrap_or(fleet.body_limit.0))?;
        let unread = body
            .take()
            .ok_or_else(|| Refusal::not_run(Code::Internal, "the request body was read before"))?;
        let limited = Limited::new(unread, fleet.body_limit.0 as usize);
        let read = local_timeout(fleet.receive_time, limited.collect()).await;
        match read {
            None => {
                let detail = format!("the time limit is {}", fleet.receive_time);
                Err(Refusal::not_run(Code::SlowSender, detail))
            }
            Some(Ok(read)) => {
                *body = CallerBody::Complete;
                Ok((read.to_bytes(), reservation))
            }
            Some(Err(error)) if error.is::<http_body_util::LengthLimitError>() => {
                let detail = format!("the limit is {}", fleet.body_limit);
                Err(Refusal::not_run(Code::BodyTooLarge, detail))
            }
            Some(Err(error)) => Err(Refusal::not_run(Code::MalformedRequest, error.to_string())),
        }
    }
}

/// Finds the kind of a request by host and path and checks the caller's key.
fn authorize(
    parts: &Parts,
    decoded: &RequestHeaders,
    snapshot: &Snapshot,
    settings: &Settings,
) -> Result<Authorized, Refusal> {
    let host = request_host(parts)?;
    let path = parts.uri.path();
    let unknown = || Refusal::not_run(Code::UnknownKind, format!("{host}{path}"));
    let kind = snapshot.paths.find(host, path).ok_or_else(unknown)?;
    let kind = settings.kind(kind).ok_or_else(unknown)?.clone();
    if kind.open {
        let rank = kind.rank;
        return Ok(Authorized { kind, rank, workspace: None, budget: None });
    }
    let refused = |detail| Refusal::not_run(Code::UnknownKey, detail);
    let key = decoded.key.as_deref().ok_or_else(|| refused("the request has no caller key"))?;
    let owner =
        snapshot.access.caller(key).ok_or_else(|| refused("no workspace has this caller key"))?;
    let (workspace, budget) = owner;
    let configured = settings.workspace(&workspace);
    let rank = configured.and_then(|workspace| workspace.rank).unwrap_or(kind.rank);
    Ok(Authorized { kind, rank, workspace: Some(workspace), budget: Some(budget) })
}

fn build_call(
    parts: Parts,
    (body, reservation): (Bytes, MemoryReservation),
    decoded: RequestHeaders,
    authorized: Authorized,
    settings: &Settings,
    id: RequestId,
    arrived_at: Timestamp,
) -> Result<(Call, AdmitRequest), Refusal> {
    let Authorized { kind, rank, workspace, budget } = authorized;
    let pool = choose_pool(&kind, &id);
    let pool =
        pool.ok_or_else(|| Refusal::not_run(Code::NoBackend, "no pool serves the kind of work"))?;
    let event_tokens = settings.pool(&pool).map_or(1, |pool| u64::from(pool.event_tokens));
    let timeout = decoded.timeout.map_or(kind.deadline, |timeout| timeout.min(kind.deadline));
    let deadline = arrived_at + timeout;
    let amount = match budget {
        Some(_) => decoded.prompt_tokens.saturating_add(decoded.max_tokens),
        None => Tokens::ZERO,
    };
    let payer = workspace.clone().map_or_else(|| OPEN_WORKSPACE.parse(), Ok);
    let payer: WorkspaceId =
        payer.map_err(|_| Refusal::not_run(Code::Internal, "invalid workspace name"))?;
    let budget = budget.map_or_else(|| format!("{payer}/main").parse(), Ok);
    let admit = AdmitRequest {
        request: id.clone(),
        workspace: payer,
        budget: budget.map_err(|_| Refusal::not_run(Code::Internal, "invalid budget name"))?,
        kind: kind.id.clone(),
        rank,
        bill_key: None,
        digest: 0,
        needs_claim: false,
        amount,
        size: ByteSize(body.len() as u64),
        deadline,
        query: RouteQuery {
            kind: pool,
            model: None,
            prefix: shared_prefix_hash(&decoded.prompt_parts),
            exclude: Vec::new(),
            prompt_tokens: decoded.prompt_tokens,
        },
        parts: shared_parts(&decoded.prompt_parts),
    };
    let mut headers = parts.headers;
    remove_connection_headers(&mut headers);
    let target = request_target(&parts.uri);
    let call = Call {
        id,
        method: parts.method,
        target,
        headers,
        body,
        kind,
        rank,
        workspace,
        prompt_tokens: decoded.prompt_tokens,
        pool: admit.query.kind.clone(),
        event_tokens,
        last_event: decoded.last_event,
        arrived_at,
        deadline,
        parts: admit.parts.clone(),
        trace: AttemptTrace::default(),
        _reservation: reservation,
    };
    Ok((call, admit))
}

impl Call {
    /// Returns the time left until the deadline.
    pub(crate) fn time_left(&self, now: Timestamp) -> Millis {
        self.deadline.since(now)
    }
}

fn request_host(parts: &Parts) -> Result<&str, Refusal> {
    let malformed = |detail| Refusal::not_run(Code::MalformedRequest, detail);
    let mut hosts = parts.headers.get_all(header::HOST).iter();
    let host = hosts.next().ok_or_else(|| malformed("no Host header"))?;
    if hosts.next().is_some() {
        return Err(malformed("more than one Host header"));
    }
    host.to_str().map_err(|_| malformed("the Host header is not visible ASCII"))
}

/// Returns the path and query unchanged.
fn request_target(uri: &Uri) -> Uri {
    let target = uri.path_and_query().cloned();
    target.map_or_else(|| Uri::from_static("/"), Uri::from)
}

/// Chooses a pool of the kind by weight. The choice is a hash of the request id, so that every
/// attempt with the same id goes to the same pool. Returns `None` if no pool has a weight above 0.
fn choose_pool(kind: &KindSettings, id: &RequestId) -> Option<KindId> {
    let total: u64 = kind.pools.iter().map(|(_, weight)| u64::from(*weight)).sum();
    let mut draw = stable_hash(&["pool", id.as_str()]).checked_rem(total)?;
    for (pool, weight) in &kind.pools {
        if draw < u64::from(*weight) {
            return Some(pool.clone());
        }
        draw -= u64::from(*weight);
    }
    None
}

/// Returns the prompt parts that other requests can share, each once and in ascending order.
fn shared_parts(parts: &[PromptPart]) -> Vec<PromptPartId> {
    let shared = parts.split_last().map_or(&[][..], |(_, shared)| shared);
    let mut ids: Vec<PromptPartId> = shared.iter().map(|part| part.id).collect();
    ids.sort_unstable();
    ids.dedup();
    ids
}

/// Returns a hash of the prompt parts that other requests can share, or 0 if there are none.
fn shared_prefix_hash(parts: &[PromptPart]) -> u64 {
    let Some((_, shared)) = parts.split_last() else { return 0 };
    if shared.is_empty() {
        return 0;
    }
    let ids: Vec<String> = shared.iter().map(|part| part.id.to_string()).collect();
    let ids: Vec<&str> = ids.iter().map(String::as_str).collect();
    stable_hash(&ids).max(1)
}

/// Removes hop-by-hop headers, including those named by the `Connection` header.
pub(crate) fn remove_connection_headers(headers: &mut HeaderMap) {
    let named: Vec<String> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .map(|name| name.trim().to_ascii_lowercase())
        .collect();
    for name in named {
        headers.remove(name.as_str());
    }
    for name in ["connection", "keep-alive", "proxy-connection", "te", "trailer", "upgrade"] {
        headers.remove(name);
    }
    for name in [header::TRANSFER_ENCODING, header::CONTENT_LENGTH, header::EXPECT] {
        headers.remove(name);
    }
}
