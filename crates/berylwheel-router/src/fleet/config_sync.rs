//! Exchange of the configuration with the store and the other routers, and periodic fleet work.

use std::sync::Arc;

use async_io::Timer;
use berylwheel_config::ConfigAction;
use berylwheel_config::Part;
use berylwheel_config::PartRef;
use berylwheel_config::ROOT_KEY;
use berylwheel_config::Root;
use berylwheel_peer::Message;
use berylwheel_settings::Adapter;
use berylwheel_store::Store;
use berylwheel_types::Millis;
use berylwheel_types::Timestamp;

use crate::control::core::Control;
use crate::control::effects::Effects;
use crate::control::event::Event;
use crate::fleet::convert::heartbeat_message;
use crate::operate::change::read_parts;
use crate::operate::change::read_root;

/// Interval between reads of the platform's VM list. Bounds the delay until a leaving server is
/// noticed if the message about it is lost.
const VM_LIST_INTERVAL: Millis = Millis(1_000);
/// Interval between reads of the list of routers in a fleet of up to [`REGISTRY_READERS`].
const REGISTRY_INTERVAL: Millis = Millis(10_000);
/// Maximum number of routers that read the list in one [`REGISTRY_INTERVAL`]. Each read returns all
/// routers, so without a limit the bytes of all reads would grow with the square of the fleet.
/// Heartbeats tell of new routers meanwhile.
const REGISTRY_READERS: u64 = 64;
/// Interval between reads of the list of routers while no other router is known.
const REGISTRY_DISCOVERY_INTERVAL: Millis = Millis(500);
/// Time from when a read of the list of routers is due until its result is applied, at most.
const REGISTRY_MARGIN: Millis = Millis(2_000);
/// Pause after a failed watch.
const WATCH_RETRY_PAUSE: Millis = Millis(1_000);

fn registry_interval_of(routers: usize) -> Millis {
    let rounds = (routers as u64).div_ceil(REGISTRY_READERS);
    Millis(REGISTRY_INTERVAL.0 * rounds.max(1))
}

/// Returns the time within which each router of a fleet reads the list of routers again.
pub(crate) fn registry_age(routers: usize) -> Millis {
    Millis(registry_interval_of(routers).0 + REGISTRY_MARGIN.0)
}

impl Control {
    /// Sends due heartbeats, updates everything that depends on the live routers, and starts due
    /// reads of the store.
    pub(crate) fn drive_fleet(&mut self, now: Timestamp) {
        self.drive_config(now);
        self.fleet.members.set_version(self.fleet.config.advertised_version());
        let heartbeats = self.fleet.members.poll(now);
        if !heartbeats.is_empty() {
            self.check_clock(now);
            let served = self.scheduler.served_totals();
            let speeds = self.take_speeds(now);
            for (to, heartbeat) in heartbeats {
                let domain = &self.fleet.own_entry.domain;
                let reaches = !self.effects.guard.is_unavailable();
                let message = heartbeat_message(heartbeat, served.clone(), now, domain, reaches);
                self.fleet.send(&to, message);
                self.send_holds(&to);
                self.send_speeds(&to, speeds.as_ref());
            }
            if let Some(link) = &self.fleet.link {
                let stats = link.stats();
                self.effects.peer_traffic.set_totals(stats.bytes_in, stats.bytes_out);
            }
        }
        self.apply_live_changes(now);
        self.drive_relay(now);
        self.coordinate_store_probes(now);
        if now >= self.fleet.next_vms
            && let Some(address) = self.fleet.vms_address
        {
            self.fleet.next_vms = now + VM_LIST_INTERVAL;
            self.effects.read_vms(address);
        }
        if now >= self.fleet.next_registry {
            self.fleet.next_registry = now + self.registry_interval();
            self.read_registry();
        }
        if self.fleet.adapter == Adapter::Platform {
            return;
        }
        if !self.fleet.watch_started && self.fleet.config.should_watch() {
            self.fleet.watch_started = true;
            self.effects.executor.spawn(watch_root(self.effects.clone())).detach();
        }
        self.drive_reclaims(now);
    }

