//! Measured speeds in the selection of servers.

use berylwheel_types::BackendId;
use berylwheel_types::KindId;
use berylwheel_types::ModelId;
use berylwheel_types::Timestamp;
use serde::Serialize;

use super::evidence::SharedSpeed;
use super::model::PoolModel;
use super::sample::ExpectedTime;
use super::sample::WorkClass;
use super::sample::WorkSample;
use super::speeds::SpeedChange;
use super::speeds::Speeds;
use crate::LoadBalancer;
use crate::RouteQuery;
use crate::SpeedUse;
use crate::subset::Pool;

/// The speed of one server as seen by one router.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct SpeedDump {
    /// Observed relative to expected time of reading prompts.
    pub prompt: f64,
    /// Observed relative to expected time of generating tokens.
    pub generation: f64,
    /// Observed relative to expected time of plain calls.
    pub plain: f64,
    /// Number of samples that these rest on, each weighted by its age.
    pub samples: f64,
}

/// The expected times of one pool as seen by one router, in milliseconds. `None` without enough
/// samples.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct PoolSpeedDump {
    /// The model or kind of the pool.
    pub pool: String,
    /// Time to the first event, without the part that depends on the prompt.
    pub prompt_base: Option<f64>,
    /// Time to read 1,000 prompt tokens.
    pub per_1000_prompt_tokens: Option<f64>,
    /// Time to generate one token.
    pub per_token: Option<f64>,
    /// Time of a plain call.
    pub plain: Option<f64>,
    /// Whether the servers' stated times correct the samples.
    pub uses_stated_times: bool,
}

impl Speeds {
    /// Returns the expected times of all pools for operators, sorted by name.
    pub(crate) fn dump_pools(&self) -> Vec<PoolSpeedDump> {
        let dump = |(pool, model): (&Pool, &PoolModel)| {
            let [base, slope, token, plain] = model.coefficients();
            PoolSpeedDump {
                pool: match pool {
                    Pool::Model(model) => model.to_string(),
                    Pool::Kind(kind) => kind.to_string(),
                },
                prompt_base: base.map(round),
                per_1000_prompt_tokens: slope.map(|slope| round(slope * 1_000.0)),
                per_token: token.map(round),
                plain: plain.map(round),
                uses_stated_times: model.stated.are_useful(),
            }
        };
        let mut pools: Vec<PoolSpeedDump> = self.models.iter().map(dump).collect();
        pools.sort_unstable_by(|a, b| a.pool.cmp(&b.pool));
        pools
    }

    /// Returns the speed of a server for operators, or `None` if there were no samples of it.
    pub(crate) fn dump(&self, now: Timestamp, server: &BackendId) -> Option<SpeedDump> {
        let speed = self.servers.get(server)?;
        let [prompt, generation, plain] = speed.factors.map(round);
        let samples = speed.evidence.iter().map(|evidence| evidence.weight(now)).sum();
        Some(SpeedDump { prompt, generation, plain, samples: round(samples) })
    }
}

fn round(value: f64) -> f64 {
    (value * 100.0).round() / 100.0
}

impl LoadBalancer {
    /// Records the time that a server took for work of a pool. Returns the change of the server's
    /// factor if it is large.
    ///
    /// ```
    /// use berylwheel_route::{LoadBalancer, RoutePolicy, Work, WorkSample};
    /// use berylwheel_types::{Millis, Timestamp};
    /// let mut balancer = LoadBalancer::new("r1".parse().unwrap(), RoutePolicy::default(), 7);
    /// let (kind, server) = ("chat".parse().unwrap(), "e1".parse().unwrap());
    /// let sample =
    ///     WorkSample { work: Work::Plain, took: Millis(20), unfinished: false, stated: None };
    /// // Samples of servers that are not configured do not count.
    /// assert_eq!(balancer.record_work(Timestamp::from_millis(0), &server, &kind, None, sample), None);
    /// ```
    pub fn record_work(
        &mut self,
        now: Timestamp,
        server: &BackendId,
        kind: &KindId,
        model: Option<&ModelId>,
        sample: WorkSample,
    ) -> Option<SpeedChange> {
        self.speeds.has_stated |= sample.stated.is_some();
        if !self.uses_speeds() || !self.states.contains_key(server) {
            return None;
        }
        self.last_time = now;
        let pool = model.map_or_else(|| Pool::Kind(kind.clone()), |m| Pool::Model(m.clone()));
        self.speeds.record(now, pool, server, sample)
    }

