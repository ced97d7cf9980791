//! Serializable snapshot of the scheduler for the state dump.

use berylwheel_types::ByteSize;
use berylwheel_types::KindId;
use berylwheel_types::Millis;
use berylwheel_types::Rank;
use berylwheel_types::Tokens;
use serde::Serialize;

/// State of one rank.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct RankDump {
    /// Rank described by this entry.
    pub rank: Rank,
    /// Number of queued requests.
    pub queued: usize,
    /// Number of running requests.
    pub running: usize,
    /// Tokens by which the rank is below its minimum share; negative if it is above.
    pub credit: f64,
    /// Total tokens served since the router started.
    pub served: Tokens,
}

/// State of one kind of work.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct KindDump {
    /// Kind described by this entry.
    pub kind: KindId,
    /// Number of queued requests.
    pub queued: usize,
    /// Total size of the queued requests.
    pub queued_bytes: ByteSize,
    /// Number of running requests.
    pub running: usize,
    /// Mean time from start to completion; zero until the first request completes.
    pub service_time: Millis,
    /// Number of retries currently available.
    pub retries: u32,
}

/// State of a scheduler.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct ScheduleDump {
    /// State of each rank, most urgent first.
    pub ranks: Vec<RankDump>,
    /// State of each kind, sorted by name.
    pub kinds: Vec<KindDump>,
}
