//! Property tests: no sequence of faults may lead to overspend, missing bills or double bills.

mod histories;

use histories::EncodedStep;
use histories::Simulation;
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
fn run_history(steps: &[EncodedStep]) -> Simulation {
    let mut sim = Simulation::new();
    for code in steps {
        sim.step(*code);
        if !sim.check().is_empty() {
            return sim;
        }
    }
    sim.recover();
    sim
}

fn check_history(steps: &[EncodedStep]) -> Result<(), TestCaseError> {
    let sim = run_history(steps);
    match sim.faults.first() {
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
        let steps = vec(any::<EncodedStep>(), 1..300);
        match TestRunner::new(config).run(&steps, |steps| check_history(&steps)) {
            Ok(()) => {}
            Err(TestError::Fail(fault, steps)) => panic!("seed {seed}: {fault}: {steps:?}"),
            Err(error) => panic!("seed {seed}: {error}"),
        }
    }
}

fn parse(step: &str) -> Option<EncodedStep> {
    let mut parts = step.split('.');
    let (code, which) = (parts.next()?.parse().ok()?, parts.next()?.parse().ok()?);
    Some((code, which, parts.next()?.parse().ok()?))
}

#[test]
fn regressions_stay_fixed() {
    for row in REGRESSIONS.lines() {
        let (fault, steps) = row.split_once(": ").expect("fault and steps");
        let steps: Option<Vec<EncodedStep>> = steps.split(' ').map(parse).collect();
        check_history(&steps.expect("steps")).unwrap_or_else(|error| panic!("{fault}: {error}"));
    }
}
