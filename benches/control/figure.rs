//! Figures and how they are printed.

use std::sync::OnceLock;
use std::time::Instant;

use serde_json::json;

use crate::common::Net;
use crate::work::SEED;

/// Prints one figure.
pub fn print(figure: &str, value: f64, unit: &str, baseline: Option<f64>, target: Option<f64>) {
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

/// Returns the value below which the share `rank` of `values` lies.
pub fn percentile(values: &mut [f64], rank: f64) -> f64 {
    values.sort_by(f64::total_cmp);
    let index = (values.len() as f64 * rank).ceil() as usize;
    values.get(index.saturating_sub(1)).copied().unwrap_or(f64::NAN)
}

/// Returns the nanoseconds since the first call.
pub fn nanos() -> u64 {
    static START: OnceLock<Instant> = OnceLock::new();
    START.get_or_init(Instant::now).elapsed().as_nanos() as u64
}

/// Returns the time until the last of `count` routers that each read the store every second has a
/// change: the wait for its next read, then root and parts at 2 ms each, and the write before.
pub fn baseline_in_force(net: &mut Net, count: usize, changes: usize) -> f64 {
    let mut last = |_| (0..count).map(|_| net.draw(1_000)).max().unwrap_or(0);
    let mut times: Vec<f64> = (0..changes).map(|n| (last(n) + 6) as f64 / 1_000.0).collect();
    percentile(&mut times, 0.99)
}
