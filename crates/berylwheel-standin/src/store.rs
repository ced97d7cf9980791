//! Stand-in for the key-value store: the JSON gateway of etcd v3 backed by a [`MemoryStore`].

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use async_executor::Executor;
use berylwheel_http::BodySender;
use berylwheel_http::channel_body;
use berylwheel_http::timeout;
use berylwheel_store::Compare;
use berylwheel_store::Entry;
use berylwheel_store::LeaseId;
use berylwheel_store::MemoryStore;
use berylwheel_store::Put;
use berylwheel_store::Store;
use berylwheel_store::StoreError;
use berylwheel_store::SwapResult;
use berylwheel_store::wire;
use berylwheel_store::wire::Int64;
use berylwheel_types::Clock;
use berylwheel_types::Millis;
use http_types::Method;
use http_types::Request;
use http_types::Response;
use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::Value;
use serde_json::json;

use crate::Handle;
use crate::http;
use crate::http::Rejection;
use crate::server;
use crate::server::MaybeResponse;

/// Options of the store stand-in.
#[derive(Debug, Clone)]
pub struct StoreOptions {
    /// The store that holds the data and the faults.
    pub store: MemoryStore,
}

impl Default for StoreOptions {
    fn default() -> Self {
        // The server sets no time limit; timeouts are left to the client.
        Self { store: MemoryStore::new(Clock::real()).time_limit(Millis(u64::MAX)) }
    }
}

struct StoreService {
    store: MemoryStore,
    executor: Arc<Executor<'static>>,
    watch_count: AtomicU64,
    byte_count: AtomicU64,
}

/// Starts a key-value store server.
///
/// ```
/// use std::sync::Arc;
/// use async_executor::Executor;
/// use berylwheel_standin::{StoreOptions, start_store};
/// use berylwheel_store::{HttpStore, Store};
/// use futures_lite::future::block_on;
/// let executor = Arc::new(Executor::new());
/// let any_port = "127.0.0.1:0".parse().unwrap();
/// let (address, _handle) = start_store(any_port, &executor, StoreOptions::default()).unwrap();
/// let client = HttpStore::new(berylwheel_store::StoreOptions::new(vec![address]));
/// let entries = block_on(executor.run(client.range("k", false, 0)));
/// assert_eq!(entries, Ok(Vec::new()));
/// ```
///
/// # Errors
/// Fails if the address cannot be bound.
pub fn start_store(
    address: SocketAddr,
    executor: &Arc<Executor<'static>>,
    options: StoreOptions,
) -> io::Result<(SocketAddr, Handle)> {
    let service = StoreService {
        store: options.store,
        executor: executor.clone(),
        watch_count: AtomicU64::new(0),
        byte_count: AtomicU64::new(0),
    };
    let service = Arc::new(service);
    server::start(address, executor, move |request| handle(service.clone(), request))
}

async fn handle(service: Arc<StoreService>, mut request: Request) -> MaybeResponse {
    let path = request.url().path().to_owned();
    if request.method() == Method::Get && path == "/stats" {
        let counts = service.store.counts();
        let mut stats = serde_json::to_value(counts).expect("counts serialize to JSON");
        // `MemoryStore` counts a watch for each batch of changes, so streams are counted here.
        stats["watches"] = json!(service.watch_count.load(Ordering::Relaxed));
        stats["bytes"] = json!(service.byte_count.load(Ordering::Relaxed));
        stats["revision"] = json!(service.store.revision());
        return Some(http::json_response(200, &stats));
    }
    let body = match http::request_body(&mut request).await {
        Ok(body) => body,
        Err(rejection) => return Some(rejection.to_response()),
    };
    if path != "/faults" {
        service.byte_count.fetch_add(body.len() as u64, Ordering::Relaxed);
    }
    let result = match path.as_str() {
        "/faults" => return http::respond(set_faults(&service, &body)),
        "/v3/kv/range" => range(&service, &body).await,
        "/v3/kv/txn" => txn(&service, &body).await,
        "/v3/lease/grant" => grant(&service, &body).await,
        "/v3/lease/keepalive" => keep_alive(&service, &body).await,
        "/v3/watch" => watch(&service, &body),
        _ => return Some(http::error_response(404, "no such endpoint")),
    };
    match result {
        Ok(response) => Some(response),
        // Close the connection, so that the client cannot tell whether the write was applied.
        Err(StoreError::Unknown) => None,
        Err(StoreError::Unavailable | StoreError::Restored) => {
            Some(grpc_error(503, 14, "etcdserver: no leader"))
        }
        Err(StoreError::Protocol(detail)) => Some(grpc_error(400, 3, &detail)),
        Err(StoreError::Compacted(_)) => Some(grpc_error(400, 11, "compacted")),
    }
}

