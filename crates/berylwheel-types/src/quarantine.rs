//! What routers tell each other about prompt parts that crash backend servers.

use serde::Deserialize;
use serde::Serialize;

use crate::Millis;
use crate::PromptPartId;
use crate::Timestamp;

/// A request that had no answer yet when its backend server ended.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SuspectRequest {
    /// Time from sending the request to the end of its server.
    pub ran_for: Millis,
    /// Parts of its prompt that other requests can share, each once and in ascending order.
    pub parts: Vec<PromptPartId>,
}

/// Prompt parts whose requests are refused. A request is refused if its prompt has all of them.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PartHold {
    /// The parts, each once and in ascending order.
    pub parts: Vec<PromptPartId>,
    /// Orders the states of a hold: the later one replaces the earlier one.
    pub stamp: Timestamp,
    /// When the first server ended under the parts.
    pub since: Timestamp,
    /// When requests are served again.
    pub until: Timestamp,
    /// Number of servers that ended under the parts before the hold began.
    pub ends: u32,
    /// Whether the hold was released before its end. It is kept until its end, so that an earlier
    /// state does not come back.
    pub released: bool,
}
