//! Helpers to read HTTP requests and build JSON responses.

use berylwheel_http::read_body;
use berylwheel_types::ByteSize;
use berylwheel_types::Millis;
use http_types::Request;
use http_types::Response;
use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::Value;
use serde_json::json;

use crate::server::Answer;

const BODY_LIMIT: ByteSize = ByteSize(16 << 20);
const BODY_TIME: Millis = Millis(60_000);

/// Returns a response with a JSON body.
pub(crate) fn answer(status: u16, body: &impl Serialize) -> Response {
    let text = serde_json::to_vec(body).expect("the response body serializes to JSON");
    let mut response = Response::new(status);
    response.set_body(text);
    response.insert_header("content-type", "application/json");
    response
}

/// Returns an error response with `message` in its body.
pub(crate) fn error(status: u16, message: &str) -> Response {
    answer(status, &json!({ "error": { "message": message } }))
}

/// The status and JSON body of an error response.
#[derive(Debug)]
pub(crate) struct Rejection {
    status: u16,
    body: Value,
}

impl Rejection {
    /// Creates a rejection with `message` in its body.
    pub(crate) fn new(status: u16, message: &str) -> Self {
        Self { status, body: json!({ "error": { "message": message } }) }
    }

    /// Adds a field to the JSON body.
    #[must_use]
    pub(crate) fn with(mut self, name: &str, value: impl Into<Value>) -> Self {
        self.body[name] = value.into();
        self
    }

    /// Converts the rejection to an HTTP response.
    pub(crate) fn response(&self) -> Response {
        answer(self.status, &self.body)
    }
}

/// Converts the result of a handler to the response to send.
pub(crate) fn settle(result: Result<Response, Rejection>) -> Answer {
    Some(result.unwrap_or_else(|rejection| rejection.response()))
}

/// Reads the request body within the size and time limits.
pub(crate) async fn body(request: &mut Request) -> Result<Vec<u8>, Rejection> {
    let body = read_body(request.take_body(), BODY_LIMIT, BODY_TIME).await;
    body.map_err(|refusal| Rejection::new(refusal.code.status(), &refusal.to_string()))
}

/// Reads the request body and parses it as JSON.
pub(crate) async fn json_body<T: DeserializeOwned>(request: &mut Request) -> Result<T, Rejection> {
    decode(&body(request).await?)
}

/// Parses JSON; invalid input is rejected with status 400.
pub(crate) fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, Rejection> {
    serde_json::from_slice(bytes).map_err(|failure| Rejection::new(400, &failure.to_string()))
}

/// Returns the last value of a header.
pub(crate) fn header(request: &Request, name: &str) -> Option<String> {
    request.header(name).map(|values| values.last().as_str().to_owned())
}

/// Returns the first value of a query parameter.
pub(crate) fn query(request: &Request, name: &str) -> Option<String> {
    let mut pairs = request.url().query_pairs();
    pairs.find(|(key, _)| key == name).map(|(_, value)| value.into_owned())
}

/// Returns `faults` with the fields in `order` replaced. With `"clear": true`, all other fields are
/// reset to their defaults.
pub(crate) fn merge<F>(faults: &F, order: &Value) -> Result<F, Rejection>
where
    F: Serialize + DeserializeOwned + Default,
{
    let Some(order) = order.as_object() else {
        return Err(Rejection::new(400, "expected a JSON object"));
    };
    let clear = order.get("clear").and_then(Value::as_bool).unwrap_or(false);
    let start =
        if clear { serde_json::to_value(F::default()) } else { serde_json::to_value(faults) };
    let mut merged = start.expect("faults serialize to JSON");
    for (name, value) in order.iter().filter(|(name, _)| *name != "clear") {
        merged[name.as_str()] = value.clone();
    }
    serde_json::from_value(merged).map_err(|failure| Rejection::new(400, &failure.to_string()))
}
