//! Parsing of a settings file into sections, before keys and values are validated.

use std::collections::BTreeMap;

use ini::Ini;
use ini::ParseOption;

use crate::SectionName;
use crate::SettingError;

/// The value of a key, and its line.
#[derive(Debug, Clone)]
pub(crate) struct Entry {
    pub value: String,
    pub line: usize,
}

/// One section. Maps are sorted, so that the printed form does not depend on the order in the file.
#[derive(Debug, Clone, Default)]
pub(crate) struct Section {
    pub line: usize,
    pub entries: BTreeMap<String, Entry>,
}

/// The sections of a file.
#[derive(Debug, Clone, Default)]
pub(crate) struct Document {
    pub file: String,
    pub sections: BTreeMap<SectionName, Section>,
}

impl Document {
    /// Returns an error at `key` of `section`, or at the section itself if the key is empty.
    pub fn error(
        &self,
        section: &SectionName,
        key: &str,
        found: impl Into<String>,
        expected: impl Into<String>,
    ) -> SettingError {
        let found_section = self.sections.get(section);
        let entry = found_section.and_then(|s| s.entries.get(key)).map(|entry| entry.line);
        SettingError {
            file: self.file.clone(),
            line: entry.or(found_section.map(|s| s.line)).unwrap_or(0),
            section: section.to_string(),
            key: key.to_owned(),
            found: found.into(),
            expected: expected.into(),
            suggestion: None,
        }
    }

    /// Returns the value of `key` in `section`.
    pub fn get(&self, section: &SectionName, key: &str) -> Option<&str> {
        Some(self.sections.get(section)?.entries.get(key)?.value.as_str())
    }
}

/// Parses the sections of `text`, and returns them with all syntax errors.
pub(crate) fn parse(file: &str, text: &str) -> (Document, Vec<SettingError>) {
    let mut document = Document { file: file.to_owned(), ..Document::default() };
    let mut errors = Vec::new();
    let error = |line, section: &str, key: &str, found: String, expected: &str| SettingError {
        file: file.to_owned(),
        line,
        section: section.to_owned(),
        key: key.to_owned(),
        found,
        expected: expected.to_owned(),
        suggestion: None,
    };
    let (well_formed, lines, malformed) = scan(text);
    // `rust-ini` keeps sections and keys in the order of the file, so `lines` yields their line
    // numbers.
    let mut lines = lines.into_iter();
    let mut next_line = || lines.next().unwrap_or(0);
    for (line, content) in malformed {
        let expected = "[SECTION], KEY = VALUE or a comment line, without control characters";
        errors.push(error(line, "", "", format!("line `{content}`"), expected));
    }
    let option = ParseOption {
        enabled_quote: false,
        enabled_escape: false,
        enabled_indented_mutiline_value: false,
        enabled_preserve_key_leading_whitespace: false,
    };
    let ini = match Ini::load_from_str_opt(&well_formed, option) {
        Ok(ini) => ini,
        Err(e) => {
            errors.push(error(e.line, "", "", e.msg.to_string(), "an INI file"));
            return (document, errors);
        }
    };
    for (section, properties) in &ini {
        let Some(text) = section else {
            for (key, _) in properties.iter() {
                let line = next_line();
                errors.push(error(line, "", key, "key outside a section".into(), "a [SECTION]"));
            }
            continue;
        };
        let line = next_line();
        let name = match text.parse::<SectionName>() {
            Ok(name) => name,
            Err(e) => {
                let found = "unknown section".to_owned();
                let suggestion = crate::check::suggest_section(text);
                errors
                    .push(SettingError { suggestion, ..error(line, text, "", found, e.expected) });
                for _ in properties.iter() {
                    next_line();
                }
                continue;
            }
        };
        if let Some(first) = document.sections.get(&name) {
            let found = format!("duplicate section, first defined on line {}", first.line);
            errors.push(error(line, text, "", found, "each section once"));
        }
        let new_section = Section { line, ..Section::default() };
        let target = document.sections.entry(name).or_insert(new_section);
        for (key, value) in properties.iter() {
            let line = next_line();
            if let Some(first) = target.entries.get(key) {
                let found = format!("duplicate key, first set on line {}", first.line);
                errors.push(error(line, text, key, found, "each key once"));
                continue;
            }
            target.entries.insert(key.to_owned(), Entry { value: value.to_owned(), line });
        }
    }
    (document, errors)
}

/// Returns `text` without comments and malformed lines, the line number of each section and key in
/// order, and the malformed lines.
///
/// Needed because `rust-ini` stops at the first malformed line, reports no line numbers for keys,
/// and lets a key or value continue past the end of its line.
fn scan(text: &str) -> (String, Vec<usize>, Vec<(usize, String)>) {
    let mut well_formed = String::with_capacity(text.len() + 1);
    let mut lines = Vec::new();
    let mut malformed = Vec::new();
    for (line, content) in text.lines().enumerate().map(|(i, l)| (i + 1, l.trim())) {
        if content.is_empty() || content.starts_with([';', '#']) {
            well_formed.push('\n');
            continue;
        }
        if is_malformed(content) {
            malformed.push((line, content.chars().filter(|c| !c.is_control()).take(60).collect()));
        } else {
            lines.push(line);
            well_formed.push_str(content);
        }
        well_formed.push('\n');
    }
    (well_formed, lines, malformed)
}

/// Returns whether `line` is a well-formed entry of `key`.
pub(crate) fn is_entry(line: &str, key: &str) -> bool {
    !line.starts_with([';', '#', '['])
        && !is_malformed(line)
        && line.split_once('=').is_some_and(|(found, _)| found.trim() == key)
}

fn section_header(content: &str) -> Option<&str> {
    content.strip_prefix('[')?.strip_suffix(']').map(str::trim)
}

fn is_malformed(content: &str) -> bool {
    if content.contains(|c: char| c == '\\' || (c.is_control() && c != '\t')) {
        return true;
    }
    if content.starts_with('[') {
        return section_header(content).is_none_or(|name| name.contains(['[', ']']));
    }
    // `rust-ini` also accepts a colon in place of the equals sign.
    content.split_once('=').is_none_or(|(key, _)| key.trim().is_empty() || key.contains(':'))
}
