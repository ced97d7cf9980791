//! Configurations, the list of servers and policies, put in force.

use std::sync::Arc;

use berylwheel_budget::Holder;
use berylwheel_budget::HolderPolicy;
use berylwheel_config::AccessTable;
use berylwheel_config::PathTable;
use berylwheel_config::Root;
use berylwheel_route::ListChange;
use berylwheel_route::RoutePolicy;
use berylwheel_route::Server;
use berylwheel_route::ServerListEvent;
use berylwheel_schedule::KindLimits;
use berylwheel_schedule::RankPolicy;
use berylwheel_schedule::SchedulePolicy;
use berylwheel_settings::Adapter;
use berylwheel_settings::Settings;
use berylwheel_types::BudgetId;
use berylwheel_types::FastMap;
use berylwheel_types::Millis;
use berylwheel_types::Rank;
use berylwheel_types::Share;
use berylwheel_types::Timestamp;
use berylwheel_types::Tokens;
use berylwheel_types::Version;

use crate::control::core::Control;
use crate::control::snapshot::Serving;
use crate::control::snapshot::Snapshot;
use crate::forward::OperatorConfig;

/// How long a holding of tokens lasts without the store, unless the settings say otherwise.
const HOLDING_TIME: Millis = Millis(10_000);
/// Percentage of the fleet's allowance of retries that its routers use. The rest covers routers that
/// count fewer others than there are.
const OWN_RETRIES: u32 = 60;

impl Control {
    /// Puts new settings in force.
    pub(crate) fn apply(&mut self, now: Timestamp, version: Version, settings: Settings) {
        let ranks = Rank::ALL.map(|rank| {
            let rank = settings.rank(rank);
            RankPolicy { min_share: rank.floor, latency_target: rank.target }
        });
        self.schedule = SchedulePolicy {
            ranks,
            preemption: self.own.adapter == Adapter::None,
            ..SchedulePolicy::default()
        };
        self.share_retries();
        for kind in settings.kinds() {
            let limits = KindLimits {
                queue_length: kind.queue as usize,
                queue_bytes: kind.queue_bytes,
                // A request uses one connection.
                concurrency: kind.concurrency.min(kind.connections) as usize,
            };
            self.scheduler.set_kind_limits(kind.id.clone(), limits);
        }
        for workspace in settings.workspaces() {
            let limit = Some(workspace.in_flight as usize);
            self.scheduler.set_workspace_limit(workspace.id.clone(), limit);
        }
        if self.own.adapter == Adapter::None {
            self.routes.set_servers(now, configured_servers(&settings));
        }
        if self.settings.is_none() {
            // The number of pages is fixed once budgets exist, and no request comes before this.
            self.holder = Holder::new(self.me.clone(), self.holder_policy(&settings));
            if !self.own.first_start {
                self.holder.note_earlier_run();
            }
        }
        self.holder.set_totals(now, version, stated_totals(&settings));
        log::info!(version = version.0; "configuration in force");
        self.version = version;
        self.settings = Some(settings);
        self.publish();
    }

    fn holder_policy(&self, settings: &Settings) -> HolderPolicy {
        match self.own.adapter {
            Adapter::None => {
                HolderPolicy { pages: settings.fleet().ledger_pages, ..HolderPolicy::default() }
            }
            Adapter::Platform => {
                HolderPolicy::without_usage_records(self.own.holding_time.unwrap_or(HOLDING_TIME))
            }
        }
    }

    /// Divides the retries that the fleet may send among the live routers.
    pub(crate) fn share_retries(&mut self) {
        let live = self.fleet.members.live_count().max(1) as u32;
        let mut policy = self.schedule;
        if let Some(share) = self.own.retry_share {
            policy.retry_share =
                Share::from_permille((share.fraction() * f64::from(OWN_RETRIES) * 10.0) as u32);
        }
        if let Some(extra) = self.own.retry_extra {
            policy.retry_burst = (extra * OWN_RETRIES / 100 / live).max(1);
        }
        self.scheduler.set_policy(policy);
    }

    /// Takes in a configuration that the operator keeps in the platform's store.
    pub(super) fn stated(&mut self, now: Timestamp, config: OperatorConfig) {
        let OperatorConfig { version, settings } = config;
        match Root::from_external(version, &settings) {
            Ok((root, parts)) => self.fleet.config.apply_external(now, root, parts, settings),
            Err(error) => log::error!(version = version.0; "configuration refused: {error}"),
        }
        self.drive_config(now);
    }

    pub(super) fn server_news(&mut self, now: Timestamp, news: ServerListEvent) {
        if matches!(news, ServerListEvent::All(_)) {
            self.routes.clear_leaving();
        }
        self.listed.apply(now, news);
    }

    /// Puts a change of the platform's list of backend servers in force.
    pub(super) fn servers_changed(&mut self, now: Timestamp, change: ListChange) {
        for server in &change.removed {
            log::info!(server = server.as_str(); "server leaves or is gone");
            self.notify_leaving(server);
        }
        self.routes.set_servers(now, change.servers);
        for server in &change.restarted {
            self.routes.server_restarted(now, server);
        }
    }

    /// Replaces the snapshot that the traffic threads read.
    pub(crate) fn publish(&self) {
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
            ended: self.ended.clone(),
        }));
    }

    fn may_serve(&self) -> bool {
        self.settings.is_some() && self.fleet.config.may_serve()
    }

    /// Opens the router once the store or enough peers have confirmed the settings that it has.
    pub(crate) fn open(&self) {
        if self.may_serve() && self.snapshot.load().serving == Serving::Starting {
            self.publish();
        }
    }
}

/// Returns how servers are chosen. On a platform servers come and go by its list, report their load
/// with each answer, and are not probed.
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

/// Returns the budgets whose totals the settings state.
fn stated_totals(settings: &Settings) -> FastMap<BudgetId, Tokens> {
    let stated = settings.workspaces().iter();
    stated.filter_map(|own| Some((own.budget.clone(), own.tokens?))).collect()
}
