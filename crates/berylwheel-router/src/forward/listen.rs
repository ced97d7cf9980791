//! Serves callers' connections and the readiness checks of the load balancer.

use std::net::TcpListener;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use async_channel::Sender;
use async_executor::Executor;
use async_io::Async;
use async_io::Timer;
use berylwheel_http::AcceptLimits;
use berylwheel_http::ListenerState;
use berylwheel_http::ResponseBody;
use berylwheel_http::UpstreamClient;
use berylwheel_http::accept_connections;
use berylwheel_http::empty_body;
use berylwheel_types::ByteSize;
use berylwheel_types::Clock;
use berylwheel_types::Incarnation;
use berylwheel_types::Millis;
use berylwheel_types::RequestId;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Incoming;

use super::link::SharedLink;
use super::platform::Platform;
use crate::calls::memory::BodyMemory;
use crate::control::event::Event;
use crate::control::snapshot::SharedSnapshot;
use crate::metrics::Metrics;

/// Interval at which expired idle connections to servers are closed.
const PRUNE_INTERVAL: Millis = Millis(1_000);
/// Limits on callers' connections before the configuration is known.
const INITIAL_LIMITS: AcceptLimits = AcceptLimits {
    head: ByteSize(8 << 10),
    head_timeout: Millis(3_000),
    idle_timeout: Millis(15_000),
    connections: 2_048,
};

/// State shared by the tasks that proxy requests.
#[derive(Clone)]
pub struct Forwarder {
    pub clock: Clock,
    /// Client for backend servers, with its connection pool.
    pub upstream: UpstreamClient,
    /// Runs tasks that outlive a response.
    pub executor: Arc<Executor<'static>>,
    /// Events for the control thread.
    pub events: Sender<Event>,
    /// The configuration in force.
    pub snapshot: SharedSnapshot,
    /// Encoding of requests and responses on this platform.
    pub platform: Arc<dyn Platform>,
    pub metrics: Metrics,
    /// This run of this router.
    pub incarnation: Incarnation,
    /// Number of request ids generated so far.
    pub id_counter: Arc<AtomicU64>,
    /// Memory limit for request bodies.
    pub body_memory: BodyMemory,
    /// Memory limit for buffered response bodies.
    pub response_memory: BodyMemory,
    /// Load of the VM's network link.
    pub link: SharedLink,
    /// Set when a planned stop begins, before new requests are refused.
    pub stopping: Arc<AtomicBool>,
}

impl Forwarder {
    /// Accepts connections from callers until the listener fails.
    pub async fn serve(
        self,
        listener: Async<TcpListener>,
        executor: Arc<Executor<'static>>,
        state: ListenerState,
    ) {
        let snapshot = self.snapshot.clone();
        let limits = move || {
            let snapshot = snapshot.load();
            let Some(settings) = &snapshot.settings else { return INITIAL_LIMITS };
            let fleet = settings.fleet();
            AcceptLimits {
                head: fleet.head_limit,
                head_timeout: fleet.receive_time,
                idle_timeout: fleet.idle_time,
                connections: fleet.connections as usize,
            }
        };
        let upstream = self.upstream.clone();
        executor
            .spawn(async move {
                loop {
                    Timer::after(PRUNE_INTERVAL.duration()).await;
                    upstream.close_expired();
                }
            })
            .detach();
        accept_connections(listener, executor, state, limits, move |request: Request<Incoming>| {
            let forwarder = self.clone();
            async move { forwarder.handle(request).await }
        })
        .await;
    }

    /// Answers the readiness checks of a load balancer.
    pub async fn serve_readiness(
        self,
        listener: Async<TcpListener>,
        executor: Arc<Executor<'static>>,
        state: ListenerState,
    ) {
        let limits = || INITIAL_LIMITS;
        accept_connections(listener, executor, state, limits, move |_: Request<Incoming>| {
            let ready = self.is_ready();
            async move { readiness_response(ready) }
        })
        .await;
    }

    /// Returns whether the load balancer may send callers to this router.
    pub(super) fn is_ready(&self) -> bool {
        !self.stopping.load(Ordering::Relaxed)
            && self.snapshot.load().serving_settings().is_ok()
            && self.link.accepts_callers(self.clock.now())
    }

    /// Generates an id for a request without a valid one.
    pub(crate) fn generate_id(&self) -> RequestId {
        let number = self.id_counter.fetch_add(1, Ordering::Relaxed);
        let text = format!("{}-{:x}-{number:x}", self.incarnation.router, self.incarnation.number);
        text.parse().expect("a router name and two hexadecimal numbers form a valid id")
    }
}

fn readiness_response(ready: bool) -> Response<ResponseBody> {
    let mut response = Response::new(empty_body());
    if !ready {
        *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
    }
    response
}
