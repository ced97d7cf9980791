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

use crate::server::MaybeResponse;

const MAX_BODY: ByteSize = ByteSize(16 << 20);
const BODY_TIMEOUT: Millis = Millis(60_000);

/// Returns a response with a JSON body.
pub(crate) fn json_response(status: u16, body: &impl Serialize) -> Response {
    let bytes = serde_json::to_vec(body).expect("the response body serializes to JSON");
    let mut response = Response::new(status);
    response.set_body(bytes);
    response.insert_header("content-type", "application/json");
    response
}

/// Returns an error response with `message` in its body.
pub(crate) fn error_response(status: u16, message: &str) -> Response {
    json_response(status, &json!({ "error": { "message": message } }))
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
    pub(crate) fn with_field(mut self, name: &str, value: impl Into<Value>) -> Self {
        self.body[name] = value.into();
        self
    }

    /// Converts the rejection to an HTTP response.
    pub(crate) fn to_response(&self) -> Response {
        json_response(self.status, &self.body)
    }
}

/// Converts the result of a handler to the response to send.
pub(crate) fn respond(result: Result<Response, Rejection>) -> MaybeResponse {
    Some(result.unwrap_or_else(|rejection| rejection.to_response()))
}

/// Reads the request body within the size and time limits.
pub(crate) async fn request_body(request: &mut Request) -> Result<Vec<u8>, Rejection> {
    let body = read_body(request.take_body(), MAX_BODY, BODY_TIMEOUT).await;
    body.map_err(|refusal| Rejection::new(refusal.code.status(), &refusal.to_string()))
}

/// Reads the request body and parses it as JSON.
pub(crate) async fn json_body<T: DeserializeOwned>(request: &mut Request) -> Result<T, Rejection> {
    parse_json(&request_body(request).await?)
}

/// Parses JSON; invalid input is rejected with status 400.
pub(crate) fn parse_json<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, Rejection> {
    serde_json::from_slice(bytes).map_err(|error| Rejection::new(400, &error.to_string()))
}

/// Returns the last value of a header.
pub(crate) fn header(request: &Request, name: &str) -> Option<String> {
    request.header(name).map(|values| values.last().as_str().to_owned())
}

/// Returns the first value of a query parameter.
pub(crate) fn query_parameter(request: &Request, name: &str) -> Option<String> {
    let mut pairs = request.url().query_pairs();
    pairs.find(|(key, _)| key == name).map(|(_, value)| value.into_owned())
}

/// Returns `faults` with the fields in `changes` replaced. With `"clear": true`, all other fields
/// are reset to their defaults.
pub(crate) fn merge_faults<F>(faults: &F, changes: &Value) -> Result<F, Rejection>
where
    F: Serialize + DeserializeOwned + Default,
{
    let Some(changes) = changes.as_object() else {
        return Err(Rejection::new(400, "expected a JSON object"));
    };
    let clear = changes.get("clear").and_then(Value::as_bool).unwrap_or(false);
    let base =
        if clear { serde_json::to_value(F::default()) } else { serde_json::to_value(faults) };
    let mut merged = base.expect("faults serialize to JSON");
    for (name, value) in changes.iter().filter(|(name, _)| *name != "clear") {
        merged[name.as_str()] = value.clone();
    }
    serde_json::from_value(merged).map_err(|error| Rejection::new(400, &error.to_string()))
}
