//! Callers' connections and the address at which a load balancer asks for readiness.

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

/// Interval at which idle connections to servers are closed.
const PRUNE_INTERVAL: Millis = Millis(1_000);
/// Bounds on callers before the configuration is known.
const FIRST_LIMITS: AcceptLimits = AcceptLimits {
    head: ByteSize(8 << 10),
    head_timeout: Millis(3_000),
    idle_timeout: Millis(15_000),
    connections: 2_048,
};

/// What the tasks that forward requests share.
#[derive(Clone)]
pub struct Forwarder {
    /// Time.
    pub clock: Clock,
    /// Connections to backend servers.
    pub upstream: UpstreamClient,
    /// Runs what goes on behind an answer.
    pub executor: Arc<Executor<'static>>,
    /// Messages to the control thread.
    pub events: Sender<Event>,
    /// The configuration in force.
    pub snapshot: SharedSnapshot,
    /// How requests and answers are spelled.
    pub platform: Arc<dyn Platform>,
    /// Counters and timers.
    pub metrics: Metrics,
    /// This run of this router.
    pub me: Incarnation,
    /// Requests so far, for ids.
    pub counter: Arc<AtomicU64>,
    /// Memory for the bodies of requests.
    pub memory: BodyMemory,
    /// What requests and answers carry over the VM's link.
    pub link: SharedLink,
    /// Set when a planned stop begins, before new work is refused.
    pub leaving: Arc<AtomicBool>,
}

impl Forwarder {
    /// Accepts callers until the listener fails.
    pub async fn listen(
        self,
        listener: Async<TcpListener>,
        executor: Arc<Executor<'static>>,
        listening: ListenerState,
    ) {
        let snapshot = self.snapshot.clone();
        let limits = move || {
            let snapshot = snapshot.load();
            let Some(settings) = &snapshot.settings else { return FIRST_LIMITS };
            let fleet = settings.fleet();
            AcceptLimits {
                head: fleet.head_limit,
                head_timeout: fleet.receive_time,
                idle_timeout: fleet.idle_time,
                connections: fleet.connections as usize,
            }
        };
        let pruned = self.upstream.clone();
        executor
            .spawn(async move {
                loop {
                    Timer::after(PRUNE_INTERVAL.duration()).await;
                    pruned.close_expired();
                }
            })
            .detach();
        accept_connections(
            listener,
            executor,
            listening,
            limits,
            move |request: Request<Incoming>| {
                let forwarder = self.clone();
                async move { forwarder.answer(request).await }
            },
        )
        .await;
    }

    /// Answers a load balancer's question whether callers may be sent here.
    pub async fn listen_ready(
        self,
        listener: Async<TcpListener>,
        executor: Arc<Executor<'static>>,
        listening: ListenerState,
    ) {
        let limits = || FIRST_LIMITS;
        accept_connections(listener, executor, listening, limits, move |_: Request<Incoming>| {
            let ready = self.is_ready();
            async move { ready_response(ready) }
        })
        .await;
    }

    fn is_ready(&self) -> bool {
        !self.leaving.load(Ordering::Relaxed)
            && self.snapshot.load().serving_settings().is_ok()
            && self.link.wants_callers(self.clock.now())
    }

    /// Returns an id for a request that came without one.
    pub(crate) fn next_id(&self) -> RequestId {
        let number = self.counter.fetch_add(1, Ordering::Relaxed);
        let text = format!("{}-{:x}-{number:x}", self.me.router, self.me.number);
        text.parse().expect("the parts are names")
    }
}

fn ready_response(ready: bool) -> Response<ResponseBody> {
    let mut response = Response::new(empty_body());
    if !ready {
        *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
    }
    response
}
