//! The other routers: configuration, membership, claims and recalls.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

use async_channel::Receiver;
use async_io::Timer;
use berylwheel_config::ConfigAction;
use berylwheel_config::ConfigState;
use berylwheel_config::Heartbeat;
use berylwheel_config::ListedState;
use berylwheel_config::MemberEntry;
use berylwheel_config::MemberPolicy;
use berylwheel_config::Members;
use berylwheel_config::Part;
use berylwheel_config::PartRef;
use berylwheel_config::ROOT_KEY;
use berylwheel_config::Root;
use berylwheel_config::SpreadPolicy;
use berylwheel_peer::Inbound;
use berylwheel_peer::Message;
use berylwheel_peer::PeerIdentity;
use berylwheel_peer::PeerLink;
use berylwheel_schedule::Served;
use berylwheel_settings::RouterSettings;
use berylwheel_store::Store;
use berylwheel_types::BillKey;
use berylwheel_types::BudgetId;
use berylwheel_types::FailureDomain;
use berylwheel_types::FastMap;
use berylwheel_types::Incarnation;
use berylwheel_types::Millis;
use berylwheel_types::RequestId;
use berylwheel_types::RouterId;
use berylwheel_types::Timestamp;
use berylwheel_types::stable_hash;
use serde_json::Value;
use serde_json::json;

use crate::change::read_parts;
use crate::change::read_root;
use crate::claims::ClaimAnswer;
use crate::claims::home_of;
use crate::control::Control;
use crate::effects::Effects;
use crate::event::Event;
use crate::event::Vm;
use crate::event::VmState;
use crate::ledger::Ledger;
use crate::registry;
use crate::registry::Registered;
use crate::translate::claim_answer;
use crate::translate::claim_state;
use crate::translate::digests_of;
use crate::translate::heartbeat_message;
use crate::translate::member_of;
use crate::translate::parts_message;
use crate::translate::parts_of;
use crate::translate::served_of;

/// Interval between reads of the platform's VM list; a lost message about a leaving server costs at
/// most this long.
const VMS_INTERVAL: Millis = Millis(1_000);
/// Interval between reads of the list of routers.
const REGISTRY_INTERVAL: Millis = Millis(10_000);
/// The same while no other router is known.
const REGISTRY_FIRST: Millis = Millis(500);
/// Interval between attempts to reclaim what a router that ended held.
const RECLAIM_INTERVAL: Millis = Millis(5_000);
/// Pauses before the reclaims that follow a successful one. A write that the process sent before it
/// ended may take effect late, on a page where the first reclaim found nothing.
const RECLAIM_AGAIN: [Millis; 2] = [Millis(60_000), Millis(600_000)];
/// Pause after a failed watch.
const WATCH_PAUSE: Millis = Millis(1_000);

/// What one router knows of the others.
pub struct Fleet {
    /// The configuration.
    pub config: ConfigState,
    /// Who is live.
    pub members: Members,
    link: PeerLink,
    address: SocketAddr,
    own: Registered,
    vms: Option<SocketAddr>,
    addresses: FastMap<RouterId, SocketAddr>,
    seeds: Vec<(RouterId, SocketAddr)>,
    listed: Vec<Registered>,
    /// Failure domains that routers told with their heartbeats.
    domains: FastMap<RouterId, FailureDomain>,
    runs: FastMap<RouterId, Incarnation>,
    reclaims: FastMap<Incarnation, Reclaim>,
    next_vms: Timestamp,
    next_registry: Timestamp,
    watching: bool,
    claim_id: u64,
    claims: FastMap<u64, RequestId>,
}

/// What is left to reclaim of a router process that ended.
#[derive(Debug)]
struct Reclaim {
    next: Timestamp,
    running: bool,
    passes: usize,
}

impl Reclaim {
    fn is_done(&self) -> bool {
        self.passes > RECLAIM_AGAIN.len()
    }
}

