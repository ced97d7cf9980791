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
use crate::server::Answer;

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
) -> Answer {
    let path = request.url().path().to_owned();
    match (request.method(), path.as_str()) {
        (Method::Post, "/v1/chat/completions") => chat::complete(engine, executor, request).await,
        (Method::Post, "/faults") => http::settle(faults(&engine, &mut request).await),
        (Method::Post, "/v1/orders") => http::settle(order(&engine, &mut request).await),
        (Method::Get, "/v1/orders") => Some(engine.with(|state| http::answer(200, &state.orders))),
        (Method::Get, "/v1/load") => Some(http::answer(200, &engine.load())),
        (Method::Get, "/v1/usage") => Some(usage(&engine, http::query(&request, "owner"))),
        (Method::Get, "/v1/cache") => Some(cache(&engine, http::query(&request, "after"))),
        (Method::Delete, _) if path.starts_with("/v1/requests/") => {
            Some(cancel(&engine, &path["/v1/requests/".len()..]))
        }
        _ => Some(http::error(404, "no such endpoint")),
    }
}

async fn faults(engine: &Engine, request: &mut Request) -> Result<Response, Rejection> {
    let order: Value = http::json_body(request).await?;
    engine.with(|state| {
        state.faults = http::merge(&state.faults, &order)?;
        engine.note_load(state);
        Ok(http::answer(200, &json!({})))
    })
}

async fn order(engine: &Engine, request: &mut Request) -> Result<Response, Rejection> {
    let order: Order = http::json_body(request).await?;
    engine.with(|state| {
        if engine.options.check_fence && order.fence < state.fence {
            return Err(Rejection::new(409, "stale order").with("fence", state.fence));
        }
        state.carry_out(order);
        Ok(http::answer(200, &json!({ "fence": state.fence })))
    })
}

fn usage(engine: &Engine, owner: Option<String>) -> Response {
    engine.with(|state| {
        let records = state.records.iter();
        let wanted = records.filter(|(_, record)| owner.is_none() || record.owner == owner);
        let lines: Vec<_> = wanted.map(|(id, record)| record.usage(id)).collect();
        http::answer(200, &lines)
    })
}

fn cache(engine: &Engine, after: Option<String>) -> Response {
    let Ok(after) = after.as_deref().unwrap_or("0").parse() else {
        return http::error(400, "after is not a number");
    };
    let now = engine.options.clock.now();
    let events = engine.with(|state| state.cache.events(after, now));
    http::answer(200, &json!({ "events": events }))
}

/// Cancels a request. The tokens generated so far still count as usage.
fn cancel(engine: &Engine, id: &str) -> Response {
    engine.with(|state| {
        let Some(record) = state.records.get_mut(id) else {
            return http::error(404, "no such request");
        };
        if !record.finished {
            record.cancelled = true;
            record.cancel.close();
        }
        http::answer(200, &record.usage(id))
    })
}
