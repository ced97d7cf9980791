//! Comparison of two versions of the settings.

use std::collections::BTreeMap;
use std::fmt;

use berylwheel_settings::SectionName;
use berylwheel_settings::Settings;

/// A section or key that differs between two versions.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Difference {
    /// The section.
    pub section: SectionName,
    /// The key, or empty if the section itself was added or removed.
    pub key: String,
    /// The value in the old version.
    pub old: Option<String>,
    /// The value in the new version.
    pub new: Option<String>,
}

impl fmt::Display for Difference {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { section, key, old, new } = self;
        match (old, new) {
            (Some(_), None) if key.is_empty() => write!(f, "[{section}] removed"),
            (None, Some(_)) if key.is_empty() => write!(f, "[{section}] added"),
            (Some(old), Some(new)) => write!(f, "[{section}] {key}: {old} -> {new}"),
            (Some(old), None) => write!(f, "[{section}] {key}: {old} -> (unset)"),
            (None, Some(new)) => write!(f, "[{section}] {key}: (unset) -> {new}"),
            (None, None) => Ok(()),
        }
    }
}

/// Returns the sections and keys that differ, sorted by section and key.
///
/// ```
/// use berylwheel_config::diff;
/// use berylwheel_settings::Settings;
/// let old = Settings::parse("a", "[fleet]\nqueue = 5\n").unwrap();
/// let new = Settings::parse("b", "[fleet]\nqueue = 6\n").unwrap();
/// assert_eq!(diff(&old, &new)[0].to_string(), "[fleet] queue: 5 -> 6");
/// assert!(diff(&old, &old).is_empty());
/// ```
pub fn diff(old: &Settings, new: &Settings) -> Vec<Difference> {
    let mut values: BTreeMap<(SectionName, String), [Option<String>; 2]> = BTreeMap::new();
    for (index, settings) in [old, new].into_iter().enumerate() {
        for (section, entries) in settings.sections() {
            for (key, value) in [("", "")].into_iter().chain(entries) {
                let pair = values.entry((section.clone(), key.to_owned())).or_default();
                pair[index] = Some(value.to_owned());
            }
        }
    }
    let changed = values.into_iter().filter(|(_, [old, new])| old != new);
    changed.map(|((section, key), [old, new])| Difference { section, key, old, new }).collect()
}
