//! Startup and shutdown of a router and its threads: one control thread, and threads for traffic.

use std::io;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::thread;
use std::thread::JoinHandle;

use arc_swap::ArcSwap;
use async_channel::Receiver;
use async_channel::Sender;
use async_executor::Executor;
use async_io::Async;
use async_io::Timer;
use async_io::block_on;
use berylwheel_config::AccessTable;
use berylwheel_config::PathTable;
use berylwheel_http::ActiveRequests;
use berylwheel_http::Client;
use berylwheel_http::ListenerState;
use berylwheel_http::ServerLimits;
use berylwheel_http::Traffic;
use berylwheel_http::UpstreamClient;
use berylwheel_http::timeout;
use berylwheel_peer::PeerIdentity;
use berylwheel_settings::RouterSettings;
use berylwheel_store::GuardedStore;
use berylwheel_store::HttpStore;
use berylwheel_store::Store;
use berylwheel_store::StoreOptions;
use berylwheel_types::ByteSize;
use berylwheel_types::Clock;
use berylwheel_types::FastSet;
use berylwheel_types::Incarnation;
use berylwheel_types::Millis;
use berylwheel_types::Version;
use futures_lite::FutureExt;
use futures_lite::future;

use crate::calls::memory::BodyMemory;
use crate::calls::request_handler::RequestHandler;
use crate::control::core::Control;
use crate::control::effects::Effects;
use crate::control::event::Event;
use crate::control::snapshot::Serving;
use crate::control::snapshot::SharedSnapshot;
use crate::control::snapshot::Snapshot;
use crate::fleet::relay::core::Relay;
use crate::fleet::relay::policy::RelayPolicy;
use crate::fleet::relay::store::RelayedStore;
use crate::fleet::relay::store::SharedRelay;
use crate::fleet::state::Fleet;
use crate::forward::Forwarder;
use crate::forward::Platform;
use crate::forward::SharedLink;
use crate::forward::SocketTraffic;
use crate::forward::report_usage;
use crate::forward::watch::fetch_identity;
use crate::forward::watch::watch_operator;
use crate::forward::watch::watch_servers;
use crate::metrics::Metrics;
use crate::operate::admin::AdminHandler;
use crate::operate::orders::OrderSender;

/// Time limit for sending the rest of the responses after the last request has ended.
const FLUSH_TIMEOUT: Millis = Millis(10_000);
/// Interval of checks whether all responses have been sent.
const FLUSH_INTERVAL: Millis = Millis(10);
/// Memory limit for the bodies of model requests.
const ENGINE_BODY_MEMORY: ByteSize = ByteSize(192 << 20);
/// Memory limit for the bodies of service calls.
const SERVICE_BODY_MEMORY: ByteSize = ByteSize(64 << 20);
/// Time limit for a drain if the settings are not known yet.
const DEFAULT_DRAIN_LIMIT: Millis = Millis(600_000);
/// Memory limit for the bodies of forwarded requests, which are small.
const FORWARD_BODY_MEMORY: ByteSize = ByteSize(32 << 20);
/// Memory limit for response bodies that are buffered before they are passed on to callers.
const FORWARD_RESPONSE_MEMORY: ByteSize = ByteSize(12 << 20);
/// Delay between the announcement of a shutdown and the drain: the time until the load balancer in
/// front of the router stops sending connections. It checks readiness once a second: two failed
/// checks, and one second for connections that are being set up.
const DRAIN_DELAY: Millis = Millis(3_000);
/// Time reserved within the stop limit for the exit of the process.
const STOP_MARGIN: Millis = Millis(300);
/// Time before the end of a planned stop at which queued requests are refused.
const LAST_START_TIME: Millis = Millis(1_500);
/// Time before the end of a planned stop at which requests without an answer are cancelled, so that
/// their callers are told in time.
const LAST_ANSWER_TIME: Millis = Millis(500);
/// Number of random bits in an incarnation's number, below the start time.
const RANDOM_BITS: u32 = 16;

/// Handle of a running router.
#[derive(Debug)]
pub struct RouterHandle {
    /// Id of this run.
    pub incarnation: Incarnation,
    /// Address for callers.
    pub listen: SocketAddr,
    /// Address for operators.
    pub admin: SocketAddr,
    /// Address for the other routers.
    pub peer: SocketAddr,
    events: Sender<Event>,
    drained: Receiver<()>,
    active: ActiveRequests,
    /// Number of open connections of callers on a platform.
    open_connections: Arc<AtomicUsize>,
    snapshot: SharedSnapshot,
    /// Closed when each response should ask its caller to close the connection.
    shutdown: Sender<()>,
    /// Closed when the listeners should end.
    closing: Sender<()>,
    shutdown_announced: Arc<AtomicBool>,
    stop_limit: Option<Millis>,
    stop: Sender<()>,
    threads: Vec<JoinHandle<()>>,
}

