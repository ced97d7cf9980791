//! The state that a router keeps for each server.

use berylwheel_types::ModelId;
use berylwheel_types::Timestamp;

use crate::Ask;
use crate::RoutePolicy;
use crate::Server;
use crate::cache::HeldPrefixes;
use crate::health::Health;
use crate::load::Load;

/// Weight of a server at the beginning of its slow start.
const FIRST_SHARE: f64 = 0.1;

/// Configuration, load, cache and health of one server.
#[derive(Debug)]
pub(crate) struct State {
    pub server: Server,
    /// Whether the server is configured. Requests of this router may outlast its removal.
    pub present: bool,
    /// Whether this router's subsets contain the server.
    pub used: bool,
    pub load: Load,
    pub held: HeldPrefixes,
    pub health: Health,
    /// When the server last reported that it is draining, unless it has reported otherwise since.
    pub draining: Option<Timestamp>,
    pub loaded: Option<Vec<ModelId>>,
    /// When the server was last added, restarted or marked live again; `None` if it was running
    /// when the router started.
    pub since: Option<Timestamp>,
    pub probe_due: Timestamp,
}

impl State {
    /// Returns the initial state of a server.
    pub fn new(server: Server, since: Option<Timestamp>) -> Self {
        Self {
            server,
            present: true,
            used: false,
            load: Load::default(),
            held: HeldPrefixes::default(),
            health: Health::default(),
            draining: None,
            loaded: None,
            since,
            probe_due: Timestamp::default(),
        }
    }

    /// Resets everything that belongs to the server's previous process. Requests of this router
    /// stay counted.
    pub fn restart(&mut self, now: Timestamp) {
        self.load.forget_reports();
        self.held = HeldPrefixes::default();
        self.health = Health::default();
        self.draining = None;
        self.loaded = None;
        self.since = Some(now);
        self.probe_due = now;
    }

    /// Returns whether the server supports the kind and model, regardless of its load and health.
    pub fn serves(&self, ask: &Ask) -> bool {
        let kinds = &self.server.kinds;
        match &ask.model {
            None => kinds.contains(&ask.kind),
            Some(model) => {
                self.server.models.contains(model)
                    && (kinds.is_empty() || kinds.contains(&ask.kind))
                    && self.loaded.as_ref().is_none_or(|loaded| loaded.contains(model))
            }
        }
    }

    /// Returns the fraction of the server's capacity to use: below 1 during slow start, which
    /// begins at `since` and at the end of an ejection.
    pub fn weight(&self, now: Timestamp, policy: &RoutePolicy) -> f64 {
        let Some(start) = self.since.max(self.health.until()) else { return 1.0 };
        let elapsed = now.since(start).0 as f64;
        let share = elapsed / (policy.slow_start.0.max(1)) as f64;
        (FIRST_SHARE + (1.0 - FIRST_SHARE) * share).min(1.0)
    }
}
