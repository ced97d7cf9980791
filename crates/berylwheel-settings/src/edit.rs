//! Changes to a tree.

use crate::SectionName;
use crate::SettingError;
use crate::raw;
use crate::raw::Entry;
use crate::raw::Tree;

/// Sets or removes one key.
///
/// With an empty key the edit is about the whole section: a value of `None` removes it, any other
/// creates it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Edit {
    /// The section.
    pub section: SectionName,
    /// The key.
    pub key: String,
    /// The new value; `None` removes the key.
    pub value: Option<String>,
}

/// Makes `edits` to `tree`, and returns the edits that a file could not hold.
///
/// A value with a line break would otherwise add keys or sections that nobody asked for.
pub(crate) fn apply(tree: &mut Tree, edits: &[Edit]) -> Vec<SettingError> {
    let mut errors = Vec::new();
    // What the operator wrote has no lines, and the lines of the old text mean nothing to them.
    for section in tree.sections.values_mut() {
        section.line = 0;
        section.entries.values_mut().for_each(|entry| entry.line = 0);
    }
    for Edit { section, key, value } in edits {
        if section.to_string().parse().as_ref() != Ok(section) {
            errors.push(tree.error(
                section,
                "",
                "a name that a file cannot hold",
                "a section name",
            ));
            continue;
        }
        let line = format!("{key} = {}", value.as_deref().unwrap_or(""));
        if !key.is_empty() && !raw::is_entry(&line, key) {
            let expected = "KEY = VALUE without line breaks and control characters";
            errors.push(tree.error(
                section,
                key.escape_debug().to_string().as_str(),
                "a key or value that a line cannot hold",
                expected,
            ));
            continue;
        }
        match (value, key.is_empty()) {
            (Some(_), true) => {
                tree.sections.entry(section.clone()).or_default();
            }
            (None, true) => {
                tree.sections.remove(section);
            }
            (Some(value), false) => {
                let entry = Entry { value: value.trim().to_owned(), line: 0 };
                let place = tree.sections.entry(section.clone()).or_default();
                place.entries.insert(key.clone(), entry);
            }
            (None, false) => {
                if let Some(place) = tree.sections.get_mut(section) {
                    place.entries.remove(key);
                }
            }
        }
    }
    errors
}
