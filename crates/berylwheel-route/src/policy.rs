//! The numbers that routing follows.

use berylwheel_types::Millis;

/// Limits and periods of routing.
///
/// ```
/// use berylwheel_route::RoutePolicy;
/// use berylwheel_types::Millis;
/// let policy = RoutePolicy { probe_interval: Millis(500), ..RoutePolicy::default() };
/// assert_eq!(policy.subset, 48);
/// ```
#[derive(Debug, Clone, PartialEq)]
pub struct RoutePolicy {
    /// The most servers of one model or plain service that a router sends work to.
    pub subset: usize,
    /// How far over the mean load prefix affinity may take a server.
    pub affinity_bound: f64,
    /// Requests that prefix affinity may take a server over that, whatever the mean is. Reading a
    /// long prefix again costs more than a wait behind a few requests.
    pub affinity_slack: f64,
    /// How many servers of the rendezvous order of a prefix are its homes. The less loaded one is
    /// taken; with the first that fits, imbalance is up to 2.3 when no cache events come.
    pub affinity_homes: usize,
    /// Whether the first home that fits is taken, so that each prefix is read at one server. This
    /// pays where prefixes are long against what belongs to one request.
    pub affinity_first: bool,
    /// Over which time the share of a new server rises.
    pub slow_start: Millis,
    /// Failures in a row that eject a server.
    pub eject_after: u32,
    /// The first ejection; each further one doubles it.
    pub eject_base: Millis,
    /// The longest ejection. A server that stays in for as long starts again from the first.
    pub eject_limit: Millis,
    /// The age at which a load report counts as missing.
    pub report_limit: Millis,
    /// The age at which what a load report adds to the mean counts for 1/e. With 1 s the imbalance
    /// of two random choices at a lag of 5 s falls from 2.1 to 1.3; at 0.1 s it stays at 1.2.
    pub report_fade: Millis,
    /// The time between two load reports asked of one server.
    pub probe_interval: Millis,
    /// The most load reports asked for in a second, over all servers. At 300 bytes each, 40 a
    /// second stay under the 20 KB/s that control work may use at a node.
    pub probe_rate: u32,
    /// How long a server must go without news of its leaving before the VM list can bring it back.
    /// The list lags, so it may still show a server as live that is known to leave.
    pub leaving_hold: Millis,
}

impl Default for RoutePolicy {
    fn default() -> Self {
        Self {
            subset: 48,
            affinity_bound: 1.25,
            affinity_slack: 0.0,
            affinity_homes: 2,
            affinity_first: false,
            slow_start: Millis(10_000),
            eject_after: 5,
            eject_base: Millis(5_000),
            eject_limit: Millis(60_000),
            report_limit: Millis(30_000),
            report_fade: Millis(1_000),
            probe_interval: Millis(1_000),
            probe_rate: 40,
            leaving_hold: Millis(60_000),
        }
    }
}
