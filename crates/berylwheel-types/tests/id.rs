//! Reading and printing identifiers.

use berylwheel_types::BillKey;
use berylwheel_types::BudgetId;
use berylwheel_types::FenceNumber;
use berylwheel_types::Incarnation;
use berylwheel_types::Rank;
use berylwheel_types::RequestId;
use berylwheel_types::Version;
use berylwheel_types::WorkspaceId;
use proptest::prelude::*;
use proptest::test_runner::RngAlgorithm;
use proptest::test_runner::TestRng;
use proptest::test_runner::TestRunner;

const SEED: [u8; 32] = [41; 32];

/// Checks `test` on values of `strategy` that are the same in every run.
fn check<S: Strategy>(strategy: S, test: impl Fn(S::Value) -> Result<(), TestCaseError>) {
    println!("seed {}", SEED[0]);
    let random = TestRng::from_seed(RngAlgorithm::ChaCha, &SEED);
    let config = ProptestConfig { failure_persistence: None, ..ProptestConfig::with_cases(512) };
    TestRunner::new_with_rng(config, random).run(&strategy, test).unwrap_or_else(|e| panic!("{e}"));
}

/// Guards against a name that another router reads as a different one.
#[test]
fn names_are_read_as_printed() {
    check("[A-Za-z0-9_.:/-]{1,128}", |text| {
        let id: WorkspaceId = text.parse().map_err(|e| TestCaseError::fail(format!("{e}")))?;
        prop_assert_eq!(id.as_str(), &text);
        prop_assert_eq!(id.to_string().parse::<WorkspaceId>(), Ok(id));
        Ok(())
    });
}

/// Guards against names that would break a key of the store, a line of settings or a header.
#[test]
fn other_characters_are_refused() {
    check(("[a-z]{0,8}", "[^A-Za-z0-9_.:/-]", "[a-z]{0,8}"), |(before, other, after)| {
        let text = format!("{before}{other}{after}");
        prop_assert!(text.parse::<BudgetId>().is_err(), "{:?}", text);
        Ok(())
    });
}

/// Guards against an off-by-one at the longest name.
#[test]
fn longest_name() {
    for (length, good) in [(0, false), (1, true), (127, true), (128, true), (129, false)] {
        let text = "a".repeat(length);
        assert_eq!(text.parse::<RequestId>().is_ok(), good, "{length} bytes");
    }
    // 43 characters of 3 bytes each are over the limit in bytes and refused as letters too.
    assert!("\u{20ac}".repeat(43).parse::<RequestId>().is_err());
}

/// Guards against an incarnation that is taken for one of another router or run.
#[test]
fn incarnations_are_read_as_printed() {
    check(("[A-Za-z0-9_.:/-]{1,128}", any::<u64>()), |(router, number)| {
        let router = router.parse().map_err(|e| TestCaseError::fail(format!("{e}")))?;
        let incarnation = Incarnation { router, number };
        prop_assert_eq!(incarnation.to_string().parse::<Incarnation>(), Ok(incarnation));
        Ok(())
    });
}

/// Guards against parts of an incarnation that are made up when they are missing.
#[test]
fn bad_incarnations() {
    let bad = ["", "r1", "@", "r1@", "@1", "r1@-1", "r1@x", "r1@1 ", "r 1@1", "a@b@1"];
    for text in bad {
        assert!(text.parse::<Incarnation>().is_err(), "{text:?}");
    }
    assert!("r1@18446744073709551615".parse::<Incarnation>().is_ok());
    assert!("r1@18446744073709551616".parse::<Incarnation>().is_err());
}

/// Guards against a bill key that is not found again after it was written to the ledger.
#[test]
fn bill_keys_are_read_as_printed() {
    check(("[a-z]{1,20}", any::<String>()), |(workspace, key)| {
        let workspace = workspace.parse().map_err(|e| TestCaseError::fail(format!("{e}")))?;
        let bill = BillKey::new(&workspace, &key);
        prop_assert_eq!(bill.to_string().len(), 32);
        prop_assert_eq!(bill.to_string().parse::<BillKey>(), Ok(bill));
        Ok(())
    });
}

/// Guards against two requests that share a bill key because their names run together.
#[test]
fn bill_keys_keep_workspace_and_key_apart() {
    let key = |workspace: &str, key: &str| {
        BillKey::new(&workspace.parse().unwrap_or_else(|e| panic!("{e}")), key)
    };
    assert_ne!(key("ab", "c"), key("a", "bc"));
    assert_ne!(key("a", ""), key("a", "\0"));
    for text in ["", "x", "1 2", "100000000000000000000000000000000"] {
        assert!(text.parse::<BillKey>().is_err(), "{text:?}");
    }
}

/// Guards against a version or fencing number that is read as a lower one.
#[test]
fn numbers_are_read_as_printed() {
    check(any::<u64>(), |number| {
        prop_assert_eq!(Version(number).to_string().parse::<Version>(), Ok(Version(number)));
        let fence = FenceNumber(number);
        prop_assert_eq!(fence.to_string().parse::<FenceNumber>(), Ok(fence));
        Ok(())
    });
    for text in ["", "-1", "1.0", "0x1", " 1", "18446744073709551616"] {
        assert!(text.parse::<Version>().is_err(), "{text:?}");
        assert!(text.parse::<FenceNumber>().is_err(), "{text:?}");
    }
}

/// Guards against ranks whose names or order differ from what engines get.
#[test]
fn ranks_are_read_as_printed() {
    for (index, rank) in Rank::ALL.into_iter().enumerate() {
        assert_eq!(rank.to_string().parse::<Rank>(), Ok(rank));
        assert_eq!(rank.index(), index);
    }
    for text in ["", "Urgent", "urgent ", "low"] {
        assert!(text.parse::<Rank>().is_err(), "{text:?}");
    }
}
