//! The control thread, which owns all control state of one router.

use async_channel::Receiver;
use async_channel::Sender;
use async_io::Timer;
use berylwheel_budget::Holder;
use berylwheel_budget::HolderPolicy;
use berylwheel_budget::WriteResult;
use berylwheel_quarantine::Quarantine;
use berylwheel_quarantine::QuarantinePolicy;
use berylwheel_route::CacheEvent;
use berylwheel_route::LoadBalancer;
use berylwheel_route::ServerList;
use berylwheel_schedule::SchedulePolicy;
use berylwheel_schedule::Scheduler;
use berylwheel_settings::RouterSettings;
use berylwheel_settings::ServerSettings;
use berylwheel_settings::Settings;
use berylwheel_types::BackendId;
use berylwheel_types::Clock;
use berylwheel_types::Code;
use berylwheel_types::FastMap;
use berylwheel_types::FastSet;
use berylwheel_types::Incarnation;
use berylwheel_types::Millis;
use berylwheel_types::Refusal;
use berylwheel_types::RequestId;
use berylwheel_types::Timestamp;
use berylwheel_types::Version;
use berylwheel_types::stable_hash;
use futures_lite::FutureExt;
use futures_lite::StreamExt;
use serde_json::Value;
use serde_json::json;

use crate::control::apply::route_policy;
use crate::control::effects::CacheReport;
use crate::control::effects::Effects;
use crate::control::evacuation::Evacuations;
use crate::control::event::Event;
use crate::control::event::Vm;
use crate::control::event::VmState;
use crate::control::external::ExternalConfig;
use crate::control::requests::RequestState;
use crate::control::requests::Stage;
use crate::control::snapshot::RECONNECT_DELAY;
use crate::control::snapshot::SharedSnapshot;
use crate::control::work::ControlWork;
use crate::fleet::claims::Claims;
use crate::fleet::restore::Restores;
use crate::fleet::state::Fleet;

/// Interval of the work that is triggered by time alone, such as timeouts and heartbeats.
const TICK_INTERVAL: Millis = Millis(20);
/// Interval at which expired claims are removed.
const PRUNE_INTERVAL: Millis = Millis(10_000);

/// Time that backend servers have after the return of the store to renew entries that expired
/// during the outage.
const RENEWAL_GRACE: Millis = Millis(2_300);

/// All control state of one router.
pub struct Control {
    pub(crate) clock: Clock,
    pub(crate) incarnation: Incarnation,
    pub(crate) holder: Holder,
    pub(crate) scheduler: Scheduler,
    pub(crate) balancer: LoadBalancer,
    pub(crate) claims: Claims,
    pub(crate) quarantine: Quarantine,
    pub(crate) fleet: Fleet,
    pub(crate) requests: FastMap<RequestId, RequestState>,
    pub(crate) effects: Effects,
    pub(crate) draining: bool,
    pub(crate) snapshot: SharedSnapshot,
    pub(crate) ended_runs: FastSet<Incarnation>,
    pub(super) cache_sequences: FastMap<BackendId, u64>,
    /// The backend servers listed in the platform's store.
    pub(crate) server_list: ServerList,
    pub(super) router_settings: RouterSettings,
    pub(super) schedule_policy: SchedulePolicy,
    pub(super) settings: Option<Settings>,
    pub(super) external_config: ExternalConfig,
    pub(super) evacuations: Evacuations,
    pub(super) version: Version,
    /// Start of this run. Any earlier run with the same addresses had ended by then, since they
    /// could be bound again.
    pub(crate) started_at: Timestamp,
    pub(super) pruned_at: Timestamp,
    pub(super) next_tick: Timestamp,
    /// The requests to cold servers that the metrics contain.
    pub(super) cold_requests: u64,
    pub(super) work: ControlWork,
    pub(crate) restores: Restores,
}

impl Control {
    /// Creates the state of a router that has just started.
    pub fn new(
        clock: Clock,
        incarnation: Incarnation,
        router_settings: RouterSettings,
        fleet: Fleet,
        effects: Effects,
        snapshot: SharedSnapshot,
    ) -> Self {
        let seed = stable_hash(&[&incarnation.to_string()]);
        let mut quarantine = Quarantine::new(QuarantinePolicy::default());
        quarantine.set_exempt(clock.now(), router_settings.exempt_parts.clone());
        Self {
            holder: Holder::new(incarnation.clone(), HolderPolicy::default()),
            scheduler: Scheduler::new(SchedulePolicy::default()),
            balancer: LoadBalancer::new(
                incarnation.router.clone(),
                route_policy(router_settings.adapter),
                seed,
            ),
            claims: Claims::default(),
            quarantine,
            requests: FastMap::default(),
            draining: false,
            ended_runs: FastSet::default(),
            cache_sequences: FastMap::default(),
            server_list: ServerList::new(RENEWAL_GRACE),
            router_settings,
            schedule_policy: SchedulePolicy::default(),
            settings: None,
            external_config: ExternalConfig::default(),
            evacuations: Evacuations::default(),
            version: Version::default(),
            started_at: clock.now(),
            pruned_at: clock.now(),
            next_tick: clock.now(),
            cold_requests: 0,
            work: ControlWork::default(),
            restores: Restores::default(),
            clock,
            incarnation,
            fleet,
            effects,
            snapshot,
        }
    }

