//! The heartbeats that routers exchange.

use std::net::SocketAddr;

use berylwheel_types::Incarnation;
use berylwheel_types::Version;
use serde::Deserialize;
use serde::Serialize;

/// The state of one router as carried by heartbeats.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberEntry {
    /// The run of the router's process.
    pub incarnation: Incarnation,
    /// Address at which it listens for peers. A later run at the same address proves that the
    /// earlier run has ended.
    pub address: SocketAddr,
    /// Number of heartbeats it has sent.
    pub counter: u64,
    /// The configuration version that it serves.
    pub version: Version,
    /// Whether it is shutting down.
    pub leaving: bool,
    /// Whether the sender of the heartbeat suspects it.
    pub suspect: bool,
}

/// A periodic message about the state of the sender and of some other routers.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// The entry of the sender.
    pub own: MemberEntry,
    /// Entries of other routers, relayed by the sender.
    pub others: Vec<MemberEntry>,
}
