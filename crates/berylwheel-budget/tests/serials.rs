//! Tests of the serial number set.

use std::collections::BTreeSet;

use berylwheel_budget::SerialSet;
use proptest::collection::vec;
use proptest::prelude::*;
use proptest::test_runner::Config;
use proptest::test_runner::RngSeed;
use proptest::test_runner::TestRunner;

/// Compares the set with a `BTreeSet`: merging ranges must neither lose a settled request nor
/// include an unsettled one.
#[test]
fn serials_match_a_btree_set() {
    const SEED: u64 = 1;
    println!("seed {SEED}");
    let config =
        Config { rng_seed: RngSeed::Fixed(SEED), failure_persistence: None, ..Config::default() };
    let steps = vec((any::<bool>(), 0..40u64), 1..120);
    let outcome = TestRunner::new(config).run(&steps, |steps| {
        let (mut serials, mut plain) = (SerialSet::default(), BTreeSet::new());
        for (n, (raise, serial)) in steps.into_iter().enumerate() {
            if raise && n % 10 == 0 {
                serials.remove_below(serial);
                plain = plain.split_off(&serial);
            } else {
                serials.insert(serial);
                plain.insert(serial);
            }
            let found: BTreeSet<u64> = (0..41).filter(|serial| serials.contains(*serial)).collect();
            prop_assert_eq!(&found, &plain);
            let starts = plain.iter().filter(|s| **s == 0 || !plain.contains(&(**s - 1))).count();
            prop_assert_eq!(serials.ranges(), starts);
        }
        Ok(())
    });
    outcome.unwrap_or_else(|error| panic!("seed {SEED}: {error}"));
}

/// Guards against an overflow at the largest serial number, which a page or an engine may state.
#[test]
fn the_largest_serial_number_does_not_overflow() {
    let mut serials = SerialSet::default();
    for serial in [u64::MAX, 0, u64::MAX - 1, 1, u64::MAX] {
        serials.insert(serial);
    }
    assert!(serials.contains(u64::MAX) && !serials.contains(2));
    assert_eq!(serials.ranges(), 2);
}
