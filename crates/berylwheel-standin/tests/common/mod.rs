//! A test client and requests for the stand-ins.

#![allow(dead_code, reason = "each test file uses only some of the helpers")]

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

/// Timeout of calls, long enough that no expected response exceeds it.
const CALL_TIMEOUT: Millis = Millis(60_000);

/// Returns a loopback address whose port the operating system chooses.
pub fn any_port() -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, 0))
}

/// Runs `test` on an executor that also runs the stand-ins.
pub fn run<F: Future>(test: impl FnOnce(Arc<Executor<'static>>) -> F) -> F::Output {
    let executor = Arc::new(Executor::new());
    future::block_on(executor.run(test(executor.clone())))
}

/// An HTTP client for one stand-in.
#[derive(Clone)]
pub struct StandinClient {
    pub address: SocketAddr,
    pub http: Client,
}

impl StandinClient {
    pub fn new(address: SocketAddr) -> Self {
        Self { address, http: Client::default() }
    }

    pub async fn call(&self, outgoing: &OutgoingRequest) -> Result<(u16, Value), ClientError> {
        let (response, bytes) =
            self.http.fetch(self.address, outgoing, 1 << 20, CALL_TIMEOUT).await?;
        let body = serde_json::from_slice(&bytes).unwrap_or(Value::Null);
        Ok((response.status().into(), body))
    }

    pub async fn get(&self, path: &str) -> Value {
        self.call(&OutgoingRequest::new(Method::Get, path))
            .await
            .expect("the call returns a response")
            .1
    }

    pub async fn post(&self, path: &str, body: Value) -> (u16, Value) {
        let outgoing = OutgoingRequest::new(Method::Post, path).body(body.to_string());
        self.call(&outgoing).await.expect("the call returns a response")
    }

    pub async fn set_faults(&self, faults: Value) {
        assert_eq!(self.post("/faults", faults).await.0, 200);
    }

    /// Sends a streamed request. Returns its events and whether the stream ended with an error.
    pub async fn events(&self, outgoing: &OutgoingRequest) -> (Vec<String>, bool) {
        let (_, stream) =
            self.http.send(self.address, outgoing).await.expect("the call returns a response head");
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

/// Returns a chat request with a prompt of two words.
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

/// Returns a request that resumes the stream of request `id` at token `from`.
pub fn resume(id: &str, from: u64) -> OutgoingRequest {
    chat(id, 0, true).header("x-resume-from", from.to_string())
}

/// Returns the concatenated text of the events. Panics if an event has an id other than `id`.
pub fn text(id: &str, events: &[String]) -> String {
    let parsed = events.iter().filter_map(|event| serde_json::from_str::<Value>(event).ok());
    let parts = parsed.map(|event| {
        assert_eq!(event["id"], id, "{event}");
        event["choices"][0]["delta"]["content"].as_str().unwrap_or("").to_owned()
    });
    parts.collect()
}
