//! Applies new configurations, backend server lists and policies to the control state.

use std::sync::Arc;

use berylwheel_budget::Holder;
use berylwheel_budget::HolderPolicy;
use berylwheel_config::AccessTable;
use berylwheel_config::PathTable;
use berylwheel_route::ColdPool;
use berylwheel_route::ListChange;
use berylwheel_route::RoutePolicy;
use berylwheel_route::Server;
use berylwheel_route::ServerListEvent;
use berylwheel_route::SpeedUse;
use berylwheel_schedule::KindLimits;
use berylwheel_schedule::RankPolicy;
use berylwheel_schedule::SchedulePolicy;
use berylwheel_settings::Adapter;
use berylwheel_settings::PoolSettings;
use berylwheel_settings::Settings;
use berylwheel_types::BudgetId;
use berylwheel_types::Decimal;
use berylwheel_types::FastMap;
use berylwheel_types::KindId;
use berylwheel_types::Millis;
use berylwheel_types::Rank;
use berylwheel_types::Timestamp;
use berylwheel_types::Tokens;
use berylwheel_types::Version;

use crate::control::core::Control;
use crate::control::snapshot::Serving;
use crate::control::snapshot::Snapshot;

/// Default time for which a holding of tokens remains valid without the store.
const DEFAULT_HOLDING_TIME: Millis = Millis(10_000);
/// Fraction of the fleet's retry limit that its routers use. The rest is a margin for routers that
/// see fewer live routers than there are, and so take too large a share.
const RETRY_USE: f64 = 0.6;

impl Control {
    /// Applies new settings to the scheduler, the load balancer and the budget holder.
    pub(crate) fn apply(&mut self, now: Timestamp, version: Version, settings: Settings) {
        let ranks = Rank::ALL.map(|rank| {
            let rank = settings.rank(rank);
            RankPolicy { min_share: rank.floor, latency_target: rank.target }
        });
        self.schedule_policy = SchedulePolicy {
            ranks,
            preemption: self.router_settings.adapter == Adapter::None,
            ..SchedulePolicy::default()
        };
        self.update_retry_limits();
        for kind in settings.kinds() {
            let limits = KindLimits {
                queue_length: kind.queue as usize,
                queue_bytes: kind.queue_bytes,
                // Each request occupies one connection, so both limits apply.
                concurrency: kind.concurrency.min(kind.connections) as usize,
            };
            self.scheduler.set_kind_limits(kind.id.clone(), limits);
        }
        for workspace in settings.workspaces() {
            let limit = Some(workspace.in_flight as usize);
            self.scheduler.set_workspace_limit(workspace.id.clone(), limit);
        }
        match self.router_settings.adapter {
            Adapter::None => {
                self.balancer.set_servers(now, configured_servers(&settings));
                self.report_unknown_domains();
            }
            Adapter::Platform => self.balancer.set_cold_pools(now, cold_pools(&settings)),
        }
        self.evacuate_configured(now, &settings);
        if self.settings.is_none() {
            // The number of ledger pages cannot change once budgets exist. Replacing the holder is
            // safe here because no request is accepted before the first settings.
            self.holder = Holder::new(self.incarnation.clone(), self.holder_policy(&settings));
            self.holder.set_era(now, self.restores.era);
            // The new holder does not know the live routers yet.
            self.fleet.applied_changes = None;
            if !self.router_settings.first_start {
                self.holder.note_earlier_run();
            }
            self.check_clock(now);
        }
        self.holder.set_totals(now, version, configured_totals(&settings));
        log::info!(version = version.0; "configuration in force");
        self.effects.metrics.record_version(version);
        self.version = version;
        self.settings = Some(settings);
        self.publish_snapshot();
    }

    fn holder_policy(&self, settings: &Settings) -> HolderPolicy {
        match self.router_settings.adapter {
            Adapter::None => {
                HolderPolicy { pages: settings.fleet().ledger_pages, ..HolderPolicy::default() }
            }
            Adapter::Platform => HolderPolicy::without_usage_records(
                self.router_settings.holding_time.unwrap_or(DEFAULT_HOLDING_TIME),
            ),
        }
    }