    /// Compares the local clock with those of the peers, which the holder relies on.
    pub(crate) fn check_clock(&mut self, now: Timestamp) {
        self.fleet.clock_agrees = self.fleet.clocks.is_synchronized(now);
        let (address, agrees) = (self.fleet.address, self.fleet.clock_agrees);
        self.holder.set_address(now, self.started_at, address, agrees);
    }

    fn registry_interval(&self) -> Millis {
        if self.fleet.addresses.is_empty() {
            return REGISTRY_DISCOVERY_INTERVAL;
        }
        registry_interval_of(self.fleet.members.live_count())
    }

    /// Updates everything that depends on the live routers if these have changed.
    fn apply_live_changes(&mut self, now: Timestamp) {
        let changes = Some(self.fleet.members.live_changes());
        if self.fleet.applied_changes == changes {
            return;
        }
        self.fleet.applied_changes = changes;
        let live = self.fleet.members.live_count().max(1);
        self.holder.set_routers(live);
        self.balancer.set_routers(live);
        self.update_retry_limits();
        let runs = self.fleet.live_runs();
        self.fleet.disconnect_replaced(&runs);
        self.holder.set_lenders(now, runs);
        self.fleet.config.set_links(self.fleet.members.links());
        self.update_relay_members(now);
        self.check_clock(now);
    }

    pub(crate) fn drive_config(&mut self, now: Timestamp) {
        for action in self.fleet.config.poll(now) {
            self.run_config_action(now, action);
        }
        self.serve_if_ready();
    }

    fn run_config_action(&mut self, now: Timestamp, action: ConfigAction) {
        match action {
            // On a platform the configuration comes from the operator's own key in the store.
            ConfigAction::ReadRoot | ConfigAction::ReadParts(_)
                if self.fleet.adapter == Adapter::Platform => {}
            ConfigAction::ReadRoot => self.read_root(),
            ConfigAction::ReadParts(missing) => self.read_parts(missing),
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
                log::error!(version = version.0; "failed to parse configuration: {errors}");
            }
        }
    }

    fn read_root(&self) {
        let store = self.effects.store.clone();
        self.effects.spawn(async move { Some(read_root_event(&store).await) });
    }

    fn read_parts(&self, missing: Vec<PartRef>) {
        let store = self.effects.store.clone();
        self.effects.spawn(async move {
            let Ok(Some((root, _))) = read_root(&store).await else {
                return Some(Event::ConfigReadFailed);
            };
            match read_parts(&store, &missing).await {
                Ok(parts) => Some(Event::PartsRead(root, parts)),
                Err(error) => {
                    log::info!(error:% = error; "failed to read configuration parts");
                    Some(Event::ConfigReadFailed)
                }
            }
        });
    }

    /// Handles the configuration root that was read from the store.
    pub(crate) fn handle_root_read(&mut self, now: Timestamp, root: Option<Root>) {
        self.fleet.config.handle_root(now, root);
    }

    /// Handles configuration parts that were read from the store.
    pub(crate) fn handle_parts_read(&mut self, now: Timestamp, root: Root, parts: Vec<Part>) {
        self.fleet.config.handle_parts(now, root, parts);
    }
}

async fn read_root_event(store: &Arc<dyn Store>) -> Event {
    match read_root(store).await {
        Ok(root) => Event::RootRead(root.map(|(root, _)| root)),
        Err(error) => {
            log::info!(error:% = error; "failed to read configuration root");
            Event::ConfigReadFailed
        }
    }
}

/// Watches the configuration root and reports each change.
async fn watch_root(effects: Effects) {
    let mut revision = 0;
    loop {
        match effects.store.watch(ROOT_KEY, revision).await {
            Ok(entries) => {
                if let Some(entry) = entries.last() {
                    revision = entry.revision + 1;
                    let event = read_root_event(&effects.store).await;
                    effects.send(event).await;
                }
            }
            Err(error) => {
                log::debug!(error:% = error; "configuration watch ended");
                revision = 0;
                Timer::after(WATCH_RETRY_PAUSE.duration()).await;
            }
        }
    }
}
