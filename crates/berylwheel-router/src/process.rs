//! One router as a set of threads: a control thread and threads for traffic.

use std::io;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
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
use berylwheel_http::ActiveRequests;
use berylwheel_http::Client;
use berylwheel_http::ServerLimits;
use berylwheel_http::timeout;
use berylwheel_peer::PeerIdentity;
use berylwheel_settings::RouterSettings;
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

use crate::admin::Admin;
use crate::control::Control;
use crate::effects::Effects;
use crate::event::Event;
use crate::fleet::Fleet;
use crate::memory::BodyMemory;
use crate::metrics::Metrics;
use crate::orders::Orders;
use crate::snapshot::Serving;
use crate::snapshot::SharedSnapshot;
use crate::snapshot::Snapshot;
use crate::traffic::Traffic;

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
    snapshot: SharedSnapshot,
    stop: Sender<()>,
    threads: Vec<JoinHandle<()>>,
}

/// Starts a router.
///
/// # Errors
/// Fails if an address cannot be bound or a certificate cannot be read.
pub fn start(settings: &RouterSettings, identity: PeerIdentity) -> io::Result<Running> {
    let clock = Clock::real();
    let me = new_incarnation(settings, &clock);
    let listener = Async::<TcpListener>::bind(settings.listen)?;
    let admin_listener = Async::<TcpListener>::bind(settings.admin)?;
    let (listen, admin) =
        (listener.get_ref().local_addr()?, admin_listener.get_ref().local_addr()?);
    let client = Client::default();
    let store: Arc<dyn Store> = Arc::new(HttpStore::new(StoreOptions::new(settings.store.clone())));
    let snapshot: SharedSnapshot = Arc::new(ArcSwap::from_pointee(Snapshot {
        serving: Serving::Starting,
        version: Version::default(),
        settings: None,
        access: AccessTable::default(),
        ended: FastSet::default(),
    }));
    let metrics = Metrics::new(settings.metrics)?;
    let active = ActiveRequests::default();
    let (events, inbox) = async_channel::unbounded();
    let (stop, stopped) = async_channel::bounded::<()>(1);
    let (drained_sender, drained) = async_channel::bounded(1);
    let mut threads = Vec::new();

    let executor = Arc::new(Executor::new());
    let effects = Effects {
        executor: executor.clone(),
        store: store.clone(),
        client: client.clone(),
        events: events.clone(),
        clock: clock.clone(),
    };
    let fleet = Fleet::start(settings, &me, identity, admin, &effects)?;
    let peer = fleet.address();
    let control = Control::new(clock.clone(), me.clone(), fleet, effects, snapshot.clone());
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
    threads.push(spawn_thread("control", executor, stopped.clone())?);

    let traffic_executor = Arc::new(Executor::new());
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
    let limits = ServerLimits::default();
    let accepting = traffic.listen(listener, limits, active.clone());
    traffic_executor.spawn(accepting).detach();
    for _ in 0..settings.threads.max(1) {
        threads.push(spawn_thread("traffic", traffic_executor.clone(), stopped.clone())?);
    }
    log::info!(router:% = me, listen:% = listen, admin:% = admin, peer:% = peer; "started");
    Ok(Running { me, listen, admin, peer, events, drained, active, snapshot, stop, threads })
}

impl Running {
    /// Starts a graceful shutdown: new work is refused, requests in progress finish.
    pub fn drain(&self) {
        let _ = self.events.try_send(Event::Drain);
    }

    /// Uses new certificates for the link to the other routers. Wrong ones are logged and change
    /// nothing.
    pub fn reload(&self, identity: PeerIdentity) {
        let _ = self.events.try_send(Event::Reload(identity));
    }

    /// Waits until a graceful shutdown has ended, at most for the drain limit of the settings, and
    /// returns whether nothing was left.
    pub async fn drained(&self) -> bool {
        let settings = self.snapshot.load().settings.clone();
        let limit = settings.map_or(DRAIN_LIMIT, |settings| settings.fleet().drain_limit);
        if timeout(limit, self.drained.recv()).await.is_none() {
            return false;
        }
        // The end of an answer may still be on its way through the server's connection.
        let flushed = async {
            while self.active.count() > 0 {
                Timer::after(FLUSH_INTERVAL.duration()).await;
            }
        };
        timeout(FLUSH_LIMIT, flushed).await.is_some()
    }

    /// Returns the number of requests that have not been answered in full.
    pub fn active(&self) -> usize {
        self.active.count()
    }

    /// Stops the threads at once.
    pub fn stop(self) {
        self.stop.close();
        for thread in self.threads {
            let _ = thread.join();
        }
    }
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
