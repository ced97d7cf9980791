//! State that one router keeps about the others: configuration, membership and the link.

use std::io;
use std::net::SocketAddr;

use async_channel::Receiver;
use async_channel::Sender;
use async_executor::Task;
use async_io::Timer;
use berylwheel_config::ConfigState;
use berylwheel_config::MemberPolicy;
use berylwheel_config::Members;
use berylwheel_config::PeerClocks;
use berylwheel_config::StoreReach;
use berylwheel_config::SyncPolicy;
use berylwheel_peer::InboundMessage;
use berylwheel_peer::Message;
use berylwheel_peer::PeerIdentity;
use berylwheel_peer::PeerLink;
use berylwheel_settings::Adapter;
use berylwheel_settings::RouterSettings;
use berylwheel_types::FailureDomain;
use berylwheel_types::FastMap;
use berylwheel_types::Incarnation;
use berylwheel_types::Millis;
use berylwheel_types::RequestId;
use berylwheel_types::RouterId;
use berylwheel_types::Timestamp;
use berylwheel_types::VisitCounter;
use berylwheel_types::stable_hash;
use serde_json::Value;
use serde_json::json;

use crate::control::effects::Effects;
use crate::control::event::Event;
use crate::fleet::claims::ClaimHomes;
use crate::fleet::holds::read_holds;
use crate::fleet::reclaim::ReclaimState;
use crate::fleet::registry;
use crate::fleet::registry::RouterEntry;

/// Time over which the routers of a fleet register again after a restore of the store.
const REGISTER_SPREAD: Millis = Millis(1_000);

/// State that one router keeps about the others.
pub struct Fleet {
    /// State of the configuration exchange.
    pub config: ConfigState,
    /// Membership and liveness of the routers.
    pub members: Members,
    /// The link to the other routers, or `None` until its certificates are available.
    pub(crate) link: Option<PeerLink>,
    pub(crate) address: SocketAddr,
    pub(crate) own_entry: RouterEntry,
    /// Keeps the entry of this router in the store. Dropping it ends the task.
    pub(crate) registration: Task<()>,
    pub(crate) clocks: PeerClocks,
    /// Whether the local clock agreed with those of the peers when it was last compared.
    pub(crate) clock_agrees: bool,
    pub(crate) store_reach: StoreReach,
    /// Whether the store was unavailable at the last check.
    pub(crate) store_unavailable: bool,
    /// When this router last sent or received a notice that the store is back.
    pub(crate) regain_notice: Timestamp,
    pub(crate) adapter: Adapter,
    pub(crate) vms_address: Option<SocketAddr>,
    pub(crate) addresses: FastMap<RouterId, SocketAddr>,
    pub(crate) configured_peers: Vec<(RouterId, SocketAddr)>,
    pub(crate) listed_routers: Vec<RouterEntry>,
    /// Failure domains that routers reported in their heartbeats.
    pub(crate) domains: FastMap<RouterId, FailureDomain>,
    pub(crate) latest_runs: FastMap<RouterId, Incarnation>,
    pub(crate) reclaims: FastMap<Incarnation, ReclaimState>,
    pub(crate) next_vms: Timestamp,
    pub(crate) next_registry: Timestamp,
    pub(crate) watch_started: bool,
    pub(crate) last_claim: u64,
    pub(crate) claim_homes: ClaimHomes,
    pub(crate) pending_claims: FastMap<u64, RequestId>,
    /// Whether quarantined prompt parts have changed since they were last written to the store.
    pub(crate) holds_to_store: bool,
    pub(crate) next_holds_write: Timestamp,
    /// The state of [`Members::live_changes`] for which everything that depends on the live routers
    /// was updated.
    pub(crate) applied_changes: Option<u64>,
    /// The number of the run of each router with which connections were last made.
    pub(crate) linked_runs: FastMap<RouterId, u64>,
    pub(crate) visits: VisitCounter,
    /// Receives all messages in place of the link when a router runs without sockets.
    pub(crate) recorder: Option<Sender<(RouterId, Message)>>,
}

