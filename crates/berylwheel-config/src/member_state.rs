//! The states of routers and the policy of membership.

use berylwheel_types::Millis;
use serde::Serialize;

/// How membership is kept.
#[derive(Debug, Clone, Copy)]
pub struct MemberPolicy {
    /// How often heartbeats are sent.
    pub every: Millis,
    /// How long a router may show no progress before it is suspect.
    pub suspect_after: Millis,
    /// How many peers get a heartbeat each time.
    pub targets: usize,
    /// News of how many other routers a heartbeat carries.
    pub others: usize,
    /// How long the platform's list may lag. A router known for less time than that may be a new
    /// run whose predecessor the list means.
    pub list_lag: Millis,
    /// How long after its start a router takes those for live of which it has heard nothing yet, for
    /// each router that the settings name, on top of [`MemberPolicy::suspect_after`]. A fleet of 60
    /// that starts at once takes 14 s to hear of all, and in one of 340, 137 routers still have not
    /// after 60 s.
    pub settle: Millis,
}

impl Default for MemberPolicy {
    fn default() -> Self {
        Self {
            every: Millis(1_000),
            suspect_after: Millis(5_000),
            targets: 4,
            others: 8,
            list_lag: Millis(60_000),
            settle: Millis(350),
        }
    }
}

/// What one router takes another one to be.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum MemberState {
    /// It makes progress.
    Live,
    /// It has made no progress for a while. It may be paused or cut off and still spend its grants.
    Suspect,
    /// It is shutting down.
    Leaving,
    /// The platform lists it as gone.
    Gone,
}

/// What the platform's list says of a VM.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ListedState {
    /// It runs.
    Live,
    /// It is about to be stopped.
    Leaving,
    /// It does not exist any more.
    Gone,
}
