//! One router as a set of threads: a control thread and threads for traffic.

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
use crate::calls::traffic::Traffic;
use crate::control::core::Control;
use crate::control::effects::Effects;
use crate::control::event::Event;
use crate::control::snapshot::Serving;
use crate::control::snapshot::SharedSnapshot;
use crate::control::snapshot::Snapshot;
use crate::fleet::state::Fleet;
use crate::forward::Forwarder;
use crate::forward::Platform;
use crate::forward::SharedLink;
use crate::forward::watch::fetch_identity;
use crate::forward::watch::watch_configuration;
use crate::forward::watch::watch_servers;
use crate::metrics::Metrics;
use crate::operate::admin::Admin;
use crate::operate::orders::Orders;

/// Time that answers may take to leave the process after the last request has ended.
const FLUSH_LIMIT: Millis = Millis(10_000);
/// Interval at which the end of the last answers is looked for.
const FLUSH_INTERVAL: Millis = Millis(10);
/// Memory for the bodies of model work.
const ENGINE_MEMORY: ByteSize = ByteSize(192 << 20);
/// Memory for the bodies of plain services' calls.
const SERVICE_MEMORY: ByteSize = ByteSize(64 << 20);
/// Time that a drain may take before the settings are known.
const DRAIN_LIMIT: Millis = Millis(600_000);
/// Memory for the bodies of requests that are passed on, which are small.
const FORWARD_MEMORY: ByteSize = ByteSize(32 << 20);
/// Time after which a load balancer that asks once a second sends no more callers: two misses, and
/// one second for the connections that were on their way.
const LEAVE_TIME: Millis = Millis(3_000);
/// Time left for the end of the process when a stop has to be over.
const STOP_MARGIN: Millis = Millis(300);
/// Random bits below the start time in an incarnation's number.
const RANDOM_BITS: u32 = 16;

/// A running router.
#[derive(Debug)]
pub struct Running {
    /// This run.
    pub me: Incarnation,
    /// Address for callers.
    pub listen: SocketAddr,
    /// Address for operators.
    pub admin: SocketAddr,
    /// Address for other routers.
    pub peer: SocketAddr,
    events: Sender<Event>,
    drained: Receiver<()>,
    active: ActiveRequests,
    /// Callers' connections that are open on a platform.
    open: Arc<AtomicUsize>,
    snapshot: SharedSnapshot,
    /// Closed when callers' connections should end after the request that they carry.
    leave: Sender<()>,
    departing: Arc<AtomicBool>,
    stop_limit: Option<Millis>,
    stop: Sender<()>,
    threads: Vec<JoinHandle<()>>,
}

/// Starts a router that offers its own interface.
///
/// # Errors
/// Fails if an address cannot be bound or a certificate cannot be read.
pub fn start(settings: &RouterSettings, identity: PeerIdentity) -> io::Result<Running> {
    start_with(settings, Edge::Own(identity))
}

/// Starts a router on a platform.
///
/// # Errors
/// Fails if an address cannot be bound.
pub fn start_on(settings: &RouterSettings, platform: Arc<dyn Platform>) -> io::Result<Running> {
    start_with(settings, Edge::Platform(platform))
}

/// What the router offers to callers and knows its peers by.
enum Edge {
    /// Its own interface, and certificates from files.
    Own(PeerIdentity),
    /// A platform's interface, and an authority in the platform's store.
    Platform(Arc<dyn Platform>),
}