impl Fleet {
    /// Opens the link to other routers and registers this one in the store.
    ///
    /// # Errors
    /// Fails if the address cannot be bound.
    pub fn start(
        settings: &RouterSettings,
        me: &Incarnation,
        identity: PeerIdentity,
        admin: SocketAddr,
        effects: &Effects,
    ) -> io::Result<Self> {
        let (link, inbound) =
            PeerLink::bind(settings.peer, identity, &effects.executor).map_err(io::Error::other)?;
        let address = link.address().map_err(io::Error::other)?;
        effects.executor.spawn(forward(inbound, effects.clone())).detach();
        let own = Registered {
            incarnation: me.clone(),
            peer: address,
            admin,
            domain: settings.domain.clone(),
            region: settings.region.clone(),
            ended: Vec::new(),
        };
        effects.executor.spawn(announce(effects.clone(), own.clone())).detach();
        let config =
            ConfigState::new(me.router.clone(), settings.domain.clone(), SpreadPolicy::default());
        let now = effects.clock.now();
        let mut fleet = Self {
            config,
            members: Members::new(me.clone(), address, MemberPolicy::default()),
            link,
            address,
            own,
            vms: settings.vms,
            addresses: settings.peers.iter().cloned().collect(),
            seeds: settings.peers.clone(),
            listed: Vec::new(),
            domains: FastMap::default(),
            runs: FastMap::default(),
            reclaims: FastMap::default(),
            next_vms: now,
            next_registry: now,
            watching: false,
            claim_id: 0,
            claims: FastMap::default(),
        };
        fleet.set_peers();
        Ok(fleet)
    }

    /// Returns the address for other routers.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the state for operators.
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
        let stats = self.link.stats();
        json!({
            "bytes_in": stats.bytes_in,
            "bytes_out": stats.bytes_out,
            "messages_in": stats.messages_in,
            "messages_out": stats.messages_out,
            "dropped": stats.dropped,
        })
    }

    fn set_peers(&mut self) {
        // A router that has not told its failure domain counts as one of this router's own.
        let domain =
            |router| self.domains.get(router).unwrap_or_else(|| self.config.domain()).clone();
        let seeds = self.seeds.iter().map(|(router, _)| (router.clone(), domain(router)));
        let mut peers: FastMap<RouterId, _> = seeds.collect();
        for router in &self.listed {
            self.addresses.insert(router.incarnation.router.clone(), router.peer);
            peers.insert(router.incarnation.router.clone(), router.domain.clone());
        }
        peers.remove(&self.own.incarnation.router);
        self.members.set_peers(peers.keys().cloned());
        self.config.set_peers(peers.into_iter().collect());
    }

    fn note_domain(&mut self, router: &RouterId, domain: FailureDomain) {
        if self.domains.get(router) != Some(&domain) {
            self.domains.insert(router.clone(), domain);
            self.set_peers();
        }
    }

    fn send(&self, to: &RouterId, message: Message) {
        if let Some(address) = self.addresses.get(to) {
            self.link.send(*address, message);
        }
    }

    /// Uses new certificates from now on, unless they are wrong.
    pub fn reload(&self, identity: PeerIdentity) {
        let (name, own) = (identity.name().clone(), &self.own.incarnation.router);
        if name != *own {
            log::error!(certificate:% = name; "certificates not loaded: they are another router's");
            return;
        }
        match self.link.reload(identity) {
            Ok(()) => log::info!("certificates loaded"),
            Err(error) => log::error!("certificates not loaded: {error}"),
        }
    }

    /// Stops the link once this router has nothing left.
    pub async fn leave(&self, effects: &Effects) {
        registry::deregister(&effects.store, &self.own.incarnation).await;
        self.link.close().await;
    }
}

