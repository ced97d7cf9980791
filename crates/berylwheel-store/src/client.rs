//! A client for the JSON gateway of etcd v3.

use std::net::SocketAddr;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;

use berylwheel_http::Client;
use berylwheel_http::ClientError;
use berylwheel_http::Outgoing;
use berylwheel_http::ResponseStream;
use berylwheel_http::timeout;
use berylwheel_types::ByteSize;
use berylwheel_types::Millis;
use futures_lite::AsyncBufReadExt;
use futures_lite::AsyncReadExt;
use http_types::Method;
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::Compare;
use crate::Entry;
use crate::LeaseId;
use crate::Put;
use crate::Store;
use crate::StoreError;
use crate::StoreFuture;
use crate::SwapResult;
use crate::wire;
use crate::wire::Int64;

/// gRPC status `UNAVAILABLE`.
const CODE_UNAVAILABLE: u32 = 14;

/// gRPC status `RESOURCE_EXHAUSTED`, sent by a store that sheds load.
const CODE_EXHAUSTED: u32 = 8;

/// The addresses, timeouts and size limit of an [`HttpStore`].
#[derive(Debug, Clone)]
pub struct StoreOptions {
    /// The addresses of the store's members.
    pub addresses: Vec<SocketAddr>,
    /// Timeout of a read at one address, and of opening a watch.
    pub read_time: Millis,
    /// Timeout for the head of a write's response, and again for its body.
    pub write_time: Millis,
    /// How long a watch waits for a change before it returns an empty list.
    pub watch_time: Millis,
    /// Maximum size of a response.
    pub answer_limit: ByteSize,
}

impl StoreOptions {
    /// Creates options with the default timeouts and size limit for a store at `addresses`.
    pub fn new(addresses: Vec<SocketAddr>) -> Self {
        Self {
            addresses,
            read_time: Millis(1_000),
            write_time: Millis(2_000),
            watch_time: Millis(60_000),
            answer_limit: ByteSize(32 << 20),
        }
    }
}

/// An HTTP client for the store.
///
/// A failed read is retried at the next address. A write is retried at the next address only if it
/// had no effect, because it was not sent or the store rejected it before proposing it. If a write
/// was sent and no response arrives, the result is [`StoreError::Unknown`].
#[derive(Debug)]
pub struct HttpStore {
    client: Client,
    options: StoreOptions,
    /// Index of the address that last responded; calls try it first.
    preferred: AtomicUsize,
}

/// The reason why one attempt failed.
enum Failure {
    /// The request had no effect.
    NotRun,
    /// A write may have taken effect.
    Unknown,
    /// The store rejected the request.
    Refused(String),
}

impl From<ClientError> for Failure {
    fn from(error: ClientError) -> Self {
        log::debug!(error:% = error; "request to the store failed");
        if error.sent { Self::Unknown } else { Self::NotRun }
    }
}

impl HttpStore {
    /// Creates a client for the store at the addresses in `options`.
    ///
    /// ```
    /// use berylwheel_store::{HttpStore, Store, StoreError, StoreOptions};
    /// // Nothing listens on port 1.
    /// let store = HttpStore::new(StoreOptions::new(vec!["127.0.0.1:1".parse().unwrap()]));
    /// let entries = futures_lite::future::block_on(store.range("k", false, 0));
    /// assert_eq!(entries, Err(StoreError::Unavailable));
    /// ```
    pub fn new(options: StoreOptions) -> Self {
        Self { client: Client::default(), options, preferred: AtomicUsize::new(0) }
    }

    fn addresses(&self) -> impl Iterator<Item = (usize, SocketAddr)> {
        let all = &self.options.addresses;
        let start = self.preferred.load(Ordering::Relaxed);
        (0..all.len()).map(move |i| (start + i) % all.len()).map(|i| (i, all[i]))
    }

    async fn open(
        &self,
        address: SocketAddr,
        path: &str,
        body: Vec<u8>,
        time: Millis,
    ) -> Result<ResponseStream, Failure> {
        let mut outgoing =
            Outgoing::new(Method::Post, path).header("content-type", "application/json").body(body);
        outgoing.head_time = time;
        let (response, stream) = self.client.send(address, &outgoing).await?;
        if response.status() == 200 {
            return Ok(stream);
        }
        let text = self.body(stream, time).await.unwrap_or_default();
        let error: wire::ErrorResponse = serde_json::from_slice(&text).unwrap_or_default();
        let detail = format!("status {}: {}", response.status(), error.message);
        log::debug!(detail:% = detail; "store returned an error status");
        let refused_early = error.code == CODE_EXHAUSTED
            || error.code == CODE_UNAVAILABLE && error.message == "etcdserver: no leader";
        match response.status().into() {
            _ if refused_early => Err(Failure::NotRun),
            400..=499u16 => Err(Failure::Refused(detail)),
            // The leader may change or time out after the write was proposed.
            _ => Err(Failure::Unknown),
        }
    }

