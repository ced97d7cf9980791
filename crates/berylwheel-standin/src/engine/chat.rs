//! The chat completions endpoint.

use std::io;
use std::sync::Arc;

use async_executor::Executor;
use berylwheel_http::BodySender;
use berylwheel_http::channel_body;
use berylwheel_http::encode_event;
use berylwheel_types::stable_hash;
use futures_lite::future;
use http_types::Request;
use http_types::Response;
use serde::Deserialize;
use serde_json::Value;
use serde_json::json;

use super::EngineFaults;
use super::generate::GenerationJob;
use super::generate::Progress;
use super::generate::generate;
use super::generate::wait_for_progress;
use super::record::RequestRecord;
use super::state::Engine;
use crate::http;
use crate::http::header;
use crate::server::MaybeResponse;

/// Number of tokens generated if a request does not set `max_tokens`.
const DEFAULT_MAX_TOKENS: u64 = 16;

#[derive(Deserialize)]
struct ChatRequest {
    #[serde(default)]
    model: String,
    messages: Vec<Message>,
    max_tokens: Option<u64>,
    #[serde(default)]
    stream: bool,
    #[serde(default)]
    priority: u64,
}

#[derive(Deserialize)]
struct Message {
    #[serde(default)]
    content: Value,
}

impl ChatRequest {
    fn text(&self) -> String {
        let parts = self.messages.iter().map(|message| match &message.content {
            Value::String(text) => text.clone(),
            other => other.to_string(),
        });
        parts.collect::<Vec<_>>().join(" ")
    }
}

/// Handles `POST /v1/chat/completions`.
pub(crate) async fn complete_chat(
    engine: Arc<Engine>,
    executor: Arc<Executor<'static>>,
    mut request: Request,
) -> MaybeResponse {
    let chat: ChatRequest = match http::json_body(&mut request).await {
        Ok(chat) => chat,
        Err(rejection) => return Some(rejection.to_response()),
    };
    let faults = engine.with_state(|state| state.faults.for_next_request());
    if faults.hang {
        future::pending::<()>().await;
    }
    if let Some(response) = check_request(&engine, &chat, &faults) {
        return Some(response);
    }
    let number = engine.with_state(|state| {
        state.request_count += 1;
        state.request_count
    });
    let id = header(&request, "x-request-id").unwrap_or_else(|| format!("engine-{number}"));
    let resume = header(&request, "x-resume-from").map(|n| n.parse::<u64>());
    let from = match resume {
        Some(Err(_)) => return Some(http::error_response(400, "X-Resume-From is not a number")),
        Some(Ok(from)) if !engine.with_state(|state| state.records.contains_key(&id)) => {
            return Some(http::error_response(
                404,
                &format!("cannot resume request {id} at token {from}: no such request"),
            ));
        }
        Some(Ok(from)) => from,
        None => {
            let Some(job) = register(&engine, &request, &chat, &faults, &id) else {
                return Some(http::error_response(409, &format!("request id {id} already exists")));
            };
            let generation = generate(engine.clone(), job);
            if faults.first_token_ms == 0 && faults.token_interval_ms == 0 && !chat.stream {
                generation.await;
            } else {
                executor.spawn(generation).detach();
            }
            0
        }
    };
    let chat_response = ChatResponse { engine, id, model: chat.model, faults };
    if !chat.stream {
        return chat_response.into_response(from).await;
    }
    let (sender, body) = channel_body();
    executor.spawn(chat_response.send_events(from, sender)).detach();
    let mut response = Response::new(200);
    response.set_body(body);
    response.insert_header("content-type", "text/event-stream");
    Some(response)
}

fn check_request(engine: &Engine, chat: &ChatRequest, faults: &EngineFaults) -> Option<Response> {
    if faults.status > 0 {
        return Some(http::error_response(faults.status, "ordered"));
    }
    if faults.draining {
        let body = json!({ "error": { "message": "draining" }, "draining": true });
        let mut response = http::json_response(503, &body);
        response.insert_header("x-draining", "true");
        return Some(response);
    }
    let known = |models: &Vec<String>| models.is_empty() || models.contains(&chat.model);
    if !engine.with_state(|state| known(&state.models)) {
        return Some(http::error_response(404, "model not loaded"));
    }
    None
}

