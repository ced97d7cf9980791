//! Validation of keys and values against the schema.

use crate::Level;
use crate::Required;
use crate::SectionName;
use crate::SettingError;
use crate::raw::Document;
use crate::schema;

/// Returns all errors in the keys and values of `document`.
pub(crate) fn check(document: &Document) -> Vec<SettingError> {
    let mut errors = Vec::new();
    for (name, section) in &document.sections {
        for (key, entry) in &section.entries {
            errors.extend(check_entry(document, name, key, &entry.value));
        }
        for spec in schema::keys_at(name.level()) {
            if spec.required == Required::Yes && !section.entries.contains_key(spec.key) {
                errors.push(document.error(name, spec.key, "missing", spec.value.to_string()));
            }
        }
    }
    errors
}

fn check_entry(
    document: &Document,
    name: &SectionName,
    key: &str,
    value: &str,
) -> Option<SettingError> {
    let level = name.level();
    let Some(spec) = schema::find(level, key) else {
        return Some(unknown_key(document, name, key));
    };
    if key == schema::CALLER_KEY_PREFIX {
        return Some(document.error(
            name,
            key,
            "caller key without a name",
            "key.NAME = SHA256HEX [BUDGET]",
        ));
    }
    let expected = match spec.value.check(value) {
        Ok(()) if !value.is_empty() || spec.required != Required::Yes => return None,
        Ok(()) => spec.value.to_string(),
        Err(expected) => expected,
    };
    let found = if value.is_empty() { "no value".into() } else { format!("found `{value}`") };
    Some(document.error(name, key, found, expected))
}

fn unknown_key(document: &Document, name: &SectionName, key: &str) -> SettingError {
    let level = name.level();
    let valid_levels: Vec<String> = schema::levels_of(key).iter().map(Level::to_string).collect();
    if !valid_levels.is_empty() {
        let expected = format!("it in {}", valid_levels.join(" or "));
        return document.error(name, key, format!("key not valid in {level}"), expected);
    }
    let known: Vec<&str> = schema::keys_at(level).map(|spec| spec.key).collect();
    let error = document.error(name, key, "unknown key", format!("a key of {level}"));
    SettingError { suggestion: suggest(key, known.into_iter()), ..error }
}

/// Returns the candidate that is most similar to the misspelled `word`, if any is close enough.
pub(crate) fn suggest<'a>(word: &str, candidates: impl Iterator<Item = &'a str>) -> Option<String> {
    // At most a third of the letters may differ: two in a word of six.
    let limit = (word.chars().count() / 3).max(1);
    candidates
        .map(|candidate| (strsim::damerau_levenshtein(word, candidate), candidate))
        .filter(|(distance, _)| *distance <= limit)
        .min()
        .map(|(_, candidate)| candidate.to_owned())
}

/// Returns a valid section name that is close to the misspelled `text`, if there is one.
pub(crate) fn suggest_section(text: &str) -> Option<String> {
    let words: Vec<&str> = text.split_whitespace().collect();
    let first = words.first()?;
    let known =
        ["router", "fleet", "rank", "kind", "workspace", "pool", "domain", "server", "operator"];
    let mut words: Vec<String> = words.iter().map(|word| (*word).to_owned()).collect();
    words[0] = suggest(first, known.into_iter())?;
    if words.len() == 2 && words[0] == "rank" {
        words[1] = suggest(&words[1], ["urgent", "normal", "batch"].into_iter())?;
    }
    let name = words.join(" ");
    (name != text && name.parse::<SectionName>().is_ok()).then_some(name)
}