    async fn body(&self, stream: ResponseStream, time: Millis) -> Result<Vec<u8>, Failure> {
        let limit = self.options.answer_limit.0;
        let mut bytes = Vec::new();
        let mut bounded = stream.take(limit + 1);
        match timeout(time, bounded.read_to_end(&mut bytes)).await {
            Some(Ok(n)) if n as u64 <= limit => Ok(bytes),
            _ => Err(Failure::Unknown),
        }
    }

    async fn read<T: DeserializeOwned>(
        &self,
        path: &str,
        request: &impl Serialize,
    ) -> Result<T, StoreError> {
        let body = encode(request)?;
        for (index, address) in self.addresses() {
            let time = self.options.read_time;
            let answer = async {
                let stream = self.open(address, path, body.clone(), time).await?;
                self.body(stream, time).await
            };
            match timeout(time, answer).await {
                Some(Ok(answer)) => {
                    self.preferred.store(index, Ordering::Relaxed);
                    return serde_json::from_slice(&answer).map_err(protocol);
                }
                Some(Err(Failure::Refused(detail))) => return Err(StoreError::Protocol(detail)),
                Some(Err(Failure::NotRun | Failure::Unknown)) | None => (),
            }
        }
        Err(StoreError::Unavailable)
    }

    async fn write<T: DeserializeOwned>(
        &self,
        path: &str,
        request: &impl Serialize,
    ) -> Result<T, StoreError> {
        let body = encode(request)?;
        let time = self.options.write_time;
        for (index, address) in self.addresses() {
            let answer = match self.open(address, path, body.clone(), time).await {
                Ok(stream) => self.body(stream, time).await,
                Err(failure) => Err(failure),
            };
            match answer {
                Ok(answer) => {
                    self.preferred.store(index, Ordering::Relaxed);
                    // Status 200 means that the write was processed, even if the body cannot be
                    // decoded.
                    return serde_json::from_slice(&answer).map_err(|_| StoreError::Unknown);
                }
                Err(Failure::NotRun) => (),
                Err(Failure::Unknown) => return Err(StoreError::Unknown),
                Err(Failure::Refused(detail)) => return Err(StoreError::Protocol(detail)),
            }
        }
        Err(StoreError::Unavailable)
    }

    async fn watch_at(&self, address: SocketAddr, body: Vec<u8>) -> Result<Vec<Entry>, StoreError> {
        let opened = self.open(address, "/v3/watch", body, self.options.read_time).await;
        let mut stream = opened.map_err(|failure| match failure {
            Failure::Refused(detail) => StoreError::Protocol(detail),
            Failure::NotRun | Failure::Unknown => StoreError::Unavailable,
        })?;
        let limit = self.options.answer_limit.0;
        loop {
            let mut line = Vec::new();
            let read = (&mut stream).take(limit).read_until(b'\n', &mut line).await;
            if !read.is_ok_and(|n| n > 0) || line.len() as u64 == limit {
                return Err(StoreError::Unavailable);
            }
            let answer: wire::WatchResponse = serde_json::from_slice(&line).map_err(protocol)?;
            let result = answer.result;
            if result.compact_revision.0 > 0 {
                return Err(StoreError::Compacted(result.compact_revision.0));
            }
            if result.canceled {
                return Err(StoreError::Unavailable);
            }
            if !result.events.is_empty() {
                let events = result.events.into_iter().map(wire::Event::entry);
                return events.collect::<Result<_, _>>().map_err(StoreError::Protocol);
            }
        }
    }
}

fn encode(request: &impl Serialize) -> Result<Vec<u8>, StoreError> {
    serde_json::to_vec(request).map_err(protocol)
}

fn protocol(error: serde_json::Error) -> StoreError {
    StoreError::Protocol(error.to_string())
}