/// Starts a router with its own HTTP interface.
///
/// # Errors
/// Fails if an address cannot be bound or a certificate cannot be read.
pub fn start(settings: &RouterSettings, identity: PeerIdentity) -> io::Result<RouterHandle> {
    start_router(settings, RouterMode::Standalone(identity))
}

/// Starts a router that serves the interface of a platform.
///
/// # Errors
/// Fails if an address cannot be bound.
pub fn start_on_platform(
    settings: &RouterSettings,
    platform: Arc<dyn Platform>,
) -> io::Result<RouterHandle> {
    start_router(settings, RouterMode::Platform(platform))
}

/// Interface for callers, and source of the certificates for the link to the other routers.
enum RouterMode {
    /// The router's own interface, with certificates from files.
    Standalone(PeerIdentity),
    /// The interface of a platform, with certificates from an authority in the platform's store.
    Platform(Arc<dyn Platform>),
}

fn start_router(settings: &RouterSettings, mode: RouterMode) -> io::Result<RouterHandle> {
    let clock = Clock::real();
    let incarnation = new_incarnation(settings, &clock);
    let listener = Async::<TcpListener>::bind(settings.listen)?;
    let admin_listener = Async::<TcpListener>::bind(settings.admin)?;
    let (listen, admin) =
        (listener.get_ref().local_addr()?, admin_listener.get_ref().local_addr()?);
    let client = Client::default();
    let snapshot: SharedSnapshot = Arc::new(ArcSwap::from_pointee(Snapshot {
        serving: Serving::Starting,
        version: Version::default(),
        settings: None,
        access: AccessTable::default(),
        paths: PathTable::default(),
        ended_runs: FastSet::default(),
    }));
    let metrics = Metrics::new(settings.metrics)?;
    let active = ActiveRequests::default();
    let (events, event_receiver) = async_channel::unbounded();
    let (stop, stopped) = async_channel::bounded::<()>(1);
    let (drained_sender, drained) = async_channel::bounded(1);
    let mut threads = Vec::new();

    let executor = Arc::new(Executor::new());
    let mut socket_traffic = SocketTraffic::default();
    let raw_store: Arc<dyn Store> = match &mode {
        RouterMode::Standalone(_) => {
            Arc::new(HttpStore::new(StoreOptions::new(settings.store.clone())))
        }
        RouterMode::Platform(platform) => {
            let upstream = UpstreamClient::new(executor.clone(), clock.clone());
            socket_traffic.store = upstream.traffic();
            platform.store(settings, upstream)
        }
    };
    let guard = Arc::new(GuardedStore::new(raw_store.clone(), clock.clone()));
    // The client of the router's own store needs no circuit breaker: it has retry pauses of its
    // own, and that store does not count calls.
    let store: Arc<dyn Store> = match &mode {
        RouterMode::Standalone(_) => raw_store,
        RouterMode::Platform(_) => guard.clone(),
    };
    let relay = Relay::new(incarnation.clone(), RelayPolicy::default());
    let relay = Arc::new(SharedRelay::new(relay));
    let effects = Effects {
        executor: executor.clone(),
        store: store.clone(),
        watched: Arc::new(RelayedStore::new(store.clone(), relay.clone(), clock.clone())),
        relay,
        guard,
        restore_state: Arc::default(),
        client: client.clone(),
        events: events.clone(),
        clock: clock.clone(),
        metrics: metrics.clone(),
        peer_traffic: socket_traffic.peers.clone(),
    };
    let (identity, platform) = match mode {
        RouterMode::Standalone(identity) => (Some(identity), None),
        RouterMode::Platform(platform) => (None, Some(platform)),
    };
    let fleet = Fleet::start(settings, &incarnation, identity, admin, &effects)?;
    let peer = fleet.address();
    if let Some(platform) = &platform {
        spawn_watchers(&effects, platform, &incarnation);
    }
    let control = Control::new(
        clock.clone(),
        incarnation.clone(),
        settings.clone(),
        fleet,
        effects,
        snapshot.clone(),
    );
    let admin_server = AdminHandler {
        clock: clock.clone(),
        events: events.clone(),
        snapshot: snapshot.clone(),
        store: store.clone(),
        incarnation: incarnation.clone(),
        orders: Arc::new(OrderSender::new(
            incarnation.clone(),
            store.clone(),
            client.clone(),
            clock.clone(),
        )),
    };
    executor.spawn(admin_server.listen(admin_listener, executor.clone())).detach();
    executor.spawn(control.run(event_receiver, drained_sender)).detach();
    let traffic_executor = match settings.threads {
        0 => executor.clone(),
        _ => Arc::new(Executor::new()),
    };
    threads.push(spawn_thread("control", executor, stopped.clone())?);
    let (shutdown, shutdown_signal) = async_channel::bounded::<()>(1);
    let (closing, closing_signal) = async_channel::bounded::<()>(1);
    let shutdown_announced = Arc::new(AtomicBool::new(false));
    let open_connections = Arc::new(AtomicUsize::new(0));
    if let Some(platform) = platform {
        let upstream = UpstreamClient::new(traffic_executor.clone(), clock.clone());
        socket_traffic.servers = upstream.traffic();
        let forwarder = Forwarder {
            clock: clock.clone(),
            upstream,
            executor: traffic_executor.clone(),
            events: events.clone(),
            snapshot: snapshot.clone(),
            platform,
            metrics,
            incarnation: incarnation.clone(),
            id_counter: Arc::new(AtomicU64::new(0)),
            body_memory: BodyMemory::new(FORWARD_BODY_MEMORY),
            response_memory: BodyMemory::new(FORWARD_RESPONSE_MEMORY),
            link: SharedLink::new(settings.link, socket_traffic.clone(), clock.now()),
            stopping: shutdown_announced.clone(),
        };
        let report = report_usage(
            forwarder.clone(),
            socket_traffic.clone(),
            settings.link,
            open_connections.clone(),
        );
        traffic_executor.spawn(report).detach();
        spawn_listeners(
            settings,
            &forwarder,
            listener,
            &traffic_executor,
            ListenerState {
                shutdown: shutdown_signal,
                closing: closing_signal,
                open: open_connections.clone(),
                traffic: socket_traffic.callers,
            },
        )?;
    } else {
        let handler = RequestHandler {
            clock,
            client,
            events: events.clone(),
            snapshot: snapshot.clone(),
            store,
            incarnation: incarnation.clone(),
            executor: traffic_executor.clone(),
            metrics,
            request_count: Arc::new(AtomicU64::new(0)),
            engine_memory: BodyMemory::new(ENGINE_BODY_MEMORY),
            service_memory: BodyMemory::new(SERVICE_BODY_MEMORY),
        };
        let accept_task = handler.listen(listener, ServerLimits::default(), active.clone());
        traffic_executor.spawn(accept_task).detach();
    }
    for _ in 0..settings.threads {
        threads.push(spawn_thread("traffic", traffic_executor.clone(), stopped.clone())?);
    }
    log::info!(router:% = incarnation, listen:% = listen, admin:% = admin, peer:% = peer; "started");
    let stop_limit = settings.stop_limit;
    Ok(RouterHandle {
        incarnation,
        listen,
        admin,
        peer,
        events,
        drained,
        active,
        open_connections,
        snapshot,
        shutdown,
        closing,
        shutdown_announced,
        stop_limit,
        stop,
        threads,
    })
}