    /// Handles events until a drain has completed.
    pub async fn run(mut self, events: Receiver<Event>, drained: Sender<()>) {
        // One timer for all iterations: arming a new one per event would wake the I/O thread each
        // time.
        let mut ticks = Timer::interval(TICK_INTERVAL.duration());
        loop {
            let event = async { events.recv().await.ok() };
            let tick = async {
                ticks.next().await;
                None
            };
            let first = event.or(tick).await;
            let (now, start) = (self.clock.now(), self.clock.micros());
            if let Some(event) = first {
                self.handle_event(now, event);
                while let Ok(event) = events.try_recv() {
                    self.handle_event(now, event);
                }
            }
            self.drive(now);
            self.work.count_turn(self.clock.micros().saturating_sub(start));
            if self.draining && self.is_drained() {
                self.end(events).await;
                let _ = drained.send(()).await;
                return;
            }
        }
    }

    /// Leaves the fleet and closes the channel of events. A request that is submitted in the
    /// meantime is refused: its reply channel closes when its event is dropped.
    async fn end(&mut self, events: Receiver<Event>) {
        let discard = async { while events.recv().await.is_ok() {} };
        self.leave_fleet().or(discard).await;
        // Events that are left in a closed channel would keep their reply channels open.
        events.close();
        while events.try_recv().is_ok() {}
    }

    pub(super) fn handle_event(&mut self, now: Timestamp, event: Event) {
        self.work.count_event(event.group());
        self.check_era(now);
        match event {
            Event::Command(command) => self.handle_command(now, command),
            Event::PageRead(page, revision, content, era) => match era == self.restores.era {
                true => self.holder.page_read(now, page, revision, content),
                false => self.holder.read_failed(now, page),
            },
            Event::PageReadFailed(page) => self.holder.read_failed(now, page),
            Event::PageWritten(page, result, era) => {
                let is_current = era == self.restores.era;
                let result = if is_current { result } else { WriteResult::Unknown };
                self.holder.page_written(now, page, result);
            }
            Event::LoadReported(server, report) => self.balancer.apply_report(now, &server, report),
            Event::CacheChanged(server, reports) => self.apply_cache_events(now, &server, &reports),
            Event::ServerDraining(server) => self.balancer.set_draining(now, &server),
            Event::ServerSignal(server, signal) => self.apply_server_signal(now, &server, signal),
            Event::AttemptBroken(broken) => self.handle_broken_attempt(now, &broken),
            Event::WorkMeasured(server, kind, sample) => {
                self.record_work(now, &server, &kind, sample);
            }
            Event::ServerRefused(server) => {
                self.balancer.server_refused(now, &server);
                self.quarantine.record_end(now, &server);
            }
            Event::ServerRunning(server, since) => {
                self.quarantine.record_running(now, &server, since);
            }
            Event::HoldsRead(holds) => self.handle_holds(now, holds),
            Event::HoldsWritten(succeeded) => self.handle_holds_written(now, succeeded),
            Event::PartReleased(part, reply) => {
                let _ = reply.try_send(self.quarantine.release(now, part));
            }
            Event::VmListRead(vms) => self.update_vms(now, &vms),
            Event::PeerMessage(inbound) => self.handle_peer_message(now, inbound),
            Event::RootRead(root) => self.handle_root_read(now, root),
            Event::PartsRead(root, parts) => self.handle_parts_read(now, root, parts),
            Event::ConfigReadFailed => self.fleet.config.handle_read_failure(now),
            Event::RegistryRead(routers) => self.apply_registry(now, routers),
            Event::RouterRegistered => {
                self.balancer.entry_written(now);
                self.schedule_registry_read(now);
            }
            Event::EntryConfirmed(sent_at) => self.balancer.entry_confirmed(sent_at),
            Event::DomainsEvacuated(domains) => self.handle_evacuated(now, domains),
            Event::ExternalConfigRead(config) => self.apply_external_config(now, *config),
            Event::ExternalConfigUnreadable(revision) => {
                self.handle_unreadable_config(now, revision);
            }
            Event::OperatorKeysCurrent(at) => self.external_config.keys_current(at),
            Event::ServerListEvent(event) => self.apply_server_event(now, event),
            Event::IdentityIssued(identity) => self.fleet.open_link(identity, &self.effects),
            Event::RunEnded(run) => self.record_ended_run(now, run),
            Event::ReclaimEnded(run, succeeded) => self.handle_reclaim_result(now, &run, succeeded),
            Event::DumpRequested(reply) => {
                let _ = reply.try_send(self.dump());
            }
            Event::SettingsReloaded(settings) => {
                self.router_settings.retry_share = settings.retry_share;
                self.router_settings.retry_extra = settings.retry_extra;
                self.update_retry_limits();
                self.quarantine.set_exempt(now, settings.exempt_parts);
            }
            Event::IdentityReloaded(identity) => self.fleet.reload_certificates(identity),
            Event::AnnounceShutdown => self.announce_shutdown(now),
            Event::Drain => self.drain(now),
            Event::EndQueued => self.end_queued(),
            Event::EndWaiting => self.end_waiting(),
        }
    }

