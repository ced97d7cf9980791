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
use super::generate::Progress;
use super::generate::Work;
use super::generate::generate;
use super::generate::progress;
use super::record::Record;
use super::state::Engine;
use crate::http;
use crate::http::header;
use crate::server::Answer;

/// Number of tokens generated if a request does not set `max_tokens`.
const DEFAULT_TOKENS: u64 = 16;

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
pub(crate) async fn complete(
    engine: Arc<Engine>,
    executor: Arc<Executor<'static>>,
    mut request: Request,
) -> Answer {
    let chat: ChatRequest = match http::json_body(&mut request).await {
        Ok(chat) => chat,
        Err(rejection) => return Some(rejection.response()),
    };
    let faults = engine.with(|state| state.faults.take());
    if faults.hang {
        future::pending::<()>().await;
    }
    if let Some(refusal) = refusal(&engine, &chat, &faults) {
        return Some(refusal);
    }
    let number = engine.with(|state| {
        state.requests += 1;
        state.requests
    });
    let id = header(&request, "x-request-id").unwrap_or_else(|| format!("engine-{number}"));
    let resume = header(&request, "x-resume-from").map(|n| n.parse::<u64>());
    let from = match resume {
        Some(Err(_)) => return Some(http::error(400, "X-Resume-From is not a number")),
        Some(Ok(from)) if !engine.with(|state| state.records.contains_key(&id)) => {
            return Some(http::error(
                404,
                &format!("cannot resume request {id} at token {from}: no such request"),
            ));
        }
        Some(Ok(from)) => from,
        None => {
            let Some(work) = accept(&engine, &request, &chat, &faults, &id) else {
                return Some(http::error(409, &format!("request id {id} already exists")));
            };
            let running = generate(engine.clone(), work);
            if faults.first_token_ms == 0 && faults.token_interval_ms == 0 && !chat.stream {
                running.await;
            } else {
                executor.spawn(running).detach();
            }
            0
        }
    };
    let answer = Chunks { engine, id, model: chat.model, faults };
    if !chat.stream {
        return answer.whole(from).await;
    }
    let (sender, body) = channel_body();
    executor.spawn(answer.stream(from, sender)).detach();
    let mut response = Response::new(200);
    response.set_body(body);
    response.insert_header("content-type", "text/event-stream");
    Some(response)
}

fn refusal(engine: &Engine, chat: &ChatRequest, faults: &EngineFaults) -> Option<Response> {
    if faults.status > 0 {
        return Some(http::error(faults.status, "ordered"));
    }
    if faults.draining {
        let body = json!({ "error": { "message": "draining" }, "draining": true });
        let mut response = http::answer(503, &body);
        response.insert_header("x-draining", "true");
        return Some(response);
    }
    let known = |models: &Vec<String>| models.is_empty() || models.contains(&chat.model);
    if !engine.with(|state| known(&state.models)) {
        return Some(http::error(404, "model not loaded"));
    }
    None
}

/// Registers a new request. Returns `None` if its id already exists.
fn accept(
    engine: &Engine,
    request: &Request,
    chat: &ChatRequest,
    faults: &EngineFaults,
    id: &str,
) -> Option<Work> {
    let text = chat.text();
    let (cancel, cancelled) = async_channel::bounded(1);
    let record = Record {
        owner: header(request, "x-request-owner"),
        usage_tag: header(request, "x-usage-tag").or_else(|| header(request, "idempotency-key")),
        budget: header(request, "x-budget"),
        prompt: text.split_whitespace().count() as u64,
        started: false,
        generated: 0,
        finished: false,
        cancelled: false,
        cancel,
        readers: Vec::new(),
    };
    let prefix = header(request, "x-prefix").and_then(|text| text.parse().ok());
    let new = engine.with(|state| {
        let new = !state.records.contains_key(id);
        if new {
            state.remember(id, record);
        }
        new
    });
    new.then(|| Work {
        id: id.to_owned(),
        priority: chat.priority,
        max_tokens: chat.max_tokens.unwrap_or(DEFAULT_TOKENS),
        prefix: prefix.unwrap_or_else(|| stable_hash(&[&chat.model, &text])),
        delays: (faults.first_token_ms, faults.token_interval_ms),
        cancelled,
    })
}

/// Builds the response to one request.
struct Chunks {
    engine: Arc<Engine>,
    id: String,
    model: String,
    faults: EngineFaults,
}

fn word(n: u64) -> String {
    if n == 0 { "t0".to_owned() } else { format!(" t{n}") }
}

fn usage(progress: &Progress) -> Value {
    json!({
        "prompt_tokens": progress.prompt,
        "completion_tokens": progress.generated,
        "total_tokens": progress.prompt + progress.generated,
    })
}

fn reason(progress: &Progress) -> &'static str {
    if progress.cancelled { "cancelled" } else { "length" }
}

impl Chunks {
    async fn whole(self, from: u64) -> Answer {
        let progress = loop {
            let next = progress(&self.engine, &self.id, u64::MAX).await?;
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
        let text: String = (from..progress.generated).map(word).collect();
        let id = if self.faults.wrong_id.is_some() { "another" } else { &self.id };
        Some(http::answer(
            200,
            &json!({
                "id": id,
                "object": "chat.completion",
                "created": 0,
                "model": self.model,
                "choices": [{
                    "index": 0,
                    "message": { "role": "assistant", "content": text },
                    "finish_reason": reason(&progress),
                }],
                "usage": usage(&progress),
            }),
        ))
    }

    fn event(&self, id: &str, choice: Value, usage: Option<Value>) -> Vec<u8> {
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

    fn token(&self, n: u64) -> Vec<u8> {
        let choice = json!({ "index": 0, "delta": { "content": word(n) }, "finish_reason": null });
        let id = if self.faults.wrong_id == Some(n) { "another" } else { &self.id };
        let event = self.event(id, choice, None);
        if self.faults.duplicate == Some(n) { event.repeat(2) } else { event }
    }

    /// Streams the events from token `from`. Stops early on an injected fault or if the client
    /// disconnects.
    async fn stream(self, from: u64, sender: BodySender) {
        let stops =
            [self.faults.hang_after, self.faults.truncate_after, self.faults.disconnect_after];
        let stop = stops.into_iter().flatten().min().unwrap_or(u64::MAX);
        let mut sent = from;
        loop {
            if sent >= stop {
                return self.stop_early(&sender).await;
            }
            let Some(progress) = progress(&self.engine, &self.id, sent).await else { return };
            let until = progress.generated.min(stop);
            let mut bytes: Vec<u8> = (sent..until).flat_map(|n| self.token(n)).collect();
            sent = sent.max(until);
            let last = progress.finished && sent < stop && sent >= progress.generated;
            if last {
                let choice = json!({ "index": 0, "delta": {}, "finish_reason": reason(&progress) });
                bytes.extend(self.event(&self.id, choice, Some(usage(&progress))));
                bytes.extend(encode_event("[DONE]"));
            }
            if !bytes.is_empty() && sender.send(Ok(bytes)).await.is_err() || last {
                return;
            }
        }
    }

    async fn stop_early(&self, sender: &BodySender) {
        if self.faults.hang_after.is_some() {
            future::pending::<()>().await;
        }
        if self.faults.disconnect_after.is_some() {
            let _ =
                sender.send(Err(io::Error::other("connection closed by an injected fault"))).await;
        }
    }
}
