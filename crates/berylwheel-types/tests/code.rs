//! Holds the table in docs/errors.md to the codes.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use berylwheel_types::Code;
use berylwheel_types::Ran;

const PAGE: &str = include_str!("../../../docs/errors.md");

/// Returns the cells of each row that starts with a number, by that number.
fn rows() -> BTreeMap<u16, Vec<&'static str>> {
    let cells = |line: &'static str| -> Vec<&'static str> {
        line.trim().trim_matches('|').split('|').map(str::trim).collect()
    };
    let mut rows = BTreeMap::new();
    for row in PAGE.lines().map(cells) {
        if let Ok(number) = row[0].parse() {
            assert!(rows.insert(number, row).is_none(), "{number} has two rows");
        }
    }
    rows
}

/// Guards against a code that is missing from the page or described differently there.
#[test]
fn every_code_has_its_row() {
    let rows = rows();
    for code in Code::ALL {
        let row = rows.get(&code.number()).unwrap_or_else(|| panic!("no row for {code}"));
        assert_eq!(row.len(), 5, "{code}: {row:?}");
        assert_eq!(row[1], code.status().to_string(), "status of {code}");
        assert_eq!(row[2], code.title(), "title of {code}");
        assert_eq!(row[4], code.help(), "help of {code}");
    }
}

/// Guards against a row that stays on the page after its code is gone.
#[test]
fn every_row_has_its_code() {
    let numbers: BTreeSet<u16> = Code::ALL.iter().map(|code| code.number()).collect();
    let listed: BTreeSet<u16> = rows().into_keys().collect();
    assert_eq!(listed, numbers);
}

/// Guards against a row that does not say whether the request ran, or says it in other words than
/// callers get.
#[test]
fn every_row_says_whether_the_request_ran() {
    let names = [Ran::NotRun, Ran::Unknown, Ran::Done].map(|ran| format!("`{ran}`"));
    for (number, row) in rows() {
        assert!(names.iter().any(|name| row[3].starts_with(name)), "{number}: {}", row[3]);
    }
}

/// Guards against two codes with one number, and against an order that hides that.
#[test]
fn numbers_are_unique_and_rise() {
    for pair in Code::ALL.windows(2) {
        assert!(pair[0].number() < pair[1].number(), "{} and {}", pair[0], pair[1]);
    }
}

/// Guards against a code that callers would take for a success.
#[test]
fn statuses_are_errors() {
    for code in Code::ALL {
        assert!((400..600).contains(&code.status()), "{code}: {}", code.status());
    }
}
