//! Output of figures, one JSON object a line.

use serde_json::Value;
use serde_json::json;

/// The seed of every figure in this bench.
pub const SEED: u64 = 1;

/// One measured figure. `baseline` and `target` are `None` where there is none.
pub struct Figure {
    pub name: String,
    pub value: f64,
    pub unit: &'static str,
    pub baseline: Option<f64>,
    pub target: Option<f64>,
}

fn number(value: f64) -> Value {
    // Six significant decimals keep small shares readable.
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
