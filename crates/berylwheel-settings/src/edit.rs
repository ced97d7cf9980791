//! Edits of parsed settings.

use crate::SectionName;
use crate::SettingError;
use crate::raw;
use crate::raw::Document;
use crate::raw::Entry;

/// Sets or removes one key.
///
/// With an empty key, the edit applies to the whole section: `None` removes it, any value creates
/// it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Edit {
    /// The section.
    pub section: SectionName,
    /// The key.
    pub key: String,
    /// The new value; `None` removes the key.
    pub value: Option<String>,
}

/// Applies `edits` to `document`. Skips each edit that cannot be written to a file, and returns an
/// error for it: a value with a line break would inject further keys or sections.
pub(crate) fn apply(document: &mut Document, edits: &[Edit]) -> Vec<SettingError> {
    let mut errors = Vec::new();
    // Edits have no line numbers, and those of the old text would mislead the operator.
    for section in document.sections.values_mut() {
        section.line = 0;
        section.entries.values_mut().for_each(|entry| entry.line = 0);
    }
    for Edit { section, key, value } in edits {
        if section.to_string().parse().as_ref() != Ok(section) {
            errors.push(document.error(section, "", "invalid section name", "a section name"));
            continue;
        }
        let line = format!("{key} = {}", value.as_deref().unwrap_or(""));
        if !key.is_empty() && !raw::is_entry(&line, key) {
            let expected = "KEY = VALUE without line breaks and control characters";
            errors.push(document.error(
                section,
                key.escape_debug().to_string().as_str(),
                "key or value does not fit on one line",
                expected,
            ));
            continue;
        }
        match (value, key.is_empty()) {
            (Some(_), true) => {
                document.sections.entry(section.clone()).or_default();
            }
            (None, true) => {
                document.sections.remove(section);
            }
            (Some(value), false) => {
                let entry = Entry { value: value.trim().to_owned(), line: 0 };
                let target = document.sections.entry(section.clone()).or_default();
                target.entries.insert(key.clone(), entry);
            }
            (None, false) => {
                if let Some(target) = document.sections.get_mut(section) {
                    target.entries.remove(key);
                }
            }
        }
    }
    errors
}