/// Spawns the tasks that watch the configuration and servers in the platform's store, and the task
/// that fetches the identity.
fn spawn_watchers(effects: &Effects, platform: &Arc<dyn Platform>, incarnation: &Incarnation) {
    let executor = &effects.executor;
    executor.spawn(watch_operator(effects.clone(), platform.clone())).detach();
    executor.spawn(watch_servers(effects.clone(), platform.clone())).detach();
    executor.spawn(fetch_identity(effects.clone(), incarnation.router.clone())).detach();
}

/// Starts to accept callers on a platform, and the readiness checks of its load balancer.
fn spawn_listeners(
    settings: &RouterSettings,
    forwarder: &Forwarder,
    listener: Async<TcpListener>,
    executor: &Arc<Executor<'static>>,
    listener_state: ListenerState,
) -> io::Result<()> {
    if let Some(address) = settings.ready {
        let ready = Async::<TcpListener>::bind(address)?;
        let ready_state = ListenerState {
            open: Arc::default(),
            traffic: Traffic::default(),
            ..listener_state.clone()
        };
        let ready_task = forwarder.clone().serve_readiness(ready, executor.clone(), ready_state);
        executor.spawn(ready_task).detach();
    }
    let accept_task = forwarder.clone().serve(listener, executor.clone(), listener_state);
    executor.spawn(accept_task).detach();
    Ok(())
}

