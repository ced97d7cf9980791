//! From a caller's request to one that asks for a start.

use async_io::Timer;
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

use super::listen::Forwarder;
use super::platform::CallerHead;
use super::platform::PromptPart;
use super::respond::refusal_response;
use crate::calls::memory::BodyBytes;
use crate::control::command::AdmitRequest;

/// The workspace that requests of open kinds count for.
const OPEN_WORKSPACE: &str = "open";

/// A request that is passed on.
pub(crate) struct Call {
    pub id: RequestId,
    pub method: Method,
    pub target: Uri,
    /// The caller's headers, but for those of its connection.
    pub headers: HeaderMap,
    pub body: Bytes,
    pub kind: KindSettings,
    pub rank: Rank,
    pub workspace: Option<WorkspaceId>,
    /// Tokens of the prompt.
    pub prompt: Tokens,
    /// Tokens in one event of its stream.
    pub event_tokens: u64,
    /// The last event that the caller has.
    pub last_event: Option<u64>,
    pub arrived: Timestamp,
    /// When the caller gives up or the operator wants it answered.
    pub end: Timestamp,
    _memory: BodyBytes,
}

/// Size from which a body is refused while the VM's link is full, in bytes. Calls of plain services
/// are smaller and hardly add to its load.
const LARGE_BODY: u64 = 4 << 10;
/// Time in which a caller whose request is not read has got the answer.
const ANSWER_TIME: Millis = Millis(300);
/// Time after which a caller that is sent to another router comes back.
const ELSEWHERE_TIME: Millis = Millis(50);

/// What a request is allowed to do.
struct Granted {
    kind: KindSettings,
    rank: Rank,
    workspace: Option<WorkspaceId>,
    budget: Option<BudgetId>,
}

impl Forwarder {
    /// Answers one request.
    pub(crate) async fn answer(&self, request: Request<Incoming>) -> Response<ResponseBody> {
        let arrived = self.clock.now();
        let (parts, body) = request.into_parts();
        let head = self.platform.caller(&parts.headers);
        let named = head.id.as_deref().and_then(|id| id.parse().ok());
        let id = named.unwrap_or_else(|| self.next_id());
        let served = Box::pin(self.forward(parts, body, head, id.clone(), arrived)).await;
        let mut response = match served {
            Ok(response) => response,
            Err(refusal) => {
                self.metrics.count_refusal(refusal.code);
                let ms = self.clock.now().since(arrived).0;
                log::info!(
                    request = id.as_str(), code = refusal.code.number(),
                    ran = refusal.ran.name(), ms; "refused: {}", refusal.detail
                );
                refusal_response(self.platform.as_ref(), &refusal, id.as_str())
            }
        };
        if self.link.is_full(self.clock.now()) {
            // The caller's next connection goes to another router, as this one is not ready.
            response.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
        }
        response
    }

    async fn forward(
        &self,
        parts: Parts,
        body: Incoming,
        head: CallerHead,
        id: RequestId,
        arrived: Timestamp,
    ) -> Result<Response<ResponseBody>, Refusal> {
        let snapshot = self.snapshot.load_full();
        let settings = snapshot.serving_settings()?;
        let (call, admit) = {
            let granted = self.grant(&parts, &head, settings)?;
            let body = self.check_link(body)?;
            let body = self.read_body(body, settings).await?;
            build(parts, body, head, granted, settings, id, arrived)?
        };
        match call.kind.answer {
            Answer::Whole => self.whole(call, admit).await,
            Answer::Stream => self.stream(call, admit).await,
        }
    }

    /// Finds the kind of a request and checks that its caller may send it.
    fn grant(
        &self,
        parts: &Parts,
        head: &CallerHead,
        settings: &Settings,
    ) -> Result<Granted, Refusal> {
        let host = host_of(parts)?;
        let snapshot = self.snapshot.load();
        let path = parts.uri.path();
        let unknown = || Refusal::not_run(Code::UnknownKind, format!("{host}{path}"));
        let kind = snapshot.paths.find(host, path).ok_or_else(unknown)?;
        let kind = settings.kind(kind).ok_or_else(unknown)?.clone();
        if kind.open {
            let rank = kind.rank;
            return Ok(Granted { kind, rank, workspace: None, budget: None });
        }
        let refused = |detail| Refusal::not_run(Code::UnknownKey, detail);
        let key = head.key.as_deref().ok_or_else(|| refused("the request has no key"))?;
        let owner =
            snapshot.access.caller(key).ok_or_else(|| refused("no workspace has the key"))?;
        let (workspace, budget) = owner;
        let own = settings.workspace(&workspace);
        let rank = own.and_then(|own| own.rank).unwrap_or(kind.rank);
        Ok(Granted { kind, rank, workspace: Some(workspace), budget: Some(budget) })
    }

    /// Refuses a large request while the VM's link is full: its bytes would wait twice, on their way in
    /// and on to a server, and the caller's next connection goes to another router.
    fn check_link(&self, body: Incoming) -> Result<Incoming, Refusal> {
        let size = hyper::body::Body::size_hint(&body).lower();
        if size < LARGE_BODY || self.link.admit(self.clock.now(), size) {
            return Ok(body);
        }
        // A connection that is closed with bytes unread is reset, and the answer is lost if the caller
        // has not read it. The bytes are not read, so that the caller keeps those that it has not sent.
        let held = async move {
            Timer::after(ANSWER_TIME.duration()).await;
            drop(body);
        };
        self.executor.spawn(held).detach();
        let detail = "the link of this router is full";
        Err(Refusal::not_run(Code::LinkFull, detail).retry_after(ELSEWHERE_TIME))
    }