    pub(super) fn drive(&mut self, now: Timestamp) {
        self.check_era(now);
        if let Some(change) = self.server_list.poll(now) {
            self.apply_server_change(now, change);
        }
        self.apply_cold_reports(now);
        self.drive_quarantine(now);
        self.drive_holder(now);
        self.start_queued(now);
        if now >= self.next_tick {
            self.next_tick = now + TICK_INTERVAL;
            let start = self.clock.micros();
            self.tick(now);
            self.work.count_tick(self.clock.micros().saturating_sub(start));
        }
    }

    /// Runs the work that is triggered by time alone, which keeps it out of the handling of events.
    fn tick(&mut self, now: Timestamp) {
        self.expire_claims(now);
        self.report_external_config(now);
        self.report_work(now);
        if now.since(self.pruned_at) >= PRUNE_INTERVAL {
            self.pruned_at = now;
            self.claims.prune(now);
        }
        self.drive_fleet(now);
        self.refuse_and_preempt(now);
        self.report_cold(now);
        self.refuse_paused(now);
        self.drive_holder(now);
        self.start_queued(now);
        for server in self.balancer.due_probes(now) {
            let Some(settings) = self.server_settings(&server) else { continue };
            let address = settings.address;
            if !settings.models.is_empty() {
                let after = self.cache_sequences.get(&server).copied().unwrap_or_default();
                self.effects.read_cache(server.clone(), address, after);
            }
            self.effects.probe(server, address);
        }
    }

    /// Returns the settings in force.
    pub(crate) fn settings(&self) -> Option<&Settings> {
        self.settings.as_ref()
    }

    fn apply_cache_events(&mut self, now: Timestamp, server: &BackendId, reports: &[CacheReport]) {
        for report in reports {
            let CacheReport { sequence, prefix, held } = *report;
            self.balancer.apply_cache_event(
                now,
                server,
                CacheEvent { sequence, prefix, cached: held },
            );
            self.cache_sequences.insert(server.clone(), sequence);
        }
    }

    fn update_vms(&mut self, now: Timestamp, vms: &[Vm]) {
        for vm in vms {
            if let Ok(server) = vm.name.parse() {
                match vm.state {
                    VmState::Live => self.balancer.set_live(now, &server),
                    VmState::Leaving | VmState::Gone => {
                        if !self.balancer.is_leaving(&server)
                            && self.server_settings(&server).is_some()
                        {
                            self.notify_server_leaving(&server);
                        }
                        self.balancer.set_leaving(now, &server);
                    }
                }
            }
        }
        self.update_router_vms(now, vms);
    }

    /// Tells the other routers that this one will stop, so that they take over its budgets.
    fn announce_shutdown(&mut self, now: Timestamp) {
        self.holder.depart(now);
        self.announce_leaving(now);
    }

    fn drain(&mut self, now: Timestamp) {
        if self.draining {
            return;
        }
        self.announce_leaving(now);
        log::info!(requests = self.requests.len(); "draining");
        self.draining = true;
        self.holder.drain(now);
        self.publish_snapshot();
    }

    /// Refuses the requests that no server has got yet. Another router can still serve them.
    fn end_queued(&mut self) {
        let queued = self.requests.iter().filter(|(_, state)| state.stage != Stage::Running);
        for request in queued.map(|(request, _)| request.clone()).collect::<Vec<_>>() {
            let detail = "the request was still queued when the router stopped";
            let refusal = Refusal::not_run(Code::Draining, detail);
            self.refuse(&request, refusal.retry_after(RECONNECT_DELAY));
        }
    }

    /// Cancels the requests whose answers have not begun, so that their callers are told about it
    /// before the process exits.
    fn end_waiting(&self) {
        for request in self.requests.keys() {
            self.cancel(request);
        }
    }

    fn is_drained(&self) -> bool {
        self.requests.is_empty() && self.holder.is_empty()
    }

    fn server_settings(&self, id: &BackendId) -> Option<&ServerSettings> {
        self.settings.as_ref()?.servers().iter().find(|server| server.id == *id)
    }

    fn dump(&self) -> Value {
        json!({
            "router": self.incarnation,
            "version": self.version,
            "external_config": self.external_config.dump(self.clock.now()),
            "draining": self.draining,
            "requests": self.requests.len(),
            "claims": self.claims.len(),
            "holder": self.holder.dump(),
            "schedule": self.scheduler.dump(),
            "routes": self.balancer.dump(),
            "quarantine": self.quarantine.dump(self.clock.now()),
            "fleet": self.fleet.dump(),
            "store": self.restores,
            "store_relay": self.relay_dump(),
            "work": self.work_dump(),
        })
    }
}