impl Control {
    /// Takes in a message of another router.
    pub(crate) fn peer_message(&mut self, now: Timestamp, inbound: Inbound) {
        let Inbound { from, message, .. } = inbound;
        match message {
            Message::Heartbeat {
                incarnation,
                counter,
                address,
                version,
                draining,
                others,
                served,
                domain,
                ..
            } => {
                let version = version.unwrap_or_default();
                let own = MemberEntry {
                    incarnation: incarnation.clone(),
                    address,
                    counter,
                    version,
                    leaving: draining,
                    suspect: false,
                };
                let others = others.into_iter().map(member_of).collect();
                let served: Vec<Served> = served.into_iter().map(served_of).collect();
                self.fleet.addresses.insert(from.clone(), address);
                self.fleet.members.heartbeat_received(now, &Heartbeat { own, others });
                self.fleet.note_domain(&from, domain);
                self.fleet.config.peer_version(now, &from, version);
                self.scheduler.peer_served(now, &from, &served);
                self.note_run(now, incarnation);
            }
            Message::ConfigVersion { version } => {
                self.fleet.config.peer_version(now, &from, version);
            }
            Message::ConfigPull { have, .. } => {
                if let Some((root, parts)) = self.fleet.config.answer(&digests_of(have)) {
                    self.fleet.send(&from, parts_message(&root, parts));
                }
            }
            Message::ConfigParts { root, parts } => {
                if let Some((root, parts)) = parts_of(&root, parts) {
                    self.fleet.config.parts(now, root, parts);
                }
            }
            Message::Recall { budget } => self.holder.recall(now, &budget),
            Message::Claim { id, key, attempt, owner, digest } => {
                let answer = self.claim_here(now, key, &attempt, &owner, digest);
                self.fleet.send(&from, Message::ClaimAnswer { id, answer: claim_state(answer) });
            }
            Message::ClaimAnswer { id, answer } => {
                if let Some(request) = self.fleet.claims.remove(&id) {
                    self.claim_answered(now, &request, claim_answer(answer));
                }
            }
            Message::ClaimEnd { key, attempt, delivered } => {
                self.claims.end(now, key, &attempt, delivered);
            }
            Message::Leaving { server } => self.routes.set_leaving(now, &server),
        }
    }

    /// Does what is due towards the store and the other routers.
    pub(crate) fn drive_fleet(&mut self, now: Timestamp) {
        for action in self.fleet.config.poll(now) {
            self.config_action(now, action);
        }
        self.open();
        self.fleet.members.set_version(self.fleet.config.advertised());
        let heartbeats = self.fleet.members.poll(now);
        if !heartbeats.is_empty() {
            let served = self.scheduler.served();
            for (to, heartbeat) in heartbeats {
                let message = heartbeat_message(heartbeat, served.clone(), &self.fleet.own.domain);
                self.fleet.send(&to, message);
            }
        }
        let live = self.fleet.members.live_count().max(1);
        self.holder.set_routers(live);
        self.routes.set_routers(live);
        if now >= self.fleet.next_vms
            && let Some(address) = self.fleet.vms
        {
            self.fleet.next_vms = now + VMS_INTERVAL;
            self.effects.read_vms(address);
        }
        if now >= self.fleet.next_registry {
            let alone = self.fleet.addresses.is_empty();
            self.fleet.next_registry = now + if alone { REGISTRY_FIRST } else { REGISTRY_INTERVAL };
            self.read_registry();
        }
        if !self.fleet.watching && self.fleet.config.should_watch() {
            self.fleet.watching = true;
            self.effects.executor.spawn(watch_root(self.effects.clone())).detach();
        }
        self.drive_reclaims(now);
    }

    fn config_action(&mut self, now: Timestamp, action: ConfigAction) {
        match action {
            ConfigAction::ReadRoot => self.read_root(),
            ConfigAction::ReadParts(wanted) => self.read_parts(wanted),
            ConfigAction::Push { to, version } => {
                self.fleet.send(&to, Message::ConfigVersion { version });
            }
            ConfigAction::Pull { from, parts } => {
                let version = self.fleet.config.version().unwrap_or_default();
                let have = parts.iter().map(ToString::to_string).collect();
                self.fleet.send(&from, Message::ConfigPull { version, have });
            }
            ConfigAction::Apply(version, settings) => self.apply(now, version, settings),
            ConfigAction::Unreadable(version, errors) => {
                log::error!(version = version.0; "configuration cannot be read: {errors}");
            }
        }
    }

    fn read_root(&self) {
        let store = self.effects.store.clone();
        self.effects.start(async move { Some(root_event(&store).await) });
    }

    fn read_parts(&self, wanted: Vec<PartRef>) {
        let store = self.effects.store.clone();
        self.effects.start(async move {
            let Ok(Some((root, _))) = read_root(&store).await else {
                return Some(Event::ConfigFailed);
            };
            match read_parts(&store, &wanted).await {
                Ok(parts) => Some(Event::PartsRead(root, parts)),
                Err(_) => Some(Event::ConfigFailed),
            }
        });
    }

