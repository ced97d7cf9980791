//! Prints figures as JSON lines.

use serde_json::json;

/// A measured value with its baseline. The target is `None` where no value is required.
#[derive(Clone, Copy)]
pub struct Figure {
    pub value: f64,
    pub baseline: f64,
    pub target: Option<f64>,
}

/// Prints the figures of one fleet size.
pub struct Report {
    fleet: &'static str,
    pub seed: u64,
}

fn round(value: f64) -> f64 {
    (value * 10_000.0).round() / 10_000.0
}

impl Report {
    pub fn new(fleet: &'static str, seed: u64) -> Self {
        Self { fleet, seed }
    }

    pub fn print(&self, name: &str, unit: &str, figure: Figure) {
        let line = json!({
            "figure": format!("{name}.{}", self.fleet),
            "value": round(figure.value),
            "unit": unit,
            "baseline": round(figure.baseline),
            "target": figure.target,
            "seed": self.seed,
        });
        println!("{line}");
    }
}
