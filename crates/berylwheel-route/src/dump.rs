//! State of routing, for operators.

use std::net::SocketAddr;

use berylwheel_types::BackendId;
use berylwheel_types::Millis;
use berylwheel_types::Timestamp;
use serde::Serialize;

/// All servers as one router sees them, in the order of their names.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct RouteDump {
    /// Live routers that the shares are computed from.
    pub routers: usize,
    /// One entry a server.
    pub servers: Vec<ServerDump>,
}

/// One server as one router sees it.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct ServerDump {
    /// The server's name.
    pub id: BackendId,
    /// Where requests are sent.
    pub address: SocketAddr,
    /// Whether it is configured; a server that is not still has requests of this router.
    pub present: bool,
    /// Whether it is in a subset of this router.
    pub used: bool,
    /// Requests of this router that run at it.
    pub in_flight: u32,
    /// Requests of other routers; `None` if there is no recent report.
    pub others: Option<u32>,
    /// The most requests at a time.
    pub concurrency: u32,
    /// Age of the last load report.
    pub report_age: Option<Millis>,
    /// Failures in a row.
    pub failures: u32,
    /// When its ejection ends, if it is ejected.
    pub ejected_until: Option<Timestamp>,
    /// Whether it gets no new work because it leaves.
    pub leaving: bool,
    /// The share of its capacity that it is offered, from 0 to 1.
    pub weight: f64,
    /// Prefixes that it is known to hold.
    pub prefixes: usize,
}
