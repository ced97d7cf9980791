//! The HTTP endpoints of the engine.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

use async_executor::Executor;
use http_types::Method;
use http_types::Request;
use http_types::Response;
use serde_json::Value;
use serde_json::json;

use super::EngineOptions;
use super::chat;
use super::state::Engine;
use super::state::Order;
use crate::Handle;
use crate::http;
use crate::http::Rejection;
use crate::server;
use crate::server::MaybeResponse;

/// Starts a model engine.
///
/// ```
/// use std::sync::Arc;
/// use async_executor::Executor;
/// use berylwheel_standin::{EngineOptions, start_engine};
/// let executor = Arc::new(Executor::new());
/// let any_port = "127.0.0.1:0".parse().unwrap();
/// let (address, handle) = start_engine(any_port, &executor, EngineOptions::default()).unwrap();
/// assert_ne!(address.port(), 0);
/// ```
///
/// # Errors
/// Fails if the address cannot be bound.
pub fn start_engine(
    address: SocketAddr,
    executor: &Arc<Executor<'static>>,
    options: EngineOptions,
) -> io::Result<(SocketAddr, Handle)> {
    let engine = Arc::new(Engine::new(options));
    let tasks = executor.clone();
    server::start(address, executor, move |request| handle(engine.clone(), tasks.clone(), request))
}

async fn handle(
    engine: Arc<Engine>,
    executor: Arc<Executor<'static>>,
    mut request: Request,
) -> MaybeResponse {
    let path = request.url().path().to_owned();
    match (request.method(), path.as_str()) {
        (Method::Post, "/v1/chat/completions") => {
            chat::complete_chat(engine, executor, request).await
        }
        (Method::Post, "/faults") => http::respond(set_faults(&engine, &mut request).await),
        (Method::Post, "/v1/orders") => http::respond(apply_order(&engine, &mut request).await),
        (Method::Get, "/v1/orders") => {
            Some(engine.with_state(|state| http::json_response(200, &state.orders)))
        }
        (Method::Get, "/v1/load") => Some(http::json_response(200, &engine.load_report())),
        (Method::Get, "/v1/usage") => {
            Some(list_usage(&engine, http::query_parameter(&request, "owner")))
        }
        (Method::Get, "/v1/cache") => {
            Some(list_cache_events(&engine, http::query_parameter(&request, "after")))
        }
        (Method::Delete, _) if path.starts_with("/v1/requests/") => {
            Some(cancel_request(&engine, &path["/v1/requests/".len()..]))
        }
        _ => Some(http::error_response(404, "no such endpoint")),
    }
}

async fn set_faults(engine: &Engine, request: &mut Request) -> Result<Response, Rejection> {
    let changes: Value = http::json_body(request).await?;
    engine.with_state(|state| {
        state.faults = http::merge_faults(&state.faults, &changes)?;
        engine.record_load(state);
        Ok(http::json_response(200, &json!({})))
    })
}

async fn apply_order(engine: &Engine, request: &mut Request) -> Result<Response, Rejection> {
    let order: Order = http::json_body(request).await?;
    engine.with_state(|state| {
        if engine.options.check_fence && order.fence < state.fence {
            return Err(Rejection::new(409, "stale order").with_field("fence", state.fence));
        }
        state.apply_order(order);
        Ok(http::json_response(200, &json!({ "fence": state.fence })))
    })
}

fn list_usage(engine: &Engine, owner: Option<String>) -> Response {
    engine.with_state(|state| {
        let records = state.records.iter();
        let matching = records.filter(|(_, record)| owner.is_none() || record.owner == owner);
        let entries: Vec<_> = matching.map(|(id, record)| record.usage_entry(id)).collect();
        http::json_response(200, &entries)
    })
}

fn list_cache_events(engine: &Engine, after: Option<String>) -> Response {
    let Ok(after) = after.as_deref().unwrap_or("0").parse() else {
        return http::error_response(400, "after is not a number");
    };
    let now = engine.options.clock.now();
    let events = engine.with_state(|state| state.cache.events(after, now));
    http::json_response(200, &json!({ "events": events }))
}

/// Cancels a request. The tokens generated so far still count as usage.
fn cancel_request(engine: &Engine, id: &str) -> Response {
    engine.with_state(|state| {
        let Some(record) = state.records.get_mut(id) else {
            return http::error_response(404, "no such request");
        };
        if !record.finished {
            record.cancelled = true;
            record.cancel.close();
        }
        http::json_response(200, &record.usage_entry(id))
    })
}
