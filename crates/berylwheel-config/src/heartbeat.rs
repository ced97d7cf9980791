//! What routers tell each other every second.

use std::net::SocketAddr;

use berylwheel_types::Incarnation;
use berylwheel_types::Version;
use serde::Deserialize;
use serde::Serialize;

/// What one router knows of a router.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberEntry {
    /// The run of the router's process.
    pub incarnation: Incarnation,
    /// Where it listens to its peers. A second process at the same address proves the first gone.
    pub address: SocketAddr,
    /// How many heartbeats it has sent.
    pub counter: u64,
    /// The version of the configuration that it serves with.
    pub version: Version,
    /// Whether it is shutting down.
    pub leaving: bool,
    /// Whether the sender suspects that it has stopped.
    pub suspect: bool,
}

/// A heartbeat.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// The sender.
    pub own: MemberEntry,
    /// News of other routers.
    pub others: Vec<MemberEntry>,
}