    async fn read_body(
        &self,
        body: Incoming,
        settings: &Settings,
    ) -> Result<(Bytes, BodyBytes), Refusal> {
        let fleet = settings.fleet();
        let announced = hyper::body::Body::size_hint(&body).exact();
        if announced.is_some_and(|size| size > fleet.body_limit.0) {
            let detail = format!("the limit is {}", fleet.body_limit);
            return Err(Refusal::not_run(Code::BodyTooLarge, detail));
        }
        let memory = self.memory.take(announced.unwrap_or(fleet.body_limit.0))?;
        let counted = body.map_frame(|frame| {
            self.link.note(self.clock.now(), frame.data_ref().map_or(0, Bytes::len));
            frame
        });
        let limited = Limited::new(counted, fleet.body_limit.0 as usize);
        let read = local_timeout(fleet.receive_time, limited.collect()).await;
        match read {
            None => {
                let detail = format!("the limit is {}", fleet.receive_time);
                Err(Refusal::not_run(Code::SlowSender, detail))
            }
            Some(Ok(body)) => Ok((body.to_bytes(), memory)),
            Some(Err(error)) if error.is::<http_body_util::LengthLimitError>() => {
                let detail = format!("the limit is {}", fleet.body_limit);
                Err(Refusal::not_run(Code::BodyTooLarge, detail))
            }
            Some(Err(error)) => Err(Refusal::not_run(Code::MalformedRequest, error.to_string())),
        }
    }
}

fn build(
    parts: Parts,
    (body, memory): (Bytes, BodyBytes),
    head: CallerHead,
    granted: Granted,
    settings: &Settings,
    id: RequestId,
    arrived: Timestamp,
) -> Result<(Call, AdmitRequest), Refusal> {
    let Granted { kind, rank, workspace, budget } = granted;
    let pool = choose_pool(&kind, &id);
    let pool = pool.ok_or_else(|| Refusal::not_run(Code::NoBackend, "the kind has no pool"))?;
    let event_tokens = settings.pool(&pool).map_or(1, |pool| u64::from(pool.event_tokens));
    let patience = head.patience.map_or(kind.deadline, |patience| patience.min(kind.deadline));
    let end = arrived + patience;
    let amount = match budget {
        Some(_) => head.prompt + head.most,
        None => Tokens::ZERO,
    };
    let payer = workspace.clone().map_or_else(|| OPEN_WORKSPACE.parse(), Ok);
    let payer: WorkspaceId = payer.map_err(|_| Refusal::not_run(Code::Internal, "workspace"))?;
    let budget = budget.map_or_else(|| format!("{payer}/main").parse(), Ok);
    let admit = AdmitRequest {
        request: id.clone(),
        workspace: payer,
        budget: budget.map_err(|_| Refusal::not_run(Code::Internal, "budget"))?,
        kind: kind.id.clone(),
        rank,
        bill_key: None,
        digest: 0,
        needs_claim: false,
        amount,
        size: ByteSize(body.len() as u64),
        deadline: end,
        query: RouteQuery {
            kind: pool,
            model: None,
            prefix: shared_prefix(&head.parts),
            exclude: Vec::new(),
        },
    };
    let mut headers = parts.headers;
    remove_connection_headers(&mut headers);
    let target = target_of(&parts.uri);
    let call = Call {
        id,
        method: parts.method,
        target,
        headers,
        body,
        kind,
        rank,
        workspace,
        prompt: head.prompt,
        event_tokens,
        last_event: head.last_event,
        arrived,
        end,
        _memory: memory,
    };
    Ok((call, admit))
}

impl Call {
    /// Returns the time that is left at `now`.
    pub(crate) fn left(&self, now: Timestamp) -> Millis {
        self.end.since(now)
    }
}

fn host_of(parts: &Parts) -> Result<&str, Refusal> {
    let malformed = |detail| Refusal::not_run(Code::MalformedRequest, detail);
    let mut hosts = parts.headers.get_all(header::HOST).iter();
    let host = hosts.next().ok_or_else(|| malformed("no Host header"))?;
    if hosts.next().is_some() {
        return Err(malformed("more than one Host header"));
    }
    host.to_str().map_err(|_| malformed("the Host header is not text"))
}

/// Returns path and query as they were sent.
fn target_of(uri: &Uri) -> Uri {
    let target = uri.path_and_query().cloned();
    target.map_or_else(|| Uri::from_static("/"), Uri::from)
}

/// Chooses among the pools of a kind by weight. A request goes to the same pool each time.
fn choose_pool(kind: &KindSettings, id: &RequestId) -> Option<KindId> {
    let total: u64 = kind.pools.iter().map(|(_, weight)| u64::from(*weight)).sum();
    let mut draw = stable_hash(&["pool", id.as_str()]) % total.max(1);
    for (pool, weight) in &kind.pools {
        if draw < u64::from(*weight) {
            return Some(pool.clone());
        }
        draw -= u64::from(*weight);
    }
    kind.pools.first().map(|(pool, _)| pool.clone())
}

/// Returns a hash of the parts that other requests can share, zero if there are none.
fn shared_prefix(parts: &[PromptPart]) -> u64 {
    let Some((_, shared)) = parts.split_last() else { return 0 };
    if shared.is_empty() {
        return 0;
    }
    let ids: Vec<String> = shared.iter().map(|part| format!("{:x}", part.id)).collect();
    let ids: Vec<&str> = ids.iter().map(String::as_str).collect();
    stable_hash(&ids).max(1)
}

/// Removes the headers that concern one connection only, and those that it names.
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
