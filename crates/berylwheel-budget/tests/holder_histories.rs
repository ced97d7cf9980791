//! Guards against overspend, lost bills and double bills under any interleaving of faults.

mod histories;

use histories::Code;
use histories::World;
use proptest::collection::vec;
use proptest::prelude::*;
use proptest::test_runner::Config;
use proptest::test_runner::RngSeed;
use proptest::test_runner::TestError;
use proptest::test_runner::TestRunner;

/// Histories that once failed, with the fault that they showed.
const REGRESSIONS: &[(&str, &[Code])] = &[];

const SEEDS: [u64; 4] = [1, 2, 3, 4];
const CASES: u32 = 2_500;

/// Runs a history up to its first fault.
fn run(codes: &[Code]) -> World {
    let mut world = World::new();
    for code in codes {
        world.step(*code);
        if !world.check().is_empty() {
            return world;
        }
    }
    world.heal();
    world
}

fn check(codes: &[Code]) -> Result<(), TestCaseError> {
    let world = run(codes);
    match world.faults.first() {
        None => Ok(()),
        Some(fault) => Err(TestCaseError::fail(fault.clone())),
    }
}

#[test]
fn histories_keep_the_invariants() {
    for seed in SEEDS {
        println!("seed {seed}, {CASES} histories");
        let config = Config {
            cases: CASES,
            rng_seed: RngSeed::Fixed(seed),
            failure_persistence: None,
            max_shrink_iters: 20_000,
            ..Config::default()
        };
        let steps = vec(any::<Code>(), 1..300);
        match TestRunner::new(config).run(&steps, |codes| check(&codes)) {
            Ok(()) => {}
            Err(TestError::Fail(fault, codes)) => panic!("seed {seed}: {fault}: {codes:?}"),
            Err(error) => panic!("seed {seed}: {error}"),
        }
    }
}

#[test]
fn regressions_stay_fixed() {
    for (fault, codes) in REGRESSIONS {
        check(codes).unwrap_or_else(|error| panic!("{fault}: {error}"));
    }
}
