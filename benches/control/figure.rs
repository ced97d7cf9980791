//! Prints figures, and computes percentiles and the baseline.

use std::sync::OnceLock;
use std::time::Instant;

use serde_json::json;

use crate::common::Net;
use crate::workload::SEED;

/// Prints one figure as a JSON object.
pub fn print_figure(
    figure: &str,
    value: f64,
    unit: &str,
    baseline: Option<f64>,
    target: Option<f64>,
) {
    let line = json!({
        "figure": figure,
        "value": value,
        "unit": unit,
        "baseline": baseline,
        "target": target,
        "seed": SEED,
    });
    println!("{line}");
}

/// Sorts `values` and returns the one at `quantile`, a share between 0 and 1, by nearest rank.
pub fn percentile(values: &mut [f64], quantile: f64) -> f64 {
    values.sort_by(f64::total_cmp);
    let index = (values.len() as f64 * quantile).ceil() as usize;
    values.get(index.saturating_sub(1)).copied().unwrap_or(f64::NAN)
}

/// Returns the nanoseconds since the first call of this function.
pub fn elapsed_nanos() -> u64 {
    static START: OnceLock<Instant> = OnceLock::new();
    START.get_or_init(Instant::now).elapsed().as_nanos() as u64
}

/// Returns the 99th percentile of the seconds until all of `count` routers have a change if each
/// one polls the store every second. The time of a change is 2 ms for its write, the longest wait
/// of a router for its next poll, and 2 ms each to read the root and the parts.
pub fn baseline_in_force_p99(net: &mut Net, count: usize, changes: usize) -> f64 {
    let mut longest_wait = |_| (0..count).map(|_| net.draw(1_000)).max().unwrap_or(0);
    let mut times: Vec<f64> =
        (0..changes).map(|n| (longest_wait(n) + 6) as f64 / 1_000.0).collect();
    percentile(&mut times, 0.99)
}
