//! The speeds of all servers of a router, and the expectations of their pools.

use berylwheel_types::BackendId;
use berylwheel_types::FastMap;
use berylwheel_types::Millis;
use berylwheel_types::Timestamp;
use berylwheel_types::Tokens;

use super::evidence::Evidence;
use super::evidence::MAX_LOG;
use super::evidence::SharedSpeed;
use super::model::PoolModel;
use super::sample::ExpectedTime;
use super::sample::Work;
use super::sample::WorkClass;
use super::sample::WorkSample;
use crate::subset::Pool;

/// Maximum number of entries in a message to another router.
const SHARED_LIMIT: usize = 16;
/// Maximum number of samples that one entry of another router counts for.
const MAX_SHARED_SAMPLES: u32 = 8;
/// Maximum age of an entry of another router.
const MAX_SHARED_AGE: Millis = Millis(30_000);
/// Interval at which the factors of all servers follow the age of their evidence.
const REFRESH_INTERVAL: Millis = Millis(100);
/// Added to observed and expected times, since they contain the way to the server, and the set-up of
/// connections. Short calls would otherwise make idle servers differ several times.
const TIME_SLACK_MS: f64 = 10.0;
/// Range of a stated time, in percent, that is not ignored.
const STATED_RANGE: std::ops::RangeInclusive<u32> = 10..=1_000;
/// Maximum correction of a sample by a stated time, as a logarithm: 3 times.
const MAX_STATED_LOG: f64 = 1.1;
/// Age at which a stated time has lost its weight for the next request, to 1/e.
const STATED_DECAY_MS: f64 = 200.0;
/// Number of stated times over which their mean is taken.
const STATED_SPAN: f64 = 32.0;
/// Maximum factor in the expected time of a request. A server that does not answer would otherwise
/// be given more and more time.
const MAX_PATIENCE: f64 = 2.0;
/// Change of a factor, as a logarithm, that is reported: 1.5 times.
const REPORTED_CHANGE: f64 = 0.405;
/// Minimum number of generated tokens of a sample.
const MIN_GENERATED: u64 = 4;

/// A large change of a server's factor since the last one that was reported.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct SpeedChange {
    /// The class of work.
    pub class: WorkClass,
    /// The factor that was reported last, or 1.
    pub from: f64,
    /// The factor now.
    pub to: f64,
}

/// The speed of one server.
#[derive(Debug, Default)]
pub(super) struct ServerSpeed {
    pub(super) evidence: [Evidence; 3],
    /// Factors of observed to expected time as of the last refresh.
    pub(super) factors: [f64; 3],
    /// Logarithms of the factors that were reported last.
    reported: [f64; 3],
    /// Evidence from before is that of another process.
    since: Timestamp,
    /// Logarithm of the last stated time relative to the mean, and its time.
    stated: Option<(f64, Timestamp)>,
    /// Mean logarithm of the stated times, and the number of them up to a limit.
    stated_mean: (f64, f64),
}

impl ServerSpeed {
    fn new(since: Timestamp) -> Self {
        Self { factors: [1.0; 3], since, ..Self::default() }
    }

    fn refresh(&mut self, now: Timestamp, uses_stated: bool) {
        let transient = match self.stated {
            Some((log, at)) if uses_stated => {
                log * (-(now.since(at).0 as f64) / STATED_DECAY_MS).exp()
            }
            _ => 0.0,
        };
        for (factor, evidence) in self.factors.iter_mut().zip(&self.evidence) {
            *factor = (evidence.used_log(now) + transient).clamp(-MAX_LOG, MAX_LOG).exp();
        }
    }

    /// Returns the logarithm of a stated time relative to the mean of the server's stated times.
    fn relative_stated(&mut self, stated: Option<u32>) -> Option<f64> {
        let stated = stated.filter(|stated| STATED_RANGE.contains(stated))?;
        let log = (f64::from(stated) / 100.0).ln();
        let (mean, count) = self.stated_mean;
        // The mean starts at the usual time, with the weight of two samples.
        let count = (count + 1.0).min(STATED_SPAN);
        let mean = mean + (log - mean) / (count + 2.0);
        self.stated_mean = (mean, count);
        Some((log - mean).clamp(-MAX_STATED_LOG, MAX_STATED_LOG))
    }
}

