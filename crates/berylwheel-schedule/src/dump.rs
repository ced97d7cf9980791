//! State of the scheduler for operators.

use berylwheel_types::ByteSize;
use berylwheel_types::KindId;
use berylwheel_types::Millis;
use berylwheel_types::Rank;
use berylwheel_types::Tokens;
use serde::Serialize;

/// State of one rank.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct RankDump {
    /// The rank.
    pub rank: Rank,
    /// Requests queued.
    pub queued: usize,
    /// Requests started and not finished.
    pub running: usize,
    /// Tokens that the rank is short of its minimum share; negative if it is above.
    pub credit: f64,
    /// Tokens served since the router started.
    pub served: Tokens,
}

/// State of one kind of work.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct KindDump {
    /// The kind.
    pub kind: KindId,
    /// Requests queued.
    pub queued: usize,
    /// Bytes queued.
    pub queued_bytes: ByteSize,
    /// Requests started and not finished.
    pub running: usize,
    /// Mean time from start to end, zero before the first request has ended.
    pub service_time: Millis,
    /// Retries that may be made now.
    pub retries: u32,
}

/// State of a scheduler.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct ScheduleDump {
    /// By rank, in the order of service.
    pub ranks: Vec<RankDump>,
    /// By kind, in the order of names.
    pub kinds: Vec<KindDump>,
}
