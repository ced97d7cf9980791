//! Measures overspending, billing errors, false refusals, stranded tokens and store traffic of the
//! budget holder in simulated time.
//!
//! `cargo bench --bench budgets [-- GROUP]`, with GROUP one of faults, refusals, stranded, traffic.

mod faults;
mod fixed_grants;
mod fleet;
#[path = "../../crates/berylwheel-budget/tests/histories/mod.rs"]
mod histories;
mod load;
mod refusals;
mod report;
mod stranded;
mod traffic;

fn main() {
    let groups: [(&str, fn()); 4] = [
        ("faults", faults::run),
        ("refusals", refusals::run),
        ("stranded", stranded::run),
        ("traffic", traffic::run),
    ];
    let chosen: Vec<String> = std::env::args().skip(1).filter(|arg| arg != "--bench").collect();
    for (name, run) in groups {
        if chosen.is_empty() || chosen.iter().any(|group| group == name) {
            run();
        }
    }
}
