//! What one router knows of the others: configuration, membership and the link.

use std::io;
use std::net::SocketAddr;

use async_channel::Receiver;
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
use berylwheel_types::RequestId;
use berylwheel_types::RouterId;
use berylwheel_types::Timestamp;
use serde_json::Value;
use serde_json::json;

use crate::control::effects::Effects;
use crate::control::event::Event;
use crate::fleet::ended::Reclaim;
use crate::fleet::registry;
use crate::fleet::registry::Registered;

/// What one router knows of the others.
pub struct Fleet {
    /// The configuration.
    pub config: ConfigState,
    /// Who is live.
    pub members: Members,
    /// The link to the other routers, once there is an identity for it.
    pub(crate) link: Option<PeerLink>,
    pub(crate) address: SocketAddr,
    pub(crate) own: Registered,
    pub(crate) clocks: PeerClocks,
    pub(crate) reach: StoreReach,
    /// Whether the store was lost when it was last looked at.
    pub(crate) lost: bool,
    /// When this router told the others, or was told, that the store is back.
    pub(crate) told_at: Timestamp,
    pub(crate) adapter: Adapter,
    pub(crate) vms: Option<SocketAddr>,
    pub(crate) addresses: FastMap<RouterId, SocketAddr>,
    pub(crate) seeds: Vec<(RouterId, SocketAddr)>,
    pub(crate) listed: Vec<Registered>,
    /// Failure domains that routers told with their heartbeats.
    pub(crate) domains: FastMap<RouterId, FailureDomain>,
    pub(crate) runs: FastMap<RouterId, Incarnation>,
    pub(crate) reclaims: FastMap<Incarnation, Reclaim>,
    pub(crate) next_vms: Timestamp,
    pub(crate) next_registry: Timestamp,
    pub(crate) watching: bool,
    pub(crate) claim_id: u64,
    pub(crate) claims: FastMap<u64, RequestId>,
}

impl Fleet {
    /// Opens the link to other routers and registers this one in the store. Without an identity the
    /// link is opened by [`Fleet::open_link`].
    ///
    /// # Errors
    /// Fails if the address cannot be bound.
    pub fn start(
        settings: &RouterSettings,
        me: &Incarnation,
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
        let own = Registered {
            incarnation: me.clone(),
            peer: address,
            admin,
            domain: settings.domain.clone(),
            region: settings.region.clone(),
            ended: Vec::new(),
        };
        let announced = announce(effects.clone(), own.clone(), settings.adapter);
        effects.executor.spawn(announced).detach();
        let config =
            ConfigState::new(me.router.clone(), settings.domain.clone(), SyncPolicy::default());
        let now = effects.clock.now();
        let mut fleet = Self {
            config,
            members: Members::new(me.clone(), address, MemberPolicy::default()),
            link,
            address,
            own,
            clocks: PeerClocks::default(),
            reach: StoreReach::default(),
            lost: false,
            told_at: Timestamp::default(),
            adapter: settings.adapter,
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
        let Some(link) = &self.link else { return Value::Null };
        let stats = link.stats();
        json!({
            "bytes_in": stats.bytes_in,
            "bytes_out": stats.bytes_out,
            "messages_in": stats.messages_in,
            "messages_out": stats.messages_out,
            "dropped": stats.dropped,
        })
    }

    pub(crate) fn set_peers(&mut self) {
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

    pub(crate) fn note_domain(&mut self, router: &RouterId, domain: FailureDomain) {
        if self.domains.get(router) != Some(&domain) {
            self.domains.insert(router.clone(), domain);
            self.set_peers();
        }
    }

    /// Returns the runs of the other routers that are live.
    pub(crate) fn live_runs(&self) -> Vec<Incarnation> {
        let own = &self.own.incarnation.router;
        let live = self.members.live().into_iter().filter(|router| router != own);
        live.filter_map(|router| self.members.incarnation(&router).cloned()).collect()
    }

    pub(crate) fn send(&self, to: &RouterId, message: Message) {
        if let (Some(link), Some(address)) = (&self.link, self.addresses.get(to)) {
            link.send(*address, message);
        }
    }

    /// Uses new certificates from now on, unless they are wrong.
    pub fn reload(&self, identity: PeerIdentity) {
        let (name, own) = (identity.name().clone(), &self.own.incarnation.router);
        if name != *own {
            log::error!(certificate:% = name; "certificates not loaded: they are another router's");
            return;
        }
        let Some(link) = &self.link else { return };
        match link.reload(identity) {
            Ok(()) => log::info!("certificates loaded"),
            Err(error) => log::error!("certificates not loaded: {error}"),
        }
    }

    /// Opens the link to the other routers with an identity that came later than the start.
    pub(crate) fn open_link(&mut self, identity: PeerIdentity, effects: &Effects) {
        match open_link(self.address, identity, effects) {
            Ok(link) => self.link = Some(link),
            Err(error) => log::error!("link to the other routers not opened: {error}"),
        }
    }

    /// Stops the link once this router has nothing left.
    pub async fn leave(&self, effects: &Effects) {
        registry::deregister(&effects.store, &self.own.incarnation).await;
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
    effects.executor.spawn(forward(inbound, effects.clone())).detach();
    Ok(link)
}

async fn forward(inbound: Receiver<InboundMessage>, effects: Effects) {
    while let Ok(message) = inbound.recv().await {
        if effects.events.send(Event::Peer(message)).await.is_err() {
            return;
        }
    }
}

/// Registers this run, and reports the earlier runs of its name that have ended.
async fn announce(effects: Effects, own: Registered, adapter: Adapter) {
    let entry = match adapter {
        Adapter::None => registry::register(&effects.store, &own).await,
        Adapter::Platform => return registry::hold_entry(&effects, &own).await,
    };
    effects.send(Event::Registered).await;
    for run in entry.ended {
        effects.send(Event::Ended(run)).await;
    }
}
