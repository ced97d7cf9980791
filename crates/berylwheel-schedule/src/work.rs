//! Inputs and outputs of the scheduler: requests, limits of a kind, and tokens served.

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

/// A request to be scheduled on a backend server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WorkItem {
    /// ID of the attempt, unique across all routers.
    pub request: RequestId,
    /// Workspace that is charged for the request.
    pub workspace: WorkspaceId,
    /// Kind of work, which determines the limits.
    pub kind: KindId,
    /// Requested model; `None` for services without models.
    pub model: Option<ModelId>,
    /// Priority class.
    pub rank: Rank,
    /// Upper bound on the number of tokens that the request uses.
    pub cost: Tokens,
    /// Memory used by the request while it is queued.
    pub size: ByteSize,
    /// Time by which the response must be complete.
    pub deadline: Timestamp,
}

/// Limits of one kind of work, per router.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct KindLimits {
    /// Maximum number of queued requests.
    pub queue_length: usize,
    /// Maximum total size of the queued requests.
    pub queue_bytes: ByteSize,
    /// Maximum number of running requests.
    pub concurrency: usize,
}

/// Tokens that a router has served to one workspace in one rank.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServedTokens {
    /// Workspace that received the tokens.
    pub workspace: WorkspaceId,
    /// Priority class of the requests.
    pub rank: Rank,
    /// Cumulative total, so that a lost heartbeat loses no tokens.
    pub tokens: Tokens,
}