    /// Takes in the root that the store holds.
    pub(crate) fn root_read(&mut self, now: Timestamp, root: Option<Root>) {
        self.fleet.config.root_read(now, root);
    }

    /// Takes in parts that the store holds.
    pub(crate) fn parts_read(&mut self, now: Timestamp, root: Root, parts: Vec<Part>) {
        self.fleet.config.parts(now, root, parts);
    }

    /// Reads the list of routers soon.
    pub(crate) fn fleet_changed(&mut self, now: Timestamp) {
        self.fleet.next_registry = now;
    }

    fn read_registry(&self) {
        let store = self.effects.store.clone();
        self.effects
            .start(async move { registry::read_all(&store).await.ok().map(Event::Registry) });
    }

    /// Takes in the list of routers.
    pub(crate) fn registry(&mut self, now: Timestamp, routers: Vec<Registered>) {
        self.fleet.listed.clone_from(&routers);
        self.fleet.set_peers();
        for router in routers {
            self.note_run(now, router.incarnation);
        }
    }

    /// Remembers the present run of a router; the run before it may have ended.
    fn note_run(&mut self, now: Timestamp, run: Incarnation) {
        let router = run.router.clone();
        if let Some(before) = self.fleet.runs.get(&router)
            && before.number >= run.number
        {
            return;
        }
        if let Some(before) = self.fleet.runs.insert(router, run)
            && self.fleet.members.is_gone(&before)
        {
            self.note_ended(now, before);
        }
    }

    /// Takes in what the platform says about routers' VMs.
    pub(crate) fn router_vms(&mut self, now: Timestamp, vms: &[Vm]) {
        let listed: Vec<(RouterId, ListedState)> = vms
            .iter()
            .filter_map(|vm| {
                let state = match vm.state {
                    VmState::Live => ListedState::Live,
                    VmState::Leaving => ListedState::Leaving,
                    VmState::Gone => ListedState::Gone,
                };
                Some((vm.name.parse().ok()?, state))
            })
            .collect();
        self.fleet.members.platform_list(now, &listed);
        let gone: Vec<Incarnation> = self
            .fleet
            .runs
            .values()
            .filter(|run| self.fleet.members.is_gone(run))
            .cloned()
            .collect();
        for run in gone {
            self.note_ended(now, run);
        }
    }

    /// Takes in evidence that a router process has ended.
    pub(crate) fn note_ended(&mut self, now: Timestamp, run: Incarnation) {
        if run == self.me || !self.ended.insert(run.clone()) {
            return;
        }
        log::info!(run:% = run; "router process has ended");
        let reclaim = Reclaim { next: now, running: false, passes: 0 };
        self.fleet.reclaims.insert(run, reclaim);
        self.publish();
    }

    fn drive_reclaims(&mut self, now: Timestamp) {
        let Some(settings) = self.settings() else { return };
        let pages = settings.fleet().ledger_pages;
        let engines: Vec<SocketAddr> =
            settings.servers().iter().filter(|s| !s.models.is_empty()).map(|s| s.address).collect();
        let live = self.fleet.members.live();
        for (run, reclaim) in &mut self.fleet.reclaims {
            if reclaim.is_done() || reclaim.running || now < reclaim.next {
                continue;
            }
            // Any router may reclaim, and compare-and-swap keeps it exact; one does it, to save work.
            if reclaimer_of(run, &live) != Some(&self.me.router) {
                reclaim.next = now + RECLAIM_INTERVAL;
                continue;
            }
            reclaim.running = true;
            let ledger = Ledger {
                store: self.effects.store.clone(),
                pages,
                clock: self.effects.clock.clone(),
            };
            let (client, run, author) =
                (self.effects.client.clone(), run.clone(), self.me.to_string());
            let engines = engines.clone();
            self.effects.start(async move {
                let done = ledger.reclaim(&client, &engines, &run, &author).await;
                match &done {
                    Ok(total) => log::info!(
                        run:% = run, billed = total.billed.0, returned = total.returned.0;
                        "grants reclaimed"
                    ),
                    Err(refusal) => log::warn!(run:% = run; "grants stay stranded: {refusal}"),
                }
                Some(Event::Reclaimed(run, done.is_ok()))
            });
        }
    }

