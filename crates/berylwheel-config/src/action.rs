//! What the spread of a configuration asks its caller to do, and its policy.

use berylwheel_settings::SettingErrors;
use berylwheel_settings::Settings;
use berylwheel_types::Millis;
use berylwheel_types::RouterId;
use berylwheel_types::Version;
use serde::Serialize;

use crate::PartDigest;
use crate::PartRef;

/// How a configuration spreads.
#[derive(Debug, Clone, Copy)]
pub struct SpreadPolicy {
    /// How often a router considers reading the root.
    pub read_every: Millis,
    /// How many routers read the root in that time, on average.
    pub readers: u64,
    /// How many routers hold a watch on the root.
    pub watchers: usize,
    /// How many peers learn of a new version from one router.
    pub fanout: usize,
    /// How long a router waits for parts before it asks elsewhere.
    pub fetch_time: Millis,
    /// How often a router that may not serve yet asks the store and its peers.
    pub ask_every: Millis,
    /// How many peers it asks at a time.
    pub asked: usize,
}

impl Default for SpreadPolicy {
    fn default() -> Self {
        Self {
            read_every: Millis(5_000),
            readers: 8,
            watchers: 2,
            fanout: 4,
            // Parts come within milliseconds; a second of slow store must not double the reads.
            fetch_time: Millis(2_000),
            ask_every: Millis(1_000),
            asked: 8,
        }
    }
}

/// What the caller of [`ConfigState::poll`] should do.
#[derive(Debug, Clone)]
pub enum ConfigAction {
    /// Read the root from the store; answer with `root_read` or `read_failed`.
    ReadRoot,
    /// Read these parts from the store; answer with `parts` or `read_failed`.
    ReadParts(Vec<PartRef>),
    /// Tell a peer the version held here, zero if this router may not serve.
    Push { to: RouterId, version: Version },
    /// Ask a peer for its root and the parts that are not among these; answer with `parts`.
    Pull { from: RouterId, parts: Vec<PartDigest> },
    /// Put these settings in force.
    Apply(Version, Settings),
    /// Report that a version cannot be read here, which a router of an older release may see.
    Unreadable(Version, SettingErrors),
}

/// The state of a [`ConfigState`], for the admin interface.
#[derive(Debug, Serialize)]
pub struct ConfigDump {
    /// The version in force.
    pub version: Option<Version>,
    /// Whether this router may serve.
    pub serving: bool,
    /// A version that cannot be read here.
    pub unreadable: Option<Version>,
    /// The versions that the peers told last.
    pub peers: Vec<(RouterId, Version)>,
}
