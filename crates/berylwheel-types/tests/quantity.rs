//! Reading and printing quantities.

use std::fmt::Debug;
use std::fmt::Display;
use std::str::FromStr;

use berylwheel_types::ByteSize;
use berylwheel_types::Millis;
use berylwheel_types::Share;
use berylwheel_types::Tokens;
use proptest::prelude::*;
use proptest::test_runner::RngAlgorithm;
use proptest::test_runner::TestRng;
use proptest::test_runner::TestRunner;

const SEED: [u8; 32] = [42; 32];

/// Checks that values of `strategy`, the same in every run, are read as they are printed.
fn round_trip<S: Strategy>(strategy: S)
where
    S::Value: Clone + Display + FromStr + PartialEq + Debug,
{
    println!("seed {}", SEED[0]);
    let random = TestRng::from_seed(RngAlgorithm::ChaCha, &SEED);
    let config = ProptestConfig { failure_persistence: None, ..ProptestConfig::with_cases(512) };
    let result = TestRunner::new_with_rng(config, random).run(&strategy, |value| {
        prop_assert_eq!(value.to_string().parse::<S::Value>().ok(), Some(value));
        Ok(())
    });
    result.unwrap_or_else(|error| panic!("{error}"));
}

/// Any number, with as many of whole units as of others.
fn numbers() -> impl Strategy<Value = u64> {
    let multiple = |unit: u64| (0..=u64::MAX / unit).prop_map(move |n| n * unit);
    prop_oneof![any::<u64>(), 0..5_000_u64, multiple(1_000), multiple(1 << 10), multiple(1 << 20)]
}

/// Guards against a value that is another one after it was written to settings.
#[test]
fn quantities_are_read_as_printed() {
    round_trip(numbers().prop_map(Tokens));
    round_trip(numbers().prop_map(Millis));
    round_trip(numbers().prop_map(ByteSize));
    round_trip((0..=1_000_u32).prop_map(Share::from_permille));
}

fn good<T: FromStr<Err: Debug> + PartialEq + Debug>(rows: &[(&str, T)]) {
    for (text, value) in rows {
        assert_eq!(text.parse::<T>().as_ref().ok(), Some(value), "{text:?}");
    }
}

fn bad<T: FromStr + Debug>(rows: &[&str]) {
    for text in rows {
        assert!(text.parse::<T>().is_err(), "{text:?} is read as {:?}", text.parse::<T>().ok());
    }
}

/// Guards against a budget that is credited another amount than was written.
#[test]
fn tokens() {
    good(&[
        ("0", Tokens(0)),
        ("1_000", Tokens(1_000)),
        (" 20k ", Tokens(20_000)),
        ("3 M", Tokens(3_000_000)),
        ("18446744073709551615", Tokens(u64::MAX)),
        ("18446744073G", Tokens(18_446_744_073_000_000_000)),
    ]);
    bad::<Tokens>(&["", "-1", "+1", "1.5k", "1K", "1kk", "k", "_", "1e3", "1,000"]);
    // One over the largest number, and units that take a number over it.
    bad::<Tokens>(&["18446744073709551616", "18446744074G", "18446744073709552k"]);
}

/// Guards against a time-out without a unit or over the range.
#[test]
fn spans() {
    good(&[
        ("0ms", Millis(0)),
        ("5s", Millis(5_000)),
        ("10m", Millis(600_000)),
        ("2h", Millis(7_200_000)),
        ("18446744073709551615ms", Millis(u64::MAX)),
    ]);
    bad::<Millis>(&["", "5", "s", "-5s", "1.5s", "5S", "5 s s", "1d", "18446744073709552s"]);
}

/// Guards against sizes that are read in thousands, and over the range.
#[test]
fn sizes() {
    good(&[
        ("512", ByteSize(512)),
        ("512B", ByteSize(512)),
        ("64KB", ByteSize(65_536)),
        ("1MB", ByteSize(1 << 20)),
        ("17592186044415MB", ByteSize(((1 << 44) - 1) << 20)),
    ]);
    bad::<ByteSize>(&["", "KB", "-1KB", "1kb", "1K", "1GB", "1.5MB", "17592186044416MB"]);
}

/// Guards against a share above the whole, or one without its sign.
#[test]
fn shares() {
    good(&[
        ("0%", Share::from_permille(0)),
        ("12.5%", Share::from_permille(125)),
        ("99.9%", Share::from_permille(999)),
        ("100%", Share::from_permille(1_000)),
    ]);
    bad::<Share>(&["", "%", "50", "-1%", "100.1%", "101%", "NaN%", "inf%", "50%%", "a%"]);
}

/// Guards against a difference that wraps round to a huge budget.
#[test]
fn differences_stop_at_zero() {
    assert_eq!(Tokens(3).saturating_sub(Tokens(5)), Tokens::ZERO);
    assert_eq!(Tokens(u64::MAX).saturating_sub(Tokens(1)), Tokens(u64::MAX - 1));
}
