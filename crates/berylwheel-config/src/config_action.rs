//! Actions and tuning of the distribution of configuration versions.

use berylwheel_settings::SettingErrors;
use berylwheel_settings::Settings;
use berylwheel_types::Millis;
use berylwheel_types::RouterId;
use berylwheel_types::Version;
use serde::Serialize;

use crate::PartDigest;
use crate::PartRef;

/// Intervals and limits of the distribution of configuration versions.
#[derive(Debug, Clone, Copy)]
pub struct SyncPolicy {
    /// Interval at which a router decides whether to read the root from the store.
    pub read_interval: Millis,
    /// Number of routers that read the root per interval, on average.
    pub readers: u64,
    /// Number of routers that watch the root.
    pub watchers: usize,
    /// Number of peers to which a router pushes a new version.
    pub push_fanout: usize,
    /// Time after which a router stops waiting for parts and asks another source.
    pub fetch_timeout: Millis,
    /// Interval at which a router that may not serve yet asks the store and its peers. Also the
    /// delay after a failed read.
    pub ask_interval: Millis,
    /// Number of peers that such a router asks per interval.
    pub ask_fanout: usize,
}

impl Default for SyncPolicy {
    fn default() -> Self {
        Self {
            read_interval: Millis(5_000),
            readers: 8,
            watchers: 2,
            push_fanout: 4,
            // Parts normally arrive within milliseconds. The timeout is longer than 1 s so that a
            // store that is slow for a second does not get every read twice.
            fetch_timeout: Millis(2_000),
            ask_interval: Millis(1_000),
            ask_fanout: 8,
        }
    }
}

/// An action that the caller of [`ConfigState::poll`](crate::ConfigState::poll) has to perform.
#[derive(Debug, Clone)]
pub enum ConfigAction {
    /// Read the root from the store and report with `handle_root` or `handle_read_failure`.
    ReadRoot,
    /// Read these parts from the store and report with `handle_parts` or `handle_read_failure`.
    ReadParts(Vec<PartRef>),
    /// Send a peer the version in force here, or zero if this router may not serve.
    Push { to: RouterId, version: Version },
    /// Request a peer's root and those of its parts that are not in this list; report with
    /// `handle_parts`.
    Pull { from: RouterId, parts: Vec<PartDigest> },
    /// Apply these settings.
    Apply(Version, Settings),
    /// Log that this router cannot parse a version. This can happen to a router of an older
    /// release.
    Unreadable(Version, SettingErrors),
}

/// The state of a [`ConfigState`](crate::ConfigState) as shown by the admin interface.
#[derive(Debug, Serialize)]
pub struct ConfigDump {
    /// The version in force.
    pub version: Option<Version>,
    /// Whether this router may serve.
    pub serving: bool,
    /// The last version that this router could not parse.
    pub unreadable: Option<Version>,
    /// The version that each peer reported last.
    pub peers: Vec<(RouterId, Version)>,
}