/// The speeds of all servers that a router uses.
///
/// ```
/// use berylwheel_route::{Speeds, WorkClass};
/// let speeds = Speeds::default();
/// assert_eq!(speeds.factor(&"e1".parse().unwrap(), WorkClass::Prompt), 1.0);
/// ```
#[derive(Debug, Default)]
pub struct Speeds {
    pub(super) models: FastMap<Pool, PoolModel>,
    pub(super) servers: FastMap<BackendId, ServerSpeed>,
    refreshed: Timestamp,
    /// Whether stated times improve the predictions of any pool.
    uses_stated: bool,
    /// Whether a server has stated how long work takes on its machine.
    pub(super) has_stated: bool,
}

impl Speeds {
    /// Returns how much longer than expected a server takes for a class of work, as of the last
    /// sample or refresh. 1 is as expected.
    ///
    /// ```
    /// # use berylwheel_route::{Speeds, WorkClass};
    /// assert_eq!(Speeds::default().factor(&"e1".parse().unwrap(), WorkClass::Plain), 1.0);
    /// ```
    pub fn factor(&self, server: &BackendId, class: WorkClass) -> f64 {
        self.servers.get(server).map_or(1.0, |speed| speed.factors[class.index()])
    }

    /// Returns the factor for a whole request: that of a plain call, or the mean of those of reading
    /// the prompt and generating the answer.
    pub(crate) fn request_factor(&self, server: &BackendId, prompt: Tokens) -> f64 {
        let Some(speed) = self.servers.get(server) else { return 1.0 };
        let [reading, generation, plain] = speed.factors;
        if prompt == Tokens::ZERO { plain } else { (reading * generation).sqrt() }
    }

    /// Updates the factors to the age of their evidence, if that is due.
    pub(crate) fn refresh(&mut self, now: Timestamp) {
        if now.since(self.refreshed) < REFRESH_INTERVAL {
            return;
        }
        self.refreshed = now;
        for speed in self.servers.values_mut() {
            speed.refresh(now, self.uses_stated);
        }
    }

    /// Applies a sample. Returns the change of the server's factor if it is large.
    pub(crate) fn record(
        &mut self,
        now: Timestamp,
        pool: Pool,
        server: &BackendId,
        sample: WorkSample,
    ) -> Option<SpeedChange> {
        if matches!(sample.work, Work::Generation(tokens) if tokens.0 < MIN_GENERATED) {
            return None;
        }
        // The server has been replaced since the work began.
        if self.servers.get(server).is_some_and(|s| now.since(s.since) < sample.took) {
            return None;
        }
        let class = sample.work.class();
        let model = self.models.entry(pool).or_default();
        let took = sample.took.0 as f64;
        let expected = model.expected(sample.work);
        if !sample.unfinished {
            model.add(now, sample.work, took);
        }
        // The time per token contains neither.
        let slack = if class == WorkClass::Generation { 1.0 } else { TIME_SLACK_MS };
        let log = ((took + slack) / (expected? + slack)).ln();
        let speed = match self.servers.get_mut(server) {
            Some(speed) => speed,
            None => self
                .servers
                .entry(server.clone())
                .or_insert_with(|| ServerSpeed::new(Timestamp::default())),
        };
        let known = speed.evidence[class.index()].log(now);
        let stated = if sample.unfinished { None } else { speed.relative_stated(sample.stated) };
        let mut corrected = log;
        if let Some(stated) = stated {
            model.stated.record(log - known, log - stated - known);
            self.uses_stated = model.stated.are_useful();
            speed.stated = Some((stated, now));
            if self.uses_stated {
                corrected = log - stated;
            }
        }
        if sample.unfinished && log <= known.max(0.0) {
            return None;
        }
        speed.evidence[class.index()].add(now, corrected);
        speed.refresh(now, self.uses_stated);
        let (from, to) =
            (speed.reported[class.index()], speed.evidence[class.index()].used_log(now));
        if (to - from).abs() < REPORTED_CHANGE {
            return None;
        }
        speed.reported[class.index()] = to;
        Some(SpeedChange { class, from: from.exp(), to: to.exp() })
    }

