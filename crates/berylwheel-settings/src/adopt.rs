//! Settings from a configuration that another system has accepted, which takes effect as far as it
//! can be used.

use berylwheel_types::FastMap;
use berylwheel_types::FastSet;

use crate::SectionName;
use crate::SettingError;
use crate::SettingErrors;
use crate::Settings;
use crate::raw::Document;
use crate::schema;
use crate::value;

/// Settings from an accepted configuration.
#[derive(Debug, Clone)]
pub struct Adopted {
    /// The settings, which are valid.
    pub settings: Settings,
    /// What the configuration says that the settings do not.
    pub repairs: Vec<SettingError>,
}

/// Repairs `document` until its settings are valid. `repairs` are the lines that were left out of
/// it.
pub(crate) fn adopt(
    mut document: Document,
    mut repairs: Vec<SettingError>,
) -> Result<Adopted, SettingErrors> {
    repairs.extend(remove_shared_keys(&mut document));
    loop {
        let errors = match Settings::build(document.clone(), Vec::new()) {
            Ok(settings) => return Ok(Adopted { settings, repairs }),
            Err(errors) => errors,
        };
        let repaired = errors.0.iter().filter(|error| repair(&mut document, error)).count();
        if repaired == 0 {
            return Err(errors);
        }
        repairs.extend(errors.0);
    }
}

/// Removes what `error` is about, or sets it to the nearest valid value. Returns whether this
/// changes the document. Each change removes something or makes a value valid, so the number of
/// changes is limited.
fn repair(document: &mut Document, error: &SettingError) -> bool {
    let Ok(name) = error.section.parse::<SectionName>() else { return false };
    let Some(section) = document.sections.get_mut(&name) else { return false };
    let Some(entry) = section.entries.get_mut(&error.key) else {
        return document.sections.remove(&name).is_some();
    };
    let spec = schema::find(name.level(), &error.key);
    match spec.and_then(|spec| spec.value.nearest(&entry.value)) {
        Some(nearest) if nearest != entry.value => entry.value = nearest,
        _ => {
            section.entries.remove(&error.key);
        }
    }
    true
}

/// Removes the caller keys that more than one workspace has. Whichever workspace they were left to,
/// it might pay for the requests of another one.
fn remove_shared_keys(document: &mut Document) -> Vec<SettingError> {
    let mut owners: FastMap<String, FastSet<SectionName>> = FastMap::default();
    for (name, section) in &document.sections {
        for (key, entry) in &section.entries {
            if let Some(digest) = caller_digest(name, key, &entry.value) {
                owners.entry(digest.to_owned()).or_default().insert(name.clone());
            }
        }
    }
    let is_shared = |digest: &str| owners.get(digest).is_some_and(|owners| owners.len() > 1);
    let mut shared = Vec::new();
    for (name, section) in &document.sections {
        for (key, entry) in &section.entries {
            if caller_digest(name, key, &entry.value).is_some_and(is_shared) {
                let found = "a key that another workspace has as well";
                let expected = "a key that no other caller has";
                shared.push((name.clone(), document.error(name, key, found, expected)));
            }
        }
    }
    for (name, error) in &shared {
        if let Some(section) = document.sections.get_mut(name) {
            section.entries.remove(&error.key);
        }
    }
    shared.into_iter().map(|(_, error)| error).collect()
}

fn caller_digest<'a>(name: &SectionName, key: &str, value: &'a str) -> Option<&'a str> {
    let is_key =
        matches!(name, SectionName::Workspace(_)) && key.starts_with(schema::CALLER_KEY_PREFIX);
    is_key.then(|| value::parse_caller_key(value).map(|(digest, _)| digest)).flatten()
}
