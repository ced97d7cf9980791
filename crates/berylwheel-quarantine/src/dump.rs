//! The state for operators.

use berylwheel_types::PartHold;
use berylwheel_types::Timestamp;
use serde::Serialize;

/// The quarantine of one router.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct QuarantineDump {
    /// Holds in force.
    pub holds: Vec<PartHold>,
    /// Parts under which servers have ended, as far as this router was told.
    pub suspected: Vec<SuspectedPart>,
    /// Number of parts of prompts that are kept as evidence, each as often as it is.
    pub kept_parts: usize,
    /// Number of requests that this router has refused.
    pub refused: u64,
}

/// A part under which servers have ended.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct SuspectedPart {
    /// The part.
    pub part: String,
    /// Number of servers that ended since its last answer.
    pub ends: u32,
    /// Number of these that were independent of each other.
    pub independent: u32,
    /// When the first of them ended.
    pub since: Timestamp,
    /// Whether a router has answered the part shortly before.
    pub answered_before: bool,
}