fn grpc_error(status: u16, code: u32, message: &str) -> Response {
    http::json_response(status, &json!({ "error": message, "code": code, "message": message }))
}

fn set_faults(service: &StoreService, body: &[u8]) -> Result<Response, Rejection> {
    let mut changes: Value = http::parse_json(body)?;
    let lease = changes.as_object_mut().and_then(|changes| changes.remove("expire_lease"));
    let faults = http::merge_faults(&service.store.faults(), &changes)?;
    service.store.set_faults(faults);
    let expired = lease
        .as_ref()
        .and_then(Value::as_u64)
        .is_some_and(|lease| service.store.expire_lease(LeaseId(lease)));
    Ok(http::json_response(200, &json!({ "expired": expired })))
}

impl StoreService {
    fn respond(&self, body: &impl Serialize) -> Response {
        let response = http::json_response(200, body);
        self.byte_count.fetch_add(response.len().unwrap_or(0) as u64, Ordering::Relaxed);
        response
    }

    fn header(&self) -> wire::Header {
        wire::Header { revision: Int64(self.store.revision()) }
    }
}

fn decode<T: DeserializeOwned>(body: &[u8]) -> Result<T, StoreError> {
    serde_json::from_slice(body).map_err(|error| StoreError::Protocol(error.to_string()))
}

/// Returns the start key of a range and whether the range covers a prefix. Other ranges are not
/// supported.
fn parse_range(key: wire::Bytes, end: &wire::Bytes) -> Result<(String, bool), StoreError> {
    let prefix = !end.is_empty();
    let key = if prefix && key.0 == [0] { wire::Bytes::default() } else { key };
    if prefix && *end != wire::prefix_end(&key.0) {
        return Err(StoreError::Protocol("only prefix ranges are supported".to_owned()));
    }
    Ok((key.into_string().map_err(StoreError::Protocol)?, prefix))
}

async fn range(service: &StoreService, body: &[u8]) -> Result<Response, StoreError> {
    let request: wire::RangeRequest = decode(body)?;
    let (from, prefix) = parse_range(request.key, &request.range_end)?;
    let limit = request.limit.0.try_into().unwrap_or(u32::MAX);
    let entries = service.store.range(&from, prefix, limit).await?;
    let kvs = entries.into_iter().map(wire::KeyValue::from).collect();
    Ok(service.respond(&wire::RangeResponse { header: service.header(), kvs }))
}

fn parse_compare(request: wire::CompareRequest) -> Result<Compare, StoreError> {
    if request.result != "EQUAL" || request.target != "MOD" {
        return Err(StoreError::Protocol(
            "only comparisons with EQUAL on MOD are supported".to_owned(),
        ));
    }
    let key = request.key.into_string().map_err(StoreError::Protocol)?;
    Ok(Compare { key, revision: request.mod_revision.0 })
}

fn parse_put(op: wire::RequestOp) -> Result<Put, StoreError> {
    match op {
        wire::RequestOp { request_put: Some(put), .. } => Ok(Put {
            key: put.key.into_string().map_err(StoreError::Protocol)?,
            value: Some(put.value.0),
            lease: (put.lease.0 > 0).then_some(LeaseId(put.lease.0)),
        }),
        wire::RequestOp { request_delete_range: Some(delete), .. } => {
            Ok(Put::delete(delete.key.into_string().map_err(StoreError::Protocol)?))
        }
        _ => Err(StoreError::Protocol(
            "only put and delete operations are supported on success".to_owned(),
        )),
    }
}

