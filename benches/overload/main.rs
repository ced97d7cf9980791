//! Service under overload: the scheduler against a first-come queue, under a manual clock.
//!
//! Prints one JSON object a line. An optional number after `--` replaces the seed.

mod figures;
mod fleet;
mod load;
mod queueing;
mod report;
mod routing;

use report::Report;

/// Seed of the committed figures.
const SEED: u64 = 7;

fn main() {
    // Cargo passes `--bench`, which is not a number.
    let seed = std::env::args().skip(1).find_map(|arg| arg.parse().ok()).unwrap_or(SEED);
    for size in load::SIZES {
        let mut report = Report::new(size.name, seed);
        figures::surges(&size, &mut report);
        figures::isolation(&size, &mut report);
        figures::small_callers(&size, &mut report);
        figures::overload(&size, &mut report);
    }
    routing::run(seed);
}