    fn uses_speeds(&self) -> bool {
        match self.policy.measure_speed {
            SpeedUse::Never => false,
            SpeedUse::IfStated => self.speeds.has_stated,
            SpeedUse::Always => true,
        }
    }

    /// Returns the time that a server is expected to take for a request, or `None` if this router
    /// has too few samples of the pool.
    ///
    /// ```
    /// # use berylwheel_route::{LoadBalancer, RoutePolicy, RouteQuery};
    /// # use berylwheel_types::Tokens;
    /// let balancer = LoadBalancer::new("r1".parse().unwrap(), RoutePolicy::default(), 7);
    /// let query = RouteQuery {
    ///     kind: "chat".parse().unwrap(),
    ///     model: None,
    ///     prefix: 0,
    ///     exclude: vec![],
    ///     prompt_tokens: Tokens(900),
    /// };
    /// assert_eq!(balancer.expected_time(&"e1".parse().unwrap(), &query), None);
    /// ```
    pub fn expected_time(&self, server: &BackendId, query: &RouteQuery) -> Option<ExpectedTime> {
        self.speeds.expected(&Pool::for_query(query), server, query.prompt_tokens)
    }

    /// Returns how much longer than expected a server takes for a class of work.
    ///
    /// ```
    /// # use berylwheel_route::{LoadBalancer, RoutePolicy, WorkClass};
    /// let balancer = LoadBalancer::new("r1".parse().unwrap(), RoutePolicy::default(), 7);
    /// assert_eq!(balancer.speed_factor(&"e1".parse().unwrap(), WorkClass::Prompt), 1.0);
    /// ```
    pub fn speed_factor(&self, server: &BackendId, class: WorkClass) -> f64 {
        self.speeds.factor(server, class)
    }

    /// Returns the samples that the other routers have not been told of, which then count as told.
    ///
    /// ```
    /// # use berylwheel_route::{LoadBalancer, RoutePolicy};
    /// # use berylwheel_types::Timestamp;
    /// let mut balancer = LoadBalancer::new("r1".parse().unwrap(), RoutePolicy::default(), 7);
    /// assert!(balancer.take_shared_speeds(Timestamp::from_millis(0)).is_empty());
    /// ```
    pub fn take_shared_speeds(&mut self, now: Timestamp) -> Vec<SharedSpeed> {
        self.speeds.take_shared(now)
    }

    /// Applies what another router has measured. Entries for unknown servers are ignored.
    ///
    /// ```
    /// use berylwheel_route::{LoadBalancer, RoutePolicy, SharedSpeed, WorkClass};
    /// use berylwheel_types::{Millis, Timestamp};
    /// let mut balancer = LoadBalancer::new("r1".parse().unwrap(), RoutePolicy::default(), 7);
    /// let server = "e1".parse().unwrap();
    /// let entry = SharedSpeed {
    ///     server, class: WorkClass::Plain, permille: 2_000, samples: 4, age: Millis(100),
    /// };
    /// balancer.apply_shared_speeds(Timestamp::from_millis(60_000), &[entry.clone()]);
    /// assert_eq!(balancer.speed_factor(&entry.server, WorkClass::Plain), 1.0);
    /// ```
    pub fn apply_shared_speeds(&mut self, now: Timestamp, entries: &[SharedSpeed]) {
        if self.policy.measure_speed == SpeedUse::Never {
            return;
        }
        for entry in entries.iter().filter(|entry| self.states.contains_key(&entry.server)) {
            // A router sends what it has measured, so a server has stated its own to that router.
            self.speeds.has_stated = true;
            self.speeds.apply_shared(now, entry);
        }
    }
}