async fn txn(service: &StoreService, body: &[u8]) -> Result<Response, StoreError> {
    let request: wire::TxnRequest = decode(body)?;
    let compares = request.compare.into_iter().map(parse_compare).collect::<Result<_, _>>()?;
    let puts = request.success.into_iter().map(parse_put).collect::<Result<_, _>>()?;
    let response = match service.store.swap(compares, puts).await? {
        SwapResult::Committed(revision) => wire::TxnResponse {
            header: wire::Header { revision: Int64(revision) },
            succeeded: true,
            responses: Vec::new(),
        },
        SwapResult::Conflict(entries) => {
            let ranges = entries.into_iter().map(|entry| wire::ResponseOp {
                response_range: Some(wire::RangeResponse {
                    header: wire::Header::default(),
                    kvs: vec![entry.into()],
                }),
            });
            wire::TxnResponse {
                header: service.header(),
                succeeded: false,
                responses: ranges.collect(),
            }
        }
    };
    Ok(service.respond(&response))
}

async fn grant(service: &StoreService, body: &[u8]) -> Result<Response, StoreError> {
    let request: wire::LeaseMessage = decode(body)?;
    let lease = service.store.grant_lease(Millis(request.ttl.0.saturating_mul(1_000))).await?;
    Ok(service.respond(&wire::LeaseMessage { id: Int64(lease.0), ttl: request.ttl }))
}

async fn keep_alive(service: &StoreService, body: &[u8]) -> Result<Response, StoreError> {
    let request: wire::LeaseMessage = decode(body)?;
    let alive = service.store.keep_alive(LeaseId(request.id.0)).await?;
    let result = wire::LeaseMessage { id: request.id, ttl: Int64(alive.into()) };
    Ok(service.respond(&wire::KeepAliveResponse { result }))
}

fn watch(service: &Arc<StoreService>, body: &[u8]) -> Result<Response, StoreError> {
    let request = decode::<wire::WatchRequest>(body)?.create_request;
    let (prefix, _) = parse_range(request.key, &request.range_end)?;
    if service.store.faults().down {
        return Err(StoreError::Unavailable);
    }
    service.watch_count.fetch_add(1, Ordering::Relaxed);
    let (sender, body) = channel_body();
    let stream = WatchStream { service: service.clone(), sender, prefix };
    let start_revision = match request.start_revision.0 {
        0 => service.store.revision() + 1,
        revision => revision,
    };
    service.executor.spawn(stream.run(start_revision)).detach();
    let mut response = Response::new(200);
    response.set_body(body);
    response.insert_header("content-type", "application/json");
    Ok(response)
}

/// Interval at which an idle watch is restarted to detect expired leases.
const WATCH_POLL: Millis = Millis(100);

/// Number of idle polls between messages without events, which detect clients that have
/// disconnected.
const IDLE_POLLS_PER_MESSAGE: u32 = 100;

struct WatchStream {
    service: Arc<StoreService>,
    sender: BodySender,
    prefix: String,
}

impl WatchStream {
    /// Sends a watch message. Returns false if the client has disconnected.
    async fn send(&self, events: Vec<wire::Event>, compacted: u64) -> bool {
        let result = wire::WatchResult {
            header: self.service.header(),
            canceled: compacted > 0,
            compact_revision: Int64(compacted),
            events,
            ..Default::default()
        };
        self.send_result(result).await
    }

    async fn send_result(&self, result: wire::WatchResult) -> bool {
        let mut line = serde_json::to_vec(&wire::WatchResponse { result }).unwrap_or_default();
        line.push(b'\n');
        self.service.byte_count.fetch_add(line.len() as u64, Ordering::Relaxed);
        self.sender.send(Ok(line)).await.is_ok()
    }

    async fn run(self, mut next_revision: u64) {
        let created = wire::WatchResult { created: true, ..Default::default() };
        let mut connected = self.send_result(created).await;
        let mut polls = 0;
        while connected {
            let changes =
                timeout(WATCH_POLL, self.service.store.watch(&self.prefix, next_revision)).await;
            connected = match changes {
                Some(Ok(changes)) => {
                    next_revision =
                        changes.last().map_or(next_revision, |entry| entry.revision + 1);
                    self.send(changes.into_iter().map(watch_event).collect(), 0).await
                }
                Some(Err(StoreError::Compacted(first))) => {
                    self.send(Vec::new(), first).await;
                    return;
                }
                Some(Err(_)) => return,
                None => {
                    polls += 1;
                    polls % IDLE_POLLS_PER_MESSAGE > 0 || self.send(Vec::new(), 0).await
                }
            };
        }
    }
}

fn watch_event(entry: Entry) -> wire::Event {
    let kind = if entry.deleted { "DELETE".to_owned() } else { String::new() };
    wire::Event { kind, kv: entry.into() }
}