impl Fleet {
    /// Opens the link to the other routers and registers this one in the store. Without an
    /// identity, [`Fleet::open_link`] opens the link later.
    ///
    /// # Errors
    /// Fails if the address cannot be bound.
    pub fn start(
        settings: &RouterSettings,
        incarnation: &Incarnation,
        identity: Option<PeerIdentity>,
        admin: SocketAddr,
        effects: &Effects,
    ) -> io::Result<Self> {
        let link =
            identity.map(|identity| open_link(settings.peer, identity, effects)).transpose()?;
        let address = match &link {
            Some(link) => link.address().map_err(io::Error::other)?,
            None => settings.peer,
        };
        let own_entry = RouterEntry {
            incarnation: incarnation.clone(),
            peer: address,
            admin,
            domain: settings.domain.clone(),
            region: settings.region.clone(),
            ended: Vec::new(),
        };
        let registration = register_run(effects.clone(), own_entry.clone(), settings.adapter);
        let registration = effects.executor.spawn(registration);
        effects.executor.spawn(read_holds(effects.clone())).detach();
        let config = ConfigState::new(
            incarnation.router.clone(),
            settings.domain.clone(),
            SyncPolicy::default(),
        );
        let now = effects.clock.now();
        let mut fleet = Self {
            config,
            members: Members::new(incarnation.clone(), address, MemberPolicy::default()),
            link,
            address,
            own_entry,
            registration,
            clocks: PeerClocks::default(),
            clock_agrees: false,
            store_reach: StoreReach::default(),
            store_unavailable: false,
            regain_notice: Timestamp::default(),
            adapter: settings.adapter,
            vms_address: settings.vms,
            addresses: settings.peers.iter().cloned().collect(),
            configured_peers: settings.peers.clone(),
            listed_routers: Vec::new(),
            domains: FastMap::default(),
            latest_runs: FastMap::default(),
            reclaims: FastMap::default(),
            next_vms: now,
            next_registry: now,
            watch_started: false,
            last_claim: 0,
            claim_homes: ClaimHomes::default(),
            pending_claims: FastMap::default(),
            holds_to_store: false,
            next_holds_write: now,
            applied_changes: None,
            linked_runs: FastMap::default(),
            visits: VisitCounter::default(),
            recorder: None,
        };
        fleet.set_peers();
        Ok(fleet)
    }

    /// Returns the address for the other routers.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the number of entries of other routers examined since the start.
    pub(crate) fn visits(&self) -> u64 {
        let reports = self.clocks.visits() + self.store_reach.visits();
        self.members.visits() + self.config.visits() + reports + self.visits.total()
    }

    /// Returns a dump of the state for operators.
    pub fn dump(&self) -> Value {
        json!({
            "config": self.config.dump(),
            "live": self.members.live(),
            "versions": self.members.versions(),
            "reclaiming": self.reclaims.iter().filter(|(_, r)| r.passes == 0).map(|(i, _)| i).collect::<Vec<_>>(),
            "link": self.link_dump(),
        })
    }

    fn link_dump(&self) -> Value {
        let Some(link) = &self.link else { return Value::Null };
        let stats = link.stats();
        json!({
            "bytes_in": stats.bytes_in,
            "bytes_out": stats.bytes_out,
            "messages_in": stats.messages_in,
            "messages_out": stats.messages_out,
            "dropped": stats.dropped,
            "connections": stats.connections,
            "handshakes_out": stats.handshakes_out,
            "handshakes_in": stats.handshakes_in,
        })
    }

    pub(crate) fn set_peers(&mut self) {
        // A router whose failure domain is unknown is assumed to share this router's.
        let domain =
            |router| self.domains.get(router).unwrap_or_else(|| self.config.domain()).clone();
        let configured =
            self.configured_peers.iter().map(|(router, _)| (router.clone(), domain(router)));
        let mut peers: FastMap<RouterId, _> = configured.collect();
        self.visits.add(self.listed_routers.len() + self.configured_peers.len());
        for router in &self.listed_routers {
            self.addresses.insert(router.incarnation.router.clone(), router.peer);
            peers.insert(router.incarnation.router.clone(), router.domain.clone());
        }
        peers.remove(&self.own_entry.incarnation.router);
        self.members.set_peers(peers.keys().cloned());
        self.config.set_peers(peers.into_iter().collect());
    }

    pub(crate) fn record_domain(&mut self, router: &RouterId, domain: FailureDomain) {
        if self.domains.get(router) == Some(&domain) {
            return;
        }
        self.domains.insert(router.clone(), domain);
        // The list of routers states the domains of all others.
        if self.configured_peers.iter().any(|(configured, _)| configured == router) {
            self.set_peers();
        }
    }

