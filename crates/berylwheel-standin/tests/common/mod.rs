//! A stand-in under test and a client for it.

#![allow(dead_code, reason = "each test file uses a part")]

use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::sync::Arc;

use async_executor::Executor;
use berylwheel_http::Client;
use berylwheel_http::ClientError;
use berylwheel_http::EventReader;
use berylwheel_http::OutgoingRequest;
use berylwheel_types::Millis;
use futures_lite::future;
use http_types::Method;
use serde_json::Value;
use serde_json::json;

/// Long enough for any answer that is to come.
const AMPLE: Millis = Millis(60_000);

/// The address that lets the system choose a port.
pub fn any_port() -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, 0))
}

/// Runs `test` with an executor that serves the stand-ins.
pub fn run<F: Future>(test: impl FnOnce(Arc<Executor<'static>>) -> F) -> F::Output {
    let executor = Arc::new(Executor::new());
    future::block_on(executor.run(test(executor.clone())))
}

/// A peer with a client of its own.
#[derive(Clone)]
pub struct Peer {
    pub address: SocketAddr,
    pub client: Client,
}

impl Peer {
    pub fn new(address: SocketAddr) -> Self {
        Self { address, client: Client::default() }
    }

    pub async fn call(&self, outgoing: &OutgoingRequest) -> Result<(u16, Value), ClientError> {
        let (response, bytes) = self.client.fetch(self.address, outgoing, 1 << 20, AMPLE).await?;
        let body = serde_json::from_slice(&bytes).unwrap_or(Value::Null);
        Ok((response.status().into(), body))
    }

    pub async fn get(&self, path: &str) -> Value {
        self.call(&OutgoingRequest::new(Method::Get, path)).await.expect("an answer").1
    }

    pub async fn post(&self, path: &str, body: Value) -> (u16, Value) {
        let outgoing = OutgoingRequest::new(Method::Post, path).body(body.to_string());
        self.call(&outgoing).await.expect("an answer")
    }

    pub async fn order(&self, faults: Value) {
        assert_eq!(self.post("/faults", faults).await.0, 200);
    }

    /// Sends a streamed request and returns its events, and whether the stream broke.
    pub async fn events(&self, outgoing: &OutgoingRequest) -> (Vec<String>, bool) {
        let (_, stream) = self.client.send(self.address, outgoing).await.expect("a head");
        let mut reader = EventReader::new(stream);
        let mut events = Vec::new();
        loop {
            match reader.next().await {
                Ok(Some(event)) => events.push(event),
                Ok(None) => return (events, false),
                Err(_) => return (events, true),
            }
        }
    }
}

/// Returns a chat request with two words of prompt.
pub fn chat(id: &str, tokens: u64, stream: bool) -> OutgoingRequest {
    let body = json!({
        "model": "m",
        "messages": [{ "role": "user", "content": "two words" }],
        "max_tokens": tokens,
        "stream": stream,
    });
    OutgoingRequest::new(Method::Post, "/v1/chat/completions")
        .header("x-request-id", id)
        .body(body.to_string())
}

/// Returns the request again, from token `from` on.
pub fn resume(id: &str, from: u64) -> OutgoingRequest {
    chat(id, 0, true).header("x-resume-from", from.to_string())
}

/// Returns the text of the events, which must all carry the id `id`.
pub fn text(id: &str, events: &[String]) -> String {
    let parsed = events.iter().filter_map(|event| serde_json::from_str::<Value>(event).ok());
    let parts = parsed.map(|event| {
        assert_eq!(event["id"], id, "{event}");
        event["choices"][0]["delta"]["content"].as_str().unwrap_or("").to_owned()
    });
    parts.collect()
}
