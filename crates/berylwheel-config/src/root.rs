//! The root of a configuration: its version, its parts and how it came about.

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

/// How many versions are kept, the current one included.
pub const HISTORY: usize = 64;

/// The author of configurations that operators keep outside this system.
const STATED_AUTHOR: &str = "operator";

/// One accepted change.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Past {
    /// The version that the change made.
    pub version: Version,
    /// The id of the change.
    pub change: ChangeId,
    /// The operator who made it.
    pub author: String,
    /// When it was proposed.
    pub at: Timestamp,
    /// What it changed, for people.
    pub summary: String,
    /// The parts that it replaced, as they were before.
    pub replaced: Vec<PartRef>,
}

/// The root of a configuration, stored as JSON at [`ROOT_KEY`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Root {
    /// The version; rises by one with each change.
    pub version: Version,
    /// The id of the change that made this version.
    pub change: ChangeId,
    /// The operator who made it.
    pub author: String,
    /// When it was proposed.
    pub at: Timestamp,
    /// The digests of the parts, by number.
    pub parts: Vec<PartDigest>,
    /// The last [`HISTORY`] changes, the newest first. It holds the ids of accepted changes, so a
    /// change whose answer was lost is recognised even after further changes, and the digests that
    /// rebuild earlier versions.
    pub history: Vec<Past>,
}

impl Root {
    /// Returns the root of a configuration that is kept elsewhere as a whole, with its parts.
    ///
    /// ```
    /// use berylwheel_config::Root;
    /// use berylwheel_settings::Settings;
    /// use berylwheel_types::Version;
    /// let settings = Settings::parse("a", "[fleet]\nqueue = 5\n").unwrap();
    /// let (root, parts) = Root::stated(Version(7), &settings).unwrap();
    /// assert_eq!((root.version, root.parts.len()), (Version(7), parts.len()));
    /// ```
    ///
    /// # Errors
    ///
    /// Fails if the version does not make the id of a change.
    pub fn stated(
        version: Version,
        settings: &Settings,
    ) -> Result<(Self, Vec<Part>), ParseIdError> {
        let parts = split(settings);
        let root = Self {
            version,
            change: format!("stated-{version}").parse()?,
            author: STATED_AUTHOR.to_owned(),
            at: Timestamp::default(),
            parts: parts.iter().map(Part::digest).collect(),
            history: Vec::new(),
        };
        Ok((root, parts))
    }

    /// Returns the root as JSON.
    pub fn to_json(&self) -> Vec<u8> {
        // Only maps with keys that are not text and failing writers can fail; a root has neither.
        serde_json::to_vec(self).unwrap_or_default()
    }

    /// Reads a root from JSON.
    ///
    /// # Errors
    ///
    /// Returns an internal error if `json` is not a root.
    pub fn from_json(json: &[u8]) -> Result<Self, Refusal> {
        serde_json::from_slice(json)
            .map_err(|e| Refusal::not_run(Code::Internal, format!("configuration root: {e}")))
    }

    /// Returns the names of the parts.
    pub fn references(&self) -> Vec<PartRef> {
        references(&self.parts)
    }

    /// Returns the version that the change `id` made, if it is among the kept ones.
    pub fn version_of(&self, id: &ChangeId) -> Option<Version> {
        let past = self.history.iter().find(|past| past.change == *id);
        past.map(|past| past.version).or((self.change == *id).then_some(self.version))
    }

    /// Returns the names of the parts of `version`, which may be an earlier one.
    ///
    /// # Errors
    ///
    /// Returns [`Code::InvalidSetting`] if `version` is not kept.
    pub fn parts_of(&self, version: Version) -> Result<Vec<PartRef>, Refusal> {
        if self.history.iter().all(|past| past.version != version) {
            let (first, last) = (self.history.last().map_or(0, |p| p.version.0), self.version);
            return Err(Refusal::not_run(
                Code::InvalidSetting,
                format!("version {version} is not kept; versions {first} to {last} are"),
            ));
        }
        let mut parts = self.parts.clone();
        for past in self.history.iter().take_while(|past| past.version > version) {
            for part in &past.replaced {
                if let Some(digest) = parts.get_mut(part.index as usize) {
                    *digest = part.digest.clone();
                }
            }
        }
        Ok(references(&parts))
    }

    /// Cuts the history to [`HISTORY`] versions and returns the parts that none of them needs.
    pub(crate) fn trim(&mut self) -> Vec<PartRef> {
        if self.history.len() <= HISTORY {
            return Vec::new();
        }
        self.history.truncate(HISTORY);
        // What the oldest kept change replaced belongs to a version that is no longer kept.
        let dropped = self.history.last_mut().map(|past| std::mem::take(&mut past.replaced));
        let mut used: FastSet<PartRef> = self.references().into_iter().collect();
        used.extend(self.history.iter().flat_map(|past| past.replaced.iter().cloned()));
        dropped.into_iter().flatten().filter(|part| !used.contains(part)).collect()
    }
}

fn references(parts: &[PartDigest]) -> Vec<PartRef> {
    let named = parts.iter().zip(0..);
    named.map(|(digest, index)| PartRef { index, digest: digest.clone() }).collect()
}