    /// Sets this router's part of the fleet's retry limit from the number of live routers.
    pub(crate) fn update_retry_limits(&mut self) {
        let live = self.fleet.members.live_count().max(1);
        let mut policy = self.schedule_policy;
        if let Some(share) = self.router_settings.retry_share {
            policy.retry_share = Decimal::from_value(share.value() * RETRY_USE);
        }
        if let Some(extra) = self.router_settings.retry_extra {
            let own_extra = extra.value() * RETRY_USE / live as f64;
            policy.retry_burst = Decimal::from_value(own_extra.max(1.0));
        }
        self.scheduler.set_policy(policy);
    }

    pub(super) fn apply_server_event(&mut self, now: Timestamp, event: ServerListEvent) {
        if matches!(event, ServerListEvent::All(_)) {
            self.balancer.clear_notices();
        }
        self.server_list.apply(now, event);
    }

    /// Applies a change of the platform's list of backend servers.
    pub(super) fn apply_server_change(&mut self, now: Timestamp, change: ListChange) {
        for server in &change.removed {
            log::info!(server = server.as_str(); "server leaves or is gone");
            self.notify_server_leaving(server);
        }
        self.balancer.set_servers(now, change.servers);
        self.report_unknown_domains();
        for server in &change.restarted {
            self.balancer.server_restarted(now, server);
            self.quarantine.record_end(now, server);
        }
    }

    /// Replaces the snapshot that the traffic threads read.
    pub(crate) fn publish_snapshot(&self) {
        let serving = match (self.draining, self.may_serve()) {
            (true, _) => Serving::Draining,
            (false, true) => Serving::Open,
            (false, false) => Serving::Starting,
        };
        let access = self.settings.as_ref().map(AccessTable::new).unwrap_or_default();
        let paths = self.settings.as_ref().map(PathTable::new).unwrap_or_default();
        self.snapshot.store(Arc::new(Snapshot {
            serving,
            version: self.version,
            settings: self.settings.clone(),
            access,
            paths,
            ended_runs: self.ended_runs.clone(),
        }));
    }

    fn may_serve(&self) -> bool {
        // Without the evacuated domains, requests might go to their servers.
        let knows_domains =
            self.router_settings.adapter == Adapter::None || self.evacuations.is_read();
        knows_domains && self.settings.is_some() && self.fleet.config.may_serve()
    }

    /// Starts serving once the store or enough peers have confirmed the settings.
    pub(crate) fn serve_if_ready(&self) {
        if self.may_serve() && self.snapshot.load().serving == Serving::Starting {
            self.publish_snapshot();
        }
    }
}

/// Returns the load balancing policy for `adapter`. On a platform, membership follows the server
/// list and each response reports the load of its server, so servers are not probed.
pub(super) fn route_policy(adapter: Adapter) -> RoutePolicy {
    match adapter {
        Adapter::None => RoutePolicy::default(),
        Adapter::Platform => RoutePolicy {
            subset_size: usize::MAX,
            affinity_slack: 6.0,
            affinity_homes: 3,
            affinity_first: true,
            slow_start: Millis(1_000),
            eject_after: 3,
            eject_base: Millis(1_000),
            eject_limit: Millis(8_000),
            probe_rate: 0,
            measure_speed: SpeedUse::IfStated,
            leaving_hold: Millis(10_000),
            ..RoutePolicy::default()
        },
    }
}

fn configured_servers(settings: &Settings) -> Vec<Server> {
    let servers = settings.servers().iter().map(|server| Server {
        id: server.id.clone(),
        address: server.address,
        kinds: server.kinds.clone(),
        models: server.models.clone(),
        concurrency: server.concurrency,
        domain: server.domain.clone(),
    });
    servers.collect()
}

/// Returns how the servers of each pool are treated while they are cold.
fn cold_pools(settings: &Settings) -> FastMap<KindId, ColdPool> {
    let limits = |pool: &PoolSettings| ColdPool { rate: pool.cold_rate, time: pool.cold_time };
    settings.pools().iter().map(|pool| (pool.id.clone(), limits(pool))).collect()
}

/// Returns the totals of the budgets for which the settings give one.
fn configured_totals(settings: &Settings) -> FastMap<BudgetId, Tokens> {
    let budgets = settings.workspaces().iter();
    budgets.filter_map(|workspace| Some((workspace.budget.clone(), workspace.tokens?))).collect()
}
