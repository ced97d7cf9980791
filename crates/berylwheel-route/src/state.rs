//! All that a router knows about one server.

use berylwheel_types::ModelId;
use berylwheel_types::Timestamp;

use crate::Ask;
use crate::RoutePolicy;
use crate::Server;
use crate::cache::HeldPrefixes;
use crate::health::Health;
use crate::load::Load;

/// The share of work that a server gets when its slow start begins.
const FIRST_SHARE: f64 = 0.1;

/// One server: configuration, load, cache and health.
#[derive(Debug)]
pub(crate) struct State {
    pub server: Server,
    /// False once the configuration has dropped the server; own requests may still run.
    pub present: bool,
    /// Whether this router's subsets contain the server.
    pub used: bool,
    pub load: Load,
    pub held: HeldPrefixes,
    pub health: Health,
    /// When the server last said that it drains, if it has not said otherwise since.
    pub draining: Option<Timestamp>,
    pub loaded: Option<Vec<ModelId>>,
    /// When the server came in; `None` if it was there when the router started.
    pub since: Option<Timestamp>,
    pub probe_due: Timestamp,
}

impl State {
    /// Returns the state of a server that nothing is known about.
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

    /// Forgets what was learnt about the server's last process. Own requests stay counted.
    pub fn restart(&mut self, now: Timestamp) {
        self.load.forget_reports();
        self.held = HeldPrefixes::default();
        self.health = Health::default();
        self.draining = None;
        self.loaded = None;
        self.since = Some(now);
        self.probe_due = now;
    }

    /// Returns whether the server takes work of this sort, whatever its load and health.
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

    /// Returns the share of its capacity that the server is offered: below 1 in slow start, which
    /// begins when it comes in and again when an ejection ends.
    pub fn weight(&self, now: Timestamp, policy: &RoutePolicy) -> f64 {
        let Some(start) = self.since.max(self.health.until()) else { return 1.0 };
        let elapsed = now.since(start).0 as f64;
        let share = elapsed / (policy.slow_start.0.max(1)) as f64;
        (FIRST_SHARE + (1.0 - FIRST_SHARE) * share).min(1.0)
    }
}
