//! Prints what becomes of requests to engines of unequal and shifting speed, with the previous choice
//! of servers as the baseline.

use serde_json::json;

use crate::speeds::Outcomes;
use crate::speeds::Scenario;
use crate::speeds::play;

const FLEETS: [usize; 3] = [9, 77, 295];
const SPEEDS: [(&str, [f64; 3]); 2] = [("unequal", [0.6, 1.0, 1.6]), ("equal", [1.0; 3])];

/// Plays each fleet with both choices and prints one JSON object per line.
pub fn run(seed: u64) {
    for routers in FLEETS {
        for (name, speeds) in SPEEDS {
            let scenario = Scenario { routers, speeds, shifting: true, stating: true, seed };
            let (before, after) = (play(scenario, false), play(scenario, true));
            print_figures(&format!("{name}.{routers}"), seed, before, after);
        }
    }
}

fn print_figures(name: &str, seed: u64, before: Outcomes, after: Outcomes) {
    let share = |part: u64, of: Outcomes| {
        (part as f64 / of.requests.max(1) as f64 * 10_000.0).round() / 10_000.0
    };
    let of_slowest = |outcomes: Outcomes| share(outcomes.by_speed[0], outcomes);
    let of_fastest = |outcomes: Outcomes| share(outcomes.by_speed[2], outcomes);
    let in_target = |outcomes: Outcomes| share(outcomes.in_target, outcomes);
    let late = |outcomes: Outcomes| share(outcomes.requests - outcomes.in_target, outcomes);
    let figures = [
        ("in_target", "share of requests", in_target(after), in_target(before)),
        ("late", "share of requests", late(after), late(before)),
        ("moved", "requests", after.moved as f64, before.moved as f64),
        ("read_again", "prompt tokens", after.read_again as f64, before.read_again as f64),
        (
            "longest_queue",
            "prompts at an engine",
            after.longest_queue as f64,
            before.longest_queue as f64,
        ),
        ("first_third_of_engines", "share of requests", of_slowest(after), of_slowest(before)),
        ("last_third_of_engines", "share of requests", of_fastest(after), of_fastest(before)),
    ];
    for (figure, unit, value, baseline) in figures {
        let line = json!({
            "figure": format!("server_speed.{figure}.{name}"),
            "value": value,
            "unit": unit,
            "baseline": baseline,
            "target": null,
            "seed": seed,
        });
        println!("{line}");
    }
}
