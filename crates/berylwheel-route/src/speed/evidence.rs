//! What is known of the speed of one server in one class of work.

use berylwheel_types::BackendId;
use berylwheel_types::Millis;
use berylwheel_types::Timestamp;

use super::sample::WorkClass;

/// Age at which the weight of a sample has decayed to 1/e. A router has about one sample of a
/// server in 20 s, and gets those of its linked peers.
const MEMORY_MS: f64 = 30_000.0;
/// Weight of the assumption that a server is as fast as expected, in samples.
const PRIOR_WEIGHT: f64 = 1.0;
/// Bound of a factor on both sides, as a logarithm: a factor stays between 1/4 and 4.
pub(super) const MAX_LOG: f64 = 1.386_294_361_119_890_6;
/// Deviation, as a logarithm, that counts as none. Without it, random differences of equal servers
/// change the choice among them.
const DEAD_ZONE: f64 = 0.1;
/// Deviation of a sample from the factor, as a logarithm, that suggests a change of speed.
const SURPRISE: f64 = 0.405;
/// Number of surprising samples in a row, in the same direction, that halve the earlier evidence.
const SURPRISES: i8 = 2;
/// Maximum weight of the own evidence, and of that from other routers. Bounds how long earlier
/// samples outweigh new ones where there are many.
const MAX_WEIGHT: f64 = 16.0;

/// The samples that a router has taken of one server since it last told its peers.
#[derive(Debug, Clone, PartialEq)]
pub struct SharedSpeed {
    /// The server.
    pub server: BackendId,
    /// The class of work.
    pub class: WorkClass,
    /// Mean ratio of observed to expected time, in thousandths.
    pub permille: u32,
    /// Number of samples.
    pub samples: u32,
    /// Time since the last of them.
    pub age: Millis,
}

/// A weighted sum of logarithms that decays with time.
#[derive(Debug, Clone, Copy, Default)]
struct DecayingSum {
    sum: f64,
    weight: f64,
    updated: Timestamp,
}

impl DecayingSum {
    fn decayed(self, now: Timestamp) -> Self {
        let keep = (-(now.since(self.updated).0 as f64) / MEMORY_MS).exp();
        Self { sum: self.sum * keep, weight: self.weight * keep, updated: self.updated.max(now) }
    }

    fn add(&mut self, now: Timestamp, log: f64, weight: f64) {
        *self = self.decayed(now);
        self.sum += log * weight;
        self.weight += weight;
    }

    fn limit(&mut self, weight: f64) {
        if self.weight > weight {
            self.scale(weight / self.weight);
        }
    }

    fn scale(&mut self, factor: f64) {
        self.sum *= factor;
        self.weight *= factor;
    }
}

/// The evidence about one server in one class of work.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Evidence {
    own: DecayingSum,
    heard: DecayingSum,
    /// Number of surprising samples in a row; negative if they were faster than expected.
    surprises: i8,
    /// Sum and number of the samples that the peers have not been told of, and the time of the last.
    unsent: (f64, u32, Timestamp),
}

impl Evidence {
    /// Returns the logarithm of the factor, without the dead zone.
    pub(super) fn log(&self, now: Timestamp) -> f64 {
        let (own, heard) = (self.own.decayed(now), self.heard.decayed(now));
        (own.sum + heard.sum) / (own.weight + heard.weight + PRIOR_WEIGHT)
    }

    /// Returns the logarithm of the factor that routing uses.
    pub(super) fn used_log(&self, now: Timestamp) -> f64 {
        let log = self.log(now);
        let beyond = (log.abs() - DEAD_ZONE).max(0.0);
        // Rises twice as fast beyond the dead zone, so that the factor has no step.
        log.signum() * (2.0 * beyond).min(log.abs())
    }

    /// Returns the number of samples that the factor rests on, each weighted by its age.
    pub(super) fn weight(&self, now: Timestamp) -> f64 {
        self.own.decayed(now).weight + self.heard.decayed(now).weight
    }

    /// Adds a sample of this router.
    pub(super) fn add(&mut self, now: Timestamp, log: f64) {
        let log = log.clamp(-MAX_LOG, MAX_LOG);
        let deviation = log - self.log(now);
        self.surprises = match deviation {
            d if d > SURPRISE => self.surprises.max(0).saturating_add(1),
            d if d < -SURPRISE => self.surprises.min(0).saturating_sub(1),
            _ => 0,
        };
        if self.surprises.abs() >= SURPRISES {
            self.own.scale(0.5);
            self.heard.scale(0.5);
        }
        self.own.add(now, log, 1.0);
        self.own.limit(MAX_WEIGHT);
        let (sum, samples, _) = self.unsent;
        self.unsent = (sum + log, samples.saturating_add(1), now);
    }

    /// Adds the samples of another router.
    pub(super) fn add_heard(&mut self, at: Timestamp, now: Timestamp, log: f64, samples: u32) {
        let age = now.since(at).0 as f64;
        let weight = f64::from(samples) * (-age / MEMORY_MS).exp();
        self.heard.add(now, log.clamp(-MAX_LOG, MAX_LOG), weight);
        self.heard.limit(MAX_WEIGHT);
    }

    /// Returns the number of samples that the peers have not been told of.
    pub(super) fn unsent_samples(&self) -> u32 {
        self.unsent.1
    }

    /// Returns the mean logarithm, the number and the time of the last of the samples that the peers
    /// have not been told of, which then count as told.
    pub(super) fn take_unsent(&mut self) -> (f64, u32, Timestamp) {
        let (sum, samples, at) = std::mem::take(&mut self.unsent);
        (sum / f64::from(samples.max(1)), samples, at)
    }
}