/// Registers a new request. Returns `None` if its id already exists.
fn register(
    engine: &Engine,
    request: &Request,
    chat: &ChatRequest,
    faults: &EngineFaults,
    id: &str,
) -> Option<GenerationJob> {
    let text = chat.text();
    let (cancel, cancelled) = async_channel::bounded(1);
    let record = RequestRecord {
        owner: header(request, "x-request-owner"),
        usage_tag: header(request, "x-usage-tag").or_else(|| header(request, "idempotency-key")),
        budget: header(request, "x-budget"),
        prompt_tokens: text.split_whitespace().count() as u64,
        started: false,
        generated_tokens: 0,
        finished: false,
        cancelled: false,
        cancel,
        wakers: Vec::new(),
    };
    let prefix = header(request, "x-prefix").and_then(|text| text.parse().ok());
    let is_new = engine.with_state(|state| {
        let is_new = !state.records.contains_key(id);
        if is_new {
            state.insert_record(id, record);
        }
        is_new
    });
    is_new.then(|| GenerationJob {
        id: id.to_owned(),
        priority: chat.priority,
        max_tokens: chat.max_tokens.unwrap_or(DEFAULT_MAX_TOKENS),
        prefix: prefix.unwrap_or_else(|| stable_hash(&[&chat.model, &text])),
        delays: (faults.first_token_ms, faults.token_interval_ms),
        cancelled,
    })
}

/// Builds the response to one request.
struct ChatResponse {
    engine: Arc<Engine>,
    id: String,
    model: String,
    faults: EngineFaults,
}

fn token_text(n: u64) -> String {
    if n == 0 { "t0".to_owned() } else { format!(" t{n}") }
}

fn usage_json(progress: &Progress) -> Value {
    json!({
        "prompt_tokens": progress.prompt_tokens,
        "completion_tokens": progress.generated_tokens,
        "total_tokens": progress.prompt_tokens + progress.generated_tokens,
    })
}

fn finish_reason(progress: &Progress) -> &'static str {
    if progress.cancelled { "cancelled" } else { "length" }
}

impl ChatResponse {
    async fn into_response(self, from: u64) -> MaybeResponse {
        let progress = loop {
            let next = wait_for_progress(&self.engine, &self.id, u64::MAX).await?;
            if next.finished {
                break next;
            }
        };
        if self.faults.hang_after.is_some() {
            future::pending::<()>().await;
        }
        if self.faults.disconnect_after.is_some() {
            return None;
        }
        let text: String = (from..progress.generated_tokens).map(token_text).collect();
        let id = if self.faults.wrong_id.is_some() { "another" } else { &self.id };
        Some(http::json_response(
            200,
            &json!({
                "id": id,
                "object": "chat.completion",
                "created": 0,
                "model": self.model,
                "choices": [{
                    "index": 0,
                    "message": { "role": "assistant", "content": text },
                    "finish_reason": finish_reason(&progress),
                }],
                "usage": usage_json(&progress),
            }),
        ))
    }

    fn encode_chunk(&self, id: &str, choice: Value, usage: Option<Value>) -> Vec<u8> {
        let mut event = json!({
            "id": id,
            "object": "chat.completion.chunk",
            "created": 0,
            "model": self.model,
            "choices": [choice],
        });
        if let Some(usage) = usage {
            event["usage"] = usage;
        }
        encode_event(&event.to_string())
    }

    fn encode_token(&self, n: u64) -> Vec<u8> {
        let choice =
            json!({ "index": 0, "delta": { "content": token_text(n) }, "finish_reason": null });
        let id = if self.faults.wrong_id == Some(n) { "another" } else { &self.id };
        let event = self.encode_chunk(id, choice, None);
        if self.faults.duplicate == Some(n) { event.repeat(2) } else { event }
    }

    /// Streams the events from token `from`. Stops early on an injected fault or if the client
    /// disconnects.
    async fn send_events(self, from: u64, sender: BodySender) {
        let limits =
            [self.faults.hang_after, self.faults.truncate_after, self.faults.disconnect_after];
        let limit = limits.into_iter().flatten().min().unwrap_or(u64::MAX);
        let mut sent = from;
        loop {
            if sent >= limit {
                return self.apply_stop_fault(&sender).await;
            }
            let Some(progress) = wait_for_progress(&self.engine, &self.id, sent).await else {
                return;
            };
            let end = progress.generated_tokens.min(limit);
            let mut bytes: Vec<u8> = (sent..end).flat_map(|n| self.encode_token(n)).collect();
            sent = sent.max(end);
            let last = progress.finished && sent < limit && sent >= progress.generated_tokens;
            if last {
                let choice =
                    json!({ "index": 0, "delta": {}, "finish_reason": finish_reason(&progress) });
                bytes.extend(self.encode_chunk(&self.id, choice, Some(usage_json(&progress))));
                bytes.extend(encode_event("[DONE]"));
            }
            if !bytes.is_empty() && sender.send(Ok(bytes)).await.is_err() || last {
                return;
            }
        }
    }

    async fn apply_stop_fault(&self, sender: &BodySender) {
        if self.faults.hang_after.is_some() {
            future::pending::<()>().await;
        }
        if self.faults.disconnect_after.is_some() {
            let _ =
                sender.send(Err(io::Error::other("connection closed by an injected fault"))).await;
        }
    }
}
