//! Checks that the table in docs/errors.md matches the result codes.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use berylwheel_types::Code;
use berylwheel_types::ExecutionState;

const DOCUMENTATION: &str = include_str!("../../../docs/errors.md");

/// Returns the cells of each table row whose first cell is a number, keyed by that number.
fn documented_rows() -> BTreeMap<u16, Vec<&'static str>> {
    let cells = |line: &'static str| -> Vec<&'static str> {
        line.trim().trim_matches('|').split('|').map(str::trim).collect()
    };
    let mut rows = BTreeMap::new();
    for row in DOCUMENTATION.lines().map(cells) {
        if let Ok(number) = row[0].parse() {
            assert!(rows.insert(number, row).is_none(), "{number} has more than one row");
        }
    }
    rows
}

/// Guards against a code that is not documented, or whose documentation differs from the code.
#[test]
fn codes_match_documentation() {
    let rows = documented_rows();
    for code in Code::ALL {
        let row = rows.get(&code.number()).unwrap_or_else(|| panic!("no row for {code}"));
        assert_eq!(row.len(), 5, "{code}: {row:?}");
        assert_eq!(row[1], code.status().to_string(), "status of {code}");
        assert_eq!(row[2], code.title(), "title of {code}");
        assert_eq!(row[4], code.help(), "help of {code}");
    }
}

/// Guards against documentation of a code that has been removed.
#[test]
fn documented_codes_exist() {
    let numbers: BTreeSet<u16> = Code::ALL.iter().map(|code| code.number()).collect();
    let listed: BTreeSet<u16> = documented_rows().into_keys().collect();
    assert_eq!(listed, numbers);
}

/// Guards against documentation that omits whether the request ran, or gives a value for it that
/// responses do not use.
#[test]
fn documented_codes_state_whether_request_ran() {
    let names = [ExecutionState::NotRun, ExecutionState::Unknown, ExecutionState::Done]
        .map(|ran| format!("`{ran}`"));
    for (number, row) in documented_rows() {
        assert!(names.iter().any(|name| row[3].starts_with(name)), "{number}: {}", row[3]);
    }
}

/// Guards against duplicate code numbers, and against codes out of order, which would hide
/// duplicates.
#[test]
fn numbers_are_unique_and_ascending() {
    for pair in Code::ALL.windows(2) {
        assert!(pair[0].number() < pair[1].number(), "{} and {}", pair[0], pair[1]);
    }
}

/// Guards against a result code with an HTTP status that is not an error.
#[test]
fn statuses_are_http_errors() {
    for code in Code::ALL {
        assert!((400..600).contains(&code.status()), "{code}: {}", code.status());
    }
}
