//! The state of an engine.

use std::collections::VecDeque;
use std::sync::Mutex;

use berylwheel_types::FastMap;
use berylwheel_types::Timestamp;
use serde::Deserialize;
use serde::Serialize;

use super::EngineFaults;
use super::EngineOptions;
use super::cache::PromptCache;
use super::record::RequestRecord;
use super::slots::Slots;

/// Maximum number of request records; the oldest ones are evicted.
const RECORD_LIMIT: usize = 200_000;

/// Maximum number of orders in the history; the oldest ones are evicted.
const ORDER_LIMIT: usize = 1_000;

/// An order to load a model, adapter or version, or to change the role.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub(crate) struct Order {
    pub(crate) fence: u64,
    pub(crate) model: Option<String>,
    pub(crate) adapter: Option<String>,
    pub(crate) version: Option<String>,
    pub(crate) role: Option<String>,
}

/// The load at one point in time.
#[derive(Debug, Clone, Copy, Serialize)]
pub(crate) struct LoadReport {
    pub(crate) at: Timestamp,
    pub(crate) in_flight: usize,
    pub(crate) queued: usize,
    pub(crate) draining: bool,
}

pub(crate) struct State {
    pub(crate) faults: EngineFaults,
    pub(crate) slots: Slots,
    pub(crate) records: FastMap<String, RequestRecord>,
    arrival_order: VecDeque<String>,
    pub(crate) cache: PromptCache,
    /// Models that requests may name; any model if empty.
    pub(crate) models: Vec<String>,
    pub(crate) fence: u64,
    pub(crate) orders: VecDeque<Order>,
    loads: VecDeque<LoadReport>,
    pub(crate) request_count: u64,
}

/// A model engine: its options and its shared state.
pub(crate) struct Engine {
    pub(crate) options: EngineOptions,
    state: Mutex<State>,
}

impl Engine {
    pub(crate) fn new(options: EngineOptions) -> Self {
        let state = State {
            faults: options.faults.clone(),
            slots: Slots::new(options.slots),
            records: FastMap::default(),
            arrival_order: VecDeque::new(),
            cache: PromptCache::default(),
            models: options.models.clone(),
            fence: 0,
            orders: VecDeque::new(),
            loads: VecDeque::new(),
            request_count: 0,
        };
        Self { options, state: Mutex::new(state) }
    }

    /// Calls `f` with the state locked.
    pub(crate) fn with_state<T>(&self, f: impl FnOnce(&mut State) -> T) -> T {
        f(&mut self.state.lock().expect("the lock is not poisoned"))
    }

    /// Appends the current load to the history. Must be called after a change of the slots or the
    /// faults.
    pub(crate) fn record_load(&self, state: &mut State) {
        let at = self.options.clock.now();
        let (in_flight, queued) = state.slots.counts();
        let draining = state.faults.draining;
        state.loads.push_back(LoadReport { at, in_flight, queued, draining });
        self.prune_loads(state, at);
    }

    /// Returns the load as it was `load_lag` ago.
    pub(crate) fn load_report(&self) -> LoadReport {
        self.with_state(|state| {
            let now = self.options.clock.now();
            self.prune_loads(state, now);
            let idle = LoadReport { at: now, in_flight: 0, queued: 0, draining: false };
            let visible = state.loads.front().filter(|load| self.is_visible(load, now));
            let at =
                Timestamp::from_millis(now.as_millis().saturating_sub(self.options.load_lag.0));
            LoadReport { at, ..visible.copied().unwrap_or(idle) }
        })
    }

    fn is_visible(&self, load: &LoadReport, now: Timestamp) -> bool {
        load.at + self.options.load_lag <= now
    }

    fn prune_loads(&self, state: &mut State, now: Timestamp) {
        while state.loads.get(1).is_some_and(|next| self.is_visible(next, now)) {
            state.loads.pop_front();
        }
    }
}

impl State {
    /// Inserts a request record and evicts the oldest one if there are too many.
    pub(crate) fn insert_record(&mut self, id: &str, record: RequestRecord) {
        self.records.insert(id.to_owned(), record);
        self.arrival_order.push_back(id.to_owned());
        if self.arrival_order.len() > RECORD_LIMIT
            && let Some(oldest) = self.arrival_order.pop_front()
        {
            self.records.remove(&oldest);
        }
    }

    /// Applies an order and appends it to the history.
    pub(crate) fn apply_order(&mut self, order: Order) {
        self.fence = self.fence.max(order.fence);
        if let Some(model) = &order.model
            && !self.models.is_empty()
        {
            self.models.push(model.clone());
        }
        self.orders.push_back(order);
        if self.orders.len() > ORDER_LIMIT {
            self.orders.pop_front();
        }
    }
}