fn start_with(settings: &RouterSettings, edge: Edge) -> io::Result<Running> {
    let clock = Clock::real();
    let me = new_incarnation(settings, &clock);
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
        ended: FastSet::default(),
    }));
    let metrics = Metrics::new(settings.metrics)?;
    let active = ActiveRequests::default();
    let (events, inbox) = async_channel::unbounded();
    let (stop, stopped) = async_channel::bounded::<()>(1);
    let (drained_sender, drained) = async_channel::bounded(1);
    let mut threads = Vec::new();

    let executor = Arc::new(Executor::new());
    let inner: Arc<dyn Store> = match &edge {
        Edge::Own(_) => Arc::new(HttpStore::new(StoreOptions::new(settings.store.clone()))),
        Edge::Platform(platform) => {
            let upstream = UpstreamClient::new(executor.clone(), clock.clone());
            platform.store(&settings.store, upstream)
        }
    };
    let guard = Arc::new(GuardedStore::new(inner.clone(), clock.clone()));
    // The router's own store does not count calls, and its client has pauses of its own.
    let store: Arc<dyn Store> = match &edge {
        Edge::Own(_) => inner,
        Edge::Platform(_) => guard.clone(),
    };
    let effects = Effects {
        executor: executor.clone(),
        store: store.clone(),
        guard,
        client: client.clone(),
        events: events.clone(),
        clock: clock.clone(),
    };
    let (identity, platform) = match edge {
        Edge::Own(identity) => (Some(identity), None),
        Edge::Platform(platform) => (None, Some(platform)),
    };
    let fleet = Fleet::start(settings, &me, identity, admin, &effects)?;
    let peer = fleet.address();
    if let Some(platform) = &platform {
        follow(&effects, platform, &me);
    }
    let control =
        Control::new(clock.clone(), me.clone(), settings.clone(), fleet, effects, snapshot.clone());
    let admin_server = Admin {
        clock: clock.clone(),
        events: events.clone(),
        snapshot: snapshot.clone(),
        store: store.clone(),
        me: me.clone(),
        orders: Arc::new(Orders::new(me.clone(), store.clone(), client.clone(), clock.clone())),
    };
    executor.spawn(admin_server.listen(admin_listener, executor.clone())).detach();
    executor.spawn(control.run(inbox, drained_sender)).detach();
    let traffic_executor = match settings.threads {
        0 => executor.clone(),
        _ => Arc::new(Executor::new()),
    };
    threads.push(spawn_thread("control", executor, stopped.clone())?);
    let (leave, leaving) = async_channel::bounded::<()>(1);
    let departing = Arc::new(AtomicBool::new(false));
    let open = Arc::new(AtomicUsize::new(0));
    if let Some(platform) = platform {
        let forwarder = Forwarder {
            clock: clock.clone(),
            upstream: UpstreamClient::new(traffic_executor.clone(), clock.clone()),
            executor: traffic_executor.clone(),
            events: events.clone(),
            snapshot: snapshot.clone(),
            platform,
            metrics,
            incarnation: me.clone(),
            id_counter: Arc::new(AtomicU64::new(0)),
            body_memory: BodyMemory::new(FORWARD_MEMORY),
            link: SharedLink::new(settings.link),
            stopping: departing.clone(),
        };
        forward(settings, &forwarder, listener, &traffic_executor, leaving, &open)?;
    } else {
        let traffic = Traffic {
            clock,
            client,
            events: events.clone(),
            snapshot: snapshot.clone(),
            store,
            me: me.clone(),
            executor: traffic_executor.clone(),
            metrics,
            counter: Arc::new(AtomicU64::new(0)),
            engine_memory: BodyMemory::new(ENGINE_MEMORY),
            service_memory: BodyMemory::new(SERVICE_MEMORY),
        };
        let accepting = traffic.listen(listener, ServerLimits::default(), active.clone());
        traffic_executor.spawn(accepting).detach();
    }
    for _ in 0..settings.threads {
        threads.push(spawn_thread("traffic", traffic_executor.clone(), stopped.clone())?);
    }
    log::info!(router:% = me, listen:% = listen, admin:% = admin, peer:% = peer; "started");
    let stop_limit = settings.stop_limit;
    Ok(Running {
        me,
        listen,
        admin,
        peer,
        events,
        drained,
        active,
        open,
        snapshot,
        leave,
        departing,
        stop_limit,
        stop,
        threads,
    })
}

/// Starts to follow what the platform's store holds.
fn follow(effects: &Effects, platform: &Arc<dyn Platform>, me: &Incarnation) {
    let spawn = &effects.executor;
    spawn.spawn(watch_configuration(effects.clone(), platform.clone())).detach();
    spawn.spawn(watch_servers(effects.clone(), platform.clone())).detach();
    spawn.spawn(fetch_identity(effects.clone(), me.router.clone())).detach();
}

