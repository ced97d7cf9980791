//! The parts into which a configuration is split for storage and transfer.

use std::fmt;

use berylwheel_settings::SectionName;
use berylwheel_settings::SettingErrors;
use berylwheel_settings::Settings;
use berylwheel_types::stable_hash;
use serde::Deserialize;
use serde::Serialize;

use crate::key_digest;

/// Number of parts of a configuration. At the target size a part has about 20 KB, so a change of
/// one section transfers little data.
pub const PARTS: u32 = 64;

/// Number of hexadecimal SHA-256 digits in a part digest; 128 bits are enough to avoid collisions.
const DIGEST_HEX_LENGTH: usize = 32;

/// The digest of a part's text.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct PartDigest(String);

impl fmt::Display for PartDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl From<String> for PartDigest {
    fn from(text: String) -> Self {
        Self(text)
    }
}

/// Identifies one part by its index and content.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct PartRef {
    /// The index of the part, below [`PARTS`].
    pub index: u32,
    /// The digest of its text.
    pub digest: PartDigest,
}

impl PartRef {
    /// Returns the store key of the part.
    pub fn key(&self) -> String {
        format!("/berylwheel/config/part/{}/{}", self.index, self.digest)
    }
}

/// The sections whose names hash to the same index.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Part {
    /// The index of the part, below [`PARTS`].
    pub index: u32,
    /// Its sections as INI text.
    pub text: String,
}

impl Part {
    /// Returns the digest of the text.
    pub fn digest(&self) -> PartDigest {
        let mut digest = key_digest(&self.text);
        digest.truncate(DIGEST_HEX_LENGTH);
        PartDigest(digest)
    }

    /// Returns the reference to this part.
    pub fn part_ref(&self) -> PartRef {
        PartRef { index: self.index, digest: self.digest() }
    }
}

/// Splits `settings` into [`PARTS`] parts by the hash of the section names.
///
/// The section `[router]` is specific to one router and is left out.
///
/// ```
/// use berylwheel_config::{join, split};
/// use berylwheel_settings::Settings;
/// let settings = Settings::parse("a", "[fleet]\nqueue = 5\n[workspace w]\n").unwrap();
/// assert_eq!(join(&split(&settings)).unwrap().to_ini(), settings.to_ini());
/// ```
pub fn split(settings: &Settings) -> Vec<Part> {
    let mut parts: Vec<Part> =
        (0..PARTS).map(|index| Part { index, text: String::new() }).collect();
    for (name, entries) in settings.sections().filter(|(name, _)| **name != SectionName::Router) {
        let name = name.to_string();
        let index = stable_hash(&["section", &name]) % u64::from(PARTS);
        let text = &mut parts[index as usize].text;
        text.push_str(&format!("[{name}]\n"));
        for (key, value) in entries {
            text.push_str(&format!("{key} = {value}\n"));
        }
    }
    parts
}

/// Parses the settings that `parts` contain.
///
/// # Errors
///
/// Returns the errors of [`Settings::parse`].
pub fn join(parts: &[Part]) -> Result<Settings, SettingErrors> {
    let text: String = parts.iter().map(|part| part.text.as_str()).collect();
    Settings::parse("configuration", &text)
}
