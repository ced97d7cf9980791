//! Reading and rewriting chat-completions requests.

use berylwheel_types::Code;
use berylwheel_types::ModelId;
use berylwheel_types::Rank;
use berylwheel_types::Refusal;
use berylwheel_types::RequestId;
use berylwheel_types::Tokens;
use berylwheel_types::stable_hash;
use serde_json::Map;
use serde_json::Value;
use serde_json::json;

/// Bytes of the first message that decide which server's prefix cache fits best.
const PREFIX_BYTES: usize = 256;

/// A chat-completions request within its bounds.
#[derive(Debug, Clone)]
pub struct ChatRequest {
    body: Map<String, Value>,
    /// The model that the caller named.
    pub model: ModelId,
    /// Whether the caller wants server-sent events.
    pub stream: bool,
    /// The caller's bound on generated tokens, if given.
    pub max_tokens: Option<u64>,
    /// An upper bound of the prompt's tokens: a token has at least one byte.
    pub prompt: Tokens,
    /// Hash of the start of the prompt.
    pub prefix: u64,
}

impl ChatRequest {
    /// Reads a request body.
    ///
    /// # Errors
    /// [`Code::MalformedRequest`] for bad JSON, [`Code::InvalidField`] for a field out of bounds,
    /// [`Code::UnknownModel`] for a model name that cannot exist.
    pub fn parse(bytes: &[u8]) -> Result<Self, Refusal> {
        let body: Value = serde_json::from_slice(bytes)
            .map_err(|error| Refusal::not_run(Code::MalformedRequest, error.to_string()))?;
        let Value::Object(body) = body else {
            return Err(Refusal::not_run(Code::MalformedRequest, "expected a JSON object"));
        };
        let model = body.get("model").and_then(Value::as_str).ok_or_else(|| invalid("model"))?;
        let model = model
            .parse()
            .map_err(|_| Refusal::not_run(Code::UnknownModel, "the name is not a model's"))?;
        let stream = match body.get("stream") {
            None | Some(Value::Null) => false,
            Some(Value::Bool(stream)) => *stream,
            Some(_) => return Err(invalid("stream")),
        };
        let max_tokens = match body.get("max_tokens") {
            None | Some(Value::Null) => None,
            Some(value) => {
                let n = value.as_u64().filter(|n| *n > 0).ok_or_else(|| invalid("max_tokens"))?;
                Some(n)
            }
        };
        let Some(Value::Array(messages)) = body.get("messages") else {
            return Err(invalid("messages"));
        };
        if messages.is_empty() || !messages.iter().all(Value::is_object) {
            return Err(invalid("messages"));
        }
        let prompt = Tokens(messages.iter().map(content_bytes).sum());
        let first = messages[0].get("content").map(Value::to_string).unwrap_or_default();
        let prefix = stable_hash(&[first.get(..PREFIX_BYTES).unwrap_or(&first)]);
        Ok(Self { model, stream, max_tokens, prompt, prefix, body })
    }

    /// Returns the body for an engine: bounded, with the priority of `rank`, and usage asked for.
    pub fn engine_body(&self, max_tokens: u64, rank: Rank) -> Vec<u8> {
        let mut body = self.body.clone();
        body.insert("max_tokens".to_owned(), json!(max_tokens));
        body.insert("priority".to_owned(), json!(rank.index()));
        if self.stream {
            body.insert("stream_options".to_owned(), json!({ "include_usage": true }));
        }
        Value::Object(body).to_string().into_bytes()
    }
}

fn invalid(field: &str) -> Refusal {
    let expected = match field {
        "model" => "the name of a model",
        "stream" => "true or false",
        "max_tokens" => "a whole number of at least 1",
        _ => "a list of at least one message",
    };
    Refusal::not_run(Code::InvalidField, format!("{field}: expected {expected}"))
}

fn content_bytes(message: &Value) -> u64 {
    match message.get("content") {
        Some(Value::String(text)) => text.len() as u64,
        Some(value) => value.to_string().len() as u64,
        None => 0,
    }
}

/// One event or answer of an engine.
#[derive(Debug, Clone, Default)]
pub struct EngineEvent {
    /// The request id that the engine gives.
    pub id: Option<String>,
    /// Whether the event carries generated text.
    pub content: bool,
    /// Position of the event in its answer, if the engine numbers events.
    pub sequence: Option<u64>,
    /// Total usage, in the last event.
    pub usage: Option<Tokens>,
}

impl EngineEvent {
    /// Reads the parts that the router checks, or `None` if it is not a JSON object.
    pub fn parse(data: &str) -> Option<Self> {
        let value: Value = serde_json::from_str(data).ok()?;
        let object = value.as_object()?;
        let choice = object.get("choices").and_then(|choices| choices.get(0));
        let text = choice.and_then(|choice| choice.pointer("/delta/content"));
        Some(Self {
            id: object.get("id").and_then(Value::as_str).map(str::to_owned),
            content: text.and_then(Value::as_str).is_some_and(|text| !text.is_empty()),
            sequence: object.get("sequence").and_then(Value::as_u64),
            usage: object
                .get("usage")
                .and_then(|usage| usage.get("total_tokens"))
                .and_then(Value::as_u64)
                .map(Tokens),
        })
    }

    /// Returns whether the event belongs to `request`. An event without an id does not.
    pub fn is_for(&self, request: &RequestId) -> bool {
        self.id.as_deref() == Some(request.as_str())
    }
}
