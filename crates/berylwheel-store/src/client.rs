//! A client for the JSON gateway of etcd v3.

use std::net::SocketAddr;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;

use berylwheel_http::Client;
use berylwheel_http::ClientError;
use berylwheel_http::OutgoingRequest;
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
const CODE_RESOURCE_EXHAUSTED: u32 = 8;

/// The addresses, timeouts and size limit of an [`HttpStore`].
#[derive(Debug, Clone)]
pub struct StoreOptions {
    /// The addresses of the store's members.
    pub addresses: Vec<SocketAddr>,
    /// Timeout of a read at one address, and of opening a watch.
    pub read_timeout: Millis,
    /// Timeout for the head of a write's response, and again for its body.
    pub write_timeout: Millis,
    /// How long a watch waits for a change before it returns an empty list.
    pub watch_timeout: Millis,
    /// Maximum size of a response.
    pub response_limit: ByteSize,
}

impl StoreOptions {
    /// Creates options with the default timeouts and size limit for a store at `addresses`.
    pub fn new(addresses: Vec<SocketAddr>) -> Self {
        Self {
            addresses,
            read_timeout: Millis(1_000),
            write_timeout: Millis(2_000),
            watch_timeout: Millis(60_000),
            response_limit: ByteSize(32 << 20),
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
enum AttemptError {
    /// The request had no effect.
    NotApplied,
    /// A write may have taken effect.
    Unknown,
    /// The store rejected the request.
    Rejected(String),
}

impl From<ClientError> for AttemptError {
    fn from(error: ClientError) -> Self {
        log::debug!(error:% = error; "request to the store failed");
        if error.sent { Self::Unknown } else { Self::NotApplied }
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

    fn address_order(&self) -> impl Iterator<Item = (usize, SocketAddr)> {
        let addresses = &self.options.addresses;
        let start = self.preferred.load(Ordering::Relaxed);
        (0..addresses.len()).map(move |i| (start + i) % addresses.len()).map(|i| (i, addresses[i]))
    }

    async fn send_request(
        &self,
        address: SocketAddr,
        path: &str,
        body: Vec<u8>,
        time_limit: Millis,
    ) -> Result<ResponseStream, AttemptError> {
        let mut outgoing = OutgoingRequest::new(Method::Post, path)
            .header("content-type", "application/json")
            .body(body);
        outgoing.head_timeout = time_limit;
        let (response, stream) = self.client.send(address, &outgoing).await?;
        if response.status() == 200 {
            return Ok(stream);
        }
        let text = self.read_body(stream, time_limit).await.unwrap_or_default();
        let error: wire::ErrorResponse = serde_json::from_slice(&text).unwrap_or_default();
        let detail = format!("status {}: {}", response.status(), error.message);
        log::debug!(detail:% = detail; "store returned an error status");
        let not_proposed = error.code == CODE_RESOURCE_EXHAUSTED
            || error.code == CODE_UNAVAILABLE && error.message == "etcdserver: no leader";
        match response.status().into() {
            _ if not_proposed => Err(AttemptError::NotApplied),
            400..=499u16 => Err(AttemptError::Rejected(detail)),
            // The leader may change or time out after the write was proposed.
            _ => Err(AttemptError::Unknown),
        }
    }

    async fn read_body(
        &self,
        stream: ResponseStream,
        time_limit: Millis,
    ) -> Result<Vec<u8>, AttemptError> {
        let limit = self.options.response_limit.0;
        let mut bytes = Vec::new();
        let mut bounded = stream.take(limit + 1);
        match timeout(time_limit, bounded.read_to_end(&mut bytes)).await {
            Some(Ok(n)) if n as u64 <= limit => Ok(bytes),
            _ => Err(AttemptError::Unknown),
        }
    }

    async fn send_read<T: DeserializeOwned>(
        &self,
        path: &str,
        request: &impl Serialize,
    ) -> Result<T, StoreError> {
        let body = encode(request)?;
        for (index, address) in self.address_order() {
            let time_limit = self.options.read_timeout;
            let response = async {
                let stream = self.send_request(address, path, body.clone(), time_limit).await?;
                self.read_body(stream, time_limit).await
            };
            match timeout(time_limit, response).await {
                Some(Ok(response)) => {
                    self.preferred.store(index, Ordering::Relaxed);
                    return serde_json::from_slice(&response).map_err(protocol_error);
                }
                Some(Err(AttemptError::Rejected(detail))) => {
                    return Err(StoreError::Protocol(detail));
                }
                Some(Err(AttemptError::NotApplied | AttemptError::Unknown)) | None => (),
            }
        }
        Err(StoreError::Unavailable)
    }

    async fn send_write<T: DeserializeOwned>(
        &self,
        path: &str,
        request: &impl Serialize,
    ) -> Result<T, StoreError> {
        let body = encode(request)?;
        let time_limit = self.options.write_timeout;
        for (index, address) in self.address_order() {
            let response = match self.send_request(address, path, body.clone(), time_limit).await {
                Ok(stream) => self.read_body(stream, time_limit).await,
                Err(error) => Err(error),
            };
            match response {
                Ok(response) => {
                    self.preferred.store(index, Ordering::Relaxed);
                    // Status 200 means that the write was processed, even if the body cannot be
                    // decoded.
                    return serde_json::from_slice(&response).map_err(|_| StoreError::Unknown);
                }
                Err(AttemptError::NotApplied) => (),
                Err(AttemptError::Unknown) => return Err(StoreError::Unknown),
                Err(AttemptError::Rejected(detail)) => return Err(StoreError::Protocol(detail)),
            }
        }
        Err(StoreError::Unavailable)
    }

    async fn watch_at(&self, address: SocketAddr, body: Vec<u8>) -> Result<Vec<Entry>, StoreError> {
        let sent = self.send_request(address, "/v3/watch", body, self.options.read_timeout).await;
        let mut stream = sent.map_err(|error| match error {
            AttemptError::Rejected(detail) => StoreError::Protocol(detail),
            AttemptError::NotApplied | AttemptError::Unknown => StoreError::Unavailable,
        })?;
        let limit = self.options.response_limit.0;
        loop {
            let mut line = Vec::new();
            let read = (&mut stream).take(limit).read_until(b'\n', &mut line).await;
            if !read.is_ok_and(|n| n > 0) || line.len() as u64 == limit {
                return Err(StoreError::Unavailable);
            }
            let response: wire::WatchResponse =
                serde_json::from_slice(&line).map_err(protocol_error)?;
            let result = response.result;
            if result.compact_revision.0 > 0 {
                return Err(StoreError::Compacted(result.compact_revision.0));
            }
            if result.canceled {
                return Err(StoreError::Unavailable);
            }
            if !result.events.is_empty() {
                let events = result.events.into_iter().map(wire::Event::into_entry);
                return events.collect::<Result<_, _>>().map_err(StoreError::Protocol);
            }
        }
    }
}

fn encode(request: &impl Serialize) -> Result<Vec<u8>, StoreError> {
    serde_json::to_vec(request).map_err(protocol_error)
}

fn protocol_error(error: serde_json::Error) -> StoreError {
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
            let response: wire::RangeResponse = self.send_read("/v3/kv/range", &request).await?;
            wire::entries(response.kvs).map_err(StoreError::Protocol)
        })
    }

    fn swap(&self, compares: Vec<Compare>, puts: Vec<Put>) -> StoreFuture<'_, SwapResult> {
        Box::pin(async move {
            let request = txn_request(&compares, puts);
            let response: wire::TxnResponse = self.send_write("/v3/kv/txn", &request).await?;
            if response.succeeded {
                return Ok(SwapResult::Committed(response.header.revision.0));
            }
            let ranges = response.responses.into_iter().filter_map(|op| op.response_range);
            let kvs = ranges.flat_map(|range| range.kvs).collect();
            wire::entries(kvs).map(SwapResult::Conflict).map_err(StoreError::Protocol)
        })
    }

    fn grant_lease(&self, ttl: Millis) -> StoreFuture<'_, LeaseId> {
        Box::pin(async move {
            let ttl = Int64(ttl.0.div_ceil(1_000).max(1));
            let request = wire::LeaseMessage { id: Int64(0), ttl };
            let response: wire::LeaseMessage = self.send_write("/v3/lease/grant", &request).await?;
            if response.id.0 == 0 { Err(StoreError::Unknown) } else { Ok(LeaseId(response.id.0)) }
        })
    }

    fn keep_alive(&self, lease: LeaseId) -> StoreFuture<'_, bool> {
        Box::pin(async move {
            let request = wire::LeaseMessage { id: Int64(lease.0), ttl: Int64(0) };
            let response: wire::KeepAliveResponse =
                self.send_write("/v3/lease/keepalive", &request).await?;
            Ok(response.result.ttl.0 > 0)
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
            for (index, address) in self.address_order() {
                let changes = self.watch_at(address, body.clone());
                match timeout(self.options.watch_timeout, changes).await {
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
