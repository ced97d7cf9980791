//! States of fleet members and tuning of the membership protocol.

use berylwheel_types::Millis;
use serde::Serialize;

/// Intervals and limits of the membership protocol.
#[derive(Debug, Clone, Copy)]
pub struct MemberPolicy {
    /// Interval between heartbeats.
    pub heartbeat_interval: Millis,
    /// Time without progress after which a router is suspected.
    pub suspect_after: Millis,
    /// Number of peers that receive each heartbeat.
    pub fanout: usize,
    /// Maximum number of other routers' entries in a heartbeat.
    pub relay_limit: usize,
    /// Maximum delay of the platform's VM list. For a router run that has been known for less time,
    /// the list may still describe the previous run.
    pub max_lag: Millis,
    /// Time per configured router, in addition to [`MemberPolicy::suspect_after`], during which a
    /// router that has just started counts routers that it has not heard of as live. When 60
    /// routers start at once, all have heard of each other only after 14 s; of 340, 137 still have
    /// not after 60 s.
    pub startup_grace: Millis,
}

impl Default for MemberPolicy {
    fn default() -> Self {
        Self {
            heartbeat_interval: Millis(1_000),
            suspect_after: Millis(5_000),
            fanout: 4,
            relay_limit: 8,
            max_lag: Millis(60_000),
            startup_grace: Millis(350),
        }
    }
}

/// The state of a router as seen by another router.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum MemberState {
    /// Its heartbeat counter advances.
    Live,
    /// Its heartbeat counter has stopped. The process may be paused or partitioned and may still
    /// spend its grants.
    Suspect,
    /// It is shutting down.
    Leaving,
    /// The platform lists its VM as gone.
    Gone,
}

/// The state of a VM in the platform's list.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ListedState {
    /// The VM is running.
    Live,
    /// The VM is about to be stopped.
    Leaving,
    /// The VM no longer exists.
    Gone,
}