impl RouterHandle {
    /// Announces a graceful shutdown: readiness checks fail, and each response asks its caller to
    /// close the connection. Requests are accepted until [`RouterHandle::drain`], since the load
    /// balancer still sends callers here until it has noticed.
    ///
    /// Returns how long to wait before the drain.
    pub fn announce_shutdown(&self) -> Millis {
        self.shutdown_announced.store(true, Ordering::Relaxed);
        self.send(Event::AnnounceShutdown);
        self.shutdown.close();
        self.stop_limit.map_or(Millis(0), |limit| DRAIN_DELAY.min(Millis(limit.0 / 2)))
    }

    fn send(&self, event: Event) {
        // The channel is unbounded: this fails only once the control thread has ended.
        if self.events.try_send(event).is_err() {
            log::debug!("the control thread has ended");
        }
    }

    /// Starts a graceful shutdown: new requests are refused, running ones complete. Connections stay
    /// open until [`RouterHandle::wait_drained`] has nothing left to wait for, so that each request
    /// gets an answer.
    pub fn drain(&self) {
        self.send(Event::Drain);
    }

    /// Replaces the certificates of the link to the other routers. Invalid ones are logged and
    /// ignored.
    pub fn reload_certificates(&self, identity: PeerIdentity) {
        self.send(Event::IdentityReloaded(identity));
    }

    /// Applies the settings that may change while the router runs: its retry limits.
    pub fn reconfigure(&self, settings: RouterSettings) {
        self.send(Event::SettingsReloaded(Box::new(settings)));
    }

    /// Waits until a graceful shutdown has completed, at most for the drain limit of the settings
    /// and for what is left of the stop limit, and returns whether it completed in time.
    pub async fn wait_drained(&self) -> bool {
        let Some(stop) = self.stop_limit else { return self.wait_flushed().await };
        let limit = remaining_drain_time(stop);
        let end_waiting = async {
            let (queue_end, answer_time) = (LAST_START_TIME.0, LAST_ANSWER_TIME.0);
            Timer::after(Millis(limit.0.saturating_sub(queue_end)).duration()).await;
            self.send(Event::EndQueued);
            Timer::after(Millis(queue_end.min(limit.0) - answer_time.min(limit.0)).duration())
                .await;
            self.send(Event::EndWaiting);
            future::pending().await
        };
        timeout(limit, self.wait_flushed().or(end_waiting)).await.unwrap_or(false)
    }

    /// Waits until the last request has ended, and then until its response has been sent.
    async fn wait_flushed(&self) -> bool {
        let settings = self.snapshot.load().settings.clone();
        let limit = settings.map_or(DEFAULT_DRAIN_LIMIT, |settings| settings.fleet().drain_limit);
        if timeout(limit, self.drained.recv()).await.is_none() {
            return false;
        }
        // The end of a response may not have been written to the caller's connection yet.
        self.closing.close();
        let flushed = async {
            while self.active_count() > 0 {
                Timer::after(FLUSH_INTERVAL.duration()).await;
            }
        };
        timeout(FLUSH_TIMEOUT, flushed).await.is_some()
    }

    /// Returns the number of requests and platform connections that are still open.
    pub fn active_count(&self) -> usize {
        self.active.count() + self.open_connections.load(Ordering::Relaxed)
    }

    /// Stops the threads immediately.
    pub fn stop(self) {
        self.stop.close();
        for thread in self.threads {
            let _ = thread.join();
        }
    }
}

/// Returns the time left for the drain after [`RouterHandle::announce_shutdown`] if the whole stop
/// may take `limit`.
fn remaining_drain_time(limit: Millis) -> Millis {
    let pause = DRAIN_DELAY.min(Millis(limit.0 / 2));
    Millis(limit.0.saturating_sub(pause.0 + STOP_MARGIN.0))
}

fn spawn_thread(
    name: &str,
    executor: Arc<Executor<'static>>,
    stopped: Receiver<()>,
) -> io::Result<JoinHandle<()>> {
    thread::Builder::new().name(name.to_owned()).spawn(move || {
        let stop_signal = async {
            let _ = stopped.recv().await;
        };
        block_on(executor.run(stop_signal.or(future::pending())));
    })
}

fn new_incarnation(settings: &RouterSettings, clock: &Clock) -> Incarnation {
    let random: u64 = u64::from(rand::random::<u16>());
    let number = (clock.now().as_millis() << RANDOM_BITS) | random;
    Incarnation { router: settings.name.clone(), number }
}
