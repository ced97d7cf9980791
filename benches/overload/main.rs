//! Simulates overload with the scheduler and with a FIFO queue, routing policies on delayed
//! load reports, and servers of unequal speed. Time is simulated with a manual clock.
//!
//! Prints one JSON object per line. An optional number after `--` overrides the seed.

mod figures;
mod fleet;
mod load;
mod queueing;
mod report;
mod routing;
mod speeds;
mod unequal;

use report::Report;

/// The seed of the figures in the repository.
const DEFAULT_SEED: u64 = 7;

fn main() {
    // Cargo also passes `--bench`; the first argument that parses as a number is the seed.
    let seed = std::env::args().skip(1).find_map(|arg| arg.parse().ok()).unwrap_or(DEFAULT_SEED);
    for size in load::FLEET_SIZES {
        let mut report = Report::new(size.name, seed);
        figures::print_surges(&size, &mut report);
        figures::print_isolation(&size, &mut report);
        figures::print_small_callers(&size, &mut report);
        figures::print_overload(&size, &mut report);
    }
    routing::run(seed);
    unequal::run(seed);
}
