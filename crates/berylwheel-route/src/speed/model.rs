//! The times that work is expected to take at a server of a pool.

use berylwheel_types::Timestamp;
use berylwheel_types::Tokens;

use super::sample::Work;

/// Age at which the weight of a sample has decayed to 1/e.
const MEMORY_MS: f64 = 60_000.0;
/// Minimum weight of the samples from which a time is expected.
const MIN_WEIGHT: f64 = 4.0;
/// A sample counts as at most this many times the expected one, so that a single stalled request
/// does not change the expectation of the pool.
const MAX_RATIO: f64 = 3.0;
/// Prompt length, in tokens, below which samples count by their absolute error, and above which by
/// their relative error.
const SHORT_PROMPT: f64 = 500.0;

/// Decayed sums of a weighted linear regression.
#[derive(Debug, Default)]
struct Line {
    updated: Timestamp,
    count: f64,
    w: f64,
    x: f64,
    y: f64,
    xx: f64,
    xy: f64,
}

impl Line {
    fn add(&mut self, now: Timestamp, x: f64, y: f64) {
        let keep = (-(now.since(self.updated).0 as f64) / MEMORY_MS).exp();
        self.updated = now;
        for sum in
            [&mut self.count, &mut self.w, &mut self.x, &mut self.y, &mut self.xx, &mut self.xy]
        {
            *sum *= keep;
        }
        let weight = (SHORT_PROMPT / (x + SHORT_PROMPT)).powi(2);
        self.count += 1.0;
        self.w += weight;
        self.x += weight * x;
        self.y += weight * y;
        self.xx += weight * x * x;
        self.xy += weight * x * y;
    }

    /// Returns the base and the slope, neither of which is negative, or `None` if there are too few
    /// samples.
    fn fit(&self) -> Option<(f64, f64)> {
        if self.count < MIN_WEIGHT || self.w <= 0.0 {
            return None;
        }
        let (mean_x, mean_y) = (self.x / self.w, self.y / self.w);
        let variance = self.xx / self.w - mean_x * mean_x;
        let covariance = self.xy / self.w - mean_x * mean_y;
        if variance <= 1.0 || covariance <= 0.0 {
            return Some((mean_y, 0.0));
        }
        let slope = covariance / variance;
        let base = mean_y - slope * mean_x;
        Some(if base < 0.0 { (0.0, self.xy / self.xx) } else { (base, slope) })
    }
}

/// Errors of the predictions of samples, with and without the stated times of the servers.
#[derive(Debug, Default)]
pub(super) struct StatedTimes {
    raw: f64,
    corrected: f64,
    count: f64,
}

impl StatedTimes {
    /// Number of samples over which the errors are compared.
    const SPAN: f64 = 40.0;
    /// Minimum number of samples before the stated times are used.
    const MIN_COUNT: f64 = 5.0;

    /// Records the error of a prediction, as logarithms.
    pub(super) fn record(&mut self, raw: f64, corrected: f64) {
        let keep = 1.0 - 1.0 / Self::SPAN;
        self.raw = self.raw * keep + raw * raw;
        self.corrected = self.corrected * keep + corrected * corrected;
        self.count = self.count * keep + 1.0;
    }

    /// Returns whether the stated times make predictions better.
    pub(super) fn are_useful(&self) -> bool {
        self.count >= Self::MIN_COUNT && self.corrected < 0.9 * self.raw
    }
}

/// The expected times of one pool, from this router's samples over all of its servers.
#[derive(Debug, Default)]
pub(crate) struct PoolModel {
    prompt: Line,
    generation: Line,
    plain: Line,
    pub(super) stated: StatedTimes,
}

impl PoolModel {
    fn line(&self, work: Work) -> (&Line, f64, f64) {
        match work {
            Work::Prompt(tokens) => (&self.prompt, tokens.0 as f64, 1.0),
            Work::Generation(tokens) => (&self.generation, 0.0, tokens.0.max(1) as f64),
            Work::Plain => (&self.plain, 0.0, 1.0),
        }
    }

    /// Returns the time, in milliseconds, that `work` is expected to take at a server with a factor
    /// of 1, or `None` if there are too few samples.
    pub(super) fn expected(&self, work: Work) -> Option<f64> {
        let (line, x, units) = self.line(work);
        line.fit().map(|(base, slope)| (base + slope * x) * units)
    }

    /// Adds a sample of `took` milliseconds.
    pub(super) fn add(&mut self, now: Timestamp, work: Work, took: f64) {
        let limit = self.expected(work).map_or(f64::MAX, |expected| (expected + 1.0) * MAX_RATIO);
        let (_, x, units) = self.line(work);
        let y = took.min(limit) / units;
        match work {
            Work::Prompt(_) => self.prompt.add(now, x, y),
            Work::Generation(_) => self.generation.add(now, x, y),
            Work::Plain => self.plain.add(now, x, y),
        }
    }

    /// Returns base and time per token of reading a prompt, time per generated token and time of a
    /// plain call, in milliseconds.
    pub(super) fn coefficients(&self) -> [Option<f64>; 4] {
        let prompt = self.prompt.fit();
        let generation = self.expected(Work::Generation(Tokens(1)));
        let plain = self.expected(Work::Plain);
        [prompt.map(|(base, _)| base), prompt.map(|(_, slope)| slope), generation, plain]
    }
}