/// Starts to accept callers on a platform, and its load balancer's questions.
fn forward(
    settings: &RouterSettings,
    forwarder: &Forwarder,
    listener: Async<TcpListener>,
    executor: &Arc<Executor<'static>>,
    leaving: Receiver<()>,
    open: &Arc<AtomicUsize>,
) -> io::Result<()> {
    let listening = ListenerState { shutdown: leaving, open: open.clone() };
    if let Some(address) = settings.ready {
        let ready = Async::<TcpListener>::bind(address)?;
        let counted = ListenerState { open: Arc::default(), ..listening.clone() };
        let answering = forwarder.clone().serve_readiness(ready, executor.clone(), counted);
        executor.spawn(answering).detach();
    }
    let accepting = forwarder.clone().serve(listener, executor.clone(), listening);
    executor.spawn(accepting).detach();
    Ok(())
}

impl Running {
    /// Announces a graceful shutdown: a load balancer is told that the router is not ready, and
    /// callers' connections end after the request that they carry. Work is taken until
    /// [`Running::drain`], since callers are still sent here until the load balancer has noticed.
    ///
    /// Returns how long to wait before the drain.
    pub fn leave(&self) -> Millis {
        self.departing.store(true, Ordering::Relaxed);
        self.tell(Event::Depart);
        self.leave.close();
        self.stop_limit.map_or(Millis(0), |limit| LEAVE_TIME.min(Millis(limit.0 / 2)))
    }

    fn tell(&self, event: Event) {
        // The channel is unbounded: this fails only once the control thread has ended.
        if self.events.try_send(event).is_err() {
            log::debug!("the control thread has ended");
        }
    }

    /// Starts a graceful shutdown: new work is refused, requests in progress finish.
    pub fn drain(&self) {
        self.tell(Event::Drain);
    }

    /// Uses new certificates for the link to the other routers. Wrong ones are logged and change
    /// nothing.
    pub fn reload(&self, identity: PeerIdentity) {
        self.tell(Event::Reload(identity));
    }

    /// Uses the settings of a router that may change while it runs: its part of the retries.
    pub fn reconfigure(&self, settings: RouterSettings) {
        self.tell(Event::Settings(Box::new(settings)));
    }

    /// Waits until a graceful shutdown has ended, at most for the drain limit of the settings, and
    /// returns whether nothing was left.
    pub async fn drained(&self) -> bool {
        let settings = self.snapshot.load().settings.clone();
        let limit = settings.map_or(DRAIN_LIMIT, |settings| settings.fleet().drain_limit);
        let limit = self.stop_limit.map_or(limit, |stop| limit.min(drain_time(stop)));
        if timeout(limit, self.drained.recv()).await.is_none() {
            return false;
        }
        // The end of an answer may still be on its way through the server's connection.
        let flushed = async {
            while self.active() > 0 {
                Timer::after(FLUSH_INTERVAL.duration()).await;
            }
        };
        timeout(FLUSH_LIMIT, flushed).await.is_some()
    }

    /// Returns the number of requests that have not been answered in full.
    pub fn active(&self) -> usize {
        self.active.count() + self.open.load(Ordering::Relaxed)
    }

    /// Stops the threads at once.
    pub fn stop(self) {
        self.stop.close();
        for thread in self.threads {
            let _ = thread.join();
        }
    }
}

/// Returns how long a drain may take that follows [`Running::leave`] if the whole stop may take
/// `limit`.
fn drain_time(limit: Millis) -> Millis {
    let leave = LEAVE_TIME.min(Millis(limit.0 / 2));
    Millis(limit.0.saturating_sub(leave.0 + STOP_MARGIN.0))
}

fn spawn_thread(
    name: &str,
    executor: Arc<Executor<'static>>,
    stopped: Receiver<()>,
) -> io::Result<JoinHandle<()>> {
    thread::Builder::new().name(name.to_owned()).spawn(move || {
        let ended = async {
            let _ = stopped.recv().await;
        };
        block_on(executor.run(ended.or(future::pending())));
    })
}

fn new_incarnation(settings: &RouterSettings, clock: &Clock) -> Incarnation {
    let random: u64 = u64::from(rand::random::<u16>());
    let number = (clock.now().as_millis() << RANDOM_BITS) | random;
    Incarnation { router: settings.name.clone(), number }
}
