//! Property tests: no sequence of faults may lead to overspend, missing bills or double bills.

mod histories;

use histories::Code;
use histories::World;
use proptest::collection::vec;
use proptest::prelude::*;
use proptest::test_runner::Config;
use proptest::test_runner::RngSeed;
use proptest::test_runner::TestError;
use proptest::test_runner::TestRunner;

/// Regression histories, one per line: a fault in the code, then the steps as `STEP.WHICH.AMOUNT`.
///
/// proptest found each of them after the protection against the named fault had been removed.
const REGRESSIONS: &str = include_str!("histories/regressions.txt");

const SEEDS: [u64; 4] = [1, 2, 3, 4];
const CASES: u32 = 2_500;

/// Runs a history, and stops at the first fault.
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

fn parse(step: &str) -> Option<Code> {
    let mut parts = step.split('.');
    let (code, which) = (parts.next()?.parse().ok()?, parts.next()?.parse().ok()?);
    Some((code, which, parts.next()?.parse().ok()?))
}

#[test]
fn regressions_stay_fixed() {
    for row in REGRESSIONS.lines() {
        let (fault, steps) = row.split_once(": ").expect("fault and steps");
        let codes: Option<Vec<Code>> = steps.split(' ').map(parse).collect();
        check(&codes.expect("steps")).unwrap_or_else(|error| panic!("{fault}: {error}"));
    }
}
