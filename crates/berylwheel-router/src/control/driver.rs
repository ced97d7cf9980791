//! A control thread that a test or benchmark steps by hand.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

use arc_swap::ArcSwap;
use async_channel::Receiver;
use async_executor::Executor;
use berylwheel_config::AccessTable;
use berylwheel_config::PathTable;
use berylwheel_http::Client;
use berylwheel_http::Traffic;
use berylwheel_peer::InboundMessage;
use berylwheel_peer::Message;
use berylwheel_route::ListedServer;
use berylwheel_route::ServerListEvent;
use berylwheel_route::WorkClass;
use berylwheel_route::WorkSample;
use berylwheel_settings::RouterSettings;
use berylwheel_settings::Settings;
use berylwheel_store::GuardedStore;
use berylwheel_store::MemoryStore;
use berylwheel_types::BackendId;
use berylwheel_types::Clock;
use berylwheel_types::FailureDomain;
use berylwheel_types::FastSet;
use berylwheel_types::Incarnation;
use berylwheel_types::KindId;
use berylwheel_types::ManualClock;
use berylwheel_types::RouterId;
use berylwheel_types::Version;

use crate::control::core::Control;
use crate::control::effects::Effects;
use crate::control::event::Event;
use crate::control::snapshot::Serving;
use crate::control::snapshot::Snapshot;
use crate::fleet::registry::RouterEntry;
use crate::fleet::relay::core::Relay;
use crate::fleet::relay::policy::RelayPolicy;
use crate::fleet::relay::store::RelayedStore;
use crate::fleet::relay::store::SharedRelay;
use crate::fleet::state::Fleet;
use crate::forward::OperatorConfig;
use crate::metrics::Metrics;

/// Number of tasks that one step runs at most, so that it always ends.
const TASK_LIMIT: usize = 1_000;

/// The control state of one router with a manual clock, a store in memory, and no sockets.
///
/// It shows what a router does in fleets of any size without starting the others.
///
/// ```
/// use berylwheel_router::ControlDriver;
/// use berylwheel_settings::Settings;
/// use berylwheel_types::{ManualClock, Millis, Timestamp};
/// let text = "[router]\nname = r1\ndomain = a\nregion = x\nadapter = platform\n\
///     listen = 127.0.0.1:1\nadmin = 127.0.0.1:2\npeer = 127.0.0.1:3\nstore = 127.0.0.1:4\n";
/// let settings = Settings::parse("r1.ini", text).unwrap();
/// let clock = ManualClock::new(Timestamp::from_millis(1_000));
/// let mut router = ControlDriver::new(settings.router(), &clock).unwrap();
/// let peer = ("r2".parse().unwrap(), "127.0.0.1:5".parse().unwrap(), "b".parse().unwrap());
/// router.set_routers(&[peer]);
/// router.step();
/// assert_eq!(router.take_sent()[0].0.as_str(), "r2");
/// ```
pub struct ControlDriver {
    control: Control,
    clock: ManualClock,
    executor: Arc<Executor<'static>>,
    events: Receiver<Event>,
    sent: Receiver<(RouterId, Message)>,
}

impl ControlDriver {
    /// Creates the control state of a router that starts now.
    ///
    /// # Errors
    /// Fails if no socket for metrics can be opened, which settings without an address for them do
    /// not need.
    pub fn new(settings: &RouterSettings, clock: &ManualClock) -> io::Result<Self> {
        let executor = Arc::new(Executor::new());
        let (sender, events) = async_channel::unbounded();
        let (recorder, sent) = async_channel::unbounded();
        let manual = Clock::Manual(clock.clone());
        let memory = Arc::new(MemoryStore::new(manual.clone()));
        let guard = Arc::new(GuardedStore::new(memory, manual.clone()));
        let incarnation = Incarnation { router: settings.name.clone(), number: 1 };
        let relay = Relay::new(incarnation.clone(), RelayPolicy::default());
        let relay = Arc::new(SharedRelay::new(relay));
        let effects = Effects {
            executor: executor.clone(),
            store: guard.clone(),
            watched: Arc::new(RelayedStore::new(guard.clone(), relay.clone(), manual.clone())),
            relay,
            guard,
            restore_state: Arc::default(),
            client: Client::default(),
            events: sender,
            clock: manual.clone(),
            metrics: Metrics::new(settings.metrics)?,
            peer_traffic: Traffic::default(),
        };
        let mut fleet = Fleet::start(settings, &incarnation, None, settings.admin, &effects)?;
        fleet.recorder = Some(recorder);
        let snapshot = Arc::new(ArcSwap::from_pointee(Snapshot {
            serving: Serving::Starting,
            version: Version::default(),
            settings: None,
            access: AccessTable::default(),
            paths: PathTable::default(),
            ended_runs: FastSet::default(),
        }));
        let control = Control::new(manual, incarnation, settings.clone(), fleet, effects, snapshot);
        Ok(Self { control, clock: clock.clone(), executor, events, sent })
    }

