//! Parameters of server selection.

use berylwheel_types::Millis;

/// When servers are chosen by their measured speeds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SpeedUse {
    /// Never; servers count as equal.
    Never,
    /// Once a server has stated how long work takes on its machine. Servers that share machines
    /// state it. Others are of equal speed, and the differences that caches and queues cause between
    /// them would cost cached prefixes.
    IfStated,
    Always,
}

/// Limits, weights and intervals of server selection.
///
/// ```
/// use berylwheel_route::RoutePolicy;
/// use berylwheel_types::Millis;
/// let policy = RoutePolicy { probe_interval: Millis(500), ..RoutePolicy::default() };
/// assert_eq!(policy.subset_size, 48);
/// ```
#[derive(Debug, Clone, PartialEq)]
pub struct RoutePolicy {
    /// Maximum number of servers of one model or plain service that a router sends requests to.
    pub subset_size: usize,
    /// Maximum load, as a multiple of the mean, up to which prefix affinity may choose a server.
    pub affinity_bound: f64,
    /// Requests that prefix affinity may add beyond that bound, whatever the mean is. Processing a
    /// long prefix again costs more than waiting behind a few requests.
    pub affinity_slack: f64,
    /// Number of home servers per prefix, the first in its rendezvous hash order. The least loaded
    /// of them is chosen; choosing the first that fits gives an imbalance of up to 2.3 when there
    /// are no cache events.
    pub affinity_homes: usize,
    /// Whether to choose the first home server that fits instead, so that each prefix is processed
    /// at one server. This pays off if prefixes are long compared with the rest of a request.
    pub affinity_first: bool,
    /// Duration of slow start, in which the weight of a new server rises.
    pub slow_start: Millis,
    /// Number of consecutive failures after which a server is ejected.
    pub eject_after: u32,
    /// Duration of the first ejection; it doubles with each further one.
    pub eject_base: Millis,
    /// Maximum duration of an ejection. After a server has been in use for this long, its next
    /// ejection lasts `eject_base` again.
    pub eject_limit: Millis,
    /// Maximum age of a load report; an older one counts as missing.
    pub report_expiry: Millis,
    /// Age at which the weight of a load report, relative to the mean, has decayed to 1/e. A value
    /// of 1 s reduces the imbalance of two random choices from 2.1 to 1.3 at a report lag of 5 s,
    /// and leaves it at 1.2 at a lag of 0.1 s.
    pub report_decay: Millis,
    /// Interval between load probes of one server.
    pub probe_interval: Millis,
    /// Maximum number of load probes per second, over all servers. At 300 bytes each, 40 per second
    /// stay below the limit of 20 KB/s for control traffic at a node.
    pub probe_rate: u32,
    /// Time since the last notice of a server's shutdown before the VM list can mark the server as
    /// live again. The list lags and may still show a server as live that is shutting down.
    pub leaving_hold: Millis,
    /// Maximum duration of a pause that a server asks for in one response.
    pub pause_limit: Millis,
    /// How long a server gets no requests after another one responded at its address. A server list
    /// drops the entry of a silent server within this time.
    pub misdirected_hold: Millis,
    /// When the choice goes by the measured speeds of servers.
    pub measure_speed: SpeedUse,
}

impl Default for RoutePolicy {
    fn default() -> Self {
        Self {
            subset_size: 48,
            affinity_bound: 1.25,
            affinity_slack: 0.0,
            affinity_homes: 2,
            affinity_first: false,
            slow_start: Millis(10_000),
            eject_after: 5,
            eject_base: Millis(5_000),
            eject_limit: Millis(60_000),
            report_expiry: Millis(30_000),
            report_decay: Millis(1_000),
            probe_interval: Millis(1_000),
            probe_rate: 40,
            leaving_hold: Millis(60_000),
            pause_limit: Millis(300_000),
            misdirected_hold: Millis(4_000),
            measure_speed: SpeedUse::Always,
        }
    }
}
