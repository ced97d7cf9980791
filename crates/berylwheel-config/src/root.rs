//! The root of a configuration: its version, the digests of its parts and its history.

use berylwheel_settings::Settings;
use berylwheel_types::ChangeId;
use berylwheel_types::Code;
use berylwheel_types::FastSet;
use berylwheel_types::ParseIdError;
use berylwheel_types::Refusal;
use berylwheel_types::Timestamp;
use berylwheel_types::Version;
use serde::Deserialize;
use serde::Serialize;

use crate::Part;
use crate::PartDigest;
use crate::PartRef;
use crate::split;

/// The store key of the root.
pub const ROOT_KEY: &str = "/berylwheel/config/root";

/// Number of versions in the history, including the current one.
pub const HISTORY_LIMIT: usize = 64;

/// Author of a configuration that operators maintain outside this system.
const EXTERNAL_AUTHOR: &str = "operator";

/// An accepted change in the history of a configuration.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HistoryEntry {
    /// The version that the change created.
    pub version: Version,
    /// The id of the change.
    pub change: ChangeId,
    /// The operator who made it.
    pub author: String,
    /// When it was proposed.
    pub at: Timestamp,
    /// What it changed, as text for operators.
    pub summary: String,
    /// The parts that it replaced, in their previous state.
    pub replaced: Vec<PartRef>,
}

/// The root of a configuration, stored as JSON at [`ROOT_KEY`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Root {
    /// The version, incremented by each change.
    pub version: Version,
    /// The id of the change that created this version.
    pub change: ChangeId,
    /// The operator who made it.
    pub author: String,
    /// When it was proposed.
    pub at: Timestamp,
    /// The digests of the parts, in index order.
    pub parts: Vec<PartDigest>,
    /// The last [`HISTORY_LIMIT`] changes, newest first. Their ids identify a change whose response
    /// was lost even after later changes, and their digests allow earlier versions to be restored.
    pub history: Vec<HistoryEntry>,
}

impl Root {
    /// Builds the root and the parts of a configuration that is maintained outside this system.
    ///
    /// ```
    /// use berylwheel_config::Root;
    /// use berylwheel_settings::Settings;
    /// use berylwheel_types::Version;
    /// let settings = Settings::parse("a", "[fleet]\nqueue = 5\n").unwrap();
    /// let (root, parts) = Root::from_external(Version(7), &settings).unwrap();
    /// assert_eq!((root.version, root.parts.len()), (Version(7), parts.len()));
    /// ```
    ///
    /// # Errors
    ///
    /// Fails if the change id derived from the version is invalid.
    pub fn from_external(
        version: Version,
        settings: &Settings,
    ) -> Result<(Self, Vec<Part>), ParseIdError> {
        let parts = split(settings);
        let root = Self {
            version,
            change: format!("stated-{version}").parse()?,
            author: EXTERNAL_AUTHOR.to_owned(),
            at: Timestamp::default(),
            parts: parts.iter().map(Part::digest).collect(),
            history: Vec::new(),
        };
        Ok((root, parts))
    }

    /// Returns the root as JSON.
    pub fn to_json(&self) -> Vec<u8> {
        // Serialization fails only for maps with keys that are not strings; a root has none.
        serde_json::to_vec(self).unwrap_or_default()
    }

    /// Parses a root from JSON.
    ///
    /// # Errors
    ///
    /// Returns [`Code::Internal`] if `json` is not a root.
    pub fn from_json(json: &[u8]) -> Result<Self, Refusal> {
        serde_json::from_slice(json)
            .map_err(|e| Refusal::not_run(Code::Internal, format!("configuration root: {e}")))
    }

    /// Returns references to the parts.
    pub fn part_refs(&self) -> Vec<PartRef> {
        part_refs(&self.parts)
    }

    /// Returns the version that the change `id` created, if it is still in the history.
    pub fn version_of(&self, id: &ChangeId) -> Option<Version> {
        let entry = self.history.iter().find(|entry| entry.change == *id);
        entry.map(|entry| entry.version).or((self.change == *id).then_some(self.version))
    }

    /// Returns references to the parts of `version`, which may be the current or an earlier one.
    ///
    /// # Errors
    ///
    /// Returns [`Code::InvalidSetting`] if `version` is not in the history.
    pub fn parts_of(&self, version: Version) -> Result<Vec<PartRef>, Refusal> {
        if self.history.iter().all(|entry| entry.version != version) {
            let (first, last) = (self.history.last().map_or(0, |p| p.version.0), self.version);
            return Err(Refusal::not_run(
                Code::InvalidSetting,
                format!("version {version} is not in the history (versions {first} to {last})"),
            ));
        }
        let mut parts = self.parts.clone();
        for entry in self.history.iter().take_while(|entry| entry.version > version) {
            for part in &entry.replaced {
                if let Some(digest) = parts.get_mut(part.index as usize) {
                    *digest = part.digest.clone();
                }
            }
        }
        Ok(part_refs(&parts))
    }

    /// Truncates the history to [`HISTORY_LIMIT`] versions and returns the parts that are no longer
    /// referenced.
    pub(crate) fn trim_history(&mut self) -> Vec<PartRef> {
        if self.history.len() <= HISTORY_LIMIT {
            return Vec::new();
        }
        self.history.truncate(HISTORY_LIMIT);
        // The parts that the oldest remaining change replaced belong to a version that was removed.
        let replaced = self.history.last_mut().map(|entry| std::mem::take(&mut entry.replaced));
        let mut used: FastSet<PartRef> = self.part_refs().into_iter().collect();
        used.extend(self.history.iter().flat_map(|entry| entry.replaced.iter().cloned()));
        replaced.into_iter().flatten().filter(|part| !used.contains(part)).collect()
    }
}

fn part_refs(parts: &[PartDigest]) -> Vec<PartRef> {
    let numbered = parts.iter().zip(0..);
    numbered.map(|(digest, index)| PartRef { index, digest: digest.clone() }).collect()
}
