//! Guards against an invalid example file, which operators copy, and against an operator page that
//! does not list all keys.

use berylwheel_settings::KEYS;
use berylwheel_settings::Required;
use berylwheel_settings::Settings;

const EXAMPLE: &str = include_str!("../../../docs/settings-example.ini");

const PAGE: &str = include_str!("../../../docs/operators/configuration.md");

#[test]
fn operator_page_lists_every_key() {
    for spec in KEYS {
        let default = match spec.required {
            Required::Default("") | Required::No => String::new(),
            Required::Default(text) => format!("`{text}`"),
            Required::Yes => "required".to_owned(),
        };
        let start = format!("| `{}` |", spec.key);
        let listed = PAGE.lines().any(|line| line.starts_with(&start) && line.contains(&default));
        assert!(listed, "{} with default {default:?} is not on the page", spec.key);
    }
    // Table rows of sections and commands also start with "| `".
    let is_key = |line: &&str| {
        line.starts_with("| `") && !line.starts_with("| `[") && !line.contains("berylwheel config")
    };
    let rows = PAGE.lines().filter(is_key).count();
    assert_eq!(rows, KEYS.len(), "the page lists keys that do not exist");
}

#[test]
fn example_configuration_is_valid() {
    let settings = Settings::parse("settings-example.ini", EXAMPLE)
        .unwrap_or_else(|errors| panic!("{errors}"));
    assert!(!settings.has_router());
    assert_eq!(settings.kinds().len(), 4);
}

#[test]
fn example_router_file_is_valid() {
    let text: String = EXAMPLE
        .lines()
        .filter_map(|line| line.strip_prefix("#: "))
        .flat_map(|l| [l, "\n"])
        .collect();
    let settings = Settings::parse("r1.ini", &text).unwrap_or_else(|errors| panic!("{errors}"));
    assert_eq!(settings.router().name.as_str(), "r1");
    assert_eq!(settings.router().peers.len(), 2);
}
