//! Stand-in for a service with non-idempotent calls: repeating a call makes another booking.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;

use async_executor::Executor;
use async_io::Timer;
use berylwheel_types::FastMap;
use berylwheel_types::Millis;
use futures_lite::future;
use http_types::Method;
use http_types::Request;
use http_types::Response;
use serde::Deserialize;
use serde::Serialize;
use serde_json::Value;
use serde_json::json;

use crate::Handle;
use crate::http;
use crate::http::Rejection;
use crate::server;
use crate::server::MaybeResponse;

/// Faults that the booking service injects.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct BookingFaults {
    /// Whether calls hang before they execute.
    pub hang_before: bool,
    /// Whether calls execute and then hang without a response.
    pub hang_after: bool,
    /// Whether the connection is closed before the call executes.
    pub drop_before: bool,
    /// Whether the call executes and the connection is closed without a response.
    pub drop_after: bool,
    /// Error status returned without executing the call; 0 disables the fault.
    pub status: u16,
    /// Error status returned after the call has executed; 0 disables the fault.
    pub status_after: u16,
    /// Delay in milliseconds before the call executes.
    pub slow_ms: u64,
    /// Remaining number of calls that the faults apply to; unlimited if absent.
    pub times: Option<u64>,
}

/// Options of the booking stand-in.
#[derive(Debug, Clone, Default)]
pub struct BookingOptions {
    /// Whether a repeated idempotency key returns the first result instead of executing again.
    pub deduplicate: bool,
    /// The initial faults.
    pub faults: BookingFaults,
}

#[derive(Default)]
struct CallRecord {
    running: u64,
    runs: u64,
    result: Value,
}

#[derive(Default)]
struct State {
    faults: BookingFaults,
    calls: FastMap<String, CallRecord>,
    bookings: u64,
    lookups: u64,
}

struct BookingService {
    deduplicate: bool,
    state: Mutex<State>,
}

/// Starts a booking service. `GET /runs`, `GET /calls/{key}` and `GET /stats` report what was
/// executed. Any other `GET` is an idempotent lookup, any other request a booking.
///
/// ```
/// use std::sync::Arc;
/// use async_executor::Executor;
/// use berylwheel_standin::{BookingOptions, start_booking};
/// let executor = Arc::new(Executor::new());
/// let any_port = "127.0.0.1:0".parse().unwrap();
/// let (address, handle) = start_booking(any_port, &executor, BookingOptions::default()).unwrap();
/// assert_ne!(address.port(), 0);
/// ```
///
/// # Errors
/// Fails if the address cannot be bound.
pub fn start_booking(
    address: SocketAddr,
    executor: &Arc<Executor<'static>>,
    options: BookingOptions,
) -> io::Result<(SocketAddr, Handle)> {
    let state = State { faults: options.faults, ..State::default() };
    let service = BookingService { deduplicate: options.deduplicate, state: Mutex::new(state) };
    let service = Arc::new(service);
    server::start(address, executor, move |request| handle(service.clone(), request))
}

async fn handle(service: Arc<BookingService>, mut request: Request) -> MaybeResponse {
    let path = request.url().path().to_owned();
    match (request.method(), path.as_str()) {
        (Method::Post, "/faults") => http::respond(service.set_faults(&mut request).await),
        (Method::Get, "/runs") => Some(http::json_response(200, &service.run_counts())),
        (Method::Get, _) if path.starts_with("/calls/") => {
            Some(service.call_status(&path["/calls/".len()..]))
        }
        (Method::Get, "/stats") => Some(http::json_response(200, &service.stats())),
        // Routers poll this path on every server. Handling it as a lookup would use up a fault
        // that is limited to a number of calls.
        (Method::Get, "/v1/load") => Some(http::error_response(404, "no such path")),
        (Method::Get, _) => service.lookup(&path).await,
        _ => service.book(&mut request, &path).await,
    }
}

