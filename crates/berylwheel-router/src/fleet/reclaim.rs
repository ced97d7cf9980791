//! Detection of router processes that have ended, and the reclaim of their grants.

use std::net::SocketAddr;

use berylwheel_config::ListedState;
use berylwheel_settings::Adapter;
use berylwheel_types::FastSet;
use berylwheel_types::Incarnation;
use berylwheel_types::Millis;
use berylwheel_types::RouterId;
use berylwheel_types::Timestamp;
use berylwheel_types::stable_hash;

use crate::control::core::Control;
use crate::control::event::Event;
use crate::control::event::Vm;
use crate::control::event::VmState;
use crate::fleet::config_sync::registry_age;
use crate::fleet::registry;
use crate::fleet::registry::RouterEntry;
use crate::operate::ledger::Ledger;

/// Interval between attempts to reclaim the grants of an ended router process.
const RECLAIM_INTERVAL: Millis = Millis(5_000);
/// Interval between reads of the list of routers while routers are added to it.
const REGISTRY_GROWTH_INTERVAL: Millis = Millis(1_000);
/// Pauses before each repetition of a successful reclaim. A write that the process sent before it
/// ended may take effect late, on a page where the first reclaim found nothing.
const RECLAIM_REPEAT_PAUSES: [Millis; 2] = [Millis(60_000), Millis(600_000)];

/// Progress of the reclaim of the grants of an ended router process.
#[derive(Debug)]
pub(crate) struct ReclaimState {
    next_at: Timestamp,
    running: bool,
    pub(crate) passes: usize,
}

impl ReclaimState {
    fn is_done(&self) -> bool {
        self.passes > RECLAIM_REPEAT_PAUSES.len()
    }
}

impl Control {
    /// Makes the list of routers be read at the next opportunity.
    pub(crate) fn schedule_registry_read(&mut self, now: Timestamp) {
        self.fleet.next_registry = now;
    }

    pub(crate) fn read_registry(&self) {
        let store = self.effects.store.clone();
        self.effects
            .spawn(async move { registry::read_all(&store).await.ok().map(Event::RegistryRead) });
    }

    /// Updates the peers and their current runs from the list of routers.
    pub(crate) fn apply_registry(&mut self, now: Timestamp, routers: Vec<RouterEntry>) {
        let names = routers.iter().map(|router| router.incarnation.router.clone());
        self.balancer.set_listed_routers(now, names.collect(), registry_age(routers.len()));
        if routers == self.fleet.listed_routers {
            return;
        }
        let known: FastSet<&Incarnation> =
            self.fleet.listed_routers.iter().map(|router| &router.incarnation).collect();
        if routers.iter().any(|router| !known.contains(&router.incarnation)) {
            // Others are registering too, so the list may still lack some of them.
            self.fleet.next_registry = self.fleet.next_registry.min(now + REGISTRY_GROWTH_INTERVAL);
        }
        self.fleet.listed_routers.clone_from(&routers);
        self.fleet.set_peers();
        if self.fleet.adapter == Adapter::Platform {
            let runs = routers.iter().map(|router| (router.incarnation.clone(), router.peer));
            let runs: Vec<(Incarnation, SocketAddr)> = runs.collect();
            self.fleet.members.handle_listed_runs(now, &runs);
        }
        self.update_relay_members(now);
        for router in routers {
            self.record_run(now, router.incarnation);
        }
    }

    /// Records the latest run of a router, and whether the previous one has ended.
    pub(crate) fn record_run(&mut self, now: Timestamp, run: Incarnation) {
        let router = run.router.clone();
        if let Some(previous) = self.fleet.latest_runs.get(&router)
            && previous.number >= run.number
        {
            return;
        }
        if let Some(previous) = self.fleet.latest_runs.insert(router, run)
            && self.fleet.members.is_gone(&previous)
        {
            self.record_ended_run(now, previous);
        }
    }

    /// Updates membership from the platform's VM list.
    pub(crate) fn update_router_vms(&mut self, now: Timestamp, vms: &[Vm]) {
        let states: Vec<(RouterId, ListedState)> = vms
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
        self.fleet.members.handle_vm_list(now, &states);
        let gone: Vec<Incarnation> = self
            .fleet
            .latest_runs
            .values()
            .filter(|run| self.fleet.members.is_gone(run))
            .cloned()
            .collect();
        for run in gone {
            self.record_ended_run(now, run);
        }
    }

    /// Records that a router process has ended, and schedules the reclaim of its grants.
    pub(crate) fn record_ended_run(&mut self, now: Timestamp, run: Incarnation) {
        if run == self.incarnation || !self.ended_runs.insert(run.clone()) {
            return;
        }
        log::info!(run:% = run; "router process has ended");
        let reclaim = ReclaimState { next_at: now, running: false, passes: 0 };
        self.fleet.reclaims.insert(run, reclaim);
        self.publish_snapshot();
    }

    pub(crate) fn drive_reclaims(&mut self, now: Timestamp) {
        let Some(settings) = self.settings() else { return };
        let pages = settings.fleet().ledger_pages;
        let engines: Vec<SocketAddr> =
            settings.servers().iter().filter(|s| !s.models.is_empty()).map(|s| s.address).collect();
        let live = self.fleet.members.live();
        for (run, reclaim) in &mut self.fleet.reclaims {
            if reclaim.is_done() || reclaim.running || now < reclaim.next_at {
                continue;
            }
            // Compare-and-swap keeps concurrent reclaims correct; one router does it to save work.
            if reclaiming_router(run, &live) != Some(&self.incarnation.router) {
                reclaim.next_at = now + RECLAIM_INTERVAL;
                continue;
            }
            reclaim.running = true;
            let ledger = Ledger {
                store: self.effects.store.clone(),
                pages,
                clock: self.effects.clock.clone(),
            };
            let (client, run, author) =
                (self.effects.client.clone(), run.clone(), self.incarnation.to_string());
            let engines = engines.clone();
            self.effects.spawn(async move {
                let result = ledger.reclaim(&client, &engines, &run, &author).await;
                match &result {
                    Ok(total) => log::info!(
                        run:% = run, billed = total.billed.0, returned = total.returned.0;
                        "grants reclaimed"
                    ),
                    Err(refusal) => log::warn!(run:% = run; "failed to reclaim grants: {refusal}"),
                }
                Some(Event::ReclaimEnded(run, result.is_ok()))
            });
        }
    }

    /// Schedules the next reclaim of a router process after one has ended.
    pub(crate) fn handle_reclaim_result(
        &mut self,
        now: Timestamp,
        run: &Incarnation,
        succeeded: bool,
    ) {
        if let Some(reclaim) = self.fleet.reclaims.get_mut(run) {
            reclaim.running = false;
            reclaim.next_at = now + RECLAIM_INTERVAL;
            if succeeded {
                let pause = RECLAIM_REPEAT_PAUSES.get(reclaim.passes).copied().unwrap_or_default();
                reclaim.next_at = now + pause;
                reclaim.passes += 1;
            }
        }
    }
}

/// Returns the router that reclaims the grants of `run`: the router of the same name if it is live,
/// otherwise one chosen by rendezvous hashing.
fn reclaiming_router<'a>(run: &Incarnation, live: &'a [RouterId]) -> Option<&'a RouterId> {
    if let Some(same) = live.iter().find(|router| **router == run.router) {
        return Some(same);
    }
    let run = run.to_string();
    live.iter().max_by_key(|router| stable_hash(&["reclaim", &run, router.as_str()]))
}
