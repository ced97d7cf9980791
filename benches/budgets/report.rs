//! Output of figures as JSON lines.

use serde_json::Value;
use serde_json::json;

/// Seed of all random generators in this bench.
pub const SEED: u64 = 1;

/// A measured figure. `baseline` and `target` are `None` for figures that lack one.
pub struct Figure {
    pub name: String,
    pub value: f64,
    pub unit: &'static str,
    pub baseline: Option<f64>,
    pub target: Option<f64>,
}

fn number(value: f64) -> Value {
    // Rounds to six decimals, so that small shares stay readable.
    json!((value * 1e6).round() / 1e6)
}

pub fn print(figure: Figure) {
    let line = json!({
        "figure": figure.name,
        "value": number(figure.value),
        "unit": figure.unit,
        "baseline": figure.baseline.map(number),
        "target": figure.target.map(number),
        "seed": SEED,
    });
    println!("{line}");
}
