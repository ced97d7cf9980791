//! Routing state as shown to operators.

use std::net::SocketAddr;

use berylwheel_types::BackendId;
use berylwheel_types::FailureDomain;
use berylwheel_types::Millis;
use berylwheel_types::Timestamp;
use serde::Serialize;

use crate::ColdSource;
use crate::EvacuatedDomain;
use crate::LeavingSource;
use crate::PoolSpeedDump;
use crate::SpeedDump;

/// All servers as seen by one router, sorted by name.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct RouteDump {
    /// Number of live routers among which the servers' capacity is divided.
    pub routers: usize,
    /// Number of routers in the store's list, among which the requests to cold servers are divided;
    /// `None` until it was read.
    pub listed_routers: Option<usize>,
    /// Requests that this router sent to cold servers.
    pub cold_requests: u64,
    /// The evacuated failure domains, sorted by name.
    pub evacuated: Vec<EvacuatedDomain>,
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
    /// The failure domain that the server runs in.
    pub domain: FailureDomain,
    /// Whether the domain is evacuated, so that the server gets no new requests.
    pub evacuated: bool,
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
    /// Until when the server is cold, if it is.
    pub cold_until: Option<Timestamp>,
    /// Why it counts as cold.
    pub cold_source: Option<ColdSource>,
    /// Fraction of the server's capacity that the router uses, from 0 to 1. Below 1 during slow
    /// start.
    pub weight: f64,
    /// Number of prefixes known to be in the server's cache.
    pub prefixes: usize,
    /// Observed relative to expected times; `None` without samples.
    pub speed: Option<SpeedDump>,
}