impl BookingService {
    fn with_state<T>(&self, f: impl FnOnce(&mut State) -> T) -> T {
        f(&mut self.state.lock().expect("the lock is not poisoned"))
    }

    async fn set_faults(&self, request: &mut Request) -> Result<Response, Rejection> {
        let changes: Value = http::json_body(request).await?;
        let faults = self.with_state(|state| http::merge_faults(&state.faults, &changes))?;
        self.with_state(|state| state.faults = faults);
        Ok(http::json_response(200, &json!({})))
    }

    fn run_counts(&self) -> Value {
        self.with_state(|state| {
            let executed = state.calls.iter().filter(|(_, call)| call.runs > 0);
            executed
                .map(|(key, call)| (key.clone(), json!(call.runs)))
                .collect::<serde_json::Map<_, _>>()
        })
        .into()
    }

    fn stats(&self) -> Value {
        self.with_state(|state| json!({ "bookings": state.bookings, "lookups": state.lookups }))
    }

    /// Reports whether a call with `key` has executed. The report is final only when no call with
    /// this key is in progress.
    fn call_status(&self, key: &str) -> Response {
        self.with_state(|state| {
            let body = match state.calls.get(key) {
                Some(call) if call.runs > 0 => {
                    json!({ "key": key, "ran": true, "running": call.running > 0, "status": 200,
                        "result": call.result })
                }
                call => {
                    let running = call.is_some_and(|call| call.running > 0);
                    json!({ "key": key, "ran": false, "running": running })
                }
            };
            http::json_response(200, &body)
        })
    }

    fn next_faults(&self) -> BookingFaults {
        self.with_state(|state| match &mut state.faults.times {
            Some(0) => BookingFaults::default(),
            Some(n) => {
                *n -= 1;
                state.faults.clone()
            }
            None => state.faults.clone(),
        })
    }

    async fn lookup(&self, path: &str) -> MaybeResponse {
        let faults = self.next_faults();
        apply_faults_before(&faults).await?;
        if faults.status > 0 {
            return Some(http::error_response(faults.status, "ordered"));
        }
        self.with_state(|state| state.lookups += 1);
        let count = berylwheel_types::stable_hash(&[path]) % 100;
        Some(http::json_response(200, &json!({ "path": path, "count": count })))
    }

    async fn book(&self, request: &mut Request, path: &str) -> MaybeResponse {
        let key = http::header(request, "idempotency-key").unwrap_or_default();
        let body = match http::request_body(request).await {
            Ok(body) => body,
            Err(rejection) => return Some(rejection.to_response()),
        };
        let faults = self.next_faults();
        if faults.status > 0 {
            apply_faults_before(&faults).await?;
            return Some(http::error_response(faults.status, "ordered"));
        }
        self.with_state(|state| state.calls.entry(key.clone()).or_default().running += 1);
        let started = apply_faults_before(&faults).await;
        let result = self.with_state(|state| {
            let call = state.calls.entry(key.clone()).or_default();
            call.running -= 1;
            started?;
            if self.deduplicate && call.runs > 0 {
                return Some(call.result.clone());
            }
            call.runs += 1;
            state.bookings += 1;
            call.result = json!({ "booking": state.bookings, "key": key, "path": path,
                "run": call.runs, "bytes": body.len() });
            Some(call.result.clone())
        })?;
        if faults.hang_after {
            future::pending::<()>().await;
        }
        if faults.drop_after {
            return None;
        }
        if faults.status_after > 0 {
            return Some(http::error_response(faults.status_after, "ordered"));
        }
        Some(http::json_response(200, &result))
    }
}

/// Applies the faults that precede execution. Returns `None` if the connection must be closed.
async fn apply_faults_before(faults: &BookingFaults) -> Option<()> {
    if faults.slow_ms > 0 {
        Timer::after(Millis(faults.slow_ms).duration()).await;
    }
    if faults.hang_before {
        future::pending::<()>().await;
    }
    (!faults.drop_before).then_some(())
}
