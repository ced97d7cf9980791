//! Reports what the sockets of a router put on the VM's network link, and how late its timers are.

use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;

use async_io::Timer;
use berylwheel_http::Traffic;
use berylwheel_http::TrafficTotals;
use berylwheel_types::BitRate;
use berylwheel_types::Millis;
use berylwheel_types::Share;

use super::link::LinkUse;
use super::listen::Forwarder;

/// Interval of the reports.
const REPORT_INTERVAL: Millis = Millis(1_000);
/// Share of the link, in one direction, from which an interval is reported.
const REPORTED_SHARE: Share = Share::from_permille(500);
/// Lateness of a timer from which an interval is reported: readiness checks and the opening of
/// connections have a time limit of a second.
const REPORTED_LATENESS: Millis = Millis(250);

/// Traffic of a router's sockets by what is at their other end.
#[derive(Debug, Clone, Default)]
pub struct SocketTraffic {
    pub callers: Traffic,
    pub servers: Traffic,
    pub store: Traffic,
    /// The other routers.
    pub peers: Traffic,
}

/// Totals of a [`SocketTraffic`], or their difference over an interval. [`LinkUse`] is the part that
/// decisions use.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct SocketTotals {
    callers: TrafficTotals,
    servers: TrafficTotals,
    store: TrafficTotals,
    peers: TrafficTotals,
}

impl SocketTraffic {
    pub(super) fn totals(&self) -> SocketTotals {
        SocketTotals {
            callers: self.callers.totals(),
            servers: self.servers.totals(),
            store: self.store.totals(),
            peers: self.peers.totals(),
        }
    }
}

impl SocketTotals {
    pub(super) fn since(self, earlier: Self) -> Self {
        Self {
            callers: self.callers - earlier.callers,
            servers: self.servers - earlier.servers,
            store: self.store - earlier.store,
            peers: self.peers - earlier.peers,
        }
    }

    fn all(&self) -> [TrafficTotals; 4] {
        [self.callers, self.servers, self.store, self.peers]
    }

    /// Returns what these totals are on the link.
    pub(super) fn link_use(&self) -> LinkUse {
        LinkUse {
            received: self.received(),
            sent: self.sent(),
            background_received: self.store.received + self.peers.received,
            background_sent: self.store.sent + self.peers.sent,
        }
    }

    fn received(&self) -> u64 {
        self.all().iter().map(|totals| totals.received).sum()
    }

    fn sent(&self) -> u64 {
        self.all().iter().map(|totals| totals.sent).sum()
    }
}

/// Logs each interval in which the link carried much or a timer was late.
pub(crate) async fn report_usage(
    forwarder: Forwarder,
    traffic: SocketTraffic,
    link: Option<BitRate>,
    open: Arc<AtomicUsize>,
) {
    let link_bytes = link.map_or(u64::MAX, |link| link.bytes_per_second());
    let reported_bytes = (link_bytes as f64 * REPORTED_SHARE.fraction()) as u64;
    let mut earlier = traffic.totals();
    let mut started_at = forwarder.clock.now();
    loop {
        Timer::after(REPORT_INTERVAL.duration()).await;
        let now = forwarder.clock.now();
        let late = Millis(now.since(started_at).0.saturating_sub(REPORT_INTERVAL.0));
        let totals = traffic.totals();
        let used = totals.since(earlier);
        if used.received().max(used.sent()) >= reported_bytes || late >= REPORTED_LATENESS {
            log::info!(
                received = used.received(), sent = used.sent(), link = link_bytes,
                late_ms = late.0, ready = forwarder.is_ready(), open = open.load(Ordering::Relaxed),
                accepted = used.callers.connections,
                callers_in = used.callers.received, callers_out = used.callers.sent,
                servers_in = used.servers.received, servers_out = used.servers.sent,
                store_in = used.store.received, store_out = used.store.sent,
                peers_in = used.peers.received, peers_out = used.peers.sent,
                reads = used.all().iter().map(|totals| totals.reads).sum::<u64>(),
                writes = used.all().iter().map(|totals| totals.writes).sum::<u64>();
                "link in use"
            );
        }
        (earlier, started_at) = (totals, now);
    }
}
