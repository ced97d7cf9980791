//! Guards against an example file that operators copy and that is refused.

use berylwheel_settings::Settings;

const EXAMPLE: &str = include_str!("../../../docs/settings-example.ini");

#[test]
fn example_configuration_is_valid() {
    let settings = Settings::parse("settings-example.ini", EXAMPLE)
        .unwrap_or_else(|errors| panic!("{errors}"));
    assert!(!settings.has_router());
    assert_eq!(settings.kinds().len(), 4);
}

#[test]
fn example_of_a_routers_own_file_is_valid() {
    let text: String = EXAMPLE
        .lines()
        .filter_map(|line| line.strip_prefix("#: "))
        .flat_map(|l| [l, "\n"])
        .collect();
    let settings = Settings::parse("r1.ini", &text).unwrap_or_else(|errors| panic!("{errors}"));
    assert_eq!(settings.router().name.as_str(), "r1");
    assert_eq!(settings.router().peers.len(), 2);
}
