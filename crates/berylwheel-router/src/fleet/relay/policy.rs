//! Limits of the relay, and what a router does about a watched prefix.

use berylwheel_store::Entry;
use berylwheel_types::Millis;
use berylwheel_types::Timestamp;
use serde::Serialize;

/// Limits of the relay.
///
/// ```
/// use berylwheel_router::RelayPolicy;
/// let policy = RelayPolicy::default();
/// assert!(policy.stop_members < policy.start_members);
/// ```
#[derive(Debug, Clone, Copy)]
pub struct RelayPolicy {
    /// Number of live routers of a domain from which on the relay is used.
    pub start_members: usize,
    /// Number of live routers below which the relay is no longer used. It is lower, so that a domain
    /// of just enough routers does not switch at each restart of one.
    pub stop_members: usize,
    /// Number of routers of a domain that watch the store.
    pub watchers: usize,
    /// Number of routers to which one router sends a message of a watcher.
    pub fanout: usize,
    /// Age of the last proof from which on a router reads by itself. Proofs are 1,000 ms apart while
    /// one watcher is missing, and need some time to arrive.
    pub stale_after: Millis,
    /// Maximum additional age, which differs between routers so that they do not all call the store
    /// at the same moment.
    pub stale_jitter: Millis,
    /// Time that the changes up to an announced revision may take to arrive.
    pub gap_after: Millis,
    /// Minimum time for which a router without recent news watches by itself.
    pub fallback_hold: Millis,
    /// Maximum additional time, which differs between routers.
    pub fallback_jitter: Millis,
    /// Time for which a watcher must have read without a failure before it claims to know all
    /// changes. A change from before its first read has reached each follower by then, or made
    /// it read by itself: the time is longer than that of a follower without news.
    pub claim_after: Millis,
    /// Time without any call of the relay after which the process counts as paused.
    pub pause: Millis,
    /// Maximum interval between the messages of a watcher.
    pub news_interval: Millis,
    /// Minimum advance of the proof for which a watcher sends a message before its interval ends.
    pub proof_step: Millis,
    /// Maximum length of a relayed value. Larger ones are read from the store, so that a
    /// large configuration crosses the link of a router once.
    pub value_limit: usize,
    /// Maximum length of all values in a message.
    pub batch_limit: usize,
}

impl Default for RelayPolicy {
    fn default() -> Self {
        Self {
            start_members: 24,
            stop_members: 18,
            watchers: 3,
            fanout: 8,
            stale_after: Millis(1_200),
            stale_jitter: Millis(400),
            gap_after: Millis(300),
            fallback_hold: Millis(5_000),
            fallback_jitter: Millis(3_000),
            claim_after: Millis(4_000),
            pause: Millis(1_000),
            news_interval: Millis(500),
            proof_step: Millis(400),
            value_limit: 16 << 10,
            batch_limit: 64 << 10,
        }
    }
}

/// Why a router that does not belong to the watchers calls the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum FallbackCause {
    /// The process has started, or the relay has.
    Start,
    /// The last proof that a watcher knew all changes is too old.
    Stale,
    /// The process was paused, so messages may have waited for it.
    Paused,
    /// Announced changes have not arrived.
    Gap,
    /// Announced changes are too large to be relayed.
    Large,
}

impl FallbackCause {
    /// Returns the name of the cause in logs and metrics.
    ///
    /// ```
    /// use berylwheel_router::FallbackCause;
    /// assert_eq!(FallbackCause::Stale.name(), "stale");
    /// ```
    pub const fn name(self) -> &'static str {
        match self {
            Self::Start => "start",
            Self::Stale => "stale",
            Self::Paused => "paused",
            Self::Gap => "gap",
            Self::Large => "large",
        }
    }
}

/// How a router learns of the changes of a prefix.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum WatchRole {
    /// The relay is not used: the router watches the store.
    Alone,
    /// The router watches the store and passes on what it reads.
    Watcher,
    /// The router gets the changes from the watchers.
    Follower,
    /// The router is a follower without recent news, and watches the store for a while.
    Fallback(FallbackCause),
}

impl WatchRole {
    /// Returns the name of the role in logs.
    ///
    /// ```
    /// use berylwheel_router::WatchRole;
    /// assert_eq!(WatchRole::Watcher.name(), "watcher");
    /// ```
    pub const fn name(self) -> &'static str {
        match self {
            Self::Alone => "alone",
            Self::Watcher => "watcher",
            Self::Follower => "follower",
            Self::Fallback(_) => "fallback",
        }
    }
}

/// The next step of a router that wants the changes of a prefix.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum NextWatch {
    /// Watch the store, for the given time if there is one.
    Watch(Option<Millis>),
    /// These changes follow, in the order of their revisions.
    Changes(Vec<Entry>),
    /// Wait for news, at most until the given time.
    Wait(Timestamp),
}