    /// Returns the time that a server is expected to take for a request, or `None` if this router
    /// has too few samples of the pool.
    pub(crate) fn expected(
        &self,
        pool: &Pool,
        server: &BackendId,
        prompt: Tokens,
    ) -> Option<ExpectedTime> {
        let model = self.models.get(pool)?;
        let factor = |class| self.factor(server, class).min(MAX_PATIENCE);
        if prompt == Tokens::ZERO {
            let first = model.expected(Work::Plain)? * factor(WorkClass::Plain);
            return Some(ExpectedTime { first: Millis(first.ceil() as u64), token_micros: None });
        }
        let first = model.expected(Work::Prompt(prompt))? * factor(WorkClass::Prompt);
        let token = model.expected(Work::Generation(Tokens(1)));
        let token = token.map(|ms| (ms * factor(WorkClass::Generation) * 1_000.0) as u64);
        Some(ExpectedTime { first: Millis(first.ceil() as u64), token_micros: token })
    }

    /// Returns the samples that the peers have not been told of, which then count as told. Those of
    /// the servers with most of them come first; the others follow in a later call.
    ///
    /// ```
    /// # use berylwheel_route::Speeds;
    /// # use berylwheel_types::Timestamp;
    /// assert!(Speeds::default().take_shared(Timestamp::from_millis(0)).is_empty());
    /// ```
    pub fn take_shared(&mut self, now: Timestamp) -> Vec<SharedSpeed> {
        let mut unsent: Vec<(u32, &BackendId, WorkClass, &mut Evidence)> = Vec::new();
        for (server, speed) in &mut self.servers {
            for (class, evidence) in WorkClass::ALL.into_iter().zip(&mut speed.evidence) {
                if evidence.unsent_samples() > 0 {
                    unsent.push((evidence.unsent_samples(), server, class, evidence));
                }
            }
        }
        unsent.sort_unstable_by(|a, b| (b.0, a.1, a.2.index()).cmp(&(a.0, b.1, b.2.index())));
        let entry = |(_, server, class, evidence): (u32, &BackendId, WorkClass, &mut Evidence)| {
            let (log, samples, at) = evidence.take_unsent();
            let permille = (log.exp() * 1_000.0).round() as u32;
            SharedSpeed { server: server.clone(), class, permille, samples, age: now.since(at) }
        };
        unsent.into_iter().take(SHARED_LIMIT).map(entry).collect()
    }

    /// Applies what another router has measured. Ignores values that no router sends, and samples
    /// that were taken before the server was replaced.
    ///
    /// ```
    /// use berylwheel_route::{SharedSpeed, Speeds, WorkClass};
    /// use berylwheel_types::{Millis, Timestamp};
    /// let (mut speeds, server) = (Speeds::default(), "e1".parse().unwrap());
    /// let now = Timestamp::from_millis(60_000);
    /// let entry = SharedSpeed {
    ///     server, class: WorkClass::Plain, permille: 2_000, samples: 4, age: Millis(100),
    /// };
    /// speeds.apply_shared(now, &entry);
    /// assert!(speeds.factor(&entry.server, WorkClass::Plain) > 1.4);
    /// ```
    pub fn apply_shared(&mut self, now: Timestamp, entry: &SharedSpeed) {
        let log = (f64::from(entry.permille) / 1_000.0).ln();
        if entry.samples == 0 || entry.age > MAX_SHARED_AGE || log.abs() > MAX_LOG + 0.01 {
            return;
        }
        let at = Timestamp::from_millis(now.as_millis().saturating_sub(entry.age.0));
        let speed = self.servers.entry(entry.server.clone());
        let speed = speed.or_insert_with(|| ServerSpeed::new(Timestamp::default()));
        if at < speed.since {
            return;
        }
        let samples = entry.samples.min(MAX_SHARED_SAMPLES);
        speed.evidence[entry.class.index()].add_heard(at, now, log, samples);
        speed.refresh(now, self.uses_stated);
    }

    /// Drops the evidence of a server whose process was replaced.
    pub(crate) fn forget(&mut self, now: Timestamp, server: &BackendId) {
        self.servers.insert(server.clone(), ServerSpeed::new(now));
    }

    /// Drops the evidence of all servers but those that `is_known` accepts.
    pub(crate) fn retain(&mut self, is_known: impl Fn(&BackendId) -> bool) {
        self.servers.retain(|server, _| is_known(server));
    }
}