    /// Sets the list of routers, as read from the store: names, peer addresses and failure domains.
    pub fn set_routers(&mut self, routers: &[(RouterId, SocketAddr, FailureDomain)]) {
        let entry = |(router, peer, domain): &(RouterId, SocketAddr, FailureDomain)| RouterEntry {
            incarnation: Incarnation { router: router.clone(), number: 1 },
            peer: *peer,
            admin: *peer,
            domain: domain.clone(),
            region: "main".to_owned(),
            ended: Vec::new(),
        };
        self.handle(Event::RegistryRead(routers.iter().map(entry).collect()));
    }

    /// Applies a version of the operator's configuration, with no failure domain evacuated.
    pub fn apply_configuration(&mut self, version: Version, settings: Settings) {
        self.handle(Event::DomainsEvacuated(FastSet::default()));
        let config = OperatorConfig { version, settings, repairs: Vec::new() };
        self.handle(Event::ExternalConfigRead(Box::new(config)));
    }

    /// Delivers a message from another router.
    pub fn receive(&mut self, from: &RouterId, address: SocketAddr, message: Message) {
        let inbound = InboundMessage { from: from.clone(), address, message };
        self.handle(Event::PeerMessage(inbound));
    }

    /// Replaces the list of backend servers, as read from the platform's store.
    pub fn list_servers(&mut self, servers: Vec<ListedServer>) {
        self.handle(Event::ServerListEvent(ServerListEvent::All(servers)));
    }

    /// Records how long a backend server took for work of a pool.
    pub fn record_work(&mut self, server: &BackendId, pool: &KindId, sample: WorkSample) {
        self.handle(Event::WorkMeasured(server.clone(), pool.clone(), sample));
    }

    /// Returns how much longer than expected a backend server takes for a class of work.
    pub fn speed_factor(&self, server: &BackendId, class: WorkClass) -> f64 {
        self.control.balancer.speed_factor(server, class)
    }

    /// Announces that the router will stop.
    pub fn announce_shutdown(&mut self) {
        self.handle(Event::AnnounceShutdown);
    }

    /// Runs the tasks that are ready, handles their events, and does the work that is due.
    pub fn step(&mut self) {
        let mut tasks = 0;
        while tasks < TASK_LIMIT && self.executor.try_tick() {
            tasks += 1;
        }
        let now = self.clock.now();
        while let Ok(event) = self.events.try_recv() {
            self.control.handle_event(now, event);
        }
        self.control.drive(now);
    }

    /// Returns the messages for other routers since the last call.
    pub fn take_sent(&mut self) -> Vec<(RouterId, Message)> {
        std::iter::from_fn(|| self.sent.try_recv().ok()).collect()
    }

    /// Returns the routers from which this one expects every heartbeat.
    pub fn expected_senders(&self) -> Vec<RouterId> {
        self.control.fleet.members.expected_senders()
    }

    /// Returns the number of other routers whose current runs are known, so that they count when
    /// the home of a budget is chosen.
    pub fn known_runs(&self) -> usize {
        self.control.fleet.live_runs().len()
    }

    /// Returns the number of calls to the store since the start, by purpose.
    pub fn store_calls(&self) -> BTreeMap<String, u64> {
        self.control.effects.guard.calls()
    }

    /// Returns the number of entries of other routers examined since the start.
    pub fn visits(&self) -> u64 {
        self.control.visits()
    }

    fn handle(&mut self, event: Event) {
        let now = self.clock.now();
        self.control.handle_event(now, event);
    }
}
