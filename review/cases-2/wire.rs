//! The names in `wire.txt`, and the operator's configuration.

use std::collections::BTreeMap;
use std::sync::OnceLock;

use crate::server::STRIDE;

static NAMES: OnceLock<BTreeMap<&'static str, &'static str>> = OnceLock::new();

/// Parses lines of the form `name = value`.
pub fn parse_lines(text: &'static str) -> BTreeMap<&'static str, &'static str> {
    let lines = text.lines().filter(|line| !line.starts_with('#'));
    lines.filter_map(|line| line.split_once('=')).map(|(k, v)| (k.trim(), v.trim())).collect()
}

/// Returns a name on the wire.
pub fn wire(name: &str) -> &'static str {
    NAMES.get_or_init(|| parse_lines(include_str!("wire.txt")))[name]
}

/// Returns the first version of the operator's configuration.
pub fn configuration(prepaid: u64) -> String {
    let text = include_str!("configuration.json").trim();
    text.replace("STRIDE", &STRIDE.to_string()).replace("PREPAID", &prepaid.to_string())
}