fn range_request(from: &str, prefix: bool, limit: u32) -> wire::RangeRequest {
    let range_end = if prefix { wire::prefix_end(from.as_bytes()) } else { wire::Bytes::default() };
    // etcd accepts an empty key as the lowest key only together with a range end, so a zero byte,
    // the lowest key, is sent instead.
    let key = if from.is_empty() { wire::Bytes(vec![0]) } else { from.into() };
    wire::RangeRequest { key, range_end, limit: Int64(limit.into()) }
}

fn request_op(put: Put) -> wire::RequestOp {
    let key = wire::Bytes(put.key.into_bytes());
    let Some(value) = put.value else {
        let request_delete_range = Some(wire::DeleteRequest { key });
        return wire::RequestOp { request_delete_range, ..Default::default() };
    };
    let lease = Int64(put.lease.map_or(0, |lease| lease.0));
    let request_put = Some(wire::PutRequest { key, value: wire::Bytes(value), lease });
    wire::RequestOp { request_put, ..Default::default() }
}

fn txn_request(compares: &[Compare], puts: Vec<Put>) -> wire::TxnRequest {
    let compare = compares.iter().map(|compare| wire::CompareRequest {
        result: "EQUAL".to_owned(),
        target: "MOD".to_owned(),
        key: compare.key.as_str().into(),
        mod_revision: Int64(compare.revision),
    });
    let failure = compares.iter().map(|compare| wire::RequestOp {
        request_range: Some(range_request(&compare.key, false, 0)),
        ..Default::default()
    });
    wire::TxnRequest {
        compare: compare.collect(),
        success: puts.into_iter().map(request_op).collect(),
        failure: failure.collect(),
    }
}

impl Store for HttpStore {
    fn range(&self, from: &str, prefix: bool, limit: u32) -> StoreFuture<'_, Vec<Entry>> {
        let request = range_request(from, prefix, limit);
        Box::pin(async move {
            let answer: wire::RangeResponse = self.read("/v3/kv/range", &request).await?;
            wire::entries(answer.kvs).map_err(StoreError::Protocol)
        })
    }

    fn swap(&self, compares: Vec<Compare>, puts: Vec<Put>) -> StoreFuture<'_, SwapResult> {
        Box::pin(async move {
            let request = txn_request(&compares, puts);
            let answer: wire::TxnResponse = self.write("/v3/kv/txn", &request).await?;
            if answer.succeeded {
                return Ok(SwapResult::Won(answer.header.revision.0));
            }
            let ranges = answer.responses.into_iter().filter_map(|op| op.response_range);
            let kvs = ranges.flat_map(|range| range.kvs).collect();
            wire::entries(kvs).map(SwapResult::Lost).map_err(StoreError::Protocol)
        })
    }

    fn lease(&self, ttl: Millis) -> StoreFuture<'_, LeaseId> {
        Box::pin(async move {
            let ttl = Int64(ttl.0.div_ceil(1_000).max(1));
            let request = wire::LeaseMessage { id: Int64(0), ttl };
            let answer: wire::LeaseMessage = self.write("/v3/lease/grant", &request).await?;
            if answer.id.0 == 0 { Err(StoreError::Unknown) } else { Ok(LeaseId(answer.id.0)) }
        })
    }

    fn keep_alive(&self, lease: LeaseId) -> StoreFuture<'_, bool> {
        Box::pin(async move {
            let request = wire::LeaseMessage { id: Int64(lease.0), ttl: Int64(0) };
            let answer: wire::KeepAliveResponse =
                self.write("/v3/lease/keepalive", &request).await?;
            Ok(answer.result.ttl.0 > 0)
        })
    }

    fn watch(&self, prefix: &str, from_revision: u64) -> StoreFuture<'_, Vec<Entry>> {
        let range = range_request(prefix, true, 0);
        Box::pin(async move {
            let create_request = wire::WatchCreate {
                key: range.key,
                range_end: range.range_end,
                start_revision: Int64(from_revision),
            };
            let body = encode(&wire::WatchRequest { create_request })?;
            for (index, address) in self.addresses() {
                let changes = self.watch_at(address, body.clone());
                match timeout(self.options.watch_time, changes).await {
                    None => return Ok(Vec::new()),
                    Some(Err(StoreError::Unavailable)) => (),
                    Some(result) => {
                        self.preferred.store(index, Ordering::Relaxed);
                        return result;
                    }
                }
            }
            Err(StoreError::Unavailable)
        })
    }
}