    /// Returns the current runs of the other live routers.
    ///
    /// Goes through all members, so it is called only after a change of [`Members::live_changes`].
    pub(crate) fn live_runs(&self) -> Vec<Incarnation> {
        let own = &self.own_entry.incarnation.router;
        let live = self.members.live().into_iter().filter(|router| router != own);
        live.filter_map(|router| self.members.incarnation(&router).cloned()).collect()
    }

    /// Closes the connections to the routers whose processes have been replaced by those in `runs`.
    pub(crate) fn disconnect_replaced(&mut self, runs: &[Incarnation]) {
        self.visits.add(runs.len());
        for run in runs {
            let known = self.linked_runs.insert(run.router.clone(), run.number);
            if known.is_none_or(|number| number == run.number) {
                continue;
            }
            if let (Some(link), Some(address)) = (&self.link, self.addresses.get(&run.router)) {
                link.disconnect(*address);
            }
        }
    }

    pub(crate) fn send(&self, to: &RouterId, message: Message) {
        if let Some(recorder) = &self.recorder {
            // The receiver outlives this state.
            let _ = recorder.try_send((to.clone(), message));
            return;
        }
        let Some(link) = &self.link else { return };
        // Heartbeats tell of routers that the list does not have yet.
        let address = self.addresses.get(to).copied().or_else(|| self.members.address(to));
        if let Some(address) = address {
            link.send(address, message);
        }
    }

    /// Replaces the certificates of the link. Invalid ones are logged and ignored.
    pub fn reload_certificates(&self, identity: PeerIdentity) {
        let (name, own) = (identity.name().clone(), &self.own_entry.incarnation.router);
        if name != *own {
            log::error!(certificate:% = name; "certificates rejected: they belong to another router");
            return;
        }
        let Some(link) = &self.link else { return };
        match link.reload(identity) {
            Ok(()) => log::info!("certificates reloaded"),
            Err(error) => log::error!("certificates rejected: {error}"),
        }
    }

    /// Opens the link to the other routers with an identity that was not available at the start.
    pub(crate) fn open_link(&mut self, identity: PeerIdentity, effects: &Effects) {
        match open_link(self.address, identity, effects) {
            Ok(link) => self.link = Some(link),
            Err(error) => log::error!("failed to open the link to the other routers: {error}"),
        }
    }

    /// Writes the entry of this router again, after the store has lost it or its lease. The lease may
    /// belong to another router now, so it is not renewed any more.
    pub(crate) fn register_again(&mut self, effects: &Effects) {
        let (effects, own) = (effects.clone(), self.own_entry.clone());
        let hash = stable_hash(&["register", own.incarnation.router.as_str()]);
        let delay = Millis(hash % REGISTER_SPREAD.0);
        let (executor, adapter) = (effects.executor.clone(), self.adapter);
        self.registration = executor.spawn(async move {
            Timer::after(delay.duration()).await;
            register_run(effects, own, adapter).await;
        });
    }

    /// Deregisters this router and closes the link, once a drain has completed.
    pub async fn leave(&self, effects: &Effects) {
        registry::deregister(&effects.store, &self.own_entry.incarnation).await;
        if let Some(link) = &self.link {
            link.close().await;
        }
    }
}

fn open_link(
    address: SocketAddr,
    identity: PeerIdentity,
    effects: &Effects,
) -> io::Result<PeerLink> {
    let (link, inbound) =
        PeerLink::bind(address, identity, &effects.executor).map_err(io::Error::other)?;
    effects.executor.spawn(forward_inbound(inbound, effects.clone())).detach();
    Ok(link)
}

async fn forward_inbound(inbound: Receiver<InboundMessage>, effects: Effects) {
    while let Ok(message) = inbound.recv().await {
        if effects.events.send(Event::PeerMessage(message)).await.is_err() {
            return;
        }
    }
}

/// Registers this run, and reports the earlier runs of the same router that have ended.
async fn register_run(effects: Effects, own: RouterEntry, adapter: Adapter) {
    let entry = match adapter {
        Adapter::None => registry::register(&effects.store, &own).await,
        Adapter::Platform => return registry::maintain_entry(&effects, &own).await,
    };
    effects.send(Event::RouterRegistered).await;
    for run in entry.ended {
        effects.send(Event::RunEnded(run)).await;
    }
}
