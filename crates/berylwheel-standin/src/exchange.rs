//! Reading requests and building answers.

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

/// Returns an answer with a JSON body.
pub(crate) fn answer(status: u16, body: &impl Serialize) -> Response {
    let text = serde_json::to_vec(body).expect("answers are plain data");
    let mut response = Response::new(status);
    response.set_body(text);
    response.insert_header("content-type", "application/json");
    response
}

/// Returns an answer that names what is wrong.
pub(crate) fn error(status: u16, message: &str) -> Response {
    answer(status, &json!({ "error": { "message": message } }))
}

/// Why a stand-in refuses a call.
#[derive(Debug)]
pub(crate) struct Rejection {
    status: u16,
    body: Value,
}

impl Rejection {
    /// Returns the rejection that names what is wrong.
    pub(crate) fn new(status: u16, message: &str) -> Self {
        Self { status, body: json!({ "error": { "message": message } }) }
    }

    /// Adds a member to the body.
    #[must_use]
    pub(crate) fn with(mut self, name: &str, value: impl Into<Value>) -> Self {
        self.body[name] = value.into();
        self
    }

    /// Returns the answer to send.
    pub(crate) fn response(&self) -> Response {
        answer(self.status, &self.body)
    }
}

/// Returns the answer of a handler that may refuse.
pub(crate) fn settle(result: Result<Response, Rejection>) -> Answer {
    Some(result.unwrap_or_else(|rejection| rejection.response()))
}

/// Reads the body of a request.
pub(crate) async fn body(request: &mut Request) -> Result<Vec<u8>, Rejection> {
    let body = read_body(request.take_body(), BODY_LIMIT, BODY_TIME).await;
    body.map_err(|refusal| Rejection::new(refusal.code.status(), &refusal.to_string()))
}

/// Reads the JSON body of a request.
pub(crate) async fn json_body<T: DeserializeOwned>(request: &mut Request) -> Result<T, Rejection> {
    decode(&body(request).await?)
}

/// Decodes JSON.
pub(crate) fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, Rejection> {
    serde_json::from_slice(bytes).map_err(|failure| Rejection::new(400, &failure.to_string()))
}

/// Returns the value of a header.
pub(crate) fn header(request: &Request, name: &str) -> Option<String> {
    request.header(name).map(|values| values.last().as_str().to_owned())
}

/// Returns the value of a parameter of the query.
pub(crate) fn query(request: &Request, name: &str) -> Option<String> {
    let mut pairs = request.url().query_pairs();
    pairs.find(|(key, _)| key == name).map(|(_, value)| value.into_owned())
}

/// Returns `faults` with the members of `order` replaced; `"clear": true` first resets all.
pub(crate) fn merge<F>(faults: &F, order: &Value) -> Result<F, Rejection>
where
    F: Serialize + DeserializeOwned + Default,
{
    let Some(order) = order.as_object() else {
        return Err(Rejection::new(400, "expected an object"));
    };
    let clear = order.get("clear").and_then(Value::as_bool).unwrap_or(false);
    let start =
        if clear { serde_json::to_value(F::default()) } else { serde_json::to_value(faults) };
    let mut merged = start.expect("faults are plain data");
    for (name, value) in order.iter().filter(|(name, _)| *name != "clear") {
        merged[name.as_str()] = value.clone();
    }
    serde_json::from_value(merged).map_err(|failure| Rejection::new(400, &failure.to_string()))
}