    /// Takes in how a reclaim ended.
    pub(crate) fn reclaimed(&mut self, now: Timestamp, run: &Incarnation, done: bool) {
        if let Some(reclaim) = self.fleet.reclaims.get_mut(run) {
            reclaim.running = false;
            reclaim.next = now + RECLAIM_INTERVAL;
            if done {
                let pause = RECLAIM_AGAIN.get(reclaim.passes).copied().unwrap_or_default();
                reclaim.next = now + pause;
                reclaim.passes += 1;
            }
        }
    }

    /// Asks the home router of a key whether a request may run.
    pub(crate) fn claim(&mut self, now: Timestamp, key: BillKey, request: RequestId, digest: u64) {
        let live = self.fleet.members.live();
        let home = home_of(key, &live).cloned().unwrap_or_else(|| self.me.router.clone());
        if home == self.me.router {
            let owner = self.me.clone();
            let answer = self.claim_here(now, key, &request, &owner, digest);
            self.claim_answered(now, &request, answer);
            return;
        }
        self.fleet.claim_id += 1;
        let id = self.fleet.claim_id;
        self.fleet.claims.insert(id, request.clone());
        let owner = self.me.clone();
        self.fleet.send(&home, Message::Claim { id, key, attempt: request, owner, digest });
    }

    fn claim_here(
        &mut self,
        now: Timestamp,
        key: BillKey,
        attempt: &RequestId,
        owner: &Incarnation,
        digest: u64,
    ) -> ClaimAnswer {
        let ended = &self.ended;
        self.claims.claim(now, key, attempt, owner, digest, |run| ended.contains(run))
    }

    /// Tells the home router of a key that an attempt has ended.
    pub(crate) fn end_claim(
        &mut self,
        now: Timestamp,
        key: BillKey,
        attempt: &RequestId,
        delivered: bool,
    ) {
        self.fleet.claims.retain(|_, request| request != attempt);
        let live = self.fleet.members.live();
        match home_of(key, &live) {
            Some(home) if *home != self.me.router => {
                let attempt = attempt.clone();
                self.fleet.send(home, Message::ClaimEnd { key, attempt, delivered });
            }
            _ => self.claims.end(now, key, attempt, delivered),
        }
    }

    /// Asks another router to return what it does not need of a budget.
    pub(crate) fn send_recall(&self, holder: &Incarnation, budget: BudgetId) {
        self.fleet.send(&holder.router, Message::Recall { budget });
    }

    /// Leaves the fleet after a drain.
    pub(crate) async fn leave(&mut self) {
        self.fleet.leave(&self.effects).await;
    }
}

/// The router that reclaims what `run` held: the next run of the same name if it is live, else one
/// of the others.
fn reclaimer_of<'a>(run: &Incarnation, live: &'a [RouterId]) -> Option<&'a RouterId> {
    if let Some(same) = live.iter().find(|router| **router == run.router) {
        return Some(same);
    }
    let run = run.to_string();
    live.iter().max_by_key(|router| stable_hash(&["reclaim", &run, router.as_str()]))
}

async fn forward(inbound: Receiver<Inbound>, effects: Effects) {
    while let Ok(message) = inbound.recv().await {
        if effects.events.send(Event::Peer(message)).await.is_err() {
            return;
        }
    }
}

async fn root_event(store: &Arc<dyn Store>) -> Event {
    match read_root(store).await {
        Ok(root) => Event::RootRead(root.map(|(root, _)| root)),
        Err(_) => Event::ConfigFailed,
    }
}

/// Registers this run, and reports the earlier runs of its name that have ended.
async fn announce(effects: Effects, own: Registered) {
    let entry = registry::register(&effects.store, &own).await;
    let _ = effects.events.send(Event::Registered).await;
    for run in entry.ended {
        let _ = effects.events.send(Event::Ended(run)).await;
    }
}

/// Watches the root and reports each change.
async fn watch_root(effects: Effects) {
    let mut revision = 0;
    loop {
        match effects.store.watch(ROOT_KEY, revision).await {
            Ok(entries) => {
                if let Some(entry) = entries.last() {
                    revision = entry.revision + 1;
                    let event = root_event(&effects.store).await;
                    let _ = effects.events.send(event).await;
                }
            }
            Err(_) => {
                revision = 0;
                Timer::after(WATCH_PAUSE.duration()).await;
            }
        }
    }
}
