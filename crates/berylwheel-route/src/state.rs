//! The state that a router keeps for each server.

use berylwheel_types::ModelId;
use berylwheel_types::Timestamp;

use crate::RoutePolicy;
use crate::RouteQuery;
use crate::Server;
use crate::cache::CachedPrefixes;
use crate::health::Health;
use crate::load::Load;

/// Weight of a server at the beginning of its slow start.
const INITIAL_WEIGHT: f64 = 0.1;

/// Configuration, load, cache and health of one server.
#[derive(Debug)]
pub(crate) struct ServerState {
    pub server: Server,
    /// Whether the server is configured. Requests of this router may outlast its removal.
    pub present: bool,
    /// Whether this router's subsets contain the server.
    pub in_subset: bool,
    pub load: Load,
    pub cached: CachedPrefixes,
    pub health: Health,
    /// When the server last reported that it is draining, unless it has reported otherwise since.
    pub draining_at: Option<Timestamp>,
    /// When another server last responded at the address.
    pub misdirected_at: Option<Timestamp>,
    pub loaded_models: Option<Vec<ModelId>>,
    /// When the server was last added, restarted or marked live again; `None` if it was running
    /// when the router started.
    pub start_time: Option<Timestamp>,
    pub probe_due: Timestamp,
}

impl ServerState {
    /// Returns the initial state of a server.
    pub fn new(server: Server, start_time: Option<Timestamp>) -> Self {
        Self {
            server,
            present: true,
            in_subset: false,
            load: Load::default(),
            cached: CachedPrefixes::default(),
            health: Health::default(),
            draining_at: None,
            misdirected_at: None,
            loaded_models: None,
            start_time,
            probe_due: Timestamp::default(),
        }
    }

    /// Resets everything that belongs to the server's previous process. Requests of this router
    /// stay counted.
    pub fn reset(&mut self, now: Timestamp) {
        self.load.clear_report();
        self.cached = CachedPrefixes::default();
        self.health = Health::default();
        self.draining_at = None;
        self.misdirected_at = None;
        self.loaded_models = None;
        self.start_time = Some(now);
        self.probe_due = now;
    }

    /// Returns whether the server supports the kind and model, regardless of its load and health.
    pub fn supports(&self, query: &RouteQuery) -> bool {
        let kinds = &self.server.kinds;
        match &query.model {
            None => kinds.contains(&query.kind),
            Some(model) => {
                self.server.models.contains(model)
                    && (kinds.is_empty() || kinds.contains(&query.kind))
                    && self.loaded_models.as_ref().is_none_or(|loaded| loaded.contains(model))
            }
        }
    }

    /// Returns whether another server has responded at the address a short time ago.
    pub fn is_misdirected(&self, now: Timestamp, policy: &RoutePolicy) -> bool {
        self.misdirected_at.is_some_and(|at| now.since(at) < policy.misdirected_hold)
    }

    /// Returns the fraction of the server's capacity to use: below 1 during slow start, which
    /// begins at `start_time` and at the end of an ejection or a pause.
    pub fn weight(
        &self,
        now: Timestamp,
        policy: &RoutePolicy,
        pause_end: Option<Timestamp>,
    ) -> f64 {
        let start = self.start_time.max(self.health.ejection_end()).max(pause_end);
        let Some(start) = start else { return 1.0 };
        let elapsed = now.since(start).0 as f64;
        let share = elapsed / (policy.slow_start.0.max(1)) as f64;
        (INITIAL_WEIGHT + (1.0 - INITIAL_WEIGHT) * share).min(1.0)
    }
}
