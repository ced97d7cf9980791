//! Parsing of chat completion requests and of engine responses.

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

/// Length of the part of the first message that is hashed for prefix cache affinity.
const PREFIX_BYTES: usize = 256;

/// A validated chat completion request.
#[derive(Debug, Clone)]
pub struct ChatRequest {
    body: Map<String, Value>,
    /// The requested model.
    pub model: ModelId,
    /// Whether the response is streamed as server-sent events.
    pub stream: bool,
    /// The caller's limit on generated tokens, if given.
    pub max_tokens: Option<u64>,
    /// Upper bound on the tokens of the prompt: its bytes, since a token has at least one byte.
    pub prompt_tokens: Tokens,
    /// Hash of the beginning of the prompt.
    pub prefix_hash: u64,
}

impl ChatRequest {
    /// Parses a request body.
    ///
    /// # Errors
    /// [`Code::MalformedRequest`] for invalid JSON, [`Code::InvalidField`] for an invalid field,
    /// and [`Code::UnknownModel`] for a string that is not a valid model name.
    pub fn parse(bytes: &[u8]) -> Result<Self, Refusal> {
        let body: Value = serde_json::from_slice(bytes)
            .map_err(|error| Refusal::not_run(Code::MalformedRequest, error.to_string()))?;
        let Value::Object(body) = body else {
            return Err(Refusal::not_run(Code::MalformedRequest, "expected a JSON object"));
        };
        let model =
            body.get("model").and_then(Value::as_str).ok_or_else(|| invalid_field("model"))?;
        let model = model
            .parse()
            .map_err(|_| Refusal::not_run(Code::UnknownModel, "not a valid model name"))?;
        let stream = match body.get("stream") {
            None | Some(Value::Null) => false,
            Some(Value::Bool(stream)) => *stream,
            Some(_) => return Err(invalid_field("stream")),
        };
        let max_tokens = match body.get("max_tokens") {
            None | Some(Value::Null) => None,
            Some(value) => {
                let limit = value
                    .as_u64()
                    .filter(|limit| *limit > 0)
                    .ok_or_else(|| invalid_field("max_tokens"))?;
                Some(limit)
            }
        };
        let Some(Value::Array(messages)) = body.get("messages") else {
            return Err(invalid_field("messages"));
        };
        if messages.is_empty() || !messages.iter().all(Value::is_object) {
            return Err(invalid_field("messages"));
        }
        let prompt_tokens = Tokens(messages.iter().map(content_bytes).sum());
        let first_content = messages[0].get("content").map(Value::to_string).unwrap_or_default();
        let prefix_hash =
            stable_hash(&[first_content.get(..PREFIX_BYTES).unwrap_or(&first_content)]);
        Ok(Self { model, stream, max_tokens, prompt_tokens, prefix_hash, body })
    }

    /// Returns the body to send to an engine, with `max_tokens` and the priority of `rank` set. For
    /// a stream it requests a usage report.
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

fn invalid_field(field: &str) -> Refusal {
    let expected = match field {
        "model" => "a model name",
        "stream" => "true or false",
        "max_tokens" => "a positive integer",
        _ => "a non-empty array of objects",
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

/// An event of a streamed engine response, or a complete response.
#[derive(Debug, Clone, Default)]
pub struct EngineEvent {
    /// The request id that the engine reports.
    pub id: Option<String>,
    /// Whether the event carries generated text.
    pub has_content: bool,
    /// Sequence number of the event, if the engine numbers events.
    pub sequence: Option<u64>,
    /// Total token usage, reported in the last event.
    pub usage: Option<Tokens>,
}

impl EngineEvent {
    /// Parses the fields that the router checks. Returns `None` if `data` is not a JSON object.
    pub fn parse(data: &str) -> Option<Self> {
        let value: Value = serde_json::from_str(data).ok()?;
        let object = value.as_object()?;
        let choice = object.get("choices").and_then(|choices| choices.get(0));
        let content = choice.and_then(|choice| choice.pointer("/delta/content"));
        Some(Self {
            id: object.get("id").and_then(Value::as_str).map(str::to_owned),
            has_content: content.and_then(Value::as_str).is_some_and(|text| !text.is_empty()),
            sequence: object.get("sequence").and_then(Value::as_u64),
            usage: object
                .get("usage")
                .and_then(|usage| usage.get("total_tokens"))
                .and_then(Value::as_u64)
                .map(Tokens),
        })
    }

    /// Returns whether the event belongs to `request`. False for an event without an id.
    pub fn belongs_to(&self, request: &RequestId) -> bool {
        self.id.as_deref() == Some(request.as_str())
    }
}
