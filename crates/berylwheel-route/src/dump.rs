//! Routing state as shown to operators.

use std::net::SocketAddr;

use berylwheel_types::BackendId;
use berylwheel_types::Millis;
use berylwheel_types::Timestamp;
use serde::Serialize;

use crate::LeavingSource;
use crate::PoolSpeedDump;
use crate::SpeedDump;

/// All servers as seen by one router, sorted by name.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct RouteDump {
    /// Number of live routers among which the servers' capacity is divided.
    pub routers: usize,
    /// One entry per server.
    pub servers: Vec<ServerDump>,
    /// The expected times of each pool.
    pub speeds: Vec<PoolSpeedDump>,
}

/// One server as seen by one router.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct ServerDump {
    /// The server's name.
    pub id: BackendId,
    /// The address that requests are sent to.
    pub address: SocketAddr,
    /// Whether the server is configured. A removed server is listed until this router's requests to
    /// it have ended.
    pub present: bool,
    /// Whether the server belongs to one of this router's subsets.
    pub used: bool,
    /// Requests in flight from this router.
    pub in_flight: u32,
    /// Requests from other routers; `None` without a recent load report.
    pub others: Option<u32>,
    /// Concurrency limit of the server.
    pub concurrency: u32,
    /// Age of the last load report.
    pub report_age: Option<Millis>,
    /// Consecutive failures.
    pub failures: u32,
    /// When the ejection ends, if the server is ejected.
    pub ejected_until: Option<Timestamp>,
    /// Whether the server gets no new requests because it is shutting down.
    pub leaving: bool,
    /// Who reported it as leaving.
    pub leaving_source: Option<LeavingSource>,
    /// When that was reported.
    pub leaving_since: Option<Timestamp>,
    /// The begin of the server's last pause.
    pub paused_since: Option<Timestamp>,
    /// The end of the server's last pause, in which it gets no requests.
    pub paused_until: Option<Timestamp>,
    /// Fraction of the server's capacity that the router uses, from 0 to 1. Below 1 during slow
    /// start.
    pub weight: f64,
    /// Number of prefixes known to be in the server's cache.
    pub prefixes: usize,
    /// Observed relative to expected times; `None` without samples.
    pub speed: Option<SpeedDump>,
}
