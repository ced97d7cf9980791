//! What is scheduled, and the bounds on it.

use berylwheel_types::ByteSize;
use berylwheel_types::KindId;
use berylwheel_types::ModelId;
use berylwheel_types::Rank;
use berylwheel_types::RequestId;
use berylwheel_types::Timestamp;
use berylwheel_types::Tokens;
use berylwheel_types::WorkspaceId;
use serde::Deserialize;
use serde::Serialize;

/// One request that waits for a backend server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Work {
    /// Id of the attempt, unique in the fleet.
    pub request: RequestId,
    /// The workspace that pays.
    pub workspace: WorkspaceId,
    /// The kind of work, whose limits apply.
    pub kind: KindId,
    /// The model asked for; `None` for calls of plain services.
    pub model: Option<ModelId>,
    /// Priority class.
    pub rank: Rank,
    /// Upper bound of the tokens that the request uses.
    pub cost: Tokens,
    /// Size of the queued request in memory.
    pub size: ByteSize,
    /// When the whole answer is due.
    pub deadline: Timestamp,
}

/// Bounds on one kind of work at one router.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct KindLimits {
    /// Most requests queued.
    pub queue: usize,
    /// Most bytes queued.
    pub queue_bytes: ByteSize,
    /// Most requests started and not finished.
    pub concurrency: usize,
}

/// Tokens that a router has served to one workspace in one rank since the router started.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Served {
    /// The workspace served.
    pub workspace: WorkspaceId,
    /// Priority class of the work.
    pub rank: Rank,
    /// Running total, so that a lost heartbeat loses no tokens.
    pub tokens: Tokens,
}
